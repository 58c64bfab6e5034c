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

// Returns the first violation that some seed finds with a mechanism taken out, or an empty text.
static std::string violationWithout(const MissingMechanisms &missing, std::size_t hostCount = 9)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        FleetOptions options;
        options.seed = seed;
        options.missing = missing;
        options.hostCount = hostCount;
        FakeFleet fleet(options);
        fleet.run(10s);
        injectFaults(fleet, 120);
        if (!fleet.checker.violations().empty()) {
            MESSAGE("seed " << seed << ": " << firstViolation(fleet));
            return firstViolation(fleet);
        }
    }
    return {};
}

// Guards against a checker that finds nothing: without the wait after its start, a guardian lends the vote that its last run
// has lent to another holder.
TEST_CASE("the fleet check fails when a guardian does not wait after its start")
{
    MissingMechanisms missing;
    missing.guardianStartWait = true;
    CHECK_FALSE(violationWithout(missing).empty());
}

// Guards against a checker that finds nothing: without the wait for the settled version, a new guardian lends a vote or uses
// its share while hosts still act on the version before.
TEST_CASE("the fleet check fails when a new guardian does not wait for the settled version")
{
    MissingMechanisms missing;
    missing.guardianSettledWait = true;
    CHECK_FALSE(violationWithout(missing).empty());
}

// Guards against a checker that finds nothing: the ages in a peer's request are no upper bounds, because the request may
// have been delayed.
TEST_CASE("the fleet check fails when evidence in requests renews the lease")
{
    MissingMechanisms missing;
    missing.requestEvidenceRule = true;
    CHECK_FALSE(violationWithout(missing).empty());
}

// Guards against a fleet that stops serving when the store is away for long, or after the restart of a witness, whose
// knowledge of the version must come back from the other witnesses.
TEST_CASE("hosts serve through an hour without the store and the restart of a witness")
{
    for (const std::uint64_t seed : {11, 12, 13}) {
        MESSAGE("seed " << seed);
        FleetOptions options;
        options.seed = seed;
        options.hostCount = 12;
        options.witnessCount = 9;
        options.shardCount = 16;
        options.observesEvents = false;
        options.observationPeriod = 100ms;
        FakeFleet fleet(options);
        fleet.run(20s);
        fleet.isStoreUp = false;
        const HostId witness = fleet.log.back()->fleetParameters().witnesses.front();
        std::size_t shortages = 0;
        for (int second = 0; second < 3600; ++second) {
            if (second == 600) {
                fleet.restart(witness);
            }
            fleet.run(1s);
            // The restarted host itself is given 10 s to come back.
            const std::size_t expected = second >= 600 && second < 610 ? options.hostCount - 1 : options.hostCount;
            shortages += fleet.servingHosts() < expected ? 1 : 0;
        }
        CHECK(shortages == 0);
        CHECK(fleet.nodes.at(witness).lease->mayReport());
        CHECK(fleet.checker.ownedShards() == options.shardCount);
        CHECK_MESSAGE(firstViolation(fleet).empty(), firstViolation(fleet));
    }
}

// Guards against evidence that becomes too old on its way through a fleet of the size of today's deployments.
TEST_CASE("all of 44 hosts serve on witness evidence")
{
    for (const std::uint64_t seed : {21, 22, 23}) {
        MESSAGE("seed " << seed);
        FleetOptions options;
        options.seed = seed;
        options.hostCount = 44;
        options.witnessCount = 9;
        options.shardCount = 64;
        options.observesEvents = false;
        options.observationPeriod = 1s;
        FakeFleet fleet(options);
        fleet.run(15s);
        fleet.isStoreUp = false;
        std::size_t refusals = 0;
        for (int tenth = 0; tenth < 600; ++tenth) {
            fleet.run(100ms);
            refusals += options.hostCount - fleet.servingHosts();
        }
        CHECK(refusals == 0);
        CHECK(fleet.checker.ownedShards() == options.shardCount);
        CHECK_MESSAGE(firstViolation(fleet).empty(), firstViolation(fleet));
    }
}

// Guards against rules that hold only for three guardians: with one or two hosts the majority is of the guardians there are,
// and a set that shrinks from three to one shares no majority with the larger one.
TEST_CASE("rosters of one to three hosts keep the promises while they grow and shrink")
{
    for (const std::uint64_t seed : seeds({31, 32, 33})) {
        MESSAGE("seed " << seed);
        FleetOptions options;
        options.seed = seed;
        options.hostCount = 3;
        options.witnessCount = 1;
        FakeFleet fleet(options);
        fleet.run(10s);
        const auto ids = fleet.hostIds();
        for (int i = 0; i < 60 && fleet.checker.violations().empty(); ++i) {
            if (fleet.random.below(3) == 0) {
                fleet.slowPercent = static_cast<int>(fleet.random.below(40));
                fleet.restart(anyHost(fleet));
            }
            // Several removals in one change, as after the loss of a failure domain.
            fleet.change(anyHost(fleet), [&](auto &mutations, const config::Snapshot &current) {
                for (const auto &id : ids) {
                    if (!current.hosts().contains(id)) {
                        mutations.emplace_back(config::PutRow{fleet.nodes.at(id).row});
                    } else if (fleet.random.below(2) == 0 && keepsWitnessMajority(current, id)) {
                        mutations.emplace_back(config::DeleteRow{config::Table::Hosts, id.text()});
                    }
                }
            });
            fleet.run(Duration(fleet.random.below(Duration(6s).count())));
        }
        endFaults(fleet);
        fleet.run(10s);
        CHECK_MESSAGE(firstViolation(fleet).empty(), firstViolation(fleet));
        CHECK(fleet.checker.ownedShards() == options.shardCount);
    }
}

// Guards against shards that keep their owner across a change of the shard count, although they then stand for other
// organisations and servers.
TEST_CASE("a change of the shard count moves ownership only after it is settled")
{
    for (const std::uint64_t seed : {41, 42, 43}) {
        MESSAGE("seed " << seed);
        FleetOptions options;
        options.seed = seed;
        FakeFleet fleet(options);
        fleet.run(10s);
        const HostId writer = fleet.hostIds().front();
        REQUIRE(fleet.change(writer, [](auto &mutations, const config::Snapshot &current) {
            auto parameters = current.fleetParameters();
            parameters.shardCount = 16;
            mutations.emplace_back(config::PutRow{parameters});
        }));
        for (int i = 0; i < 1000; ++i) {
            fleet.run(10ms);
            for (const auto &[id, node] : fleet.nodes) {
                const MonotonicTime now = fleet.localTime(node);
                const Freshness freshness = node.lease->state(now);
                const bool isMoved = node.placement->shardCount() == 16;
                for (const auto shard : node.placement->shardsOf(id)) {
                    if (isMoved && node.holder->owns(shard, freshness, now)) {
                        CHECK(fleet.checker.highestSettled() == ConfigVersion(2));
                    }
                }
            }
        }
        CHECK(fleet.checker.ownedShards() == 16);
        CHECK_MESSAGE(firstViolation(fleet).empty(), firstViolation(fleet));
    }
}

// Guards against a checker that accepts the histories it is there to refuse.
TEST_CASE("the checker refuses bad histories")
{
    const HostObservation first{
        HostId("a"), Incarnation(1), true, ConfigVersion(4), ConfigVersion(4), {ShardId(1)}, {{ShardId(1), 2.0 / 3}}};
    HostObservation second = first;
    second.host = HostId("b");
    second.owned.clear();
    second.shares = {{ShardId(1), 1.0 / 3}};
    const auto violations = [&first](const HostObservation &other) {
        FleetChecker checker;
        checker.observe(0, {first, other});
        return checker.violations().size();
    };
    CHECK(violations(second) == 0);
    HostObservation twoOwners = second;
    twoOwners.owned = {ShardId(1)};
    CHECK(violations(twoOwners) == 1);
    HostObservation tooMuch = second;
    tooMuch.shares = {{ShardId(1), 2.0 / 3}};
    CHECK(violations(tooMuch) == 1);
    HostObservation outdated = second;
    outdated.applied = ConfigVersion(3);
    outdated.settled = ConfigVersion(3);
    CHECK(violations(outdated) == 1);
    FleetChecker checker;
    checker.observe(0, {second});
    checker.observe(1, {outdated});
    CHECK(checker.violations().size() == 2);
}
