#include <rhubarbtiller/balance/returnschedule.h>

#include <algorithm>

namespace rhubarbtiller::balance {

using Seconds = std::chrono::duration<double>;

/// Callers return no sooner, so that a refusal does not cost more than the request.
static constexpr Duration MinReturnDelay = std::chrono::milliseconds(100);

/// Callers wait for a third of their remaining time at most.
static constexpr int MaxReturnDivisor = 3;

/// The part of the capacity that returning callers get while new requests arrive as fast as capacity becomes free.
static constexpr double MinReturnShare = 0.25;

/// Callers that cannot be scheduled in time return within the last part of the time that they may wait.
static constexpr double LastPartOfWait = 0.5;

/// The rest of the time after the return must suffice for this multiple of the expected response time.
static constexpr double ResponseMarginFactor = 1.2;

Duration longestReturnDelay(Duration remaining)
{
    return std::max(Duration(0), remaining / MaxReturnDivisor);
}

static Duration randomPart(Duration whole, RandomSource &random)
{
    static constexpr std::uint64_t Steps = 1024;
    return whole * static_cast<Duration::rep>(random.below(Steps)) / static_cast<Duration::rep>(Steps);
}

std::optional<Duration> ReturnSchedule::plan(const catalog::ServiceName &service,
                                             const RefusedCaller &caller,
                                             const CapacityEstimate &capacity,
                                             RandomSource &random,
                                             MonotonicTime now)
{
    const auto longest = longestReturnDelay(caller.remaining);
    const auto latest = caller.remaining - std::chrono::duration_cast<Duration>(caller.expectedResponse * ResponseMarginFactor);
    const auto bound = std::min(longest, latest);
    if (bound < MinReturnDelay) {
        return std::nullopt;
    }
    const double forReturns = std::max(capacity.slots * MinReturnShare, capacity.slots - capacity.arrivingWork);
    auto &nextReturn = this->nextReturns[service];
    const auto first = std::max(now + MinReturnDelay, nextReturn);
    // Capacity that is unknown or nil does not determine a time.
    const double step = forReturns > 0 ? Seconds(caller.expectedWork).count() / forReturns : Seconds(bound).count();
    if (const auto spread = std::chrono::duration_cast<Duration>(Seconds(std::min(step, Seconds(bound).count())));
        first + spread <= now + bound) {
        nextReturn = first + spread;
        return first - now + randomPart(spread, random);
    }
    const auto lastPart = std::chrono::duration_cast<Duration>(bound * LastPartOfWait);
    return std::max(MinReturnDelay, bound - lastPart + randomPart(lastPart, random));
}

} // namespace rhubarbtiller::balance
