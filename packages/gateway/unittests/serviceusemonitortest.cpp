#include "serviceusemonitor.h"

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

TEST_CASE("the metrics report the share of used servers and of unserved requests")
{
    testing::VirtualClock clock;
    clock.advance(1h);
    const catalog::ServiceName service("service");
    std::vector<catalog::ServerEntry> entries(4);
    for (std::size_t i = 0; i < entries.size(); ++i) {
        entries[i].id = BackendServerId("s" + std::to_string(i));
        entries[i].service = service;
        entries[i].failureDomain = FailureDomainId("a");
    }
    catalog::FleetState fleet;
    fleet.servers = std::make_shared<catalog::ServerTable>(entries);
    balance::Scoreboard board;
    board.retain(*fleet.servers);
    board.observe(BackendServerId("s0"), balance::Evidence::Success, clock.now());
    balance::ServiceOutcomes outcomes;
    for (int i = 0; i < 8; ++i) {
        outcomes.recordOutcome(service, i != 0, false, clock.now());
    }
    telemetry::Metrics metrics;
    ServiceUseMonitor monitor(FailureDomainId("a"), metrics);
    monitor.update(fleet, board, outcomes, clock.now());
    CHECK(metrics.exposition().find("rhubarbtiller_least_used_servers_ratio 0.25") != std::string::npos);
    CHECK(metrics.exposition().find("rhubarbtiller_most_unserved_ratio 0.125") != std::string::npos);

    for (const auto &entry : entries) {
        board.observe(entry.id, balance::Evidence::Success, clock.now());
    }
    monitor.update(fleet, board, outcomes, clock.now() + 1s);
    CHECK(metrics.exposition().find("rhubarbtiller_least_used_servers_ratio 0.25") != std::string::npos);
    clock.advance(2s);
    for (const auto &entry : entries) {
        board.observe(entry.id, balance::Evidence::Success, clock.now());
    }
    monitor.update(fleet, board, outcomes, clock.now());
    CHECK(metrics.exposition().find("rhubarbtiller_least_used_servers_ratio 1") != std::string::npos);
}
