#pragma once

#include <rhubarbtiller/config/snapshot.h>
#include <rhubarbtiller/membership/placement.h>
#include <rhubarbtiller/routing/poolview.h>

#include <map>
#include <memory>

namespace rhubarbtiller::blackboard {

/// Everything that the request path derives from one version of the configuration.
///
/// Thread safety: immutable but for the load figures, which are atomic.
struct RoutingView
{
    std::shared_ptr<const config::Snapshot> snapshot;
    std::shared_ptr<const membership::Placement> placement;
    std::map<PoolName, std::shared_ptr<const routing::PoolView>> pools;
    std::map<BackendServerId, std::shared_ptr<const config::Pool>> poolOfServer;

    /// Returns the view of a pool, or nullptr. Precondition: none.
    const routing::PoolView *findPool(const PoolName &name) const;
};

/// Builds the view of a snapshot; keeps load figures and placement from \p previous, which may be nullptr.
///
/// Thread safety: any thread.
std::shared_ptr<const RoutingView> buildRoutingView(std::shared_ptr<const config::Snapshot> snapshot, const RoutingView *previous);

} // namespace rhubarbtiller::blackboard
