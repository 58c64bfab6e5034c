#include <rhubarbtiller/limits/shares.h>

#include <algorithm>
#include <cassert>

namespace rhubarbtiller::limits {

CarriedShares CarriedShares::fromIntervals(std::span<const ShareInterval> intervals, MonotonicTime now)
{
    assert(intervals.size() <= ShareCount && "a shard has one interval for each guardian");
    CarriedShares carried;
    carried.until = MonotonicTime::max();
    for (const ShareInterval &interval : intervals) {
        if (interval.since > now || now >= interval.until || carried.count == ShareCount) {
            continue;
        }
        unsigned position = carried.count;
        for (; position > 0 && carried.since[position - 1] > interval.since; --position) {
            carried.since[position] = carried.since[position - 1];
        }
        carried.since[position] = interval.since;
        ++carried.count;
        carried.until = std::min(carried.until, interval.until);
    }
    return carried;
}

} // namespace rhubarbtiller::limits
