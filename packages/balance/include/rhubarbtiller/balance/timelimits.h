#pragma once

#include <rhubarbtiller/balance/servicetimes.h>

#include <optional>

namespace rhubarbtiller::balance {

/// Learns the time limit that callers of a route usually set at their first attempt.
///
/// A caller that returns after a refusal sets what is left of its limit, and may reach another host than before. Where nearly all callers
/// set the same limit, a shorter one tells how long ago the caller's first attempt was.
/// Thread safety: one thread.
class TimeLimits
{
public:
    /// Records the time limit of a request that came while no request of its service waited; others may be returning callers.
    ///
    /// Precondition: \p now does not go back.
    void observe(const RouteName &route, Duration timeLimit, MonotonicTime now);

    /// Returns how long ago the first attempt of a caller with this time limit was; 0 if callers of the route set various limits, or if
    /// too few requests were seen.
    ///
    /// Precondition: \p now does not go back.
    Duration elapsed(const RouteName &route, Duration timeLimit, MonotonicTime now) const;

private:
    struct Usual
    {
        Duration longest{};
        DecayingSum atLongest;
        DecayingSum all;

        Usual();
    };

    std::unordered_map<RouteName, Usual> routes;
};

} // namespace rhubarbtiller::balance
