#include <rhubarbtiller/blackboard/routingview.h>

namespace rhubarbtiller::blackboard {

const routing::PoolView *RoutingView::findPool(const PoolName &name) const
{
    const auto found = this->pools.find(name);
    return found == this->pools.end() ? nullptr : found->second.get();
}

std::shared_ptr<const RoutingView> buildRoutingView(std::shared_ptr<const config::Snapshot> snapshot, const RoutingView *previous)
{
    auto view = std::make_shared<RoutingView>();
    view->placement = membership::Placement::build(*snapshot, previous ? previous->placement : nullptr);
    for (const auto &[name, pool] : snapshot->pools()) {
        const auto *const before = previous ? previous->findPool(name) : nullptr;
        view->pools.emplace(name, routing::buildPoolView(pool, *snapshot, *view->placement, before));
        for (const auto &server : pool->servers) {
            view->poolOfServer.emplace(server.id, pool);
        }
    }
    view->snapshot = std::move(snapshot);
    return view;
}

} // namespace rhubarbtiller::blackboard
