// Guards against a roll-out that reaches no result with real hosts, store calls and datagrams, or that loses requests.

#include "backendworld.h"
#include "callers.h"
#include "gatewayfleet.h"

#include "../fleet/httpconnection.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>

using namespace rhubarbtiller;
using namespace rhubarbtiller::soak;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

static constexpr auto ReadyBound = 10s;
static constexpr auto PollInterval = 20ms;
static constexpr auto Warming = 3s;
static constexpr auto OrderDuration = 10s;
static constexpr auto AfterResult = 3s;
static constexpr int CallerCount = 24;

/// The defaults of the settings.
static constexpr double ExposureShare = 0.1;
static constexpr double ExposureSlack = 20;

/// Base64 of "state":"completed" and the like is not aligned, so that the words are found in the decoded row.
static std::string decoded(const std::string &text)
{
    static const std::string Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string bytes;
    unsigned bits = 0;
    unsigned count = 0;
    for (const char digit : text) {
        const auto value = Digits.find(digit);
        if (value == std::string::npos) {
            break;
        }
        bits = (bits << 6) | static_cast<unsigned>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>((bits >> count) & 0xff);
        }
    }
    return bytes;
}

/// Returns the value of the only row of table status; empty if there is none.
static std::string statusRow(const std::string &store)
{
    fleettests::HttpConnection connection(store);
    const auto body = connection.call("GET", "/-/rows-get?table=status&part=&limit=10", "", "", 1000ms).body;
    static const std::string Field = "\"value\":\"";
    const auto start = body.find(Field);
    return start == std::string::npos ? std::string() : decoded(body.substr(start + Field.size()));
}

namespace {

struct Result
{
    std::string row;
    std::chrono::milliseconds after{0};
    std::size_t requests = 0;
    std::size_t atTarget = 0;
    std::size_t atEndedServers = 0;
    std::size_t unserved = 0;
    std::size_t unknown = 0;
};

} // namespace

/// Plays one order; ends the old servers at once when the target is completed.
static Result play(ServerFault fault, double share)
{
    BackendWorld backend(7);
    const auto store = backend.storeAddress();
    GatewayFleet fleet(backend.ioContext(), store, 7);
    REQUIRE(fleet.waitUntilReady(ReadyBound));
    const auto world = fleet.withHosts(backend.describe());
    Callers callers(world, CallerCount, 7);
    std::this_thread::sleep_for(Warming);
    const auto orderedAt = steady_clock::now();
    backend.startRollout("2.0", fault, share, OrderDuration);
    const auto targets = backend.serversOf("2.0");
    Result result;
    auto decidedAt = SoakTime::max();
    std::set<std::string> ended;
    while (steady_clock::now() < orderedAt + OrderDuration + AfterResult) {
        std::this_thread::sleep_for(PollInterval);
        if (decidedAt != SoakTime::max()) {
            continue;
        }
        result.row = statusRow(store.text());
        const bool isCompleted = result.row.find("completed") != std::string::npos;
        if (isCompleted) {
            ended = backend.endOtherVersions("2.0");
        }
        if (isCompleted || result.row.find("rolled_back") != std::string::npos) {
            decidedAt = steady_clock::now();
            result.after = std::chrono::duration_cast<std::chrono::milliseconds>(decidedAt - orderedAt);
        }
    }
    const auto calls = callers.stop();
    SoakHistory history;
    backend.finish(history);
    for (const auto &arrival : history.arrivals) {
        if (arrival.at < orderedAt || arrival.service != "work-svc") {
            continue;
        }
        result.requests += arrival.at < orderedAt + OrderDuration ? 1 : 0;
        result.atTarget += targets.contains(arrival.server) ? 1 : 0;
        result.atEndedServers += ended.contains(arrival.server) && arrival.at > decidedAt ? 1 : 0;
    }
    for (const auto &call : calls) {
        if (call.sentAt >= orderedAt) {
            result.unserved += call.status != 200 && call.status != 429 ? 1 : 0;
            result.unknown += call.status == 502 || call.status == 504 || (call.status == 0 && !call.isNotSent) ? 1 : 0;
        }
    }
    std::cout << "row " << result.row << " after " << result.after.count() << " ms, requests " << result.requests << ", at the target "
              << result.atTarget << ", at ended servers " << result.atEndedServers << ", calls " << calls.size() << ", not served "
              << result.unserved << ", of unknown outcome " << result.unknown << std::endl;
    return result;
}

TEST_CASE("a good version takes over all requests, and none is lost when the old servers stop at the result")
{
    const auto result = play(ServerFault::None, 0);
    CHECK(result.row.find("completed") != std::string::npos);
    CHECK(result.after < OrderDuration);
    CHECK(result.atEndedServers == 0);
    CHECK(result.unknown == 0);
}

TEST_CASE("a version that fails a part of its requests is rolled back within the exposure bound")
{
    const auto result = play(ServerFault::Errors, 0.4);
    CHECK(result.row.find("rolled_back") != std::string::npos);
    CHECK(result.after < OrderDuration);
    CHECK(static_cast<double>(result.atTarget) <= ExposureShare * static_cast<double>(result.requests) + ExposureSlack);
}
