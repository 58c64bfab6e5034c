#include <rhubarbtiller/balance/serveruse.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");
static const FailureDomainId Domain("a");

TEST_CASE("unused servers are counted by the reason why they are unused")
{
    testing::VirtualClock clock;
    clock.advance(1h);
    std::vector<catalog::ServerEntry> entries;
    for (const std::string name : {"used", "refusing", "cold", "failed", "idle", "far", "draining"}) {
        catalog::ServerEntry entry;
        entry.id = BackendServerId(name);
        entry.service = Service;
        entry.failureDomain = FailureDomainId(name == "far" ? "b" : "a");
        entry.coldUntil = clock.now() + (name == "cold" ? 3s : 0s);
        entry.isDraining = name == "draining";
        entries.push_back(entry);
    }
    catalog::FleetState fleet;
    fleet.servers = std::make_shared<catalog::ServerTable>(entries);
    Scoreboard board;
    board.retain(*fleet.servers);
    for (const std::string name : {"used", "failed"}) {
        board.state(BackendServerId(name)).lastReachedByFleetAt = clock.now();
    }
    board.state(BackendServerId("failed")).lastFailureAt = clock.now() + 200ms;
    clock.advance(2100ms);
    board.state(BackendServerId("used")).lastReachedByFleetAt = clock.now() - 1900ms;
    board.onConnectFailed(BackendServerId("refusing"), clock.now());

    const auto use = serverUse(Service, Domain, fleet, board, clock.now());
    CHECK(use.servers == 5);
    CHECK(use.used == 1);
    CHECK(use.unreachable == 1);
    CHECK(use.cold == 1);
    CHECK(use.recentlyFailed == 1);
    CHECK(use.otherUnused == 1);
    CHECK(use.usedShare() == doctest::Approx(0.2));
    CHECK(serverUse(Service, FailureDomainId("b"), fleet, board, clock.now()).otherUnused == 1);
    CHECK(serverUse(Service, FailureDomainId("c"), fleet, board, clock.now()).usedShare() == 1);
    fleet.evacuatedDomains.insert(Domain);
    CHECK(serverUse(Service, Domain, fleet, board, clock.now()).servers == 0);
}
