#pragma once

#include <rhubarbtiller/telemetry/log.h>

#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>

namespace rhubarbtiller::telemetry {

/// Returns one log line without a line end. Precondition: \p event is a constant word. Thread safety: any thread.
std::string
formatLogLine(std::chrono::system_clock::time_point time, LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// Returns a time as in RFC 3339 with microseconds, in UTC. Thread safety: any thread.
std::string formatTime(std::chrono::system_clock::time_point time);

} // namespace rhubarbtiller::telemetry
