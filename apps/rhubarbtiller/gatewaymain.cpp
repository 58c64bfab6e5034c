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

#include <malloc.h>

namespace rhubarbtiller {

using telemetry::logEvent;
using telemetry::LogLevel;

/// How often the modification time of the settings file is checked, since the file may change without a signal.
static constexpr std::chrono::milliseconds SettingsCheckInterval{2000};

namespace {

/// Reloads the settings file on a signal or when the file has changed.
class SettingsWatcher
{
public:
    SettingsWatcher(asio::io_context &context, gateway::GatewayProcess &gatewayProcess, std::string settingsPath)
        : timer(context), process(gatewayProcess), path(std::move(settingsPath)), loadedModificationTime(this->modificationTime())
    {
        this->scheduleCheck();
    }

    void reload(std::string_view cause)
    {
        this->loadedModificationTime = this->modificationTime();
        const auto settings = settings::readSettingsFile(this->path, gateway::parseGatewaySettings);
        logEvent(LogLevel::Info, "reload", {{"settings", this->path}, {"cause", cause}, {"valid", settings.has_value()}});
        if (settings) {
            this->process.applySettings(*settings);
        }
    }

private:
    /// Returns when the file was last modified; the minimum time if that cannot be determined.
    std::filesystem::file_time_type modificationTime() const
    {
        std::error_code error;
        const auto time = std::filesystem::last_write_time(this->path, error);
        return error ? std::filesystem::file_time_type::min() : time;
    }

    void scheduleCheck()
    {
        this->timer.expires_after(SettingsCheckInterval);
        this->timer.async_wait([this](std::error_code error) {
            if (error) {
                return;
            }
            if (this->modificationTime() != this->loadedModificationTime) {
                this->reload("file_changed");
            }
            this->scheduleCheck();
        });
    }

    asio::steady_timer timer;
    gateway::GatewayProcess &process;
    std::string path;
    std::filesystem::file_time_type loadedModificationTime;
};

} // namespace

/// Allocations of this size get pages of their own, in bytes.
static constexpr int LargeBlock = 128 * 1024;

/// Handles signals: SIGHUP reloads the settings, the others begin a graceful shutdown.
static void handleSignals(asio::signal_set &signals, gateway::GatewayProcess &process, SettingsWatcher &settings)
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
        handleSignals(signals, process, settings);
    });
}

int runGateway(const std::string &settingsPath, bool checkOnly)
{
    const auto settings = settings::readSettingsFile(settingsPath, gateway::parseGatewaySettings);
    if (!settings) {
        return ExitSettings;
    }
    if (checkOnly) {
        std::cout << "the settings are valid\n";
        return 0;
    }
    // Large bodies return their memory to the system at once. By default the allocator keeps blocks of up to 32 MB once it has freed one.
    ::mallopt(M_MMAP_THRESHOLD, LargeBlock);
    // A write to a connection that the peer has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    telemetry::logInBackground();
    telemetry::setLogLevel(telemetry::logLevelByName(settings->logLevel));
    asio::io_context servingContext(1);
    asio::io_context controlContext(1);
    const auto controlWork = asio::make_work_guard(controlContext);
    asio::signal_set signals(servingContext, SIGTERM, SIGINT, SIGHUP);
    gateway::GatewayProcess process(servingContext, controlContext, *settings, platform::makePlatform, [&servingContext, &controlContext] {
        controlContext.stop();
        servingContext.stop();
    });
    if (const auto error = process.start()) {
        logEvent(LogLevel::Error, "start_failed", {{"error", error.message()}});
        return ExitPorts;
    }
    SettingsWatcher settingsWatcher(servingContext, process, settingsPath);
    handleSignals(signals, process, settingsWatcher);
    std::thread controlThread([&controlContext] {
        controlContext.run();
    });
    servingContext.run();
    controlThread.join();
    return 0;
}

} // namespace rhubarbtiller
