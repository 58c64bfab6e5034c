#include <rhubarbtiller/blackboard/leaseview.h>

#include <algorithm>

namespace rhubarbtiller::blackboard {

MonotonicTime LeaseView::ownedUntil(ShardId shard) const
{
    if (shard.count() >= this->shards.size()) {
        return MonotonicTime::min();
    }
    return std::min(this->shards[shard.count()].ownedUntil, this->freshness.deadline);
}

} // namespace rhubarbtiller::blackboard
