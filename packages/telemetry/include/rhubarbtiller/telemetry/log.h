#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace rhubarbtiller::telemetry {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/// One key=value pair of a log line.
struct LogField
{
    LogField(std::string_view fieldName, std::string_view text);
    LogField(std::string_view fieldName, const char *text);
    LogField(std::string_view fieldName, const std::string &text);
    LogField(std::string_view fieldName, std::int64_t number);
    LogField(std::string_view fieldName, std::uint64_t number);
    LogField(std::string_view fieldName, int number);
    LogField(std::string_view fieldName, unsigned number);
    LogField(std::string_view fieldName, double number);
    LogField(std::string_view fieldName, bool flag);

    std::string_view name;
    std::string value;
};

/// Has all lines written to standard output by a thread of their own, so that no caller ever waits for the reader.
///
/// When the reader is too slow, the oldest lines are dropped. Precondition: called before the first line. Thread safety: one thread.
void logInBackground();

/// Writes one line "time=... level=... event=... key=value ..." to standard error, or to standard output in the background.
///
/// Values with spaces, quotes or control characters are quoted and escaped, so a value cannot forge a line.
/// Precondition: \p event is a constant word. Thread safety: any thread.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// Returns the level that a setting names, Info for unknown names. Precondition: none. Thread safety: any thread.
LogLevel logLevelByName(std::string_view name);

/// Sets the lowest level that is written. Precondition: none. Thread safety: any thread.
void setLogLevel(LogLevel level);

} // namespace rhubarbtiller::telemetry
