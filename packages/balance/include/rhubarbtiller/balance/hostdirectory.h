#pragma once

#include <rhubarbtiller/balance/domainreach.h>
#include <rhubarbtiller/balance/hostrecord.h>

#include <map>
#include <vector>

namespace rhubarbtiller::balance {

/// The membership of the fleet as this host receives it, and the entry hosts that callers are directed to.
///
/// In each failure domain the largest hosts, and among equals those that have run longest, are entry hosts; the others are standby. A host
/// announces itself as one once too few others do, so that no role falls to a standby host whose failure is not yet detected. Few
/// entry hosts see enough requests each to find a failing backend server after one or two failures. Thread safety: one thread.
class HostDirectory
{
public:
    /// With \p membershipKnown false, the host becomes an entry host only after setMembershipKnown() or a short delay.
    ///
    /// \p limitWindow is the time over which limits are counted.
    ///
    /// Precondition: \p own names this host; \p entryHostsPerDomain and \p limitWindow are above 0.
    HostDirectory(HostRecord own,
                  unsigned entryHostsPerDomain,
                  bool membershipKnown = true,
                  Duration limitWindow = std::chrono::seconds(5));

    /// Records a host from the list of started hosts, which may be alive. Precondition: \p now does not go back.
    void onListed(const HostRecord &record, MonotonicTime now);

    /// Records that the whole list was read. Precondition: none.
    void setMembershipKnown();

    /// Records a heartbeat received from the host itself. Precondition: \p now does not go back.
    void onHeartbeat(const HostRecord &record, MonotonicTime now);

    /// Returns the record of a host that has sent a heartbeat in this incarnation, or nullptr. Precondition: none.
    const HostRecord *findByHeartbeat(const HostId &id, Incarnation incarnation) const;

    /// Returns whether the heartbeats of a process had stopped although it should have sent some, so that its next one marks its return.
    ///
    /// Precondition: none.
    bool isLost(const HostId &id, Incarnation incarnation, MonotonicTime now) const;

    /// Records a host announced by another source; it counts as alive only after its own heartbeat.
    ///
    /// Returns whether the host has begun to serve, or is not alive and was not announced lately as serving.
    ///
    /// Precondition: \p now does not go back.
    bool onIndirectAnnouncement(const HostRecord &record, MonotonicTime now);

    /// Decides whether this host is an entry host; to be called a few times a second. Precondition: \p now does not go back.
    void updateEntryRole(MonotonicTime now);

    /// Marks this host as leaving. Precondition: none.
    void beginLeaving();

    /// Returns the live hosts of a failure domain that are not leaving, the largest first, then those that have run longest.
    ///
    /// Precondition: none.
    std::vector<const HostRecord *> liveHosts(const FailureDomainId &domain, MonotonicTime now) const;

    /// Returns the hosts that callers of a failure domain use; those of other domains if it has none. Precondition: none.
    std::vector<const HostRecord *> entryHostsFor(const FailureDomainId &domain, MonotonicTime now) const;

    /// Returns the entry hosts of all failure domains. Precondition: none.
    std::vector<const HostRecord *> allEntryHosts(MonotonicTime now) const;

    /// Returns the number of other hosts that are alive. Precondition: none.
    std::size_t livePeerCount(MonotonicTime now) const;

    /// Returns the other hosts that handle requests and need reports. Precondition: none.
    std::vector<const HostRecord *> servingPeers(MonotonicTime now) const;

    /// Returns servingPeers() and the hosts that have served and fell silent within the last minute, which may still receive this host's
    /// reports when only the other direction is interrupted. Precondition: none.
    std::vector<const HostRecord *> reportReceivers(MonotonicTime now) const;

    /// Returns the position of this host in its domain: the entry hosts first, then the others; beyond all if it is leaving.
    ///
    /// Precondition: none.
    std::size_t ownRank(MonotonicTime now) const;

    /// Returns ownRank() as of the last updateEntryRole(), without counting again. Precondition: none.
    std::size_t lastRank() const
    {
        return this->rankAtUpdate;
    }

    /// Returns the interval of the heartbeats to the entry hosts of this host's failure domain. Precondition: none.
    Duration presenceInterval() const;

    /// Returns the part of the limits of this host's failure domain, 0 to 1, that it and the hosts whose heartbeats it receives may use,
    /// as of the last updateEntryRole(). Precondition: none.
    double ownDomainReach() const
    {
        return this->reachAtUpdate;
    }

    /// Returns the number of hosts of this host's failure domain that it has counted itself, lost ones included, as of the last
    /// updateEntryRole(). Precondition: none.
    std::size_t countedDomainHosts() const
    {
        return this->countedAtUpdate;
    }

    /// Returns the part of the limits of a failure domain, 0 to 1, that its reachable entry hosts may use. Precondition: none.
    double domainReach(const FailureDomainId &domain, MonotonicTime now) const;

    /// Returns whether callers are sent to this host. Precondition: none.
    bool isEntryHost() const
    {
        return this->self.isEntry && !this->self.isLeaving;
    }

    /// Returns every host announced directly or indirectly, except those without an announcement for a minute. Precondition: none.
    std::vector<const HostRecord *> knownHosts(MonotonicTime now) const;

    const HostRecord &own() const
    {
        return this->self;
    }

    unsigned entryHostsPerDomain() const
    {
        return this->perDomain;
    }

private:
    struct PeerState
    {
        HostRecord record;
        /// Unset until the host's first own heartbeat.
        MonotonicTime aliveUntil{};
        /// From then on the host may be out of reach.
        MonotonicTime freshUntil{};
        /// Until then the last indirect announcement is valid.
        MonotonicTime indirectUntil{};
        /// Until then the first heartbeat of a listed host may still arrive.
        MonotonicTime listedUntil{};
        MonotonicTime expiresAt{};
        bool hasHeartbeat = false;
    };

    std::vector<const HostRecord *> entryHostsIn(const FailureDomainId &domain, MonotonicTime now) const;

    std::size_t awaitedHostsBefore(MonotonicTime now) const;

    void decideEntryRole(MonotonicTime now);

    HostRecord self;
    /// Since when the failure domain has too few entry hosts; the end of time while it has enough.
    MonotonicTime shortageSince = MonotonicTime::max();
    /// When this host may become an entry host at the earliest; the end of time until the first decision.
    MonotonicTime entryRoleAllowedAt = MonotonicTime::max();
    std::size_t rankAtUpdate = 0;
    double reachAtUpdate = 1;
    std::size_t countedAtUpdate = 1;
    DomainReach reach;
    bool isMembershipKnown;
    const unsigned perDomain;
    std::map<HostId, PeerState> hosts;
};

} // namespace rhubarbtiller::balance
