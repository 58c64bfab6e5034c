#include "gatewaymain.h"

#include "exitcodes.h"

#include <rhubarbtiller/platform/platform.h>
#include <rhubarbtiller/settings/settingsfile.h>
#include <rhubarbtiller/telemetry/log.h>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace rhubarbtiller {

using telemetry::logEvent;
using telemetry::LogLevel;

/// Waits for signals: the first SIGTERM begins a planned stop, SIGHUP reads the settings again.
static void watchSignals(asio::signal_set &signals, gateway::GatewayProcess &process, const std::string &settingsPath)
{
    signals.async_wait([&signals, &process, settingsPath](const std::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            const auto settings = settings::readSettingsFile(settingsPath, gateway::parseGatewaySettings);
            logEvent(LogLevel::Info, "reload", {{"settings", settingsPath}, {"valid", settings.has_value()}});
            if (settings) {
                telemetry::setLogLevel(telemetry::logLevelByName(settings->logLevel));
            }
        } else {
            process.beginStop();
        }
        watchSignals(signals, process, settingsPath);
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
    watchSignals(signals, process, settingsPath);
    std::thread controlThread([&control] {
        control.run();
    });
    serving.run();
    controlThread.join();
    return 0;
}

} // namespace rhubarbtiller
