#pragma once

#include <rhubarbtiller/balance/rollout.h>

#include <string>
#include <vector>

namespace rhubarbtiller::balance {

/// How the target of a simulated roll-out is bad.
enum class BadVersionKind {
    Good,
    Failing,
    Slow,
    FailingLater,
    FailingOnOneRoute,
    FailingUnderLoad,
};

/// One randomly generated roll-out on a virtual clock: hosts with their own view, reports that may be lost, and a store.
struct RolloutPlan
{
    std::uint64_t seed = 0;
    BadVersionKind kind = BadVersionKind::Good;
    Duration duration = std::chrono::seconds(10);
    double requestsPerSecond = 300;
    Duration meanLatency = std::chrono::milliseconds(200);
    /// Share of the responses of a bad version that are bad.
    double badShare = 0.3;
    /// By how much a bad response of a slow version takes longer.
    double slowFactor = 4;
    double exposureShare = 0.15;
    double exposureSlack = 40;
    unsigned oldServers = 30;
    unsigned newServers = 30;
    /// When the servers of the target appear, after the order.
    Duration newServersAt{};
    /// Servers of either version reset most requests, one after the other, for some seconds.
    bool hasFailingServers = false;
    /// Half of the servers of the old version are slow for some seconds.
    bool hasSlowOldServers = false;
    /// One host is cut off from the other hosts and the store for this time, from 2 s after the order.
    Duration partition{};
    /// The store does not respond for this time, from 3 s after the order.
    Duration storeOutage{};
    /// One host restarts 3 s after the order.
    bool hasRestart = false;
    /// The store is restored from a copy that is 1.5 s old, 1 s after the result.
    bool hasRestoredStore = false;
    /// The order is withdrawn after this time, if above 0.
    Duration withdrawnAt{};
};

struct RolloutOutcome
{
    catalog::RolloutPhase phase = catalog::RolloutPhase::Ordered;
    /// When the result was written, since the order.
    Duration decidedAfter{};
    std::uint64_t requests = 0;
    std::uint64_t exposed = 0;
    std::uint64_t badResponses = 0;
    /// Time from the 50th bad response to the last request that was sent to the target; 0 if there was none.
    Duration usedAfterBad{};
    /// Requests in progress at the other servers when the result `completed` was written.
    std::uint64_t lostRequests = 0;
    /// Requests sent to the servers of the other versions after that, by hosts that were not cut off.
    std::uint64_t sentToStopped = 0;
    /// Requests sent to the target more than a second after the result `rolled_back`.
    std::uint64_t sentAfterRollback = 0;
    /// Changes of a final result.
    unsigned changedResults = 0;
    std::string reason;
};

/// Generates a plan. Precondition: none. Thread safety: any thread.
RolloutPlan makeRolloutPlan(std::uint64_t seed, BadVersionKind kind);

/// Runs a plan until a few seconds after its deadline. Precondition: none. Thread safety: any thread.
RolloutOutcome runRollout(const RolloutPlan &plan);

} // namespace rhubarbtiller::balance
