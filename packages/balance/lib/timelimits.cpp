#include <rhubarbtiller/balance/timelimits.h>

namespace rhubarbtiller::balance {

static constexpr Duration DecayTime = std::chrono::seconds(30);

/// Limits that differ by less count as the same; callers subtract the time since they began.
static constexpr Duration Tolerance = std::chrono::milliseconds(100);

/// The limit is known if this share of the requests sets it; a few callers return also while no request waits here.
static constexpr double MinUsualShare = 0.8;
static constexpr double MinRequests = 8;

/// Below this decayed count, no caller sets the longest limit any more.
static constexpr double MinAtLongest = 0.5;

TimeLimits::Usual::Usual() : atLongest(DecayTime), all(DecayTime)
{
}

void TimeLimits::observe(const RouteName &route, Duration timeLimit, MonotonicTime now)
{
    auto &usual = this->routes[route];
    if (timeLimit > usual.longest + Tolerance || usual.atLongest.value(now) < MinAtLongest) {
        usual.longest = timeLimit;
        usual.atLongest = DecayingSum(DecayTime);
    }
    usual.all.add(1, now);
    if (timeLimit > usual.longest - Tolerance) {
        usual.atLongest.add(1, now);
    }
}

Duration TimeLimits::elapsed(const RouteName &route, Duration timeLimit, MonotonicTime now) const
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end()) {
        return {};
    }
    const auto &usual = found->second;
    const auto all = usual.all.value(now);
    const bool isKnown = all >= MinRequests && usual.atLongest.value(now) >= MinUsualShare * all;
    return isKnown && timeLimit <= usual.longest - Tolerance ? usual.longest - timeLimit : Duration(0);
}

} // namespace rhubarbtiller::balance
