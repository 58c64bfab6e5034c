#pragma once

#include "datagramsocket.h"
#include "peerreports.h"
#include "rolloutcontrol.h"
#include "statesync.h"

#include <rhubarbtiller/balance/hostdirectory.h>
#include <rhubarbtiller/balance/organisationquota.h>
#include <rhubarbtiller/balance/retrybudget.h>
#include <rhubarbtiller/balance/scoreboard.h>

#include <asio/steady_timer.hpp>

namespace rhubarbtiller::gateway {

/// Exchanges heartbeats, evidence, loads and admissions with the other hosts by datagrams.
///
/// Thread safety: the thread of the serving context.
class PeerLink
{
public:
    struct Parts
    {
        asio::io_context &context;
        const Clock &clock;
        RandomSource &random;
        balance::HostDirectory &directory;
        balance::Scoreboard &board;
        balance::OrganisationQuota &quota;
        StateSync &sync;
        DatagramSocket &socket;
        std::vector<FailureDomainId> failureDomains;
        /// Addresses of hosts that may be alive, for a host that has discovered no other.
        std::vector<Endpoint> seeds;
        /// Called with the replica status in each heartbeat of a peer.
        std::function<void(const PeerReplicaStatus &)> onPeerStatus;
        balance::RetryBudget &retries;
        /// Returns when this host last admitted a request of an organisation.
        std::function<MonotonicTime()> lastAdmittedAt;
        /// Exchanges the states of roll-outs; null for none.
        RolloutControl *rollouts = nullptr;
    };

    /// Precondition: the objects that \p linkParts refers to outlive this object.
    explicit PeerLink(Parts linkParts);

    /// Binds the address and calls update() periodically. Precondition: called once.
    std::error_code start();

    /// Binds the address. Precondition: called once; not together with start().
    std::error_code open();

    /// Decides this host's role and sends what is due; to be called every 50 ms. Precondition: open.
    void update();

    /// Sends the regular heartbeats without delay, such as after a change. Precondition: started.
    void announce();

    /// Announces a new version of the replicated state if this host is an entry host or reads the store. Precondition: open.
    void onStatePublished();

    /// Sends urgent evidence without delay, or a few milliseconds after the last such report. Precondition: started.
    void sendUrgentReports();

    /// Returns whether other hosts are known, but none of them is alive, and this host does not read the store or has had no response of it
    /// for a while. Precondition: none.
    bool isIsolated() const;

    /// Returns the heartbeat of this host. Precondition: none.
    wire::HostBeat ownHeartbeat() const;

private:
    void onDatagram(std::string_view bytes, const Endpoint &from);
    std::optional<wire::HostBeat> senderHeartbeat(const wire::Datagram &datagram) const;
    wire::HostBrief ownBrief() const;
    void tick();
    void sendHeartbeats(MonotonicTime now);
    void sendPresence(MonotonicTime now);
    void sendReports(MonotonicTime now);
    void addRollouts(wire::Datagram &datagram, bool hasCells) const;
    void requestWindowUses(MonotonicTime now);
    void sendWindowUses(const Endpoint &target, MonotonicTime now);
    void discoverHosts(MonotonicTime now);
    void updateRole(MonotonicTime now);
    void logEntryHosts(MonotonicTime now);
    double reachableShare(MonotonicTime now) const;
    void logLimitShare(double share);
    void send(const wire::Datagram &datagram, const Endpoint &target);
    void addAnnouncements(wire::Datagram &datagram, MonotonicTime now) const;
    void sendAnnouncements(const Endpoint &target, MonotonicTime now);

    Parts parts;
    PeerReports reports;
    asio::steady_timer timer;
    asio::steady_timer urgentReportTimer;
    MonotonicTime nextHeartbeatAt{};
    MonotonicTime nextPresenceAt{};
    MonotonicTime nextReportAt{};
    MonotonicTime nextDiscoveryAt{};
    MonotonicTime lastUrgentReportAt{};
    MonotonicTime nextAnnouncementAt{};
    /// Heartbeats without announcements to other failure domains since the last reset; selects those with addresses.
    unsigned heartbeatsSinceReset = 0;
    bool isEntryHost = false;
    /// Part of the limits in the last heartbeat.
    double announcedReach = 1;
    std::string loggedEntryHosts;
    std::int32_t loggedSharePermille = -1;
    bool isServing = false;
    bool isSendFailing = false;
    /// Whether a report had evidence of a kind that this version does not know; logged once.
    bool hasUnknownEvidence = false;
    /// Start of the time without serving peers, although several others are known; max() outside of such a time.
    MonotonicTime noPeersSince = MonotonicTime::max();
};

/// Converts a heartbeat to the record of its host. Thread safety: any thread.
balance::HostRecord toHostRecord(const wire::HostBeat &heartbeat);

/// Converts the record of a host to a heartbeat without replica status. Thread safety: any thread.
wire::HostBeat toHeartbeat(const balance::HostRecord &record);

} // namespace rhubarbtiller::gateway
