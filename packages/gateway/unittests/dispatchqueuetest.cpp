#include "dispatchqueue.h"

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

namespace {

class FakeEntry : public DispatchQueue::Entry
{
public:
    bool tryStart() override
    {
        this->hasStarted = this->hasRoom;
        return this->hasRoom;
    }

    void onRejected(const balance::QueueRefusal &) override
    {
        this->isRejected = true;
    }

    bool hasRoom = false;
    bool hasStarted = false;
    bool isRejected = false;
};

} // namespace

static const catalog::ServiceName Service("service");

/// Returns a request that needs 100 ms.
static balance::QueuedRequest queuedRequest(int priority, MonotonicTime startDeadline)
{
    balance::QueuedRequest request;
    request.priority = priority;
    request.startDeadline = startDeadline;
    request.expectedWork = 100ms;
    return request;
}

TEST_CASE("a more urgent request displaces the last one of a full queue")
{
    testing::VirtualClock clock;
    DispatchQueue queue;
    queue.requests().setUsableSlots(Service, 1, 1);
    const auto first = std::make_shared<FakeEntry>();
    const auto urgent = std::make_shared<FakeEntry>();
    const auto late = std::make_shared<FakeEntry>();
    // One slot starts one of them within 50 ms.
    CHECK(queue.enqueue(Service, queuedRequest(2, clock.now() + 50ms), first, clock.now()).ticket != 0);
    CHECK(queue.enqueue(Service, queuedRequest(0, clock.now() + 50ms), urgent, clock.now()).ticket != 0);
    CHECK(first->isRejected);
    const auto refused = queue.enqueue(Service, queuedRequest(2, clock.now() + 50ms), late, clock.now());
    CHECK(refused.ticket == 0);
    REQUIRE(refused.refusal);
    CHECK(refused.refusal->cause == balance::QueueRefusalCause::StartsTooLate);
    // The return value reports that this request was not queued.
    CHECK_FALSE(late->isRejected);
}

TEST_CASE("requests start in order while slots are free, and are rejected after their latest start")
{
    testing::VirtualClock clock;
    DispatchQueue queue;
    queue.requests().setUsableSlots(Service, 1, 1);
    const auto first = std::make_shared<FakeEntry>();
    const auto second = std::make_shared<FakeEntry>();
    queue.enqueue(Service, queuedRequest(1, clock.now() + 1s), first, clock.now());
    queue.enqueue(Service, queuedRequest(1, clock.now() + 2s), second, clock.now());
    second->hasRoom = true;
    queue.dispatch(clock.now());
    CHECK_FALSE(second->hasStarted);
    clock.advance(1500ms);
    queue.dispatch(clock.now());
    CHECK(first->isRejected);
    CHECK(second->hasStarted);
    CHECK(queue.isEmpty());
}

// A request that must avoid unreliable servers would otherwise keep all others from starting.
TEST_CASE("a request without a suitable server does not hold up requests of another class")
{
    testing::VirtualClock clock;
    DispatchQueue queue;
    queue.requests().setUsableSlots(Service, 1, 1);
    const auto blocked = std::make_shared<FakeEntry>();
    const auto other = std::make_shared<FakeEntry>();
    other->hasRoom = true;
    auto idempotent = queuedRequest(1, clock.now() + 1s);
    idempotent.placementClass = balance::PlacementClass::Idempotent;
    queue.enqueue(Service, queuedRequest(0, clock.now() + 1s), blocked, clock.now());
    queue.enqueue(Service, idempotent, other, clock.now());
    queue.dispatch(clock.now());
    CHECK(other->hasStarted);
    CHECK_FALSE(blocked->hasStarted);
    CHECK_FALSE(queue.isEmpty());
}
