#include <rhubarbtiller/balance/serviceoutcomes.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");

TEST_CASE("a service fails its callers when more than a twentieth of the requests is not served")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    for (int i = 0; i < 100; ++i) {
        outcomes.note(Service, i % 25 != 0, clock.now());
    }
    CHECK_FALSE(outcomes.isFailing(Service, clock.now()));
    outcomes.note(Service, false, clock.now());
    outcomes.note(Service, false, clock.now());
    CHECK(outcomes.isFailing(Service, clock.now()));
    CHECK_FALSE(outcomes.isFailing(catalog::ServiceName("other"), clock.now()));
}

TEST_CASE("a single failure among few requests does not count, and old ones are forgotten")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    outcomes.note(Service, false, clock.now());
    CHECK_FALSE(outcomes.isFailing(Service, clock.now()));
    outcomes.note(Service, false, clock.now());
    CHECK(outcomes.isFailing(Service, clock.now()));
    clock.advance(5s);
    CHECK_FALSE(outcomes.isFailing(Service, clock.now()));
}
