#include <rhubarbtiller/balance/returnschedule.h>

#include <rhubarbtiller/balance/timelimits.h>
#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");
static const RouteName Route("route");

// Callers that return together exceed the capacity again.
TEST_CASE("refused callers return no faster than capacity becomes free for them")
{
    testing::VirtualClock clock;
    SeededRandom random(1);
    ReturnSchedule returns;
    CapacityEstimate capacity;
    capacity.slots = 10;
    capacity.arrivingWork = 5;
    std::vector<Duration> delays;
    for (int i = 0; i < 100; ++i) {
        const auto delay = returns.plan(Service, {100ms, 100ms, 30s}, capacity, random, clock.now());
        REQUIRE(delay);
        delays.push_back(*delay);
    }
    // Five free slots serve 50 requests of 100 ms a second.
    for (const Duration from : {0ms, 500ms, 1000ms, 1500ms}) {
        const auto count = std::count_if(delays.begin(), delays.end(), [from](Duration delay) {
            return delay >= from && delay < from + 500ms;
        });
        CHECK(count <= 26);
    }
    CHECK(*std::max_element(delays.begin(), delays.end()) < 2200ms);
}

TEST_CASE("no caller is told to wait for more than a third of its time, or to return too late")
{
    testing::VirtualClock clock;
    SeededRandom random(1);
    ReturnSchedule returns;
    for (const double slots : {0.0, 0.1, 10.0, 1000.0}) {
        CapacityEstimate capacity;
        capacity.slots = slots;
        capacity.arrivingWork = 2 * slots;
        for (Duration remaining = 0ms; remaining < 5s; remaining += 37ms) {
            const auto delay = returns.plan(Service, {200ms, 400ms, remaining}, capacity, random, clock.now());
            if (delay) {
                CHECK(*delay >= 100ms);
                CHECK(*delay <= remaining / 3);
                CHECK(remaining - *delay >= 400ms);
            }
        }
    }
    CHECK_FALSE(returns.plan(Service, {200ms, 400ms, 450ms}, {}, random, clock.now()));
}

TEST_CASE("where callers set the same time limit, a shorter one tells the time since the first attempt")
{
    testing::VirtualClock clock;
    TimeLimits limits;
    CHECK(limits.elapsed(Route, 1s, clock.now()) == 0s);
    for (int i = 0; i < 20; ++i) {
        limits.observe(Route, 3s - std::chrono::milliseconds(i % 5), clock.now());
        clock.advance(50ms);
    }
    CHECK(limits.elapsed(Route, 3s, clock.now()) == 0s);
    CHECK(limits.elapsed(Route, 2950ms, clock.now()) == 0s);
    CHECK(limits.elapsed(Route, 1s, clock.now()) == 2s);
    CHECK(limits.elapsed(RouteName("other"), 1s, clock.now()) == 0s);
}

// An impatient caller is not a returning one and must not lose its place.
TEST_CASE("where callers set various time limits, none counts as returning")
{
    testing::VirtualClock clock;
    TimeLimits limits;
    for (int i = 0; i < 40; ++i) {
        limits.observe(Route, 1s + 100ms * (i % 20), clock.now());
        clock.advance(50ms);
    }
    CHECK(limits.elapsed(Route, 1s, clock.now()) == 0s);
}
