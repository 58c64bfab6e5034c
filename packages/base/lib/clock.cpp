#include <rhubarbtiller/base/clock.h>

#include <ctime>

namespace rhubarbtiller {

MonotonicTime SystemClock::now() const
{
    // CLOCK_BOOTTIME goes on during suspend, CLOCK_MONOTONIC does not: a suspended host must find its leases lapsed.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::system_clock::now();
}

} // namespace rhubarbtiller
