#pragma once

#include <rhubarbtiller/base/clock.h>

#include <cstdint>

namespace rhubarbtiller::testing {

/// How a service of the platform fails.
enum class OutageMode {
    None,
    /// Responds at once with a failure of its own.
    Refuse,
    /// Takes the call, does nothing and never responds.
    Silent,
    /// Resets the connection without doing anything.
    Reset,
};

/// The faults of a service of the platform.
struct ServiceFaults
{
    OutageMode outage = OutageMode::None;
    Duration delay{0};
    /// Writes that take effect while their response is lost.
    std::uint32_t loseNextWriteAnswers = 0;
    /// Writes that get no response and take effect \c lateTime later.
    std::uint32_t lateNextWrites = 0;
    Duration lateTime = std::chrono::seconds(1);
};

} // namespace rhubarbtiller::testing
