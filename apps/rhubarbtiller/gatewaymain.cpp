#include "gatewaymain.h"

#include "exitcodes.h"

#include <rhubarbtiller/platform/platform.h>
#include <rhubarbtiller/settings/settingsfile.h>
#include <rhubarbtiller/telemetry/log.h>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <thread>

namespace rhubarbtiller {

using telemetry::logEvent;
using telemetry::LogLevel;

/// How often the settings file is looked at, since it may change without a signal.
static constexpr std::chrono::milliseconds SettingsCheckInterval{2000};

namespace {

/// Applies the settings file again when a signal says so or when the file has changed.
class SettingsWatch
{
public:
    SettingsWatch(asio::io_context &context, gateway::GatewayProcess &gatewayProcess, std::string settingsPath)
        : timer(context), process(gatewayProcess), path(std::move(settingsPath)), readAt(this->lastWrite())
    {
        this->wait();
    }

    void reload(std::string_view cause)
    {
        this->readAt = this->lastWrite();
        const auto settings = settings::readSettingsFile(this->path, gateway::parseGatewaySettings);
        logEvent(LogLevel::Info, "reload", {{"settings", this->path}, {"cause", cause}, {"valid", settings.has_value()}});
        if (settings) {
            this->process.applySettings(*settings);
        }
    }

private:
    /// Returns when the file was written; the earliest time if it cannot be looked at.
    std::filesystem::file_time_type lastWrite() const
    {
        std::error_code error;
        const auto time = std::filesystem::last_write_time(this->path, error);
        return error ? std::filesystem::file_time_type::min() : time;
    }

    void wait()
    {
        this->timer.expires_after(SettingsCheckInterval);
        this->timer.async_wait([this](std::error_code error) {
            if (error) {
                return;
            }
            if (this->lastWrite() != this->readAt) {
                this->reload("file_changed");
            }
            this->wait();
        });
    }

    asio::steady_timer timer;
    gateway::GatewayProcess &process;
    std::string path;
    std::filesystem::file_time_type readAt;
};

} // namespace

/// Waits for signals: SIGHUP reads the settings again, the others begin a planned stop.
static void watchSignals(asio::signal_set &signals, gateway::GatewayProcess &process, SettingsWatch &settings)
{
    signals.async_wait([&signals, &process, &settings](const std::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            settings.reload("signal");
        } else {
            process.beginStop();
        }
        watchSignals(signals, process, settings);
    });
}

int runGateway(const std::string &settingsPath, bool checksOnly)
{
    const auto settings = settings::readSettingsFile(settingsPath, gateway::parseGatewaySettings);
    if (!settings) {
        return ExitSettings;
    }
    if (checksOnly) {
        std::cout << "the settings are valid\n";
        return 0;
    }
    // A caller or server that closes its connection must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    telemetry::logInBackground();
    telemetry::setLogLevel(telemetry::logLevelByName(settings->logLevel));
    asio::io_context serving(1);
    asio::io_context control(1);
    const auto controlWork = asio::make_work_guard(control);
    asio::signal_set signals(serving, SIGTERM, SIGINT, SIGHUP);
    gateway::GatewayProcess process(serving, control, *settings, platform::makePlatform, [&serving, &control] {
        control.stop();
        serving.stop();
    });
    if (const auto error = process.start()) {
        logEvent(LogLevel::Error, "start_failed", {{"error", error.message()}});
        return ExitPorts;
    }
    SettingsWatch settingsWatch(serving, process, settingsPath);
    watchSignals(signals, process, settingsWatch);
    std::thread controlThread([&control] {
        control.run();
    });
    serving.run();
    controlThread.join();
    return 0;
}

} // namespace rhubarbtiller
