#pragma once

#include <rhubarbtiller/base/clock.h>

namespace rhubarbtiller::membership {

/// How long evidence of the version in force counts, on the clock of the host that uses it.
inline constexpr Duration FreshnessLeaseDuration = std::chrono::seconds(3);

/// How long a vote counts, from the moment when its holder sent the request.
inline constexpr Duration VoteLeaseDuration = std::chrono::seconds(3);

/// The greatest difference between the rates of two clocks for which the leases are safe, in thousandths.
inline constexpr int ClockDriftPermille = 34;

/// Returns how long a host waits on its own clock until \p lease has surely run out on every other clock.
///
/// Precondition: \p lease is not negative. Thread safety: any thread.
constexpr Duration withClockDrift(Duration lease)
{
    return lease * (1000 + ClockDriftPermille) / 1000;
}

} // namespace rhubarbtiller::membership
