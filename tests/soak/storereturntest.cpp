#include "backendworld.h"
#include "callers.h"
#include "gatewayfleet.h"

#include <doctest/doctest.h>

#include <iostream>

using namespace rhubarbtiller;
using namespace rhubarbtiller::soak;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

static constexpr std::chrono::milliseconds ReadyBound{10'000};
static constexpr int CallerCount = 12;

/// The store loses the changes of this long, and is away for a moment.
static constexpr std::chrono::milliseconds LostTime{3000};
static constexpr std::chrono::milliseconds OutageTime{300};

/// Between the changes after the return, each of which the run judges.
static constexpr std::chrono::milliseconds ChangeInterval{2500};

// Guards against hosts that keep the state of before, or take back what was withdrawn, when the versions of the store go back.
TEST_CASE("a store that returns from an older copy leaves hosts with an outdated state")
{
    BackendWorld backend(11);
    GatewayFleet fleet(backend.ioContext(), backend.storeAddress(), 11);
    REQUIRE(fleet.waitUntilReady(ReadyBound));
    const auto world = fleet.withHosts(backend.describe());
    Callers callers(world, CallerCount, 11);
    std::this_thread::sleep_for(1s);
    backend.copyStore();
    const auto copiedAt = steady_clock::now();
    backend.withdrawKey();
    backend.moveRoute();
    std::vector<std::function<void()>> ends{backend.drainServer(), backend.drainServer()};
    std::this_thread::sleep_until(copiedAt + LostTime);
    ends.front()();

    SoakHistory history;
    const auto outageAt = steady_clock::now();
    backend.perform([&backend] {
        backend.rowStore().faults.outage = testing::OutageMode::Reset;
    });
    std::this_thread::sleep_for(OutageTime);
    backend.returnStoreFromCopy();
    backend.perform([&backend] {
        backend.rowStore().faults.outage = testing::OutageMode::None;
    });
    history.disturbances.push_back({-1, outageAt, steady_clock::now()});
    // Time in which the store lists only the configuration of the copy. The servers write their entries later still, so that the changes
    // get versions that the hosts have seen before.
    std::this_thread::sleep_for(100ms);
    backend.moveRoute();
    backend.withdrawKey();
    const Bounds bounds;
    std::this_thread::sleep_for(bounds.contact + ChangeInterval);
    for (int i = 0; i < 2; ++i) {
        backend.moveRoute();
        backend.withdrawKey();
        ends.push_back(backend.drainServer());
        std::this_thread::sleep_for(ChangeInterval);
    }
    history.healedAt = outageAt;
    std::this_thread::sleep_until(outageAt + bounds.recovery + 3s);
    history.calls = callers.stop();
    backend.finish(history);
    const auto lines = brokenPromises(history, bounds);
    for (const auto &line : lines) {
        std::cout << line << std::endl;
    }
    if (!lines.empty()) {
        fleet.keepLogs();
    }
    CHECK(lines.empty());
}
