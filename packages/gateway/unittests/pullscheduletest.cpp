#include "pullschedule.h"

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

namespace {

/// A schedule of a host whose replica has version 10.
class ScheduleFixture
{
public:
    void announce(const std::string &host, std::uint64_t version)
    {
        this->schedule.onAnnouncement({HostId(host), FailureDomainId(host.substr(0, 1)), Endpoint(host), {StoreEra(), version}, 250ms},
                                      OwnVersion,
                                      this->clock.now());
    }

    /// Returns the peer to pull from now; empty for none.
    std::string next()
    {
        const auto pull = this->schedule.next(OwnVersion, this->clock.now());
        return pull ? pull->host.text() : "";
    }

    static constexpr StoreVersion OwnVersion{StoreEra(), 10};
    testing::VirtualClock clock;
    PullSchedule schedule{FailureDomainId("a")};
};

} // namespace

TEST_CASE("a peer that announces a change and falls silent delays the pull from another peer")
{
    ScheduleFixture fixture;
    fixture.announce("a1", 15);
    CHECK(fixture.next() == "a1");
    fixture.announce("a2", 15);
    CHECK(fixture.next().empty());
    fixture.clock.advance(300ms);
    fixture.announce("a2", 15);
    CHECK(fixture.next().empty());
    fixture.clock.advance(150ms);
    CHECK(fixture.next() == "a2");
}

TEST_CASE("a pull that timed out is repeated from the same peer although another has the version")
{
    ScheduleFixture fixture;
    fixture.announce("a1", 15);
    CHECK(fixture.next() == "a1");
    fixture.clock.advance(500ms);
    fixture.schedule.onEnd(HostId("a1"), PullOutcome::TimedOut, fixture.clock.now());
    fixture.announce("a1", 16);
    fixture.announce("a2", 15);
    CHECK(fixture.next() == "a2");
}

TEST_CASE("pulls from a host that has ended follow each other without a pause")
{
    ScheduleFixture fixture;
    fixture.announce("a1", 15);
    CHECK(fixture.next() == "a1");
    fixture.schedule.onEnd(HostId("a1"), PullOutcome::Failed, fixture.clock.now());
    for (int i = 0; i < 10; ++i) {
        fixture.clock.advance(100ms);
        CHECK(fixture.next().empty());
    }
    fixture.announce("a1", 15);
    CHECK(fixture.next() == "a1");
}

TEST_CASE("pulls that compete for a slow link delay each other")
{
    ScheduleFixture fixture;
    fixture.announce("a1", 15);
    fixture.announce("a2", 15);
    CHECK(fixture.next() == "a1");
    for (int i = 0; i < 10; ++i) {
        fixture.clock.advance(100ms);
        fixture.announce("a1", 15);
        fixture.announce("a2", 15);
        CHECK(fixture.next().empty());
    }
}

TEST_CASE("a change is pulled over the border of a failure domain only if it does not arrive inside")
{
    ScheduleFixture fixture;
    fixture.announce("b1", 15);
    CHECK(fixture.next().empty());
    fixture.clock.advance(250ms);
    CHECK(fixture.next() == "b1");
}

TEST_CASE("a host that is not behind pulls nothing")
{
    ScheduleFixture fixture;
    fixture.announce("a1", ScheduleFixture::OwnVersion.number);
    CHECK(fixture.next().empty());
    CHECK_FALSE(fixture.schedule.behindSince());
    fixture.announce("a1", 15);
    CHECK(fixture.schedule.behindSince());
    fixture.schedule.onOwnVersion({StoreEra(), 15}, fixture.clock.now());
    CHECK_FALSE(fixture.schedule.behindSince());
    CHECK(fixture.next().empty());
}
