#include <rhubarbtiller/balance/requestqueue.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");

static QueuedRequest request(std::uint64_t id, int priority, MonotonicTime latestStart = MonotonicTime(1h))
{
    return {id, priority, latestStart};
}

TEST_CASE("more urgent requests go first, and among equals those that came first")
{
    RequestQueue queue;
    CHECK(queue.push(Service, request(1, 2), 10).empty());
    CHECK(queue.push(Service, request(2, 1), 10).empty());
    CHECK(queue.push(Service, request(3, 1), 10).empty());
    std::vector<std::uint64_t> order;
    while (const auto id = queue.nextId(Service)) {
        order.push_back(*id);
        queue.remove(Service, *id);
    }
    CHECK(order == std::vector<std::uint64_t>{2, 3, 1});
    CHECK(queue.isEmpty());
}

TEST_CASE("a full queue refuses the least urgent at once; this may be the one that comes")
{
    RequestQueue queue;
    queue.push(Service, request(1, 1), 2);
    queue.push(Service, request(2, 2), 2);
    CHECK(queue.push(Service, request(3, 2), 2) == std::vector<std::uint64_t>{3});
    CHECK(queue.push(Service, request(4, 0), 2) == std::vector<std::uint64_t>{2});
    CHECK(*queue.nextId(Service) == 4);
}

TEST_CASE("no request is queued without usable servers")
{
    RequestQueue queue;
    CHECK(queue.push(Service, request(1, 0), maxQueueLength(0, 1s, 6)) == std::vector<std::uint64_t>{1});
    CHECK(queue.isEmpty());
}

TEST_CASE("requests that can no longer start in time are removed")
{
    testing::VirtualClock clock;
    RequestQueue queue;
    queue.push(Service, request(1, 0, clock.now() + 100ms), 10);
    queue.push(Service, request(2, 0, clock.now() + 300ms), 10);
    clock.advance(200ms);
    CHECK(queue.removeExpired(clock.now()) == std::vector<std::uint64_t>{1});
    CHECK(*queue.nextId(Service) == 2);
}

TEST_CASE("the maximum queue length is the number of requests that the shared slots can start within the queue time")
{
    CHECK(maxQueueLength(54, 500ms, 1) == 100);
    CHECK(maxQueueLength(54, 500ms, 4) == 25);
    CHECK(maxQueueTime(1s) < 500ms);
}
