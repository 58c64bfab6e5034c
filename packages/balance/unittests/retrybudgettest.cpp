#include <rhubarbtiller/balance/retrybudget.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");

TEST_CASE("retries stay within the ratio of the requests plus the own share of the slack")
{
    testing::VirtualClock clock;
    RetryBudget budget({0.2, 60, 10s});
    budget.setSlackShare(0.1);
    for (int i = 0; i < 100; ++i) {
        budget.onRequest(Service, clock.now());
    }
    int retries = 0;
    while (budget.tryRetry(Service, 0, clock.now())) {
        ++retries;
        REQUIRE(retries < 1000);
    }
    CHECK(retries <= 26);
    CHECK(retries >= 20);
}

TEST_CASE("one service does not consume the budget of another")
{
    testing::VirtualClock clock;
    RetryBudget budget({0.2, 10, 10s});
    budget.setSlackShare(1);
    while (budget.tryRetry(Service, 0, clock.now())) { }
    CHECK(budget.tryRetry(catalog::ServiceName("other"), 0, clock.now()));
}

TEST_CASE("the budget is available again after the window has passed")
{
    testing::VirtualClock clock;
    RetryBudget budget({0.2, 10, 10s});
    budget.setSlackShare(1);
    while (budget.tryRetry(Service, 0, clock.now())) { }
    clock.advance(9s);
    CHECK_FALSE(budget.tryRetry(Service, 0, clock.now()));
    clock.advance(2s);
    CHECK(budget.tryRetry(Service, 0, clock.now()));
}

TEST_CASE("less urgent requests leave a reserve of the budget")
{
    testing::VirtualClock clock;
    RetryBudget budget({0.2, 100, 10s});
    budget.setSlackShare(1);
    while (budget.tryRetry(Service, 0.35, clock.now())) { }
    CHECK(budget.tryRetry(Service, 0, clock.now()));
}
