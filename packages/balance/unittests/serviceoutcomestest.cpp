#include <rhubarbtiller/balance/serviceoutcomes.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");

TEST_CASE("recent outcomes are counted by service")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    for (int i = 0; i < 4; ++i) {
        outcomes.note(Service, i > 0, clock.now());
    }
    outcomes.note(catalog::ServiceName("other"), true, clock.now());
    const auto counts = outcomes.recent(clock.now());
    REQUIRE(counts.size() == 2);
    CHECK(counts.at(Service).unservedShare() == doctest::Approx(0.25));
    CHECK(counts.at(catalog::ServiceName("other")).unservedShare() == 0);
    clock.advance(5s);
    CHECK(outcomes.recent(clock.now()).empty());
}
