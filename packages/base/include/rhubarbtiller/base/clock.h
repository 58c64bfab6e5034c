#pragma once

#include <chrono>

namespace rhubarbtiller {

using Duration = std::chrono::nanoseconds;

/// Marks the time line that deadlines are counted on; goes on while a machine sleeps.
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

/// A point on the monotonic time line of this machine; never compared between machines.
using MonotonicTime = BootTimeLine::time_point;

using WallTime = std::chrono::system_clock::time_point;

/// Tells the time to decision logic, so that tests can run on a virtual time line.
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

/// The clock of the machine, counting the time in which the machine sleeps.
class SystemClock : public Clock
{
public:
    MonotonicTime now() const override;
    WallTime wallNow() const override;
};

} // namespace rhubarbtiller
