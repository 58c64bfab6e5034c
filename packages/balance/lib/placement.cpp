#include <rhubarbtiller/balance/placement.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <tuple>

namespace rhubarbtiller::balance {

// Costs have no unit; only their ratios matter.

/// A request that is lost because it cannot be retried.
static constexpr double LostRequestCost = 4;
/// A request that is retried on another server.
static constexpr double RetryCost = 0.6;
/// Traffic between failure domains.
static constexpr double OtherDomainCost = 0.06;
/// A server with all but one slot taken, against an idle one.
static constexpr double BusySlotCost = 0.05;
/// Waiting in the server's queue, for each request ahead and slot.
static constexpr double QueueCost = 0.35;
/// Cost reduction for each second since this host last sent a request to the server, up to a bound.
static constexpr double ExplorationPerSecond = 0.1;
static constexpr double MaxExploration = 0.4;
/// A server that refused the last connection is chosen after the others.
static constexpr double RefusedConnectionCost = 0.6;
/// A cold server answers slowly.
static constexpr double ColdCost = 0.15;
/// Breaks ties.
static constexpr double TieRange = 0.004;

/// Requests that a server may have for each slot; beyond that they wait at their host, where a better server may become free first.
static constexpr std::uint32_t MaxOutstandingPerSlot = 3;

/// If the best available server fails with at least this probability, a request that cannot be retried waits for a slot of a more
/// reliable server instead.
static constexpr double RiskyFailureProbability = 0.35;

/// A server without a request for this long is due for a trial; shorter than the 2 s over which the platform evaluates the floor of used
/// servers, by the time until the next request arrives and until other hosts receive the report on it.
static constexpr Duration TrialDueAfter = std::chrono::milliseconds(1400);

/// While the service is healthy, only servers that fail less often than this get trials: those that have had time to recover.
static constexpr double MaxTrialFailureProbability = 0.25;

/// Below this share of used servers of the own failure domain, requests go to unused ones; above the platform's floor of 0.7, since that
/// leaves out servers with faults, which count as used here.
static constexpr double MinUsedShare = 0.9;

/// A host waits this long for each host of its failure domain that ranks before it: the interval of reports and a margin.
static constexpr Duration TakeoverDelayPerHost = std::chrono::milliseconds(250);
static constexpr std::size_t MaxTakeoverDelays = 4;

/// A server that fails more often than this adds no capacity.
static constexpr double UsableFailureProbability = 0.5;

/// Returns whether the server may get one more request while it is cold; takes a token of its rate if \p consumes.
static bool
coldRateAllows(const catalog::Service *service, ServerState &state, const PlacementQuery &query, bool consumes, MonotonicTime now)
{
    if (service == nullptr || service->coldRate.count() <= 0) {
        return true;
    }
    const RequestRate ownRate(service->coldRate.count() * query.domainReach / std::max(1U, query.entryHostsInDomain));
    if (ownRate.count() <= 0) {
        return false;
    }
    if (!state.hasColdBucket) {
        state.coldBucket = TokenBucket(ownRate, RequestCount(1), RequestCount(1), now);
        state.hasColdBucket = true;
    }
    state.coldBucket.reconfigure(ownRate, RequestCount(1));
    if (!state.coldBucket.tryConsume(now)) {
        return false;
    }
    if (!consumes) {
        state.coldBucket.refund();
    }
    return true;
}

static double
cost(const PlacementQuery &query, const catalog::ServerEntry &server, const ServerState &state, const Placement &figures, MonotonicTime now)
{
    const double slots = std::max(1U, server.slots.count());
    double sum = figures.failureProbability * (query.isRetryable ? RetryCost : LostRequestCost);
    if (figures.outstanding < server.slots.count()) {
        sum += BusySlotCost * figures.outstanding / slots;
    } else {
        sum += BusySlotCost + QueueCost * (figures.outstanding + 1 - slots) / slots;
    }
    if (server.failureDomain != query.ownDomain) {
        sum += OtherDomainCost;
    } else if (query.isRetryable) {
        const double idle = std::chrono::duration<double>(now - state.lastUsedAt).count();
        sum -= std::min(MaxExploration, ExplorationPerSecond * idle);
    }
    sum += state.connectFailures > 0 ? RefusedConnectionCost : 0;
    return sum + (figures.isCold ? ColdCost : 0);
}

namespace {

/// Finds the server of the own failure domain that is due for a request: one that accepts connections, and the most reliable of these.
///
/// The hosts of each domain are responsible for its servers; hosts of other domains do not always report the use of healthy servers, so
/// these could look unused.
class TrialSelector
{
public:
    TrialSelector(const PlacementQuery &query, MonotonicTime time)
        : trialPolicy(query.trialPolicy), now(time), delay(TakeoverDelayPerHost * std::min(query.rankInDomain, MaxTakeoverDelays))
    {
    }

    /// Adds a server that the request could be sent to.
    void add(const ServerState &state, const Placement &figures, double tie)
    {
        if (this->trialPolicy == TrialPolicy::None) {
            return;
        }
        if (state.wasUsedWithin(TrialDueAfter + this->delay, this->now)) {
            ++this->used;
            return;
        }
        const bool hasRecovered = this->trialPolicy == TrialPolicy::All ? this->now >= state.retryAt() + this->delay
                                                                        : figures.failureProbability < MaxTrialFailureProbability;
        if (!hasRecovered) {
            return;
        }
        ++this->due;
        // A failing server gets one trial in two seconds at most, so that it does not have to wait for many that have just been added.
        const std::tuple order(state.connectFailures > 0, figures.isCold, !state.wasEverUsed(), figures.failureProbability + tie);
        if (this->selected.server == nullptr || order < this->selectedOrder) {
            this->selected = figures;
            this->selected.isTrial = true;
            this->selectedOrder = order;
        }
    }

    /// Returns the placement on the selected server; its server is nullptr if none is due.
    Placement selection() const
    {
        const bool isBelowFloor = this->used < MinUsedShare * (this->used + this->due);
        return this->trialPolicy == TrialPolicy::BelowFloor && !isBelowFloor ? Placement() : this->selected;
    }

private:
    TrialPolicy trialPolicy;
    MonotonicTime now;
    Duration delay;
    unsigned used = 0;
    unsigned due = 0;
    Placement selected;
    /// Of the selected server: whether the last connection failed, whether it is cold, whether it was never used, and its probability of
    /// failure.
    std::tuple<bool, bool, bool, double> selectedOrder;
};

} // namespace

Placement
chooseServer(const PlacementQuery &query, const catalog::FleetState &fleet, Scoreboard &board, RandomSource &random, MonotonicTime now)
{
    assert(fleet.servers && "no server table was set before placement");
    const auto *const service = fleet.catalog ? fleet.catalog->findService(query.service) : nullptr;
    Placement best;
    std::uint32_t usableSlots = 0;
    bool hasReliableFullServer = false;
    TrialSelector trialSelector(query, now);
    double bestCost = std::numeric_limits<double>::max();
    for (const auto position : fleet.servers->serversOf(query.service)) {
        const auto &server = fleet.servers->entries()[position];
        if (server.isDraining || !query.versions.allows(server.version) || fleet.evacuatedDomains.contains(server.failureDomain)
            || std::find(query.excluded.begin(), query.excluded.end(), server.id) != query.excluded.end()) {
            continue;
        }
        auto &state = board.state(server.id);
        if (now < state.connectBackoffUntil || state.isReassigned(server.address, now)) {
            continue;
        }
        Placement figures;
        figures.server = &server;
        figures.failure = PlacementFailure::None;
        figures.failureProbability = state.estimator.failureProbability(now);
        figures.outstanding = state.ownOutstanding + state.remoteOutstanding(now);
        figures.isCold = now < server.coldUntil;
        usableSlots += figures.failureProbability < UsableFailureProbability ? server.slots.count() : 0;
        if (figures.outstanding >= server.slots.count() * MaxOutstandingPerSlot) {
            if (best.server == nullptr) {
                best.failure = PlacementFailure::Saturated;
            }
            hasReliableFullServer = hasReliableFullServer || figures.failureProbability < RiskyFailureProbability;
            continue;
        }
        const bool isOtherDomain = server.failureDomain != query.ownDomain;
        if (figures.isCold && (!query.isEntryHost || isOtherDomain || !coldRateAllows(service, state, query, false, now))) {
            if (best.server == nullptr) {
                best.failure = PlacementFailure::Saturated;
            }
            continue;
        }
        const double tie = static_cast<double>(random.below(1000)) / 1000 * TieRange;
        if (!isOtherDomain) {
            trialSelector.add(state, figures, tie);
        }
        if (const double candidate = cost(query, server, state, figures, now) + tie; candidate < bestCost) {
            bestCost = candidate;
            best = figures;
        }
    }
    if (best.server != nullptr && !query.isRetryable && hasReliableFullServer && best.failureProbability >= RiskyFailureProbability) {
        best.server = nullptr;
        best.failure = PlacementFailure::Saturated;
    }
    if (const auto trial = trialSelector.selection(); trial.server != nullptr) {
        best = trial;
    }
    best.usableSlots = usableSlots;
    if (best.server != nullptr && best.isCold) {
        coldRateAllows(service, board.state(best.server->id), query, true, now);
    }
    return best;
}

} // namespace rhubarbtiller::balance
