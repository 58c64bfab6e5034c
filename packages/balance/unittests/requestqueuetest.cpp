#include <rhubarbtiller/balance/requestqueue.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");

static QueuedRequest ticket(std::uint64_t id, int priority, MonotonicTime latestStart = MonotonicTime(1h))
{
    return {id, priority, latestStart};
}

TEST_CASE("more urgent requests go first, and among equals those that came first")
{
    RequestQueue line;
    CHECK(line.push(Service, ticket(1, 2), 10).empty());
    CHECK(line.push(Service, ticket(2, 1), 10).empty());
    CHECK(line.push(Service, ticket(3, 1), 10).empty());
    std::vector<std::uint64_t> order;
    while (const auto id = line.nextId(Service)) {
        order.push_back(*id);
        line.remove(Service, *id);
    }
    CHECK(order == std::vector<std::uint64_t>{2, 3, 1});
    CHECK(line.isEmpty());
}

TEST_CASE("a full line refuses the least urgent at once, which may be the one that comes")
{
    RequestQueue line;
    line.push(Service, ticket(1, 1), 2);
    line.push(Service, ticket(2, 2), 2);
    CHECK(line.push(Service, ticket(3, 2), 2) == std::vector<std::uint64_t>{3});
    CHECK(line.push(Service, ticket(4, 0), 2) == std::vector<std::uint64_t>{2});
    CHECK(*line.nextId(Service) == 4);
}

TEST_CASE("without usable servers nobody waits")
{
    RequestQueue line;
    CHECK(line.push(Service, ticket(1, 0), maxQueueLength(0, 1s, 6)) == std::vector<std::uint64_t>{1});
    CHECK(line.isEmpty());
}

TEST_CASE("requests that cannot start in time any more are taken out")
{
    testing::VirtualClock clock;
    RequestQueue line;
    line.push(Service, ticket(1, 0, clock.now() + 100ms), 10);
    line.push(Service, ticket(2, 0, clock.now() + 300ms), 10);
    clock.advance(200ms);
    CHECK(line.removeExpired(clock.now()) == std::vector<std::uint64_t>{1});
    CHECK(*line.nextId(Service) == 2);
}

TEST_CASE("the line holds what the shared slots can start within the patience")
{
    CHECK(maxQueueLength(54, 500ms, 1) == 100);
    CHECK(maxQueueLength(54, 500ms, 4) == 25);
    CHECK(maxQueueTime(1s) < 500ms);
}
