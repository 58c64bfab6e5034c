#pragma once

#include <rhubarbtiller/balance/requestqueue.h>
#include <rhubarbtiller/base/random.h>

namespace rhubarbtiller::balance {

/// A refused caller.
struct RefusedCaller
{
    Duration expectedWork = DefaultServiceTime;
    Duration expectedResponse = DefaultServiceTime;
    /// Time until the caller's time limit.
    Duration remaining{};
};

/// Returns the longest time that a refused caller waits: a third of its remaining time. Precondition: none. Thread safety: any thread.
Duration longestReturnDelay(Duration remaining);

/// Determines when refused callers return: evenly, no faster than capacity becomes free for them.
///
/// Thread safety: one thread.
class ReturnSchedule
{
public:
    /// Returns after what time the caller should return, at most a third of its remaining time; empty if it would then be too late.
    ///
    /// Precondition: \p now does not go back.
    std::optional<Duration> plan(const catalog::ServiceName &service,
                                 const RefusedCaller &caller,
                                 const CapacityEstimate &capacity,
                                 RandomSource &random,
                                 MonotonicTime now);

private:
    /// When the capacity that earlier refused callers return to is used up.
    std::unordered_map<catalog::ServiceName, MonotonicTime> nextReturns;
};

} // namespace rhubarbtiller::balance
