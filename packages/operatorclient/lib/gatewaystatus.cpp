#include "gatewaystatus.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>

namespace rhubarbtiller::operatorclient {

using nlohmann::json;

/// Servers above this estimate are listed with the reason; a sound one stays below.
static constexpr double DistrustedAbove = 0.3;

static std::string textOf(const json &value)
{
    return value.is_null() ? "-" : value.is_string() ? value.get<std::string>() : value.dump();
}

static bool isDistrusted(const json &server)
{
    return server.value("isDraining", false) || server.value("isEvacuated", false) || server.value("coldForMs", 0) > 0
        || server.value("connectFailures", 0) > 0 || server.value("failureProbability", 0.0) > DistrustedAbove;
}

static void printServer(const json &server, std::ostream &output)
{
    output << "  " << server.value("id", "?") << " of " << server.value("service", "?") << ":";
    if (server.value("isDraining", false)) {
        output << " draining";
    }
    if (server.value("isEvacuated", false)) {
        output << " evacuated";
    }
    if (const auto cold = server.value("coldForMs", 0); cold > 0) {
        output << " cold for " << cold << " ms";
    }
    if (const auto refused = server.value("connectFailures", 0); refused > 0) {
        output << " refused " << refused << " connections";
    }
    if (const auto estimate = server.value("failureProbability", 0.0); estimate > DistrustedAbove) {
        output << " fails " << std::lround(estimate * 100) << " of 100 requests";
    }
    output << "\n";
}

/// Prints the queues in which requests wait.
static void printQueues(const json &queues, std::ostream &output)
{
    for (const auto &queue : queues) {
        if (const auto waiting = queue.value("waiting", 0); waiting > 0) {
            output << "  queue of " << queue.value("service", "?") << ": " << waiting << " waiting, the longest for "
                   << queue.value("longestWaitMs", 0) << " ms; " << std::lround(queue.value("slots", 0.0)) << " slots, work for "
                   << std::lround(queue.value("arrivingSlots", 0.0)) << " arrives\n";
        }
    }
}

void printGatewayStatus(const json &hosts, std::ostream &output)
{
    output << std::left << std::setw(24) << "host" << std::setw(14) << "domain" << std::setw(9) << "role" << std::setw(7) << "ready"
           << std::setw(9) << "version" << std::setw(9) << "servers" << std::setw(10) << "store ms" << std::setw(7) << "peers"
           << "requests\n";
    for (const auto &host : hosts) {
        const auto state = host.value("state", json());
        if (!state.is_object()) {
            output << std::setw(24) << host.value("address", "?") << "no answer: " << host.value("error", "") << "\n";
            continue;
        }
        const auto &servers = state.value("backendServers", json::array());
        output << std::setw(24) << state.value("host", "?") << std::setw(14) << state.value("failureDomain", "?") << std::setw(9)
               << state.value("role", "?") << std::setw(7) << (state.value("isReady", false) ? "yes" : "no") << std::setw(9)
               << textOf(state.value("configuration", json::object()).value("version", json())) << std::setw(9) << servers.size()
               << std::setw(10) << textOf(state.value("storeContactAgeMs", json())) << std::setw(7)
               << textOf(state.value("hosts", json::object()).value("livingPeers", json())) << state.value("requestsInProgress", 0) << "\n";
        for (const auto &server : servers) {
            if (isDistrusted(server)) {
                printServer(server, output);
            }
        }
        printQueues(state.value("queues", json::array()), output);
    }
}

} // namespace rhubarbtiller::operatorclient
