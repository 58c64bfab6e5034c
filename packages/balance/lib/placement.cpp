#include <rhubarbtiller/balance/placement.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <optional>

namespace rhubarbtiller::balance {

// Costs have no unit; only their ratios matter.

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
/// A server that refused the last connection is tried after the others.
static constexpr double RefusedConnectionCost = 0.6;
/// A cold server answers slowly.
static constexpr double ColdCost = 0.15;
/// Breaks ties.
static constexpr double TieRange = 0.004;

/// Requests that a server may have for each slot; beyond that they wait at their host, where a better server may come first.
static constexpr std::uint32_t MaxOutstandingPerSlot = 3;

/// Work that cannot be repeated rather waits for a slot of a better server than going to one that fails this often.
static constexpr double RiskyFailureProbability = 0.35;

/// A server without a request for this long counts as unused; shorter than the 2 s over which the platform judges the floor.
static constexpr Duration UnusedAfter = std::chrono::milliseconds(1200);

/// A server that failed by itself counts as sound again after this time, by the platform's rule for the floor.
static constexpr Duration SoundAgainAfter = std::chrono::seconds(2);

/// With fewer servers in a failure domain, the floor is rounded down.
static constexpr unsigned LeastServersForFloor = 4;

/// A server that fails more often than this adds no capacity.
static constexpr double UsableFailureProbability = 0.5;

/// Returns whether the server may get one more request while it is cold; takes the right if \p takes.
static bool
coldServerAccepts(const catalog::Service *service, ServerState &state, const PlacementQuery &query, bool takes, MonotonicTime now)
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

static double
cost(const PlacementQuery &query, const catalog::ServerEntry &server, const ServerState &state, const Placement &figures, MonotonicTime now)
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
    sum += state.connectFailures > 0 ? RefusedConnectionCost : 0;
    return sum + (figures.isCold ? ColdCost : 0);
}

namespace {

/// Counts which servers of a service in the own failure domain get requests, and finds the one to use next if too few do.
///
/// The hosts of each domain look after its servers; those of others are not known to be used.
class FloorCount
{
public:
    /// Takes a server that could get the request.
    void add(const ServerState &state, const Placement &figures, MonotonicTime now)
    {
        ++this->usable;
        if (state.wasUsedWithin(UnusedAfter, now)) {
            ++this->used;
            return;
        }
        if (this->next.server == nullptr || figures.failureProbability < this->next.failureProbability) {
            this->next = figures;
        }
        const bool mayBeSound = figures.failureProbability < RiskyFailureProbability || now - state.lastFailureAt >= SoundAgainAfter;
        if (mayBeSound && (this->nextSound.server == nullptr || figures.failureProbability < this->nextSound.failureProbability)) {
            this->nextSound = figures;
        }
    }

    /// Takes a server that is used but has no room.
    void addFull()
    {
        ++this->usable;
        ++this->used;
    }

    /// Returns the most reliable unused server that may be sound; if the used ones are below the floor, any unused one.
    ///
    /// Used servers that fail count for the floor, so that it says nothing about the sound ones among the unused: each of these
    /// is tried.
    std::optional<Placement> missing(double floor) const
    {
        if (floor <= 0) {
            return std::nullopt;
        }
        if (this->nextSound.server != nullptr) {
            return this->nextSound;
        }
        // Of two or three servers, a failing one is left alone.
        const double least = this->usable < LeastServersForFloor ? std::floor(floor * this->usable) : floor * this->usable;
        return this->used < least && this->next.server != nullptr ? std::optional(this->next) : std::nullopt;
    }

private:
    unsigned usable = 0;
    unsigned used = 0;
    /// The most reliable unused server, and the most reliable one that may be sound.
    Placement next;
    Placement nextSound;
};

} // namespace

Placement
chooseServer(const PlacementQuery &query, const catalog::FleetState &fleet, Scoreboard &board, RandomSource &random, MonotonicTime now)
{
    assert(fleet.servers && "placement needs a server table");
    const auto *const service = fleet.catalog ? fleet.catalog->findService(query.service) : nullptr;
    Placement best;
    std::uint32_t usableSlots = 0;
    bool hasBetterServer = false;
    FloorCount floor;
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
        usableSlots += figures.failureProbability < UsableFailureProbability ? server.slots.count() : 0;
        if (figures.outstanding >= server.slots.count() * MaxOutstandingPerSlot) {
            if (best.server == nullptr) {
                best.failure = PlacementFailure::Saturated;
            }
            hasBetterServer = hasBetterServer || figures.failureProbability < RiskyFailureProbability;
            if (server.failureDomain == query.ownDomain) {
                floor.addFull();
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
        if (!isOtherDomain) {
            floor.add(state, figures, now);
        }
        const double tie = static_cast<double>(random.below(1000)) / 1000 * TieRange;
        if (const double candidate = cost(query, server, state, figures, now) + tie; candidate < bestCost) {
            bestCost = candidate;
            best = figures;
        }
    }
    if (best.server != nullptr && !query.canRepeat && hasBetterServer && best.failureProbability >= RiskyFailureProbability) {
        best.server = nullptr;
        best.failure = PlacementFailure::Saturated;
    }
    if (const auto missing = floor.missing(query.usedServersFloor)) {
        best = *missing;
    }
    best.usableSlots = usableSlots;
    if (best.server != nullptr && best.isCold) {
        coldServerAccepts(service, board.state(best.server->id), query, true, now);
    }
    return best;
}

} // namespace rhubarbtiller::balance
