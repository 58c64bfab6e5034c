#include "replicationsimulation.h"

#include <rhubarbtiller/telemetry/log.h>

#include <doctest/doctest.h>

#include <cstdlib>
#include <functional>
#include <iostream>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;

/// Plans of every test run; RHUBARBTILLER_SEEDS adds to them.
static constexpr std::uint64_t DefaultPlans = 40;

/// Plays random plans and checks that none is broken.
static void checkPlans(const std::function<ReplicationPlan(std::uint64_t)> &makePlan)
{
    const char *const single = std::getenv("RHUBARBTILLER_SEED");
    const char *const additional = std::getenv("RHUBARBTILLER_SEEDS");
    const auto first = single != nullptr ? std::stoull(single) : 1;
    const auto count = single != nullptr ? 1 : DefaultPlans + (additional != nullptr ? std::stoull(additional) : 0);
    std::uint64_t broken = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        const auto plan = makePlan(seed);
        const auto violations = simulateReplication(plan).violations;
        if (!violations.empty()) {
            ++broken;
            std::cout << "seed " << seed << ": " << describeFaults(plan) << std::endl;
        }
        for (std::size_t i = 0; i < std::min<std::size_t>(violations.size(), 3); ++i) {
            const auto &violation = violations[i];
            const auto at = std::chrono::duration<double>(violation.at).count();
            std::cout << "seed " << seed << ", " << at << " s, " << violation.host.text() << ": " << violation.description << std::endl;
        }
        CHECK_MESSAGE(violations.empty(), "seed ", seed);
    }
    std::cout << broken << " of " << count << " plans broken" << std::endl;
}

// Guards against faults of the hosts that read the store, or of the paths to them, which delay a change for hosts without a fault.
TEST_CASE("a confirmed change that is late or reverts while other hosts fail")
{
    checkPlans(randomReplicationPlan);
}

// Guards against versions of the store that go back and are given out again.
TEST_CASE("a confirmed change that is late or reverts around a return of the store from a copy")
{
    checkPlans(randomReturnPlan);
}

// The readers fail right after a response of the store, so that their contact with it looks as recent as possible.
TEST_CASE("a change that is late because readers of the store fail right before it")
{
    using namespace std::chrono_literals;
    struct Case
    {
        HostFault kind;
        FaultTarget target;
        double share;
    };
    for (const auto &each : {Case{HostFault::Frozen, FaultTarget::EntryHosts, 1},
                             Case{HostFault::Slow, FaultTarget::EntryHosts, 1},
                             Case{HostFault::CutFromStore, FaultTarget::EntryHosts, 1},
                             Case{HostFault::RefusedByStore, FaultTarget::EntryHosts, 1},
                             Case{HostFault::RefusedConfiguration, FaultTarget::EntryHosts, 1},
                             Case{HostFault::CutFromPeers, FaultTarget::AnyHosts, 0.5},
                             Case{HostFault::LosesPackets, FaultTarget::EntryHosts, 1},
                             Case{HostFault::Killed, FaultTarget::EntryHosts, 1},
                             Case{HostFault::Killed, FaultTarget::AnyHosts, 0.7}}) {
        Duration slowest{};
        std::size_t broken = 0;
        // The offsets cover the phases of heartbeats.
        for (Duration offset{}; offset < 1500ms; offset += 125ms) {
            ReplicationPlan plan;
            plan.seed = static_cast<std::uint64_t>(offset / 1ms) + 1;
            plan.domains = 2;
            plan.length = 12s;
            const auto from = 7s + offset;
            plan.faults = {{each.kind, each.target, each.share, from, from + 4500ms}};
            plan.changes = {
                {StoreChange::AddServer, from - 25ms}, {StoreChange::Configuration, from - 25ms}, {StoreChange::Configuration, from + 1ms}};
            const auto result = simulateReplication(plan);
            slowest = std::max(slowest, result.slowestChange);
            broken += result.violations.empty() ? 0 : 1;
        }
        ReplicationPlan described;
        described.faults = {{each.kind, each.target, each.share, 0ms, 4500ms}};
        std::cout << describeFaults(described) << ": slowest change " << std::chrono::duration<double>(slowest).count() << " s, " << broken
                  << " plans broken" << std::endl;
        CHECK_MESSAGE(broken == 0, describeFaults(described));
        CHECK_MESSAGE(slowest < 2s, describeFaults(described));
    }
}

// Each start of a process would otherwise read both tables from the store.
TEST_CASE("hosts that start at once or one after the other take the tables from each other")
{
    using namespace std::chrono_literals;
    ReplicationPlan plan;
    plan.seed = 5;
    plan.domains = 5;
    plan.hostsPerDomain = 88;
    plan.length = 14s;
    // Half of the hosts are killed, then most of them.
    plan.faults = {{HostFault::Killed, FaultTarget::AnyHosts, 0.5, 5s, 5s}, {HostFault::Killed, FaultTarget::AnyHosts, 1, 9s, 9s}};
    plan.changes = {{StoreChange::Configuration, 4500ms}, {StoreChange::Configuration, 8s}};
    const auto result = simulateReplication(plan);
    CHECK(result.violations.empty());
    std::cout << "440 hosts, 1,100 starts: " << result.reads << " reads of tables, " << result.watches << " calls for changes" << std::endl;
    // A few hosts of each domain at each of the three starts, two tables.
    CHECK(result.reads <= 3 * 5 * 2 * 6);
}

// Guards against hosts that wait out their delay after an outage of the store while the hosts that read it first remain without it.
TEST_CASE("a change that is late because the first hosts of all domains stay cut from the store after an outage")
{
    using namespace std::chrono_literals;
    for (const auto kind : {HostFault::CutFromStore, HostFault::RefusedByStore}) {
        Duration slowest{};
        std::size_t broken = 0;
        for (Duration offset{}; offset < 1500ms; offset += 125ms) {
            ReplicationPlan plan;
            plan.seed = static_cast<std::uint64_t>(offset / 1ms) + 1;
            plan.length = 16s;
            const auto outage = 4s + offset;
            plan.faults = {{HostFault::RefusedByStore, FaultTarget::AnyHosts, 1, outage, outage + 4500ms},
                           {kind, FaultTarget::EntryHosts, 1, outage + 4400ms, outage + 10s}};
            for (Duration at = outage + 4600ms; at < outage + 8s; at += 250ms) {
                plan.changes.push_back({StoreChange::Configuration, at});
            }
            const auto result = simulateReplication(plan);
            slowest = std::max(slowest, result.slowestChange);
            broken += result.violations.empty() ? 0 : 1;
            for (std::size_t i = 0; i < std::min<std::size_t>(result.violations.size(), 2); ++i) {
                const auto &violation = result.violations[i];
                std::cout << "offset " << offset / 1ms << ", " << std::chrono::duration<double>(violation.at).count() << " s, "
                          << violation.host.text() << ": " << violation.description << std::endl;
            }
        }
        std::cout << "outage, then first hosts cut or refused: slowest change " << std::chrono::duration<double>(slowest).count() << " s, "
                  << broken << " plans broken" << std::endl;
        CHECK(broken == 0);
        CHECK(slowest < 2s);
    }
}
