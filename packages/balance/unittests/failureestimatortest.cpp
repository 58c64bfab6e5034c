#include <rhubarbtiller/balance/failureestimator.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

TEST_CASE("one broken answer after five successes makes a server more likely failing than healthy")
{
    testing::VirtualClock clock;
    FailureEstimator estimator;
    for (int i = 0; i < 5; ++i) {
        estimator.observe(Evidence::Success, clock.now());
        clock.advance(500ms);
    }
    REQUIRE(estimator.failureProbability(clock.now()) < 0.05);
    estimator.observe(Evidence::BrokenAnswer, clock.now());
    CHECK(estimator.failingProbability(clock.now()) > 0.5);
}

TEST_CASE("a few successes lower the failure estimate of a failing server again")
{
    testing::VirtualClock clock;
    FailureEstimator estimator;
    estimator.observe(Evidence::BrokenAnswer, clock.now());
    int successes = 0;
    while (estimator.failureProbability(clock.now()) > 0.1) {
        estimator.observe(Evidence::Success, clock.now());
        ++successes;
        REQUIRE(successes < 10);
    }
    CHECK(successes >= 2);
}

TEST_CASE("the failure estimate returns to its stationary value without requests")
{
    testing::VirtualClock clock;
    FailureEstimator failing;
    FailureEstimator succeeding;
    failing.observe(Evidence::BrokenAnswer, clock.now());
    for (int i = 0; i < 5; ++i) {
        succeeding.observe(Evidence::Success, clock.now());
    }
    clock.advance(60s);
    const FailureEstimator unknown;
    CHECK(failing.failureProbability(clock.now()) == doctest::Approx(succeeding.failureProbability(clock.now())).epsilon(0.01));
    CHECK(failing.failureProbability(clock.now()) <= doctest::Approx(unknown.failureProbability(clock.now())).epsilon(0.3));
}

TEST_CASE("a shed request hardly changes the failure estimate")
{
    testing::VirtualClock clock;
    FailureEstimator estimator;
    estimator.observe(Evidence::Success, clock.now());
    estimator.observe(Evidence::Shed, clock.now());
    CHECK(estimator.failingProbability(clock.now()) < 0.1);
}

TEST_CASE("errors of one in eighty requests rarely raise the failing probability of a server above 0.3")
{
    testing::VirtualClock clock;
    FailureEstimator estimator;
    int suspectSteps = 0;
    for (int i = 0; i < 800; ++i) {
        estimator.observe(i % 80 == 79 ? Evidence::ServerError : Evidence::Success, clock.now());
        clock.advance(500ms);
        suspectSteps += estimator.failingProbability(clock.now()) > 0.3 ? 1 : 0;
    }
    CHECK(suspectSteps <= 20);
}
