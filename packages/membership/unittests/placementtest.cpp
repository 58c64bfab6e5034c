#include <rhubarbtiller/membership/placement.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <ranges>
#include <set>

using namespace rhubarbtiller;
using namespace rhubarbtiller::membership;

static std::vector<config::Host> makeHosts(std::size_t count, std::size_t domains)
{
    std::vector<config::Host> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        config::Host host;
        host.id = HostId("host-" + std::to_string(i));
        host.failureDomain = FailureDomainId("domain-" + std::to_string(i % domains));
        hosts.push_back(host);
    }
    return hosts;
}

static std::shared_ptr<const Placement> place(const std::vector<config::Host> &hosts, std::uint32_t shards)
{
    std::vector<config::Row> rows(hosts.begin(), hosts.end());
    config::FleetParameters fleet;
    fleet.shardCount = shards;
    rows.emplace_back(fleet);
    return Placement::build(*config::Snapshot::fromRows(ConfigVersion(1), ConfigVersion(1), rows));
}

// Guards against two guardians of a shard that fail together with one failure domain, and against too few guardians.
TEST_CASE("guardians are distinct and in different failure domains as far as there are enough")
{
    CHECK(rc::check([] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 40);
        const auto domains = *rc::gen::inRange<std::size_t>(1, 6);
        const auto hosts = makeHosts(count, domains);
        const auto placement = place(hosts, 16);
        for (std::uint32_t shard = 0; shard < 16; ++shard) {
            const auto &guardians = placement->guardians(ShardId(shard));
            RC_ASSERT(guardians.size() == std::min(count, GuardianCount));
            std::set<HostId> distinct(guardians.begin(), guardians.end());
            RC_ASSERT(distinct.size() == guardians.size());
            std::set<FailureDomainId> used;
            for (const auto &host : hosts) {
                if (distinct.contains(host.id)) {
                    used.insert(host.failureDomain);
                    const auto &shards = placement->shardsOf(host.id);
                    RC_ASSERT(std::ranges::find(shards, ShardId(shard)) != shards.end());
                }
            }
            RC_ASSERT(used.size() == std::min({count, domains, GuardianCount}));
        }
    }));
}

// Guards against a host failure that moves shards all over the fleet and makes every owner start anew.
TEST_CASE("a host that leaves changes only the shards that it guarded")
{
    CHECK(rc::check([] {
        const auto count = *rc::gen::inRange<std::size_t>(2, 40);
        const auto domains = *rc::gen::inRange<std::size_t>(1, 6);
        const auto leaving = *rc::gen::inRange<std::size_t>(0, count);
        auto hosts = makeHosts(count, domains);
        const auto before = place(hosts, 16);
        const HostId id = hosts[leaving].id;
        hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(leaving));
        const auto after = place(hosts, 16);
        for (std::uint32_t shard = 0; shard < 16; ++shard) {
            if (!before->isGuardian(ShardId(shard), id)) {
                RC_ASSERT(before->guardians(ShardId(shard)) == after->guardians(ShardId(shard)));
                continue;
            }
            for (const auto &guardian : before->guardians(ShardId(shard))) {
                // The domain of the leaving host may fall out of the best three, but the two other guardians stay.
                RC_ASSERT(guardian == id || after->isGuardian(ShardId(shard), guardian));
            }
        }
    }));
}

// Guards against a few hosts that carry most of the shards.
TEST_CASE("shards spread evenly over hosts")
{
    const auto placement = place(makeHosts(480, 4), 1024);
    for (const auto &host : makeHosts(480, 4)) {
        CHECK(placement->shardsOf(host.id).size() <= 20);
    }
}

// Guards against a detour through another failure domain for each request to a backend server.
TEST_CASE("a backend server gets a shard whose first guardian is in its failure domain")
{
    const auto hosts = makeHosts(44, 3);
    const auto placement = place(hosts, 64);
    for (int i = 0; i < 200; ++i) {
        const FailureDomainId domain("domain-" + std::to_string(i % 3));
        const ShardId shard = placement->shardOf(BackendServerId("server-" + std::to_string(i)), domain);
        const auto first = std::ranges::find(hosts, placement->guardians(shard).front(), &config::Host::id);
        CHECK(first->failureDomain == domain);
    }
    const ShardId elsewhere = placement->shardOf(BackendServerId("server"), FailureDomainId("no host is here"));
    CHECK(elsewhere.count() < placement->shardCount());
}

// Guards against a change of routes that makes every host compute the placement again.
TEST_CASE("a placement is shared while hosts and shard count stay")
{
    auto hosts = makeHosts(5, 3);
    const auto first = config::Snapshot::fromRows(ConfigVersion(1), ConfigVersion(1), {hosts.begin(), hosts.end()});
    const auto placement = Placement::build(*first);
    hosts[2].state = config::HostState::Leaving;
    hosts[3].incarnation = Incarnation(9);
    const auto restarted = config::Snapshot::fromRows(ConfigVersion(2), ConfigVersion(1), {hosts.begin(), hosts.end()});
    CHECK(Placement::build(*restarted, placement) == placement);
    hosts.pop_back();
    const auto smaller = config::Snapshot::fromRows(ConfigVersion(3), ConfigVersion(1), {hosts.begin(), hosts.end()});
    CHECK(Placement::build(*smaller, placement) != placement);
    CHECK(Placement::build(*config::Snapshot::fromRows(ConfigVersion(1), ConfigVersion(1), {}))->guardians(ShardId(0)).empty());
}

// Guards against hosts whose evidence nobody asks for, for instance because they guard no shard.
TEST_CASE("the exchange of evidence is symmetric and reaches every host")
{
    const auto hosts = makeHosts(30, 3);
    const auto placement = place(hosts, 2);
    std::set<HostId> reached{hosts.front().id};
    std::vector<HostId> open{hosts.front().id};
    while (!open.empty()) {
        const HostId host = open.back();
        open.pop_back();
        for (const auto &peer : placement->peersOf(host)) {
            const auto back = placement->peersOf(peer);
            CHECK(std::ranges::find(back, host) != back.end());
            if (reached.insert(peer).second) {
                open.push_back(peer);
            }
        }
    }
    CHECK(reached.size() == hosts.size());
    CHECK(placement->peersOf(HostId("not in the roster")).empty());
}

// Guards against witnesses that are lost together, and against a new set of witnesses for each change of the roster.
TEST_CASE("witnesses spread over failure domains and change little")
{
    CHECK(rc::check([] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 60);
        const auto domains = *rc::gen::inRange<std::size_t>(1, 5);
        const auto leaving = *rc::gen::inRange<std::size_t>(0, count);
        auto hosts = makeHosts(count, domains);
        const auto before = chooseWitnesses(hosts);
        RC_ASSERT(before.size() == std::min(count, WitnessCount));
        std::map<FailureDomainId, std::size_t> used;
        for (const auto &host : hosts) {
            used[host.failureDomain] += std::ranges::count(before, host.id);
        }
        if (count >= 9 * domains) {
            RC_ASSERT(std::ranges::max(used | std::views::values) - std::ranges::min(used | std::views::values) <= 1);
        }
        hosts[leaving].state = config::HostState::Leaving;
        std::ranges::reverse(hosts);
        const auto after = chooseWitnesses(hosts);
        std::vector<HostId> kept;
        std::ranges::set_intersection(before, after, std::back_inserter(kept));
        RC_ASSERT(kept.size() + 1 >= before.size());
    }));
}

// Guards against a slice whose rate is above what one shard is meant to carry, and against no slice at all.
TEST_CASE("slices follow the rate")
{
    CHECK(sliceCount(RequestRate(0)) == 1);
    CHECK(sliceCount(RequestRate(500)) == 1);
    CHECK(sliceCount(RequestRate(500.5)) == 2);
    CHECK(sliceCount(RequestRate(1e12)) == MaxSlices);
    CHECK(sliceCount(RequestRate(-1)) == 1);
}

// Guards against a roster change that leaves too few witnesses to settle any later version.
TEST_CASE("a majority of the witnesses must stay in the roster")
{
    const auto hosts = makeHosts(4, 2);
    std::vector<config::Row> rows(hosts.begin(), hosts.end());
    config::FleetParameters fleet;
    fleet.witnesses = {hosts[0].id, hosts[1].id, HostId("gone")};
    rows.emplace_back(fleet);
    const auto snapshot = config::Snapshot::fromRows(ConfigVersion(1), ConfigVersion(1), rows);
    CHECK_FALSE(keepsWitnessMajority(*snapshot, hosts[0].id));
    CHECK(keepsWitnessMajority(*snapshot, hosts[3].id));
}
