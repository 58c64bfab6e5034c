#include "logformat.h"

#include <algorithm>
#include <ctime>

#include <fmt/format.h>

namespace rhubarbtiller::telemetry {

static std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "unknown";
}

static bool isPlain(char letter)
{
    const auto code = static_cast<unsigned char>(letter);
    return code > 0x20 && code < 0x7f && letter != '"' && letter != '\\' && letter != '=';
}

static void appendValue(std::string &line, std::string_view value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), isPlain)) {
        line += value;
        return;
    }
    line += '"';
    for (const char letter : value) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            line += '\\';
            line += letter;
        } else if (letter == '\n') {
            line += "\\n";
        } else if (letter == '\r') {
            line += "\\r";
        } else if (letter == '\t') {
            line += "\\t";
        } else if (code < 0x20 || code >= 0x7f) {
            // Bytes outside ASCII are escaped as well: some of them are control characters to terminals.
            line += fmt::format("\\x{:02x}", code);
        } else {
            line += letter;
        }
    }
    line += '"';
}

std::string formatTime(std::chrono::system_clock::time_point time)
{
    const auto micros = std::chrono::floor<std::chrono::microseconds>(time).time_since_epoch().count();
    std::int64_t seconds = micros / 1000000;
    std::int64_t fraction = micros % 1000000;
    if (fraction < 0) {
        fraction += 1000000;
        --seconds;
    }
    const std::time_t whole = seconds;
    std::tm parts{};
    gmtime_r(&whole, &parts);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:06}Z",
                       parts.tm_year + 1900,
                       parts.tm_mon + 1,
                       parts.tm_mday,
                       parts.tm_hour,
                       parts.tm_min,
                       parts.tm_sec,
                       fraction);
}

std::string
formatLogLine(std::chrono::system_clock::time_point time, LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "time=" + formatTime(time) + " level=" + std::string(levelName(level)) + " event=";
    appendValue(line, event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

} // namespace rhubarbtiller::telemetry
