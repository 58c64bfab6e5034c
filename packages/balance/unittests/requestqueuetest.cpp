#include <rhubarbtiller/balance/requestqueue.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");

namespace {

/// A queue of a service whose slots all belong to one host.
class QueueFixture
{
public:
    explicit QueueFixture(std::uint32_t slots = 10)
    {
        this->queue.setUsableSlots(Service, slots, 1);
    }

    QueuedRequest request(std::uint64_t id, int priority, Duration startWithin = 1h)
    {
        QueuedRequest made;
        made.id = id;
        made.priority = priority;
        made.arrivedAt = this->clock.now();
        made.startDeadline = this->clock.now() + startWithin;
        made.expectedWork = 100ms;
        made.expectedResponse = 100ms;
        made.route = RouteName("priority " + std::to_string(priority));
        return made;
    }

    QueuedRequest requestWithObjective(std::uint64_t id, int priority, Duration objective)
    {
        auto made = this->request(id, priority);
        made.objectiveAt = this->clock.now() + objective;
        return made;
    }

    std::vector<std::uint64_t> push(const QueuedRequest &request)
    {
        std::vector<std::uint64_t> refused;
        for (const auto &refusal : this->queue.push(Service, request, this->clock.now())) {
            refused.push_back(refusal.id);
        }
        return refused;
    }

    std::vector<std::uint64_t> startAll()
    {
        std::vector<std::uint64_t> order;
        while (const auto *const next = this->queue.next(Service, this->clock.now())) {
            order.push_back(next->id);
            this->queue.onStarted(Service, order.back(), this->clock.now());
        }
        return order;
    }

    testing::VirtualClock clock;
    RequestQueue queue;
};

} // namespace

TEST_CASE("more urgent requests go first, and among equals those that came first")
{
    QueueFixture fixture;
    CHECK(fixture.push(fixture.request(1, 2)).empty());
    CHECK(fixture.push(fixture.request(2, 1)).empty());
    CHECK(fixture.push(fixture.request(3, 1)).empty());
    CHECK(fixture.startAll() == std::vector<std::uint64_t>{2, 3, 1});
    CHECK(fixture.queue.isEmpty());
}

// One slot starts a request each 100 ms.
TEST_CASE("a full queue refuses the least urgent at once; this may be the one that comes")
{
    QueueFixture fixture(1);
    CHECK(fixture.push(fixture.request(1, 1, 150ms)).empty());
    CHECK(fixture.push(fixture.request(2, 2, 150ms)).empty());
    CHECK(fixture.push(fixture.request(3, 2, 150ms)) == std::vector<std::uint64_t>{3});
    CHECK(fixture.push(fixture.request(4, 0, 150ms)) == std::vector<std::uint64_t>{2});
    CHECK(fixture.startAll() == std::vector<std::uint64_t>{4, 1});
}

TEST_CASE("no request is queued without usable servers")
{
    QueueFixture fixture(0);
    const auto refusals = fixture.queue.push(Service, fixture.request(1, 0), fixture.clock.now());
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].id == 1);
    CHECK(refusals[0].cause == QueueRefusalCause::NoCapacity);
    CHECK(fixture.queue.isEmpty());
}

TEST_CASE("requests that can no longer start in time are removed")
{
    QueueFixture fixture;
    fixture.push(fixture.request(1, 0, 100ms));
    fixture.push(fixture.request(2, 0, 300ms));
    fixture.clock.advance(200ms);
    const auto expired = fixture.queue.removeUnservable(fixture.clock.now());
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].id == 1);
    CHECK(expired[0].cause == QueueRefusalCause::Expired);
    CHECK(fixture.queue.next(Service, fixture.clock.now())->id == 2);
}

TEST_CASE("a queue holds the requests that the shared slots can start in time, by their measured work")
{
    const auto queuedAt = [](std::size_t hosts, Duration work) {
        QueueFixture fixture;
        fixture.queue.setUsableSlots(Service, 54, hosts);
        int queued = 0;
        for (std::uint64_t id = 1; id <= 500; ++id) {
            auto request = fixture.request(id, 0, 500ms);
            request.expectedWork = work;
            queued += fixture.push(request).empty() ? 1 : 0;
        }
        return queued;
    };
    CHECK(queuedAt(1, 270ms) == 101);
    CHECK(queuedAt(4, 270ms) == 26);
    CHECK(queuedAt(4, 135ms) == 51);
}

TEST_CASE("a request that can no longer meet its objective yields to one of its priority that still can")
{
    QueueFixture fixture;
    fixture.push(fixture.requestWithObjective(1, 1, 500ms));
    fixture.clock.advance(450ms);
    fixture.push(fixture.requestWithObjective(2, 1, 500ms));
    fixture.push(fixture.requestWithObjective(3, 2, 500ms));
    fixture.push(fixture.requestWithObjective(4, 3, 500ms));
    CHECK(fixture.startAll() == std::vector<std::uint64_t>{2, 1, 3, 4});
}

TEST_CASE("among equals the earlier objective goes first")
{
    QueueFixture fixture;
    fixture.push(fixture.requestWithObjective(1, 1, 2s));
    fixture.push(fixture.requestWithObjective(2, 1, 800ms));
    CHECK(fixture.startAll() == std::vector<std::uint64_t>{2, 1});
}

// A request that came back would otherwise take the place of one that still meets its objective, or queue behind newer late ones.
TEST_CASE("a returning caller keeps the objective and the place of its first attempt")
{
    QueueFixture fixture;
    ServiceTimes times;
    catalog::Route route;
    route.name = RouteName("route");
    route.latencyObjective = 1s;
    const auto now = fixture.clock.now();
    auto fresh = makeQueuedRequest({route, Service, {}, 0, now - 100ms, now + 3900ms}, times, now);
    fresh.id = 1;
    auto returnedInTime = makeQueuedRequest({route, Service, {}, 0, now, now + 3700ms, 300ms}, times, now);
    returnedInTime.id = 2;
    auto returnedLate = makeQueuedRequest({route, Service, {}, 0, now, now + 2s, 2s}, times, now);
    returnedLate.id = 3;
    fixture.push(fresh);
    fixture.push(returnedInTime);
    fixture.push(returnedLate);
    CHECK(fixture.startAll() == std::vector<std::uint64_t>{2, 1, 3});
}

TEST_CASE("a request is not started so late that its response comes after the time limit")
{
    QueueFixture fixture;
    ServiceTimes times;
    catalog::Route route;
    route.latencyObjective = 1s;
    const auto now = fixture.clock.now();
    const auto request = makeQueuedRequest({route, Service, {}, 0, now, now + 800ms}, times, now);
    CHECK(request.startDeadline + DefaultServiceTime < now + 800ms);
    CHECK(request.objectiveAt == now + 800ms);
}

TEST_CASE("a route without a latency objective keeps the order of arrival and waits for 0.4 of the time")
{
    QueueFixture fixture;
    ServiceTimes times;
    catalog::Route route;
    const auto now = fixture.clock.now();
    const auto request = makeQueuedRequest({route, Service, {}, 0, now, now + 1s}, times, now);
    CHECK(request.startDeadline == now + 400ms);
    CHECK_FALSE(request.isLate(now + 1h));
}

TEST_CASE("a request that cannot be placed does not hold up requests of another class")
{
    QueueFixture fixture;
    auto first = fixture.request(1, 0);
    first.placementClass = PlacementClass::AtMostOnce;
    auto second = fixture.request(2, 1);
    second.placementClass = PlacementClass::Idempotent;
    fixture.push(first);
    fixture.push(second);
    CHECK(fixture.queue.next(Service, fixture.clock.now())->id == 1);
    CHECK(fixture.queue.next(Service, fixture.clock.now(), {PlacementClass::AtMostOnce})->id == 2);
    CHECK(fixture.queue.next(Service, fixture.clock.now(), {PlacementClass::AtMostOnce, PlacementClass::Idempotent}) == nullptr);
}

// Load: a more urgent kind alone needs twice the capacity for 10 s.
TEST_CASE("a less urgent kind starts at least a quarter as often as all")
{
    QueueFixture fixture(1);
    unsigned started = 0;
    unsigned startedLessUrgent = 0;
    std::uint64_t id = 0;
    static constexpr int Steps = 100;
    for (int step = 0; step < Steps; ++step) {
        for (const int priority : {0, 0, 3}) {
            fixture.queue.onArrival(Service, 100ms, fixture.clock.now());
            fixture.push(fixture.request(++id, priority, 1s));
        }
        fixture.clock.advance(100ms);
        fixture.queue.removeUnservable(fixture.clock.now());
        if (const auto *const next = fixture.queue.next(Service, fixture.clock.now())) {
            ++started;
            startedLessUrgent += next->priority == 3 ? 1 : 0;
            fixture.queue.onStarted(Service, next->id, fixture.clock.now());
            fixture.queue.onCompleted(Service, 100ms, fixture.clock.now());
        }
    }
    CHECK(started > 90);
    CHECK(static_cast<double>(startedLessUrgent) / Steps >= 0.25 * started / (3 * Steps));
    CHECK(static_cast<double>(startedLessUrgent) / Steps <= static_cast<double>(started - startedLessUrgent) / (2 * Steps));
}
