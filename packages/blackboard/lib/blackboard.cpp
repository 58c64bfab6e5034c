#include <rhubarbtiller/blackboard/blackboard.h>

namespace rhubarbtiller::blackboard {

BlackboardShareSource::BlackboardShareSource(const Blackboard &blackboard) : board(blackboard)
{
}

limits::CarriedShares BlackboardShareSource::shares(ShardId shard, MonotonicTime now) const
{
    const auto view = this->board.leases.read();
    if (!view || shard.count() >= view->shards.size()) {
        return {};
    }
    return limits::CarriedShares::fromIntervals(view->shards[shard.count()].shares, now);
}

} // namespace rhubarbtiller::blackboard
