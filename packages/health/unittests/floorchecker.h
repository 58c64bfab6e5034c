#pragma once

#include <rhubarbtiller/base/clock.h>

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rhubarbtiller::health::testing {

/// The state of a pool of equal servers at one moment, over all hosts.
struct FloorFrame
{
    MonotonicTime at;
    /// Servers that at least one host keeps ejected.
    std::set<std::size_t> ejected;
    /// Servers that are draining or in a withdrawn failure domain.
    std::set<std::size_t> out;
};

/// Returns the first moment at which ejection left less healthy capacity than the floor.
///
/// After servers went out for other causes, leases granted before may last for \p grace.
/// Precondition: the frames are in order of time. Thread safety: any thread.
inline std::optional<std::string>
findFloorBreach(const std::vector<FloorFrame> &frames, std::size_t serverCount, double floorPercent, Duration grace)
{
    std::optional<MonotonicTime> lostAt;
    std::set<std::size_t> previousOut;
    for (const FloorFrame &frame : frames) {
        for (const std::size_t server : frame.out) {
            if (!previousOut.contains(server)) {
                lostAt = frame.at;
            }
        }
        previousOut = frame.out;
        std::size_t healthy = 0;
        std::size_t ejectedInService = 0;
        for (std::size_t server = 0; server < serverCount; ++server) {
            const bool isOut = frame.out.contains(server);
            const bool isEjected = frame.ejected.contains(server);
            healthy += !isOut && !isEjected ? 1 : 0;
            ejectedInService += !isOut && isEjected ? 1 : 0;
        }
        const bool isInGrace = lostAt && frame.at - *lostAt <= grace;
        if (ejectedInService > 0 && !isInGrace && static_cast<double>(healthy) * 100.0 < floorPercent * static_cast<double>(serverCount)) {
            return "at_ms=" + std::to_string(frame.at.time_since_epoch() / std::chrono::milliseconds(1)) + " healthy="
                + std::to_string(healthy) + " ejected=" + std::to_string(ejectedInService) + " out=" + std::to_string(frame.out.size());
        }
    }
    return std::nullopt;
}

} // namespace rhubarbtiller::health::testing
