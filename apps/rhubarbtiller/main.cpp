#include "exitcodes.h"
#include "gatewaymain.h"

#include <rhubarbtiller/host/hostprocess.h>
#include <rhubarbtiller/settings/settings.h>
#include <rhubarbtiller/settings/settingsfile.h>
#include <rhubarbtiller/telemetry/log.h>

#include <asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <thread>
#include <vector>

DEFINE_string(settings, "", "file with the settings of this host, JSON with comments");
DEFINE_bool(gateway, false, "run as a host of a gateway fleet on the platform");
DEFINE_bool(check, false, "validate the settings and exit");

using namespace rhubarbtiller;

/// Reloads the settings and applies the log level, the only setting that may change at run time.
static void reloadLogLevel()
{
    const auto reloaded = settings::readSettingsFile(FLAGS_settings, settings::parseHostSettings);
    telemetry::logEvent(telemetry::LogLevel::Info, "reload", {{"settings", FLAGS_settings}, {"valid", reloaded.has_value()}});
    if (reloaded) {
        telemetry::setLogLevel(telemetry::logLevelByName(reloaded->logLevel));
    }
}

/// Handles signals: SIGHUP reloads the log level, the others begin a graceful shutdown.
static void handleSignals(asio::signal_set &signals, host::HostProcess &process)
{
    signals.async_wait([&signals, &process](const std::error_code &error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            reloadLogLevel();
        } else {
            process.beginDrain();
        }
        handleSignals(signals, process);
    });
}

static int runHost(const settings::HostSettings &hostSettings)
{
    asio::io_context context(static_cast<int>(hostSettings.threads));
    asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    host::HostProcess process(context, hostSettings, [&context] {
        context.stop();
    });
    if (const auto error = process.start()) {
        telemetry::logEvent(telemetry::LogLevel::Error, "start_failed", {{"error", error.message()}});
        return ExitPorts;
    }
    handleSignals(signals, process);
    std::vector<std::thread> threads;
    for (std::uint32_t i = 1; i < hostSettings.threads; ++i) {
        threads.emplace_back([&context] {
            context.run();
        });
    }
    context.run();
    for (auto &thread : threads) {
        thread.join();
    }
    return 0;
}

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs the proxy on an entry host: rhubarbtiller --settings=FILE [--gateway]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc > 1) {
        std::cerr << "rhubarbtiller --settings=FILE [--gateway] [--check]\n";
        return ExitUsage;
    }
    if (FLAGS_gateway) {
        return runGateway(FLAGS_settings, FLAGS_check);
    }
    const auto hostSettings = settings::readSettingsFile(FLAGS_settings, settings::parseHostSettings);
    if (!hostSettings) {
        return ExitSettings;
    }
    if (FLAGS_check) {
        std::cout << "the settings are valid\n";
        return 0;
    }
    // A write to a connection that the peer has closed must not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    telemetry::setLogLevel(telemetry::logLevelByName(hostSettings->logLevel));
    return runHost(*hostSettings);
}
