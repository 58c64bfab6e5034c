#include "fleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <iostream>

using namespace rhubarbtiller;
using namespace rhubarbtiller::fleettests;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a planned stop that breaks a call, or that refuses one because the host leaves: callers go on with the
// addresses that they were given up to 5 s before.
TEST_CASE("a rolling restart of all hosts interrupts and refuses no call (I12)")
{
    const auto seed = runSeed("rolling restart");
    Fleet fleet(seed);
    const auto keys = fleet.configure({{OrganisationId("harbour"), KeyName("harbour-1"), ""}}, 2000, 400);
    fleet.watchVersions();

    CallerOptions options;
    options.key = keys[0];
    options.threads = 4;
    options.interval = milliseconds(20);
    Callers readers(fleet, options);
    options.method = "POST";
    options.path = "/seats/holds?ms=100";
    options.isIdempotent = false;
    Callers holds(fleet, options);
    for (auto *callers : {&readers, &holds}) {
        REQUIRE(waitUntil(seconds(5), [callers] {
            return callers->answered() > 50;
        }));
    }

    std::vector<int> order = {1, 2, 3, 4, 5, 6};
    std::shuffle(order.begin(), order.end(), std::mt19937_64(seed));
    for (const int number : order) {
        const auto beganAt = std::chrono::system_clock::now();
        REQUIRE_MESSAGE(!fleet.host(number).exitCode(), "h", number, " ended by itself");
        fleet.host(number).signal(SIGTERM);
        // Addresses are valid for 5 s, and a request takes at most 1.5 s after that.
        CHECK(waitUntil(seconds(10), [&] {
            return fleet.host(number).exitCode().has_value();
        }));
        const auto endedAt = std::chrono::system_clock::now();
        CHECK(fleet.host(number).exitCode() == 0);
        fleet.recorder.record(testing::PlannedStopRecord{Fleet::hostId(number), beganAt, endedAt});
        fleet.startHost(number);
        REQUIRE(waitUntil(seconds(10), [&] {
            return fleet.isServing(number);
        }));
        std::cout << "h" << number << " stopped in " << std::chrono::duration_cast<milliseconds>(endedAt - beganAt).count()
                  << " ms, serves again after "
                  << std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now() - endedAt).count() << " ms" << std::endl;
    }
    readers.stop();
    holds.stop();
    const auto history = fleet.finish();
    CHECK(fleet.isClean(history, checkAll(history)));
    CHECK(history.brokenCalls.empty());
    CHECK(history.refusals.empty());
}
