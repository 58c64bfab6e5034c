#include "fakefleet.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace rhubarbtiller;
using namespace rhubarbtiller::membership;
using namespace rhubarbtiller::membership::testing;
using namespace std::chrono_literals;

static HostId anyHost(FakeFleet &fleet)
{
    const auto ids = fleet.hostIds();
    return ids[fleet.random.below(ids.size())];
}

/// Starts one random fault, or ends some of the faults.
static void injectFault(FakeFleet &fleet)
{
    const HostId host = anyHost(fleet);
    switch (fleet.random.below(12)) {
    case 0:
        fleet.cutLinks.emplace(host, anyHost(fleet));
        return;
    case 1:
        for (const auto &other : fleet.hostIds()) {
            fleet.cutLinks.emplace(host, other);
        }
        return;
    case 2:
        fleet.cutLinks.clear();
        return;
    case 3:
        fleet.pause(host, Duration(fleet.random.below(Duration(8s).count())));
        return;
    case 4:
    case 5:
        fleet.restart(host);
        return;
    case 6:
        fleet.isStoreUp = fleet.random.below(3) != 0;
        return;
    case 7:
        fleet.dropPercent = static_cast<int>(fleet.random.below(30));
        fleet.duplicatePercent = static_cast<int>(fleet.random.below(30));
        return;
    case 8:
        fleet.slowPercent = static_cast<int>(fleet.random.below(30));
        return;
    case 9:
    case 10:
        fleet.changeRoster(anyHost(fleet), host);
        return;
    default:
        fleet.changeWitnesses(host);
        return;
    }
}

static void injectFaults(FakeFleet &fleet, int count)
{
    for (int i = 0; i < count && fleet.checker.violations().empty(); ++i) {
        injectFault(fleet);
        fleet.run(Duration(fleet.random.below(Duration(1500ms).count())));
    }
}

static void endFaults(FakeFleet &fleet)
{
    fleet.cutLinks.clear();
    fleet.dropPercent = 0;
    fleet.duplicatePercent = 0;
    fleet.slowPercent = 0;
    fleet.isStoreUp = true;
    for (auto &[id, node] : fleet.nodes) {
        node.pausedUntil = MonotonicTime{};
    }
}

static std::string firstViolation(const FakeFleet &fleet)
{
    return fleet.checker.violations().empty() ? "" : fleet.checker.violations().front();
}

static std::vector<std::uint64_t> seeds(std::vector<std::uint64_t> fixed)
{
    // More seeds for a long run: RHUBARBTILLER_SEEDS=500 adds the seeds 1000 to 1499.
    if (const char *more = std::getenv("RHUBARBTILLER_SEEDS")) {
        for (int i = 0; i < std::atoi(more); ++i) {
            fixed.push_back(1000 + static_cast<std::uint64_t>(i));
        }
    }
    return fixed;
}

// Guards against two owners, shares above the whole, hosts that act on an old version, and shards that stay without an
// owner, under every fault of the environment in combination.
TEST_CASE("a fleet under faults keeps its promises and recovers")
{
    for (const std::uint64_t seed : seeds({1, 2, 3, 4, 5, 6})) {
        MESSAGE("seed " << seed);
        FleetOptions options;
        options.seed = seed;
        FakeFleet fleet(options);
        fleet.run(10s);
        CHECK(fleet.checker.ownedShards() == options.shardCount);
        injectFaults(fleet, 120);
        endFaults(fleet);
        fleet.run(10s);
        CHECK_MESSAGE(firstViolation(fleet).empty(), firstViolation(fleet));
        CHECK_MESSAGE(fleet.checker.ownedShards() == options.shardCount, "seed " << seed);
        CHECK(fleet.checker.highestSettled() == fleet.log.back()->version());
    }
}
