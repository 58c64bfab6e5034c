#include <rhubarbtiller/balance/servicetimes.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");
static const RouteName Route("route");

static bool isNear(Duration actual, Duration wanted)
{
    return std::chrono::abs(actual - wanted) <= wanted / 10;
}

TEST_CASE("the checked default applies until a route is measured at a service")
{
    testing::VirtualClock clock;
    ServiceTimes times;
    CHECK(times.expected(Route, Service, clock.now()) == DefaultServiceTime);
    CHECK(times.expectedResponse(Route, Service, clock.now()) == DefaultServiceTime);
    times.observe(Route, Service, {520ms, 0, 4}, clock.now());
    CHECK(times.expected(Route, Service, clock.now()) < 400ms);
    CHECK(times.expected(Route, catalog::ServiceName("other"), clock.now()) == DefaultServiceTime);
    CHECK(times.expected(RouteName("other"), Service, clock.now()) == DefaultServiceTime);
}

// Guards against an endless time after a report of another host with the largest number of requests.
TEST_CASE("any number of requests at a server gives a finite time")
{
    testing::VirtualClock clock;
    ServiceTimes times;
    times.observe(Route, Service, {520ms, UINT32_MAX, 4}, clock.now());
    CHECK(times.expected(Route, Service, clock.now()) > 0ms);
    CHECK(times.expected(Route, Service, clock.now()) < 520ms);
}

// Guards against a constant of 270 ms for routes that need 110 to 520 ms.
TEST_CASE("the expected time follows the responses of each route")
{
    testing::VirtualClock clock;
    ServiceTimes times;
    for (int i = 0; i < 200; ++i) {
        times.observe(Route, Service, {520ms, 1, 4}, clock.now());
        times.observe(RouteName("short"), Service, {i % 2 == 0 ? 60ms : 160ms, 1, 4}, clock.now());
        clock.advance(20ms);
    }
    CHECK(isNear(times.expected(Route, Service, clock.now()), 520ms));
    CHECK(isNear(times.expected(RouteName("short"), Service, clock.now()), 110ms));
    for (int i = 0; i < 800; ++i) {
        times.observe(Route, Service, {130ms, 1, 4}, clock.now());
        clock.advance(200ms);
    }
    CHECK(isNear(times.expected(Route, Service, clock.now()), 130ms));
    for (const auto &measured : times.measurements(clock.now())) {
        if (measured.route == RouteName("short")) {
            CHECK(measured.highWork >= 160ms);
            CHECK(measured.highWork < 240ms);
        }
    }
}

// Waiting at the server is not work: counted as work, the capacity would seem to fall while it is fully used.
TEST_CASE("waiting at a server raises the expected response time, not the expected work")
{
    testing::VirtualClock clock;
    ServiceTimes times;
    for (int i = 0; i < 200; ++i) {
        times.observe(Route, Service, {600ms, 11, 4}, clock.now());
        clock.advance(20ms);
    }
    CHECK(isNear(times.expected(Route, Service, clock.now()), 200ms));
    CHECK(isNear(times.expectedResponse(Route, Service, clock.now()), 600ms));
    clock.advance(20s);
    CHECK(isNear(times.expectedResponse(Route, Service, clock.now()), 200ms));
}
