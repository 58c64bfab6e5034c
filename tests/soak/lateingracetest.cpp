#include "backendworld.h"
#include "gatewayfleet.h"

#include "../fleet/httpconnection.h"

#include <doctest/doctest.h>

#include <csignal>
#include <iostream>
#include <mutex>

using namespace rhubarbtiller;
using namespace rhubarbtiller::soak;
using namespace std::chrono_literals;
using fleettests::CallFault;
using fleettests::HttpConnection;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// The time limit of the routes; requests to mute servers last that long.
static constexpr milliseconds CallerTimeout{5000};
static constexpr milliseconds ReadyBound{10'000};

/// The grace time that the hosts are given, and how often requests begin in it.
static constexpr milliseconds Grace{6000};
static constexpr int Steps = 20;

/// Picks enough random servers to harm all of them.
static constexpr int HarmedServers = 100;

namespace {

struct LateCall
{
    std::string request;
    milliseconds sentAfter{0};
    bool isIdempotent = false;
    fleettests::HttpReply reply;
};

} // namespace

// The servers answer nothing, so that requests last until their time limit.
TEST_CASE("requests that come late in the grace of a planned stop are cut without an answer")
{
    BackendWorld backend(7);
    GatewayFleet fleet(backend.ioContext(), backend.storeAddress(), 7);
    const auto readyBy = steady_clock::now() + ReadyBound;
    while (!fleet.isReady(0)) {
        REQUIRE(steady_clock::now() < readyBy);
        std::this_thread::sleep_for(20ms);
    }
    for (int i = 0; i < HarmedServers; ++i) {
        backend.harmServer(ServerFault::Mute, 1);
    }
    const auto world = backend.describe();
    std::mutex mutex;
    std::vector<LateCall> calls;
    const auto beganAt = steady_clock::now();
    fleet.signal(0, SIGTERM);
    std::vector<std::thread> callers;
    for (int step = 0; step < Steps; ++step) {
        for (const bool isIdempotent : {true, false}) {
            callers.emplace_back([&, step, isIdempotent] {
                std::this_thread::sleep_until(beganAt + Grace * step / Steps);
                LateCall call;
                call.request = "late-" + std::to_string(step) + (isIdempotent ? "r" : "b");
                call.isIdempotent = isIdempotent;
                call.sentAfter = std::chrono::duration_cast<milliseconds>(steady_clock::now() - beganAt);
                HttpConnection connection(fleet.callerAddress(0));
                call.reply = connection.call(isIdempotent ? "GET" : "POST",
                                             (isIdempotent ? "/read/" : "/book/") + call.request,
                                             "Host: " + world.virtualHost + "\r\nAttempt-Id: " + call.request
                                                 + "\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer " + world.keys.front().key + "\r\n",
                                             isIdempotent ? "" : "work",
                                             CallerTimeout);
                const std::lock_guard lock(mutex);
                calls.push_back(std::move(call));
            });
        }
    }
    for (auto &caller : callers) {
        caller.join();
    }
    SoakHistory history;
    backend.finish(history);
    std::set<std::string> ran;
    for (const auto &arrival : history.arrivals) {
        if (arrival.hasRun) {
            ran.insert(arrival.request);
        }
    }
    std::size_t passedOn = 0;
    std::size_t refused = 0;
    for (const auto &call : calls) {
        CAPTURE(call.request);
        CAPTURE(call.sentAfter.count());
        CAPTURE(call.reply.status);
        const bool hasRun = ran.contains(call.request);
        passedOn += hasRun ? 1 : 0;
        CHECK((call.reply.fault == CallFault::None || !hasRun));
        if (call.reply.status == 503) {
            ++refused;
            CHECK_FALSE(hasRun);
            CHECK_FALSE(call.reply.header("retry-after").empty());
        }
        if (call.reply.fault == CallFault::None) {
            CHECK(call.reply.header("connection") == "close");
        }
    }
    std::cout << calls.size() << " requests in the grace time, " << passedOn << " passed on, " << refused << " refused" << std::endl;
    CHECK(passedOn > 0);
    CHECK(refused > 0);
    CHECK(fleet.exitCode(0).value_or(-1) == 0);
}
