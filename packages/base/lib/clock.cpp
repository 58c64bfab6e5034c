#include <rhubarbtiller/base/clock.h>

#include <ctime>

namespace rhubarbtiller {

MonotonicTime SystemClock::now() const
{
    // CLOCK_BOOTTIME advances during suspend, CLOCK_MONOTONIC does not: leases must expire while a host is suspended.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace rhubarbtiller
