#pragma once

#include <chrono>

namespace rhubarbtiller {

using Duration = std::chrono::nanoseconds;

/// The clock type of deadlines; it advances while the machine is suspended.
struct BootTimeLine
{
    // NOLINTBEGIN(readability-identifier-naming): names given by the standard's Clock requirements
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootTimeLine>;
    static constexpr bool is_steady = true;
    // NOLINTEND(readability-identifier-naming)
};

/// A point in time of this machine's monotonic clock; not comparable between machines.
using MonotonicTime = BootTimeLine::time_point;

using WallTime = std::chrono::system_clock::time_point;

/// The source of time for decision logic; tests replace it by a virtual clock.
class Clock
{
public:
    Clock() = default;
    Clock(const Clock &) = delete;
    Clock &operator=(const Clock &) = delete;
    virtual ~Clock() = default;

    /// Returns the monotonic time. Precondition: none. Thread safety: any thread.
    virtual MonotonicTime now() const = 0;

    /// Returns the time of day, for logs and operators only. Precondition: none. Thread safety: any thread.
    virtual WallTime wallNow() const = 0;
};

/// The clock of the operating system; the monotonic time includes time spent in suspend.
class SystemClock : public Clock
{
public:
    MonotonicTime now() const override;
    WallTime wallNow() const override;
};

} // namespace rhubarbtiller
