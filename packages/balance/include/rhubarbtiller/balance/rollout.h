#pragma once

#include <rhubarbtiller/balance/rolloutevidence.h>
#include <rhubarbtiller/balance/versionfilter.h>
#include <rhubarbtiller/base/random.h>

#include <string>
#include <vector>

namespace rhubarbtiller::balance {

/// Bounds of the exposure to versions that turn out to be bad.
struct RolloutBounds
{
    /// Part of the requests of the service between the order and its deadline that may reach a bad version.
    double exposureShare = 0.1;
    /// Requests that may reach it in addition.
    double exposureSlack = 20;
    /// Time after the 50th bad response from which on no request may be sent to a bad version.
    Duration rollbackTime = std::chrono::seconds(2);
    /// By how much an unstable store extends the bounds.
    Duration storeAllowance = std::chrono::seconds(3);

    bool operator==(const RolloutBounds &) const = default;
};

/// How a request to a server ended, as far as it says something about its version.
enum class RolloutResult {
    Success,
    Failure,
    /// Sent, without a valid response.
    Broken,
    /// Not executed by the server, or not awaited.
    Unknown,
};

/// A request that is about to be sent to a server of the service.
struct RolloutRequest
{
    bool isIdempotent = false;
    /// Whether it was sent to a server of the target before.
    bool hasUsedTarget = false;
};

/// What a host knows of a service and the fleet apart from the roll-out.
struct RolloutSurroundings
{
    /// Whether callers are sent to this host.
    bool isEntryHost = true;
    /// The part of the exposure slack that this host may use, 0 to 1.
    double slackShare = 1;
    std::size_t targetServers = 0;
    /// Slots of servers of the target that are not cold.
    std::uint32_t targetSlots = 0;
    std::size_t otherServers = 0;
    /// Requests of this host in progress at servers of the service, and those at servers of other versions.
    std::uint32_t inProgress = 0;
    std::uint32_t inProgressAtOthers = 0;
    /// The other hosts that handle requests.
    std::vector<HostId> servingHosts;
};

/// What a host reports on a roll-out; the counts are sums since its start.
struct RolloutReport
{
    catalog::RolloutPhase phase = catalog::RolloutPhase::Ordered;
    /// Whether the phase was read or reported, so that the receiver may adopt it.
    bool isPhaseKnown = false;
    bool isCondemned = false;
    Duration orderAge{};
    std::uint32_t inProgress = 0;
    std::uint32_t inProgressAtOthers = 0;
    RolloutCounts counts;
    ServerSketch failingServers;
    ServerSketch slowServers;
};

/// The roll-out of one version of a service, as one host sees it: which requests may use the target, the verdict, and the next state.
///
/// Every host reaches the verdict by itself from the merged reports. Before the switch the number of requests that it sends to the target
/// stays below a part of its own requests of the service, plus its part of the slack, so that the sum over any hosts keeps the
/// bound. Thread safety: one thread.
class Rollout
{
public:
    /// With \p isNew false the order existed before this host started, which does not know the phase yet.
    ///
    /// Precondition: none.
    Rollout(catalog::RolloutOrder rolloutOrder, const RolloutBounds &exposureBounds, bool isNew);

    /// Decides which servers a request may be sent to. Precondition: none.
    VersionRule
    choose(const RolloutRequest &request, const RolloutSurroundings &surroundings, RandomSource &random, MonotonicTime now) const;

    /// Counts a request that is sent to a server; \p isFirst is false for further attempts, \p isSettled if the latency of the server says
    /// something about its version. Returns the ticket for onEnded(). Precondition: \p now does not go back.
    std::uint64_t
    onSent(const BackendServerId &server, const RouteName &route, bool isTarget, bool isFirst, bool isSettled, MonotonicTime now);

    /// Counts the end of a request. Precondition: none; unknown tickets are ignored.
    void onEnded(std::uint64_t ticket, RolloutResult result, MonotonicTime now);

    /// Returns the report for the other hosts. Precondition: none.
    RolloutReport report(const RolloutSurroundings &surroundings, MonotonicTime now) const;

    /// Merges the report of another host. Precondition: \p now does not go back.
    void onReport(const HostId &host, Incarnation incarnation, const RolloutReport &received, MonotonicTime now);

    /// Processes the row that the store has for the service; \p target and \p phase are empty and Ordered if there is none.
    ///
    /// Precondition: none.
    void onStoreRow(const catalog::RolloutStatus &row, MonotonicTime now);

    /// Ends the roll-out without a verdict, since the order was withdrawn. Precondition: none.
    void onOrderWithdrawn();

    /// Updates the verdict; to be called several times a second. Precondition: \p now does not go back.
    void update(const RolloutSurroundings &surroundings, MonotonicTime now);

    /// Returns the state that the row of the store should get next, or nothing while it is right.
    ///
    /// Precondition: onStoreRow() was called with the current row.
    std::optional<catalog::RolloutPhase> nextPhase(const RolloutSurroundings &surroundings, MonotonicTime now) const;

    /// Returns why the last nextPhase() was RolledBack, or why the next state is not due yet, in a word. Precondition: none.
    std::string_view reason() const
    {
        return this->lastReason;
    }

    const catalog::RolloutOrder &order() const
    {
        return this->rolloutOrder;
    }

    catalog::RolloutPhase phase() const
    {
        return this->knownPhase;
    }

    bool isPhaseKnown() const
    {
        return this->hasPhase;
    }

    bool isCondemned() const
    {
        return this->condemned;
    }

    bool isFinal() const
    {
        return this->knownPhase >= catalog::RolloutPhase::Completed;
    }

    const RolloutEvidence &evidence() const
    {
        return this->merged;
    }

    std::uint64_t requests() const
    {
        return this->ownRequests;
    }

    std::uint64_t exposedRequests() const
    {
        return this->ownExposed;
    }

    /// Returns how many requests to the target are kept until their latency is judged. Precondition: none.
    std::size_t unjudgedRequests() const
    {
        return this->unjudged.size();
    }

private:
    struct OpenRequest
    {
        BackendServerId server;
        RolloutCell cell;
        MonotonicTime sentAt{};
        bool isSettled = false;
    };

    struct PeerState
    {
        Incarnation incarnation;
        catalog::RolloutPhase phase = catalog::RolloutPhase::Ordered;
        std::uint32_t inProgress = 0;
        std::uint32_t inProgressAtOthers = 0;
        MonotonicTime reportedAt{};
    };

    void adopt(catalog::RolloutPhase phase, MonotonicTime now);
    void condemn(std::string_view reason);
    void judgeLatencies(MonotonicTime now);
    double share(MonotonicTime now) const;
    bool mayExpose(const RolloutSurroundings &surroundings) const;
    Duration switchAfter() const;
    Duration reducedEvidenceAfter() const;
    Duration lateAfter() const;
    Duration rollbackAfter() const;
    bool isReadyToSwitch(const RolloutSurroundings &surroundings, MonotonicTime now) const;
    bool isReadyToClose(const RolloutSurroundings &surroundings, MonotonicTime now) const;
    bool haveAllReached(catalog::RolloutPhase phase, const RolloutSurroundings &surroundings, MonotonicTime now) const;

    catalog::RolloutOrder rolloutOrder;
    RolloutBounds bounds;
    bool isSlackAllowed;
    bool hasPhase;
    bool condemned = false;
    catalog::RolloutPhase knownPhase = catalog::RolloutPhase::Ordered;
    /// The phase in the row of the store, if that is of the same target.
    catalog::RolloutPhase storedPhase = catalog::RolloutPhase::Ordered;
    /// The version of the last row of the same target; 0 if there was none.
    std::uint64_t storedVersion = 0;
    /// Since when the store has the row of a later order; the end of time otherwise.
    MonotonicTime supersededSince = MonotonicTime::max();
    /// When this host learnt of the phase.
    MonotonicTime phaseSince{};
    /// Since when the target has many bad responses and a raised suspicion; the end of time otherwise.
    MonotonicTime doubtfulSince = MonotonicTime::max();
    RolloutEvidence merged;
    RolloutCounts ownCounts;
    ServerSketch ownFailing;
    ServerSketch ownSlow;
    std::uint64_t ownRequests = 0;
    std::uint64_t ownExposed = 0;
    /// Begins with the time of the order, so that tickets of an earlier roll-out of the service are not taken for those of this one.
    std::uint64_t nextTicket;
    std::map<std::uint64_t, OpenRequest> open;
    /// Requests to the target whose latency is to be judged, by ticket, with whether they have ended.
    std::map<std::uint64_t, std::pair<OpenRequest, bool>> unjudged;
    std::map<HostId, PeerState> peers;
    mutable std::string_view lastReason = "none";
};

} // namespace rhubarbtiller::balance
