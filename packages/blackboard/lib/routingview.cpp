#include <rhubarbtiller/blackboard/routingview.h>

namespace rhubarbtiller::blackboard {

const routing::PoolView *RoutingView::findPool(const PoolName &name) const
{
    const auto found = this->pools.find(name);
    return found == this->pools.end() ? nullptr : found->second.get();
}

static ServerPlace placeServer(const config::BackendServer &server,
                               const std::shared_ptr<const config::Pool> &pool,
                               const config::Snapshot &snapshot,
                               const membership::Placement &placement,
                               const RoutingView *previous)
{
    ServerPlace place{server, pool, placement.shardOf(server.id, server.failureDomain), snapshot.version()};
    if (!previous) {
        return place;
    }
    const auto before = previous->serverPlaces.find(server.id);
    if (before != previous->serverPlaces.end() && before->second.shard == place.shard) {
        place.shardSince = before->second.shardSince;
    }
    return place;
}

std::shared_ptr<const RoutingView> buildRoutingView(std::shared_ptr<const config::Snapshot> snapshot, const RoutingView *previous)
{
    auto view = std::make_shared<RoutingView>();
    view->placement = membership::Placement::build(*snapshot, previous ? previous->placement : nullptr);
    view->serversByShard.resize(view->placement->shardCount());
    for (const auto &[name, pool] : snapshot->pools()) {
        const auto *const before = previous ? previous->findPool(name) : nullptr;
        view->pools.emplace(name, routing::buildPoolView(pool, *snapshot, *view->placement, before));
        for (const auto &server : pool->servers) {
            const auto place = placeServer(server, pool, *snapshot, *view->placement, previous);
            view->serverPlaces.emplace(server.id, place);
            view->serversByShard[place.shard.count()].push_back(place);
        }
    }
    view->snapshot = std::move(snapshot);
    return view;
}

} // namespace rhubarbtiller::blackboard
