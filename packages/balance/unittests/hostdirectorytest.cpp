#include <rhubarbtiller/balance/hostdirectory.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static HostRecord record(const std::string &id, const std::string &domain, std::uint64_t incarnation)
{
    HostRecord newRecord;
    newRecord.id = HostId(id);
    newRecord.failureDomain = FailureDomainId(domain);
    newRecord.callerAddress = Endpoint(id + ":80");
    newRecord.incarnation = Incarnation(incarnation);
    return newRecord;
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

/// Returns the record of a host that announces itself as an entry host.
static HostRecord entryRecord(const std::string &id, const std::string &domain, std::uint64_t incarnation)
{
    auto newRecord = record(id, domain, incarnation);
    newRecord.isEntry = true;
    newRecord.isServing = true;
    return newRecord;
}

TEST_CASE("the hosts that have run longest are the entry hosts of their failure domain")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 30), 2);
    directory.onHeartbeat(entryRecord("old", "a", 10), clock.now());
    directory.onHeartbeat(entryRecord("new", "a", 40), clock.now());
    directory.updateEntryRole(clock.now());
    // The newest host is no longer returned, even before it has received the heartbeats of the others.
    CHECK(names(directory.entryHostsFor(FailureDomainId("a"), clock.now())) == Names{"old", "own"});
    CHECK(directory.ownRank(clock.now()) == 1);
    CHECK(directory.isEntryHost());
}

TEST_CASE("a large host ranks before smaller hosts that have run longer")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 30), 1);
    auto small = entryRecord("small", "a", 10);
    small.milliCores = 100;
    directory.onHeartbeat(small, clock.now());
    directory.updateEntryRole(clock.now());
    CHECK(names(directory.entryHostsFor(FailureDomainId("a"), clock.now())) == Names{"own"});
    auto large = entryRecord("large", "a", 40);
    large.milliCores = 2000;
    directory.onHeartbeat(large, clock.now());
    directory.updateEntryRole(clock.now());
    CHECK_FALSE(directory.isEntryHost());
    CHECK(names(directory.entryHostsFor(FailureDomainId("a"), clock.now())) == Names{"large"});
}

TEST_CASE("an entry host gives up the role when enough hosts that rank before it are entry hosts")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 30), 1);
    directory.updateEntryRole(clock.now());
    CHECK(directory.isEntryHost());
    directory.onHeartbeat(entryRecord("old", "a", 10), clock.now());
    directory.updateEntryRole(clock.now());
    CHECK_FALSE(directory.isEntryHost());
}

TEST_CASE("a failed standby host that still counts as alive does not prevent another host from becoming an entry host")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 30), 1);
    auto standby = record("standby", "a", 20);
    standby.heartbeatInterval = 1500ms;
    directory.onHeartbeat(entryRecord("old", "a", 10), clock.now());
    directory.onHeartbeat(standby, clock.now());
    directory.updateEntryRole(clock.now());
    // Both fail now; a host counts as unreachable after four heartbeat intervals.
    for (int i = 0; i < 30 && !directory.isEntryHost(); ++i) {
        clock.advance(50ms);
        directory.updateEntryRole(clock.now());
    }
    CHECK(directory.isEntryHost());
    CHECK(names(directory.entryHostsFor(FailureDomainId("a"), clock.now())) == Names{"own"});
}

TEST_CASE("an entry host without heartbeats is replaced within a second and no longer returned to callers")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 30), 1);
    directory.onHeartbeat(entryRecord("old", "a", 10), clock.now());
    directory.updateEntryRole(clock.now());
    CHECK_FALSE(directory.isEntryHost());
    clock.advance(1s);
    directory.updateEntryRole(clock.now());
    CHECK(directory.isEntryHost());
    CHECK(names(directory.entryHostsFor(FailureDomainId("a"), clock.now())) == Names{"own"});
}

TEST_CASE("a leaving host is not returned to callers and does not count itself as an entry host")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 10), 1);
    directory.onHeartbeat(record("next", "a", 20), clock.now());
    directory.updateEntryRole(clock.now());
    directory.beginLeaving();
    directory.updateEntryRole(clock.now());
    CHECK(names(directory.entryHostsFor(FailureDomainId("a"), clock.now())) == Names{"next"});
    CHECK_FALSE(directory.isEntryHost());
    auto leaving = record("next", "a", 20);
    leaving.isLeaving = true;
    directory.onHeartbeat(leaving, clock.now());
    CHECK(directory.entryHostsFor(FailureDomainId("a"), clock.now()).empty());
}

TEST_CASE("callers of a failure domain without live hosts are directed to another domain")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 10), 2);
    directory.onHeartbeat(entryRecord("far", "b", 5), clock.now());
    directory.updateEntryRole(clock.now());
    CHECK(names(directory.entryHostsFor(FailureDomainId("c"), clock.now())) == Names{"own", "far"});
}

TEST_CASE("the entry hosts of another failure domain are those that announce the role themselves")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 10), 2);
    // The first heartbeat is that of the standby host, which has run longer than the entry host of its domain.
    directory.onHeartbeat(record("standby", "b", 1), clock.now());
    directory.onHeartbeat(entryRecord("entry", "b", 2), clock.now());
    CHECK(names(directory.entryHostsFor(FailureDomainId("b"), clock.now())) == Names{"entry"});
}

TEST_CASE("the standby hosts of an unreachable failure domain do not count as its entry hosts")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 10), 1);
    auto standby = record("standby", "b", 1);
    standby.heartbeatInterval = 1500ms;
    directory.onHeartbeat(standby, clock.now());
    directory.onHeartbeat(entryRecord("entry", "b", 2), clock.now());
    directory.updateEntryRole(clock.now());
    clock.advance(1100ms);
    CHECK(names(directory.allEntryHosts(clock.now())) == Names{"own"});
}

TEST_CASE("reports go to indirectly announced entry hosts until the announcement expires")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 10), 2);
    directory.updateEntryRole(clock.now());
    directory.onIndirectAnnouncement(entryRecord("mentioned", "b", 2), clock.now());
    CHECK(names(directory.servingPeers(clock.now())) == Names{"mentioned"});
    // It is not returned to callers before its own first heartbeat.
    CHECK(names(directory.entryHostsFor(FailureDomainId("b"), clock.now())) == Names{"own"});
    clock.advance(4s);
    CHECK(directory.servingPeers(clock.now()).empty());
}

TEST_CASE("a standby host that serves callers with an outdated address receives reports too")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 10), 1);
    auto standby = record("standby", "a", 20);
    standby.isServing = true;
    directory.onHeartbeat(standby, clock.now());
    CHECK(names(directory.servingPeers(clock.now())) == Names{"standby"});
}

// The hosts of one part of a fleet that is cut in one direction receive the other part's reports only if these are still sent.
TEST_CASE("reports go to an entry host that fell silent until the last heartbeat is a minute old")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 30), 1);
    directory.onHeartbeat(entryRecord("silent", "b", 10), clock.now());
    directory.onHeartbeat(record("standby", "b", 20), clock.now());
    clock.advance(30s);
    CHECK(directory.servingPeers(clock.now()).empty());
    CHECK(names(directory.reportReceivers(clock.now())) == Names{"silent"});
    clock.advance(31s);
    CHECK(directory.reportReceivers(clock.now()).empty());
}

TEST_CASE("a heartbeat of an earlier incarnation of a host is ignored")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 30), 1);
    directory.onHeartbeat(record("other", "a", 50), clock.now());
    directory.onHeartbeat(entryRecord("other", "a", 10), clock.now());
    directory.updateEntryRole(clock.now());
    CHECK(directory.isEntryHost());
}

// Guards against a starting fleet whose hosts all become entry hosts and send each other heartbeats, whose number grows with
// the square of the fleet size.
TEST_CASE("a starting host waits for the listed hosts that rank before it")
{
    testing::VirtualClock clock;
    clock.advance(1h);
    HostDirectory directory(record("own", "a", 30), 1, false);
    directory.updateEntryRole(clock.now());
    CHECK_FALSE(directory.isEntryHost());
    for (int i = 0; i < 10; ++i) {
        directory.onListed(record("older" + std::to_string(i), "a", 10), clock.now());
    }
    directory.onListed(record("newer", "a", 50), clock.now());
    directory.onListed(record("elsewhere", "b", 10), clock.now());
    directory.setMembershipKnown();
    directory.updateEntryRole(clock.now());
    CHECK_FALSE(directory.isEntryHost());
    clock.advance(100ms);
    directory.onHeartbeat(entryRecord("older0", "a", 40), clock.now());
    directory.onHeartbeat(entryRecord("newer", "a", 20), clock.now());
    directory.updateEntryRole(clock.now());
    CHECK_FALSE(directory.isEntryHost());
}

TEST_CASE("a starting host in a small failure domain does not wait for others")
{
    testing::VirtualClock clock;
    clock.advance(1h);
    HostDirectory directory(record("own", "a", 30), 2, false);
    directory.onListed(record("older", "a", 10), clock.now());
    directory.setMembershipKnown();
    directory.updateEntryRole(clock.now());
    CHECK(directory.isEntryHost());
}

TEST_CASE("a starting host whose listed peers have stopped becomes an entry host within a second")
{
    testing::VirtualClock clock;
    clock.advance(1h);
    HostDirectory directory(record("own", "a", 300), 2, false);
    for (int i = 0; i < 100; ++i) {
        directory.onListed(record("gone" + std::to_string(i), "a", 10), clock.now());
    }
    directory.setMembershipKnown();
    const auto startedAt = clock.now();
    while (!directory.isEntryHost() && clock.now() - startedAt < 5s) {
        directory.updateEntryRole(clock.now());
        clock.advance(50ms);
    }
    CHECK(clock.now() - startedAt <= 1s);
}

TEST_CASE("a host that cannot read the host list becomes an entry host after a delay")
{
    testing::VirtualClock clock;
    clock.advance(1h);
    HostDirectory directory(record("own", "a", 300), 2, false);
    directory.updateEntryRole(clock.now());
    clock.advance(300ms);
    directory.updateEntryRole(clock.now());
    CHECK_FALSE(directory.isEntryHost());
    clock.advance(400ms);
    directory.updateEntryRole(clock.now());
    CHECK(directory.isEntryHost());
}

// A starting host queries the seeds while it is standby; the state that these record then must not hide later announcements.
TEST_CASE("a host that announced itself as standby receives heartbeats once others announce it as an entry host")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("a1", "a", 1), 2);
    auto other = record("b1", "b", 2);
    other.heartbeatInterval = 1500ms;
    directory.onHeartbeat(other, clock.now());
    CHECK(directory.servingPeers(clock.now()).empty());
    clock.advance(500ms);
    const auto announced = entryRecord("b1", "b", 2);
    CHECK(directory.onIndirectAnnouncement(announced, clock.now()));
    REQUIRE(directory.servingPeers(clock.now()).size() == 1);
    // It is not returned to callers before it announces the role itself.
    CHECK(directory.allEntryHosts(clock.now()).empty());
    CHECK_FALSE(directory.onIndirectAnnouncement(announced, clock.now()));
    directory.onHeartbeat(other, clock.now());
    CHECK(directory.servingPeers(clock.now()).empty());
}

// Guards against hosts that ignore a peer for good because its process has a lower incarnation than the one before.
TEST_CASE("a host whose wall clock went back between two starts stays unknown to its peers")
{
    testing::VirtualClock clock;
    HostDirectory directory(record("own", "a", 30), 2);
    const auto before = entryRecord("peer", "a", 50);
    directory.onHeartbeat(before, clock.now());
    const auto after = entryRecord("peer", "a", 20);
    // While the process before may still run, this may be a late heartbeat of an even earlier one.
    directory.onHeartbeat(after, clock.now());
    CHECK(directory.findByHeartbeat(HostId("peer"), Incarnation(50)) != nullptr);
    clock.advance(before.heartbeatInterval * MissedHeartbeatLimit);
    directory.onHeartbeat(after, clock.now());
    directory.updateEntryRole(clock.now());
    CHECK(directory.findByHeartbeat(HostId("peer"), Incarnation(20)) != nullptr);
    CHECK(directory.livePeerCount(clock.now()) == 1);
    CHECK(directory.ownRank(clock.now()) == 1);
    for (int i = 0; i < 70; ++i) {
        clock.advance(1s);
        directory.onHeartbeat(after, clock.now());
    }
    CHECK(directory.knownHosts(clock.now()).size() == 1);
}
