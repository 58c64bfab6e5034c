#pragma once

#include <rhubarbtiller/base/clock.h>

#include <cstdint>

namespace rhubarbtiller::health {

/// How long ejected servers stay out.
struct HoldTimeSettings
{
    Duration first = std::chrono::seconds(10);
    Duration longest = std::chrono::minutes(5);
    /// A server that stays in for this many of its last hold times is no longer treated as flapping.
    std::uint32_t quietHolds = 6;
};

/// The time that a server stays ejected, doubled each time when it is ejected again soon after its return.
///
/// Thread safety: none.
class HoldTime
{
public:
    /// Starts a hold if none is running. Precondition: \p now does not go back.
    void start(const HoldTimeSettings &settings, MonotonicTime now);

    /// Returns whether the server is to stay out. Precondition: none.
    bool holds(MonotonicTime now) const;

    /// Ends the hold when its time is over; returns true once for each hold. Precondition: none.
    bool finish(MonotonicTime now);

    /// Returns the deadline of the running or last hold. Precondition: none.
    MonotonicTime deadline() const
    {
        return this->until;
    }

private:
    bool isRunning = false;
    Duration last{};
    MonotonicTime until;
};

} // namespace rhubarbtiller::health
