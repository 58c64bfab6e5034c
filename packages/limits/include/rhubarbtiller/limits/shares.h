#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongnumber.h>

#include <array>
#include <span>

namespace rhubarbtiller::limits {

/// The equal parts into which the rate and burst of a slice are divided, one for each guardian of its shard.
inline constexpr unsigned ShareCount = 3;

/// The time during which this host carries the share of one guardian without interruption.
struct ShareInterval
{
    /// When the share came to this host; unchanged by a renewal that arrived before the deadline.
    MonotonicTime since;
    /// The share is certainly on no other host before this time.
    MonotonicTime until;
};

/// The shares of a shard that this host carries at one moment.
struct CarriedShares
{
    unsigned count = 0;
    /// since[i], for i < count, tells since when at least i + 1 shares have been carried without interruption; ascending.
    std::array<MonotonicTime, ShareCount> since{};
    /// The earliest time at which one of the shares may end.
    MonotonicTime until;

    /// Returns the shares that are carried at \p now, by the interval of each. Ignores intervals that ended or have not begun.
    ///
    /// Precondition: at most one interval for each guardian. Thread safety: any thread.
    static CarriedShares fromIntervals(std::span<const ShareInterval> intervals, MonotonicTime now);
};

/// Tells which shares of a shard this host carries: votes held, and its own if it is a guardian and did not lend it.
class ShareSource
{
public:
    ShareSource() = default;
    ShareSource(const ShareSource &) = delete;
    ShareSource &operator=(const ShareSource &) = delete;
    virtual ~ShareSource() = default;

    /// Returns the shares of \p shard that are carried at \p now.
    ///
    /// Precondition: \p now was read from the clock for this call, so that a pause cannot outlast the deadline unseen.
    /// Thread safety: any thread, without a lock.
    virtual CarriedShares shares(ShardId shard, MonotonicTime now) const = 0;
};

} // namespace rhubarbtiller::limits
