#pragma once

#include <rhubarbtiller/base/clock.h>

namespace rhubarbtiller::testing {

/// A clock that moves only when a test moves it.
///
/// Thread safety: one thread.
class VirtualClock : public Clock
{
public:
    MonotonicTime now() const override
    {
        return this->current;
    }

    WallTime wallNow() const override
    {
        return WallTime(std::chrono::duration_cast<WallTime::duration>(this->current.time_since_epoch()));
    }

    /// Moves the time forward. Precondition: \p step is not negative.
    void advance(Duration step)
    {
        this->current += step;
    }

private:
    // A deadline counted back from the first moment must not fall before the beginning of the time line.
    MonotonicTime current{std::chrono::hours(1)};
};

} // namespace rhubarbtiller::testing
