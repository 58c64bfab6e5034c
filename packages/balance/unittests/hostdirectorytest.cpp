#include <rhubarbtiller/balance/hostdirectory.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static HostRecord record(const std::string &id, const std::string &domain, std::uint64_t incarnation)
{
    HostRecord made;
    made.id = HostId(id);
    made.failureDomain = FailureDomainId(domain);
    made.callerAddress = Endpoint(id + ":80");
    made.incarnation = Incarnation(incarnation);
    return made;
}

static std::vector<std::string> names(const std::vector<const HostRecord *> &hosts)
{
    std::vector<std::string> result;
    for (const auto *const host : hosts) {
        result.push_back(host->id.text());
    }
    return result;
}

using Names = std::vector<std::string>;

TEST_CASE("the hosts that have run longest are the entry hosts of their failure domain")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 30), 2);
    directory.onBeat(record("old", "a", 10), clock.now());
    directory.onBeat(record("new", "a", 40), clock.now());
    CHECK(names(directory.entryHostsFor(FailureDomainId("a"), clock.now())) == Names{"old", "own"});
    CHECK(directory.ownRank(clock.now()) == 1);
    CHECK(directory.isEntryHost(clock.now()));
}

TEST_CASE("a silent host is replaced within a second and is named no more")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 30), 1);
    directory.onBeat(record("old", "a", 10), clock.now());
    CHECK_FALSE(directory.isEntryHost(clock.now()));
    clock.advance(1s);
    CHECK(directory.isEntryHost(clock.now()));
    CHECK(names(directory.entryHostsFor(FailureDomainId("a"), clock.now())) == Names{"own"});
}

TEST_CASE("a leaving host is not named, and does not count itself")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 10), 1);
    directory.onBeat(record("next", "a", 20), clock.now());
    directory.beginLeaving();
    CHECK(names(directory.entryHostsFor(FailureDomainId("a"), clock.now())) == Names{"next"});
    CHECK_FALSE(directory.isEntryHost(clock.now()));
    auto leaving = record("next", "a", 20);
    leaving.isLeaving = true;
    directory.onBeat(leaving, clock.now());
    CHECK(directory.entryHostsFor(FailureDomainId("a"), clock.now()).empty());
}

TEST_CASE("callers of a failure domain without a living host are sent to another one")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 10), 2);
    auto far = record("far", "b", 5);
    far.isEntry = true;
    directory.onBeat(far, clock.now());
    CHECK(names(directory.entryHostsFor(FailureDomainId("c"), clock.now())) == Names{"own", "far"});
}

TEST_CASE("another failure domain's entry hosts are those that say so themselves")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 10), 2);
    // This host heard the standby host first, which has run longer than what it knows of the domain otherwise.
    directory.onBeat(record("standby", "b", 1), clock.now());
    auto entry = record("entry", "b", 2);
    entry.isEntry = true;
    directory.onBeat(entry, clock.now());
    CHECK(names(directory.entryHostsFor(FailureDomainId("b"), clock.now())) == Names{"entry"});
}

TEST_CASE("reports go to entry hosts that were only mentioned, until the mention is old")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 10), 2);
    auto mentioned = record("mentioned", "b", 2);
    mentioned.isEntry = true;
    mentioned.isServing = true;
    directory.onMentioned(mentioned, clock.now());
    CHECK(names(directory.servingPeers(clock.now())) == Names{"mentioned"});
    // It is not named to callers before it is heard.
    CHECK(names(directory.entryHostsFor(FailureDomainId("b"), clock.now())) == Names{"own"});
    clock.advance(4s);
    CHECK(directory.servingPeers(clock.now()).empty());
}

TEST_CASE("a host that serves callers with an old answer gets reports too")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 10), 1);
    auto standby = record("standby", "a", 20);
    standby.isServing = true;
    directory.onBeat(standby, clock.now());
    CHECK(names(directory.servingPeers(clock.now())) == Names{"standby"});
}

TEST_CASE("a beat of an earlier run of a host changes nothing")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 30), 1);
    directory.onBeat(record("other", "a", 50), clock.now());
    directory.onBeat(record("other", "a", 10), clock.now());
    CHECK(directory.isEntryHost(clock.now()));
}
