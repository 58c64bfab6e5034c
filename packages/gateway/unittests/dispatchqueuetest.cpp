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

    void onRejected() override
    {
        this->isRejected = true;
    }

    bool hasRoom = false;
    bool hasStarted = false;
    bool isRejected = false;
};

} // namespace

static const catalog::ServiceName Service("service");

TEST_CASE("a more urgent request displaces the last one of a full queue")
{
    testing::VirtualClock clock;
    DispatchQueue queue;
    const auto first = std::make_shared<FakeEntry>();
    const auto urgent = std::make_shared<FakeEntry>();
    const auto late = std::make_shared<FakeEntry>();
    CHECK(queue.enqueue(Service, 2, clock.now() + 1s, 1, first) != 0);
    CHECK(queue.enqueue(Service, 0, clock.now() + 1s, 1, urgent) != 0);
    CHECK(first->isRejected);
    CHECK(queue.enqueue(Service, 2, clock.now() + 1s, 1, late) == 0);
    // The return value reports that this request was not queued.
    CHECK_FALSE(late->isRejected);
}

TEST_CASE("requests start in order while slots are free, and are rejected after their latest start")
{
    testing::VirtualClock clock;
    DispatchQueue queue;
    const auto first = std::make_shared<FakeEntry>();
    const auto second = std::make_shared<FakeEntry>();
    queue.enqueue(Service, 1, clock.now() + 1s, 5, first);
    queue.enqueue(Service, 1, clock.now() + 2s, 5, second);
    second->hasRoom = true;
    queue.dispatch(clock.now());
    CHECK_FALSE(second->hasStarted);
    clock.advance(1500ms);
    queue.dispatch(clock.now());
    CHECK(first->isRejected);
    CHECK(second->hasStarted);
    CHECK(queue.isEmpty());
}
