#include <rhubarbtiller/limits/retrybudget.h>

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace rhubarbtiller;
using namespace rhubarbtiller::limits;
using namespace std::chrono_literals;

static const MonotonicTime start{std::chrono::hours(1)};
static const RetryBudgetSettings tenPercent{Percent(10), 3, 10s};

static int retriesAllowed(RetryBudget &budget, MonotonicTime now)
{
    int allowed = 0;
    while (budget.tryRetry(now)) {
        ++allowed;
    }
    return allowed;
}

// Guards against retries that multiply the load of a failing pool, and against a quiet pool that may never retry.
TEST_CASE("retries are a share of the requests with a small minimum")
{
    RetryBudget budget(tenPercent);
    CHECK(retriesAllowed(budget, start) == 3);
    for (int i = 0; i < 200; ++i) {
        budget.onRequest(start);
    }
    CHECK(retriesAllowed(budget, start) == 17);
}

// Guards against a budget that old requests fill forever, or that old retries block forever.
TEST_CASE("events leave the window")
{
    RetryBudget budget(tenPercent);
    for (int i = 0; i < 200; ++i) {
        budget.onRequest(start);
    }
    CHECK(retriesAllowed(budget, start) == 20);
    CHECK_FALSE(budget.tryRetry(start + 8s));
    CHECK(retriesAllowed(budget, start + 11s) == 3);
    CHECK(budget.isIdle(start + 1h));
}

// Guards against a refused retry that uses up budget.
TEST_CASE("a refused retry is not counted")
{
    RetryBudget budget(tenPercent);
    CHECK(retriesAllowed(budget, start) == 3);
    for (int i = 0; i < 100; ++i) {
        CHECK_FALSE(budget.tryRetry(start));
    }
    for (int i = 0; i < 40; ++i) {
        budget.onRequest(start);
    }
    CHECK(retriesAllowed(budget, start) == 1);
}

// Guards against threads that each see room for one more retry.
TEST_CASE("threads that race make no more retries than allowed")
{
    RetryBudgets budgets(tenPercent);
    const PoolName pool("seats");
    for (int i = 0; i < 1000; ++i) {
        budgets.onRequest(pool, start);
    }
    std::atomic<int> allowed{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int k = 0; k < 300; ++k) {
                allowed += budgets.tryRetry(pool, start) ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK(allowed <= 100);
    CHECK(allowed > 0);
}

// Guards against pools that share a budget, and entries that stay after their pool is gone.
TEST_CASE("each pool has its own budget, which vanishes when idle")
{
    RetryBudgets budgets(tenPercent);
    for (int i = 0; i < 100; ++i) {
        budgets.onRequest(PoolName("forecast"), start);
    }
    int allowed = 0;
    while (budgets.tryRetry(PoolName("payments"), start)) {
        ++allowed;
    }
    CHECK(allowed == 3);
    CHECK(budgets.entryCount() == 2);
    CHECK(budgets.dropIdle(start + 5s) == 0);
    CHECK(budgets.dropIdle(start + 11s) == 2);
    CHECK(budgets.entryCount() == 0);
}

// Guards against a count lost, or an entry freed, when the removal races with use.
TEST_CASE("removal races with use")
{
    RetryBudgets budgets(tenPercent);
    std::atomic<bool> stop{false};
    std::atomic<std::int64_t> seconds{0};
    std::thread remover([&] {
        while (!stop) {
            budgets.dropIdle(start + std::chrono::seconds(seconds));
        }
    });
    for (int i = 0; i < 200; ++i) {
        const MonotonicTime now = start + std::chrono::seconds(seconds);
        for (int k = 0; k < 40; ++k) {
            budgets.onRequest(PoolName("seats"), now);
        }
        int allowed = 0;
        while (budgets.tryRetry(PoolName("seats"), now)) {
            ++allowed;
        }
        CHECK(allowed == 4);
        seconds += 20;
    }
    stop = true;
    remover.join();
}
