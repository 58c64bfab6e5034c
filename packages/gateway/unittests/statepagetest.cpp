#include "statepage.h"

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

TEST_CASE("the state page shows the host's view of itself, its servers and its organisations")
{
    testing::VirtualClock clock;
    clock.advance(1h);
    balance::HostRecord own;
    own.id = HostId("own");
    own.failureDomain = FailureDomainId("a");
    const balance::HostDirectory directory(own, 2);
    catalog::CatalogParts parts;
    parts.version = ConfigVersion(16);
    parts.organisations.push_back({OrganisationId("org"), {}, RequestRate(10), RequestCount(5)});
    catalog::FleetState state;
    state.catalog = std::make_shared<catalog::Catalog>(std::move(parts));
    catalog::ServerEntry entry;
    entry.id = BackendServerId("s1");
    entry.service = catalog::ServiceName("service");
    entry.failureDomain = FailureDomainId("a");
    entry.coldUntil = clock.now() + 2s;
    state.servers = std::make_shared<catalog::ServerTable>(std::vector<catalog::ServerEntry>{entry});
    state.evacuatedDomains.insert(FailureDomainId("a"));
    state.changedAt = clock.now() - 3s;
    balance::Scoreboard board;
    board.observe(BackendServerId("s1"), balance::Evidence::BrokenAnswer, clock.now());
    balance::OrganisationQuota quota(5s);
    quota.configure(*state.catalog, clock.now() - 1h);
    quota.admit(OrganisationId("org"), clock.now());
    OwnReplicaStatus status;
    status.storeContactAge = 40ms;

    balance::ServiceTimes times;
    times.observe(RouteName("route"), catalog::ServiceName("service"), {500ms, 0, 1}, clock.now());
    balance::RequestQueue queue;
    queue.setUsableSlots(catalog::ServiceName("service"), 8, 2);
    balance::QueuedRequest waiting;
    waiting.arrivedAt = clock.now() - 100ms;
    waiting.startDeadline = clock.now() + 1s;
    REQUIRE(queue.push(catalog::ServiceName("service"), waiting, clock.now()).empty());

    const auto page
        = nlohmann::json::parse(statePage({directory, board, quota, &state, status, true, 4, nullptr, &queue, &times}, clock.now()));
    CHECK(page["host"] == "own");
    CHECK(page["role"] == "standby");
    CHECK(page["configuration"]["version"] == 16);
    CHECK(page["stateAgeMs"] == 3000);
    CHECK(page["storeContactAgeMs"] == 40);
    CHECK(page["requestsInProgress"] == 4);
    REQUIRE(page["backendServers"].size() == 1);
    CHECK(page["backendServers"][0]["coldForMs"] == 2000);
    CHECK(page["backendServers"][0]["isEvacuated"] == true);
    CHECK(page["backendServers"][0]["failureProbability"].get<double>() > 0.3);
    REQUIRE(page["organisations"].size() == 1);
    CHECK(page["organisations"][0]["used"] == 1);
    REQUIRE(page["queues"].size() == 1);
    CHECK(page["queues"][0]["waiting"] == 1);
    CHECK(page["queues"][0]["longestWaitMs"] == 100);
    CHECK(page["queues"][0]["slots"] == 4.0);
    CHECK(page["queues"][0]["measuredAgeMs"].is_null());
    REQUIRE(page["serviceTimes"].size() == 1);
    CHECK(page["serviceTimes"][0]["route"] == "route");
    CHECK(page["serviceTimes"][0]["responseMs"] == 500);
}

TEST_CASE("the state page is available before the first read of the store")
{
    testing::VirtualClock clock;
    const balance::HostDirectory directory(balance::HostRecord{}, 2);
    const balance::Scoreboard board;
    const balance::OrganisationQuota quota(5s);
    const auto page = nlohmann::json::parse(statePage({directory, board, quota, nullptr, {}, false, 0}, clock.now()));
    CHECK(page["isReady"] == false);
    CHECK(page["stateAgeMs"].is_null());
    CHECK(page["backendServers"].empty());
}
