#pragma once

#include <rhubarbtiller/base/clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbtiller::health::testing {

/// One change at a backend server, as an all-knowing observer sees it.
struct SlotEvent
{
    enum class Kind {
        Start,
        End,
        /// All running requests are lost.
        Restart,
        /// The number of concurrent requests that the server bears from now on.
        Bears,
    };

    MonotonicTime at;
    Kind kind = Kind::Start;
    std::uint32_t bears = 0;
};

/// Returns the first moment at which a request started although the server already ran as many as it bears.
///
/// Precondition: the events are in order of time. Thread safety: any thread.
inline std::optional<std::string> findOverload(const std::vector<SlotEvent> &events)
{
    std::uint32_t running = 0;
    std::uint32_t bears = 0;
    for (const SlotEvent &event : events) {
        switch (event.kind) {
        case SlotEvent::Kind::Start:
            if (++running > bears) {
                return "at_ms=" + std::to_string(event.at.time_since_epoch() / std::chrono::milliseconds(1))
                    + " running=" + std::to_string(running) + " bears=" + std::to_string(bears);
            }
            break;
        case SlotEvent::Kind::End:
            --running;
            break;
        case SlotEvent::Kind::Restart:
            running = 0;
            break;
        case SlotEvent::Kind::Bears:
            bears = event.bears;
            break;
        }
    }
    return std::nullopt;
}

} // namespace rhubarbtiller::health::testing
