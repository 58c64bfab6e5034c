#pragma once

#include <rhubarbtiller/config/snapshot.h>
#include <rhubarbtiller/membership/placement.h>
#include <rhubarbtiller/routing/poolview.h>

#include <map>
#include <memory>
#include <vector>

namespace rhubarbtiller::blackboard {

/// Where a backend server belongs.
struct ServerPlace
{
    config::BackendServer server;
    std::shared_ptr<const config::Pool> pool;
    ShardId shard;
    /// The version since which the server has belonged to this shard. Until it is settled, the owner of the previous shard may
    /// act for the server.
    ConfigVersion shardSince;
};

/// Everything that the request path derives from one version of the configuration.
///
/// Thread safety: immutable but for the load figures, which are atomic.
struct RoutingView
{
    std::shared_ptr<const config::Snapshot> snapshot;
    std::shared_ptr<const membership::Placement> placement;
    std::map<PoolName, std::shared_ptr<const routing::PoolView>> pools;
    std::map<BackendServerId, ServerPlace> serverPlaces;
    /// The servers of each shard, so that following the leases costs by the shards of this host and not by all servers.
    std::vector<std::vector<ServerPlace>> serversByShard;

    /// Returns the view of a pool, or nullptr. Precondition: none.
    const routing::PoolView *findPool(const PoolName &name) const;
};

/// Builds the view of a snapshot; keeps load figures and placement from \p previous, which may be nullptr.
///
/// Thread safety: any thread.
std::shared_ptr<const RoutingView> buildRoutingView(std::shared_ptr<const config::Snapshot> snapshot, const RoutingView *previous);

} // namespace rhubarbtiller::blackboard
