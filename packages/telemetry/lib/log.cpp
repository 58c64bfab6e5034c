#include <rhubarbtiller/telemetry/log.h>

#include "logformat.h"

#include <atomic>

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace rhubarbtiller::telemetry {

static std::atomic<LogLevel> lowestLevel{LogLevel::Info};

/// Lines that wait for the background thread; about 2 MB.
static constexpr std::size_t BackgroundQueueLines = 8192;

static std::shared_ptr<spdlog::logger> configured(std::shared_ptr<spdlog::logger> logger)
{
    logger->set_pattern("%v");
    logger->set_level(spdlog::level::trace);
    return logger;
}

static std::shared_ptr<spdlog::logger> &currentLogger()
{
    static std::shared_ptr<spdlog::logger> logger
        = configured(std::make_shared<spdlog::logger>("rhubarbtiller", std::make_shared<spdlog::sinks::stderr_sink_mt>()));
    return logger;
}

void logInBackground()
{
    spdlog::init_thread_pool(BackgroundQueueLines, 1);
    currentLogger() = configured(std::make_shared<spdlog::async_logger>("rhubarbtiller",
                                                                        std::make_shared<spdlog::sinks::stdout_sink_mt>(),
                                                                        spdlog::thread_pool(),
                                                                        spdlog::async_overflow_policy::overrun_oldest));
}

LogField::LogField(std::string_view fieldName, std::string_view text) : name(fieldName), value(text)
{
}

LogField::LogField(std::string_view fieldName, const char *text) : name(fieldName), value(text == nullptr ? "" : text)
{
}

LogField::LogField(std::string_view fieldName, const std::string &text) : name(fieldName), value(text)
{
}

LogField::LogField(std::string_view fieldName, std::int64_t number) : name(fieldName), value(std::to_string(number))
{
}

LogField::LogField(std::string_view fieldName, std::uint64_t number) : name(fieldName), value(std::to_string(number))
{
}

LogField::LogField(std::string_view fieldName, int number) : name(fieldName), value(std::to_string(number))
{
}

LogField::LogField(std::string_view fieldName, unsigned number) : name(fieldName), value(std::to_string(number))
{
}

LogField::LogField(std::string_view fieldName, double number) : name(fieldName), value(fmt::format("{:.6g}", number))
{
}

LogField::LogField(std::string_view fieldName, bool flag) : name(fieldName), value(flag ? "true" : "false")
{
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < lowestLevel.load(std::memory_order_relaxed)) {
        return;
    }
    const std::string line = formatLogLine(std::chrono::system_clock::now(), level, event, fields);
    // The line is passed as an argument, so that braces in a value are not read as a format.
    currentLogger()->log(spdlog::level::info, "{}", line);
}

LogLevel logLevelByName(std::string_view name)
{
    if (name == "debug") {
        return LogLevel::Debug;
    }
    if (name == "warning") {
        return LogLevel::Warning;
    }
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

void setLogLevel(LogLevel level)
{
    lowestLevel.store(level, std::memory_order_relaxed);
}

} // namespace rhubarbtiller::telemetry
