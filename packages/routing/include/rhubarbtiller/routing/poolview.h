#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/config/snapshot.h>
#include <rhubarbtiller/health/units.h>
#include <rhubarbtiller/membership/placement.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace rhubarbtiller::routing {

/// How long a load figure that came with an answer counts.
inline constexpr Duration LoadFigureLifetime = std::chrono::milliseconds(500);

/// How long a server is avoided whose owner refused it as ejected, draining or not owned.
inline constexpr Duration RefusedServerPause = std::chrono::milliseconds(500);

/// What this host knows of the load of one backend server.
///
/// Thread safety: any thread, lock-free.
class ServerLoad
{
public:
    /// Notes a load figure that an owner reported. Precondition: none.
    void onReport(health::LoadFigure load, MonotonicTime now);

    /// Notes that the owner takes no work for the server now. Precondition: none.
    void onRefused(MonotonicTime now);

    /// Counts a request that was sent to the owner, so that a burst does not go to one server. Precondition: none.
    void onSent();

    /// Takes back onSent(). Precondition: onSent() was called for the request.
    void onEnded();

    /// Returns the load to compare. Precondition: none.
    std::uint64_t figure(MonotonicTime now) const;

    /// Returns whether the server is avoided at present. Precondition: none.
    bool isAvoided(MonotonicTime now) const;

private:
    std::atomic<std::uint32_t> reported{0};
    std::atomic<std::int64_t> reportedUntil{0};
    std::atomic<std::int64_t> avoidedUntil{0};
    std::atomic<std::uint32_t> inFlight{0};
};

/// A backend server as the request path sees it.
struct ServerView
{
    config::BackendServer server;
    ShardId shard;
    std::shared_ptr<ServerLoad> load;
};

/// The servers of a pool that may get new work, with their shards.
struct PoolView
{
    std::shared_ptr<const config::Pool> pool;
    ShardId shard;
    std::vector<ServerView> servers;
};

/// Builds the view of a pool: without draining servers and withdrawn failure domains.
///
/// Load figures of servers that stay are kept from \p previous, which may be nullptr. Thread safety: any thread.
std::shared_ptr<const PoolView> buildPoolView(const std::shared_ptr<const config::Pool> &pool,
                                              const config::Snapshot &snapshot,
                                              const membership::Placement &placement,
                                              const PoolView *previous);

} // namespace rhubarbtiller::routing
