#pragma once

#include <rhubarbtiller/base/rcucell.h>
#include <rhubarbtiller/blackboard/leaseview.h>
#include <rhubarbtiller/blackboard/routingview.h>

#include <atomic>
#include <set>

namespace rhubarbtiller::blackboard {

/// The life of the host's process.
enum class Phase {
    /// No configuration is known yet.
    Starting,
    Serving,
    /// A planned stop has begun; the host serves until its addresses have expired.
    Draining,
};

/// Hosts that said that they are leaving, by notice from themselves; ahead of the roster.
struct LeavingHosts
{
    std::set<HostId> hosts;
};

/// The state that controllers write and that the request path and other controllers read.
///
/// Each cell has one writer, named beside it. Thread safety: any thread; reading takes no lock.
struct Blackboard
{
    /// Written by ConfigController.
    RcuCell<RoutingView> routing;
    /// Written by LeaseController.
    RcuCell<LeaseView> leases;
    /// Written by LeaseController.
    RcuCell<LeavingHosts> leaving{std::make_shared<const LeavingHosts>()};
    /// Written by DrainController.
    std::atomic<Phase> phase{Phase::Starting};
};

/// Tells RateShares which shares of a shard this host carries, from the blackboard.
class BlackboardShareSource : public limits::ShareSource
{
public:
    /// Precondition: \p blackboard outlives the source.
    explicit BlackboardShareSource(const Blackboard &blackboard);

    limits::CarriedShares shares(ShardId shard, MonotonicTime now) const override;

private:
    const Blackboard &board;
};

} // namespace rhubarbtiller::blackboard
