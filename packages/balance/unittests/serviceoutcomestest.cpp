#include <rhubarbtiller/balance/serviceoutcomes.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");

TEST_CASE("servers are tried when nearly a tenth of the requests is not served")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    for (int i = 0; i < 100; ++i) {
        outcomes.note(Service, i % 14 != 0, false, clock.now());
    }
    CHECK_FALSE(outcomes.needsTrials(Service, clock.now()));
    outcomes.note(Service, false, false, clock.now());
    outcomes.note(Service, false, false, clock.now());
    CHECK(outcomes.needsTrials(Service, clock.now()));
    CHECK_FALSE(outcomes.needsTrials(catalog::ServiceName("other"), clock.now()));
}

TEST_CASE("few failures do not count, and old ones are forgotten")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    outcomes.note(Service, false, false, clock.now());
    outcomes.note(Service, false, false, clock.now());
    CHECK_FALSE(outcomes.needsTrials(Service, clock.now()));
    outcomes.note(Service, false, false, clock.now());
    CHECK(outcomes.needsTrials(Service, clock.now()));
    clock.advance(5s);
    CHECK_FALSE(outcomes.needsTrials(Service, clock.now()));
}

TEST_CASE("a service with requests that can be repeated needs no trials")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    for (int i = 0; i < 100; ++i) {
        outcomes.note(Service, i % 2 == 0, i % 5 == 0, clock.now());
    }
    CHECK_FALSE(outcomes.needsTrials(Service, clock.now()));
}

TEST_CASE("recent outcomes are counted by service")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    for (int i = 0; i < 4; ++i) {
        outcomes.note(Service, i > 0, false, clock.now());
    }
    outcomes.note(catalog::ServiceName("other"), true, true, clock.now());
    const auto counts = outcomes.recent(clock.now());
    REQUIRE(counts.size() == 2);
    CHECK(counts.at(Service).unservedShare() == doctest::Approx(0.25));
    CHECK(counts.at(catalog::ServiceName("other")).unservedShare() == 0);
    clock.advance(5s);
    CHECK(outcomes.recent(clock.now()).empty());
}
