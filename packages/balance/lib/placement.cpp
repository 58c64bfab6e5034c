#include <rhubarbtiller/balance/placement.h>

#include <algorithm>
#include <cassert>
#include <limits>

namespace rhubarbtiller::balance {

// Costs are relative to the worth of an average request.

/// A request that is lost because it cannot be repeated.
static constexpr double LostRequestCost = 4;
/// A request that is repeated on another server.
static constexpr double RepeatCost = 0.6;
/// Bytes between failure domains.
static constexpr double OtherDomainCost = 0.06;
/// A server with all but one slot taken, against an idle one.
static constexpr double BusySlotCost = 0.05;
/// Waiting in the server's queue, for each request ahead and slot.
static constexpr double QueueCost = 0.35;
/// What a second without a request makes a server worth trying, up to a bound.
static constexpr double ExplorationPerSecond = 0.1;
static constexpr double MaxExploration = 0.4;
/// A cold server answers slowly.
static constexpr double ColdCost = 0.15;
/// Breaks ties.
static constexpr double TieRange = 0.004;

/// The mean time that a server works on a request, from the measured workloads.
static constexpr Duration MeanWorkTime = std::chrono::milliseconds(270);
/// Requests that a server lets wait beyond its slots; servers keep a few.
static constexpr std::uint32_t MaxQueued = 6;
/// The part of the remaining time that a request may spend in a server's queue.
static constexpr double QueueTimePart = 0.6;

/// Returns whether the server may get one more request while it is cold; takes the right if \p takes.
static bool coldServerAccepts(const catalog::Service *service, ServerState &state, const PlacementQuery &query, bool takes, MonotonicTime now)
{
    if (service == nullptr || service->coldRate.count() <= 0) {
        return true;
    }
    const RequestRate ownRate(service->coldRate.count() / std::max(1U, query.entryHostsInDomain));
    if (!state.hasColdBucket) {
        state.coldBucket = TokenBucket(ownRate, RequestCount(1), RequestCount(1), now);
        state.hasColdBucket = true;
    }
    if (!state.coldBucket.tryTake(now)) {
        return false;
    }
    if (!takes) {
        state.coldBucket.giveBack();
    }
    return true;
}

/// Returns how many requests the server may have when this one comes.
static std::uint32_t outstandingLimit(const catalog::ServerEntry &server, const PlacementQuery &query)
{
    const double slots = std::max(1U, server.slots.count());
    const double waits = std::max(0.0, QueueTimePart * std::chrono::duration<double>(query.remaining).count())
        / std::chrono::duration<double>(MeanWorkTime).count() * slots;
    return server.slots.count() + std::min(MaxQueued, static_cast<std::uint32_t>(waits));
}

static double cost(const PlacementQuery &query, const catalog::ServerEntry &server, const ServerState &state, const Placement &figures, MonotonicTime now)
{
    const double slots = std::max(1U, server.slots.count());
    double sum = figures.failureProbability * (query.canRepeat ? RepeatCost : LostRequestCost);
    if (figures.outstanding < server.slots.count()) {
        sum += BusySlotCost * figures.outstanding / slots;
    } else {
        sum += BusySlotCost + QueueCost * (figures.outstanding + 1 - slots) / slots;
    }
    if (server.failureDomain != query.ownDomain) {
        sum += OtherDomainCost;
    } else if (query.canRepeat) {
        const double idle = std::chrono::duration<double>(now - state.lastUsedAt).count();
        sum -= std::min(MaxExploration, ExplorationPerSecond * idle);
    }
    return sum + (figures.isCold ? ColdCost : 0);
}

Placement chooseServer(const PlacementQuery &query, const catalog::FleetState &fleet, Scoreboard &board, RandomSource &random, MonotonicTime now)
{
    assert(fleet.servers && "placement needs a server table");
    const auto *const service = fleet.catalog ? fleet.catalog->findService(query.service) : nullptr;
    Placement best;
    double bestCost = std::numeric_limits<double>::max();
    for (const auto position : fleet.servers->serversOf(query.service)) {
        const auto &server = fleet.servers->entries()[position];
        if (server.isDraining || fleet.evacuatedDomains.contains(server.failureDomain)
            || std::find(query.excluded.begin(), query.excluded.end(), server.id) != query.excluded.end()) {
            continue;
        }
        auto &state = board.state(server.id);
        if (now < state.connectBackoffUntil) {
            continue;
        }
        Placement figures;
        figures.server = &server;
        figures.failure = PlacementFailure::None;
        figures.failureProbability = state.estimator.failureProbability(now);
        figures.outstanding = state.ownOutstanding + state.remoteOutstanding(now);
        figures.isCold = now < server.coldUntil;
        if (figures.outstanding >= outstandingLimit(server, query)) {
            if (best.server == nullptr) {
                best.failure = PlacementFailure::Saturated;
            }
            continue;
        }
        const bool isOtherDomain = server.failureDomain != query.ownDomain;
        if (figures.isCold && (!query.isEntryHost || isOtherDomain || !coldServerAccepts(service, state, query, false, now))) {
            if (best.server == nullptr) {
                best.failure = PlacementFailure::Saturated;
            }
            continue;
        }
        const double tie = static_cast<double>(random.below(1000)) / 1000 * TieRange;
        if (const double candidate = cost(query, server, state, figures, now) + tie; candidate < bestCost) {
            bestCost = candidate;
            best = figures;
        }
    }
    if (best.server != nullptr && best.isCold) {
        coldServerAccepts(service, board.state(best.server->id), query, true, now);
    }
    return best;
}

} // namespace rhubarbtiller::balance
