#include <rhubarbtiller/routing/poolview.h>

#include <algorithm>
#include <unordered_map>

namespace rhubarbtiller::routing {

// A request of this host that is under way weighs as much as half a slot of a server with two slots.
static constexpr std::uint64_t InFlightFigure = 250;

static std::int64_t ticks(MonotonicTime time)
{
    return time.time_since_epoch().count();
}

void ServerLoad::onReport(health::LoadFigure load, MonotonicTime now)
{
    this->reported.store(load.count(), std::memory_order_relaxed);
    this->reportedUntil.store(ticks(now + LoadFigureLifetime), std::memory_order_relaxed);
}

void ServerLoad::onRefused(MonotonicTime now)
{
    this->avoidedUntil.store(ticks(now + RefusedServerPause), std::memory_order_relaxed);
}

void ServerLoad::onSent()
{
    this->inFlight.fetch_add(1, std::memory_order_relaxed);
}

void ServerLoad::onEnded()
{
    this->inFlight.fetch_sub(1, std::memory_order_relaxed);
}

std::uint64_t ServerLoad::figure(MonotonicTime now) const
{
    const std::uint64_t own = InFlightFigure * this->inFlight.load(std::memory_order_relaxed);
    if (ticks(now) >= this->reportedUntil.load(std::memory_order_relaxed)) {
        return own;
    }
    return std::max<std::uint64_t>(own, this->reported.load(std::memory_order_relaxed));
}

bool ServerLoad::isAvoided(MonotonicTime now) const
{
    return ticks(now) < this->avoidedUntil.load(std::memory_order_relaxed);
}

std::shared_ptr<const PoolView> buildPoolView(const std::shared_ptr<const config::Pool> &pool,
                                              const config::Snapshot &snapshot,
                                              const membership::Placement &placement,
                                              const PoolView *previous)
{
    std::unordered_map<BackendServerId, std::shared_ptr<ServerLoad>> loads;
    if (previous) {
        for (const auto &view : previous->servers) {
            loads.emplace(view.server.id, view.load);
        }
    }
    auto view = std::make_shared<PoolView>();
    view->pool = pool;
    view->shard = placement.shardOf(pool->name);
    for (const auto &server : pool->servers) {
        if (snapshot.isDraining(server.id) || snapshot.isWithdrawn(server.failureDomain)) {
            continue;
        }
        auto &load = loads[server.id];
        if (!load) {
            load = std::make_shared<ServerLoad>();
        }
        view->servers.push_back({server, placement.shardOf(server.id, server.failureDomain), load});
    }
    return view;
}

} // namespace rhubarbtiller::routing
