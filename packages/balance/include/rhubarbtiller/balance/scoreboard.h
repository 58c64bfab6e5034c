#pragma once

#include <rhubarbtiller/balance/failureestimator.h>
#include <rhubarbtiller/balance/tokenbucket.h>
#include <rhubarbtiller/catalog/servertable.h>

#include <array>
#include <map>
#include <unordered_map>

namespace rhubarbtiller::balance {

/// One piece of evidence about a backend server, for other hosts.
struct EvidenceReport
{
    BackendServerId server;
    Evidence evidence = Evidence::Success;
};

/// How many requests one host has at a backend server.
struct OutstandingReport
{
    BackendServerId server;
    std::uint32_t requests = 0;
};

/// The state of one backend server as one host records it.
class ServerState
{
public:
    FailureEstimator estimator;
    /// Requests of this host that are in progress at the server.
    std::uint32_t ownOutstanding = 0;
    /// When this host last sent a request there.
    MonotonicTime lastUsedAt{};
    /// When the outcome of a request that reached the server was last recorded, at any host.
    MonotonicTime lastReachedByFleetAt{};
    /// When any host last began to send a request, which may fail to reach the server.
    MonotonicTime lastSentByFleetAt{};
    /// When a request there last failed, at any host; one without an answer counts from when it was sent.
    MonotonicTime lastFailureAt{};
    /// Failures without a success between them; those of concurrent requests count as one.
    unsigned consecutiveFailures = 0;
    /// Until then no connection is attempted, since the last attempt failed.
    MonotonicTime connectBackoffUntil{};
    unsigned connectFailures = 0;
    /// The address at which another server answered, and until when that counts.
    Endpoint reassignedAddress;
    MonotonicTime reassignedUntil{};
    /// Requests that this host may send while the server is cold.
    TokenBucket coldBucket;
    bool hasColdBucket = false;
    FailureDomainId failureDomain;
    catalog::ServiceName service;
    SlotCount slots{1};

    /// Returns whether a request reached the server within the time, or is on its way. Precondition: none.
    bool wasUsedWithin(Duration time, MonotonicTime now) const;

    /// Returns whether another server has lately answered at the address. Precondition: none.
    bool isReassigned(const Endpoint &address, MonotonicTime now) const;

    /// Returns whether any host has sent a request there since the server was added. Precondition: none.
    bool wasEverUsed() const;

    /// Returns when the server is due for a request again after its failures; MonotonicTime() if it has none.
    ///
    /// Precondition: none.
    MonotonicTime retryAt() const;

    /// Returns the requests that other hosts have there. Precondition: none.
    std::uint32_t remoteOutstanding(MonotonicTime now) const;

    /// Replaces what a host reported; returns whether it has more requests there than before. Precondition: none.
    bool setRemoteOutstanding(const HostId &host, std::uint32_t requests, MonotonicTime now);

private:
    struct Remote
    {
        std::uint32_t requests = 0;
        MonotonicTime validUntil{};
    };

    std::map<HostId, Remote> remotes;
};

/// The state of all backend servers, from this host's requests and from what other hosts report.
///
/// Thread safety: one thread.
class Scoreboard
{
public:
    /// Returns the state of a server, which the first call creates. Precondition: none.
    ServerState &state(const BackendServerId &server);

    /// Returns how many servers are known. Precondition: none.
    std::size_t size() const
    {
        return this->servers.size();
    }

    /// Returns the state of a server, or nullptr if none is held. Precondition: none.
    const ServerState *find(const BackendServerId &server) const;

    /// Records that a request was sent. Precondition: none.
    void onSent(const BackendServerId &server, MonotonicTime now);

    /// Records that a request no longer occupies the server. Precondition: onSent() was called for it.
    void onFinished(const BackendServerId &server);

    /// Records evidence of this host and keeps it for the next report. Precondition: \p now does not go back.
    void observe(const BackendServerId &server, Evidence evidence, MonotonicTime now);

    /// Records a failed attempt to connect, which is not reported to other hosts. Precondition: none.
    void onConnectFailed(const BackendServerId &server, MonotonicTime now);

    /// Records that another server answers at the address of this one, which has ended or moved.
    ///
    /// The server is not used at this address for some seconds: its entry is about to go or to change. Precondition: none.
    void onWrongServer(const BackendServerId &server, const Endpoint &address, MonotonicTime now);

    /// Records a connection that was opened. Precondition: none.
    void onConnected(const BackendServerId &server);

    /// Applies the reports of another host. Precondition: \p now does not go back.
    void applyRemoteReport(const HostId &host,
                           const std::vector<EvidenceReport> &evidence,
                           const std::vector<OutstandingReport> &outstanding,
                           MonotonicTime now);

    /// Returns whether the evidence of all hosts of the last 2 s shows that the service fails too many requests.
    ///
    /// Each missing answer counts as soon as it is overdue, before its request ends. Precondition: \p now does not go back.
    bool isFailing(const catalog::ServiceName &service, MonotonicTime now) const;

    /// Returns the evidence since the last call. Precondition: none.
    std::vector<EvidenceReport> takeEvidence();

    /// Returns whether evidence is pending that is to be sent to other hosts at once. Precondition: none.
    bool hasUrgentEvidence() const
    {
        return this->isUrgent;
    }

    /// Returns what has changed of this host's requests at servers since the last report to a failure domain.
    ///
    /// With \p includesAll the report covers all servers, otherwise those of \p receiver and full ones. Counts are repeated before they
    /// expire.
    /// Precondition: \p now does not go back.
    std::vector<OutstandingReport> takeOutstanding(const FailureDomainId &receiver, bool includesAll, MonotonicTime now);

    /// Removes servers that are not in the table. Precondition: none.
    void retain(const catalog::ServerTable &table);

private:
    static constexpr std::size_t SliceCount = 4;

    /// Evidence on all servers of a service in a part of the last seconds.
    struct Slice
    {
        std::int64_t number = -1;
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
    };

    void recordEvidence(ServerState &state, Evidence evidence, MonotonicTime now);

    std::unordered_map<BackendServerId, ServerState> servers;
    std::unordered_map<catalog::ServiceName, std::array<Slice, SliceCount>> evidenceByService;
    std::vector<EvidenceReport> pendingEvidence;
    struct ReportedCount
    {
        std::uint32_t requests = 0;
        MonotonicTime repeatAt{};
    };

    /// The counts last reported to each failure domain.
    std::map<FailureDomainId, std::unordered_map<BackendServerId, ReportedCount>> reportedByDomain;
    bool isUrgent = false;
};

} // namespace rhubarbtiller::balance
