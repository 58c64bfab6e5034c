#include <rhubarbtiller/balance/serviceoutcomes.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");

/// Returns whether this host's own outcomes make every request a trial.
static bool needsTrials(const ServiceOutcomes &outcomes, const catalog::ServiceName &service, MonotonicTime now)
{
    return outcomes.trialPolicy(service, false, now) == TrialPolicy::All;
}

TEST_CASE("servers are tried when nearly a tenth of the requests is not served")
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

TEST_CASE("few failures do not count, and old ones are forgotten")
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

TEST_CASE("a service with requests that can be repeated needs no trials")
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

TEST_CASE("while a service does well, one in ten requests may be used for a trial")
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
    // Ten tenths may sum up to a little less than one.
    CHECK(trials >= 19);
    CHECK(trials <= 20);
}

TEST_CASE("all requests may be used for trials while the evidence of all hosts says that the service fails")
{
    testing::VirtualClock clock;
    ServiceOutcomes outcomes;
    CHECK(outcomes.trialPolicy(Service, true, clock.now()) == TrialPolicy::None);
    outcomes.recordOutcome(Service, true, false, clock.now());
    CHECK(outcomes.trialPolicy(Service, false, clock.now()) == TrialPolicy::None);
    CHECK(outcomes.trialPolicy(Service, true, clock.now()) == TrialPolicy::All);
    outcomes.recordOutcome(Service, true, true, clock.now());
    CHECK(outcomes.trialPolicy(Service, true, clock.now()) == TrialPolicy::None);
}
