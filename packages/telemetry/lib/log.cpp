#include <rhubarbtiller/telemetry/log.h>

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace rhubarbtiller::telemetry {

LogField::LogField(std::string_view fieldName, std::string_view text) : name(fieldName), value(text)
{
}

LogField::LogField(std::string_view fieldName, const char *text) : LogField(fieldName, std::string_view(text))
{
}

LogField::LogField(std::string_view fieldName, const std::string &text) : LogField(fieldName, std::string_view(text))
{
}

LogField::LogField(std::string_view fieldName, std::int64_t number) : LogField(fieldName, std::to_string(number))
{
}

LogField::LogField(std::string_view fieldName, std::uint64_t number) : LogField(fieldName, std::to_string(number))
{
}

LogField::LogField(std::string_view fieldName, int number) : LogField(fieldName, std::to_string(number))
{
}

LogField::LogField(std::string_view fieldName, unsigned number) : LogField(fieldName, std::to_string(number))
{
}

LogField::LogField(std::string_view fieldName, double number) : LogField(fieldName, std::to_string(number))
{
}

LogField::LogField(std::string_view fieldName, bool flag) : LogField(fieldName, std::string_view(flag ? "true" : "false"))
{
}

static bool isPlain(unsigned char letter)
{
    return letter > ' ' && letter < 0x7f && letter != '"' && letter != '\\' && letter != '=';
}

static void appendValue(std::string &line, std::string_view value)
{
    if (!value.empty() && std::ranges::all_of(value, isPlain)) {
        line += value;
        return;
    }
    static constexpr char Digits[] = "0123456789abcdef";
    line += '"';
    for (const char letter : value) {
        const auto code = static_cast<unsigned char>(letter);
        if (letter == '"' || letter == '\\') {
            line += '\\';
            line += letter;
        } else if (code < ' ' || code == 0x7f) {
            line += "\\x";
            line += Digits[code >> 4];
            line += Digits[code & 0xf];
        } else {
            line += letter;
        }
    }
    line += '"';
}

static spdlog::level::level_enum levelOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        break;
    }
    return spdlog::level::err;
}

static spdlog::logger &logger()
{
    static const auto instance = [] {
        auto made = spdlog::stderr_logger_mt("rhubarbtiller");
        made->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
        made->flush_on(spdlog::level::info);
        return made;
    }();
    return *instance;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto wanted = levelOf(level);
    if (!logger().should_log(wanted)) {
        return;
    }
    std::string line = "event=";
    line += event;
    for (const auto &field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendValue(line, field.value);
    }
    logger().log(wanted, spdlog::string_view_t(line.data(), line.size()));
}

void setLogLevel(LogLevel level)
{
    logger().set_level(levelOf(level));
}

} // namespace rhubarbtiller::telemetry
