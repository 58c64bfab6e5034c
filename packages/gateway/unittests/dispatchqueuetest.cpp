#include "dispatchqueue.h"

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

namespace {

class FakeWaiter : public WaitingRequests::Waiter
{
public:
    bool tryStart() override
    {
        this->hasStarted = this->hasRoom;
        return this->hasRoom;
    }

    void turnAway() override
    {
        this->isTurnedAway = true;
    }

    bool hasRoom = false;
    bool hasStarted = false;
    bool isTurnedAway = false;
};

} // namespace

static const catalog::ServiceName Service("service");

TEST_CASE("a more urgent request takes the place of the last one")
{
    testing::VirtualClock clock;
    WaitingRequests waiting;
    const auto first = std::make_shared<FakeWaiter>();
    const auto urgent = std::make_shared<FakeWaiter>();
    const auto late = std::make_shared<FakeWaiter>();
    CHECK(waiting.join(Service, 2, clock.now() + 1s, 1, first) != 0);
    CHECK(waiting.join(Service, 0, clock.now() + 1s, 1, urgent) != 0);
    CHECK(first->isTurnedAway);
    CHECK(waiting.join(Service, 2, clock.now() + 1s, 1, late) == 0);
    // The return value reports that this request was not queued.
    CHECK_FALSE(late->isTurnedAway);
}

TEST_CASE("requests start in their order while there is room, and are turned away when they are too late")
{
    testing::VirtualClock clock;
    WaitingRequests waiting;
    const auto first = std::make_shared<FakeWaiter>();
    const auto second = std::make_shared<FakeWaiter>();
    waiting.join(Service, 1, clock.now() + 1s, 5, first);
    waiting.join(Service, 1, clock.now() + 2s, 5, second);
    second->hasRoom = true;
    waiting.pump(clock.now());
    CHECK_FALSE(second->hasStarted);
    clock.advance(1500ms);
    waiting.pump(clock.now());
    CHECK(first->isTurnedAway);
    CHECK(second->hasStarted);
    CHECK(waiting.isEmpty());
}
