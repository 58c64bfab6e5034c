#include <rhubarbtiller/balance/serviceoutcomes.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");

/// Returns whether the outcomes recorded by this host alone allow all requests to be trials.
static bool needsTrials(const ServiceOutcomes &outcomes, const catalog::ServiceName &service, MonotonicTime now)
{
    return outcomes.trialPolicy(service, false, now) == TrialPolicy::All;
}

TEST_CASE("all requests may be trials when more than 8 in 100 requests are not served")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    for (int i = 0; i < 100; ++i) {
        outcomes.recordOutcome(Service, i % 14 != 0, false, clock.now());
    }
    CHECK_FALSE(needsTrials(outcomes, Service, clock.now()));
    outcomes.recordOutcome(Service, false, false, clock.now());
    outcomes.recordOutcome(Service, false, false, clock.now());
    CHECK(needsTrials(outcomes, Service, clock.now()));
    CHECK_FALSE(needsTrials(outcomes, catalog::ServiceName("other"), clock.now()));
}

TEST_CASE("fewer than three failures do not count, and failures expire")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    outcomes.recordOutcome(Service, false, false, clock.now());
    outcomes.recordOutcome(Service, false, false, clock.now());
    CHECK_FALSE(needsTrials(outcomes, Service, clock.now()));
    outcomes.recordOutcome(Service, false, false, clock.now());
    CHECK(needsTrials(outcomes, Service, clock.now()));
    clock.advance(5s);
    CHECK_FALSE(needsTrials(outcomes, Service, clock.now()));
}

TEST_CASE("a service with retryable requests needs no trials")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    for (int i = 0; i < 100; ++i) {
        outcomes.recordOutcome(Service, i % 2 == 0, i % 5 == 0, clock.now());
    }
    CHECK_FALSE(needsTrials(outcomes, Service, clock.now()));
}

TEST_CASE("recent outcomes are counted by service")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    for (int i = 0; i < 4; ++i) {
        outcomes.recordOutcome(Service, i > 0, false, clock.now());
    }
    outcomes.recordOutcome(catalog::ServiceName("other"), true, true, clock.now());
    const auto counts = outcomes.recentCounts(clock.now());
    REQUIRE(counts.size() == 2);
    CHECK(counts.at(Service).unservedShare() == doctest::Approx(0.25));
    CHECK(counts.at(catalog::ServiceName("other")).unservedShare() == 0);
    clock.advance(5s);
    CHECK(outcomes.recentCounts(clock.now()).empty());
}

TEST_CASE("one in ten requests may be a trial while a service is healthy")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    int trials = 0;
    for (int i = 0; i < 200; ++i) {
        outcomes.recordOutcome(Service, true, false, clock.now());
        if (outcomes.trialPolicy(Service, false, clock.now()) == TrialPolicy::Few) {
            outcomes.onTrialSent(Service);
            ++trials;
        }
        clock.advance(10ms);
    }
    // The sum of ten tenths may be slightly less than one.
    CHECK(trials >= 19);
    CHECK(trials <= 20);
}

TEST_CASE("all requests may be trials while the evidence of all hosts shows a failing service")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    CHECK(outcomes.trialPolicy(Service, true, clock.now()) == TrialPolicy::BelowFloor);
    outcomes.recordOutcome(Service, true, false, clock.now());
    CHECK(outcomes.trialPolicy(Service, false, clock.now()) == TrialPolicy::None);
    CHECK(outcomes.trialPolicy(Service, true, clock.now()) == TrialPolicy::All);
    outcomes.recordOutcome(Service, true, true, clock.now());
    CHECK(outcomes.trialPolicy(Service, true, clock.now()) == TrialPolicy::None);
}

TEST_CASE("a failing route of another service keeps the servers of a service without retryable requests in use")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    const RouteName moved("moved");
    outcomes.recordOutcome(Service, true, false, clock.now());
    for (int i = 0; i < 20; ++i) {
        outcomes.recordRouteOutcome(moved, i != 0, clock.now());
    }
    CHECK(outcomes.trialPolicy(Service, false, clock.now()) == TrialPolicy::None);
    outcomes.recordRouteOutcome(moved, false, clock.now());
    CHECK(outcomes.trialPolicy(Service, false, clock.now()) == TrialPolicy::BelowFloor);
    clock.advance(1100ms);
    outcomes.recordOutcome(Service, true, false, clock.now());
    CHECK(outcomes.trialPolicy(Service, false, clock.now()) == TrialPolicy::None);
}

TEST_CASE("a service whose requests have paused starts again with its unused servers")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    outcomes.recordOutcome(Service, true, false, clock.now());
    CHECK(outcomes.trialPolicy(Service, false, clock.now()) == TrialPolicy::None);
    clock.advance(5s);
    CHECK(outcomes.trialPolicy(Service, false, clock.now()) == TrialPolicy::BelowFloor);
}
