#include <rhubarbtiller/health/ejectionbudget.h>
#include <rhubarbtiller/health/ejectionholder.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::health;
using namespace std::chrono_literals;

static BackendServerId serverId(int index)
{
    return BackendServerId("s" + std::to_string(index));
}

static PoolCapacity tenServers(double floor)
{
    PoolCapacity capacity{Percent(floor), {}};
    for (int index = 0; index < 10; ++index) {
        capacity.servers.push_back(ServerCapacity{serverId(index), SlotCount(2), false});
    }
    return capacity;
}

namespace {

struct Bench
{
    explicit Bench(double floor = 80) : budget(PoolOwnerEpoch(7), tenServers(floor), this->clock.now())
    {
    }

    Result<EjectionLease> request(int index, bool isInForce = false, std::uint64_t epoch = 0)
    {
        return this->budget.request(
            EjectionRequest{serverId(index), isInForce, PoolOwnerEpoch(epoch)}, this->clock.now() + 3s, this->clock.now());
    }

    testing::VirtualClock clock;
    EjectionBudget budget;
};

} // namespace

// Guards against ejections below the floor, and against leases forgotten while a holder may still act on them.
TEST_CASE("grants stop at the floor until a lease must have ended at the slowest holder")
{
    Bench bench;
    bench.clock.advance(11s);
    CHECK(bench.request(0));
    CHECK(bench.request(1));
    CHECK(bench.request(2).error() == make_error_code(HealthError::FloorReached));
    CHECK(bench.request(0));
    bench.clock.advance(10s);
    CHECK(bench.request(2).error() == make_error_code(HealthError::FloorReached));
    bench.clock.advance(400ms);
    CHECK(bench.request(2));
    CHECK(bench.budget.possiblyEjected(bench.clock.now()).size() == 1);
}

// Guards against grants by an owner whose votes have expired, as after a pause.
TEST_CASE("an owner past its deadline grants nothing")
{
    Bench bench;
    bench.clock.advance(11s);
    const auto result = bench.budget.request(EjectionRequest{serverId(0), false, {}}, bench.clock.now(), bench.clock.now());
    CHECK(result.error() == make_error_code(HealthError::NotOwner));
}

// Guards against a new owner whose grants add up with those of the previous one.
TEST_CASE("a new owner renews only what is reported as in force under its own epoch")
{
    Bench bench;
    CHECK(bench.request(0).error() == make_error_code(HealthError::LeasesUnknown));
    CHECK(bench.request(0, true, 6).error() == make_error_code(HealthError::LeasesUnknown));
    CHECK(bench.request(0, true, 7));
    bench.clock.advance(10200ms);
    CHECK(bench.request(1).error() == make_error_code(HealthError::LeasesUnknown));
    bench.clock.advance(200ms);
    CHECK(bench.request(1));
}

// Guards against ejections that go on after a withdrawn domain took the pool to its floor.
TEST_CASE("after a loss of capacity the latest ejections are not renewed")
{
    Bench bench(60);
    bench.clock.advance(11s);
    for (int index = 0; index < 4; ++index) {
        CHECK(bench.request(index));
    }
    PoolCapacity capacity = tenServers(60);
    capacity.servers[8].isOut = true;
    capacity.servers[9].isOut = true;
    bench.budget.setCapacity(capacity);
    CHECK(bench.request(0));
    CHECK(bench.request(1));
    CHECK(bench.request(2).error() == make_error_code(HealthError::FloorReached));
    CHECK(bench.request(3).error() == make_error_code(HealthError::FloorReached));
    CHECK(bench.request(8).error() == make_error_code(HealthError::UnknownServer));
    CHECK(bench.request(99).error() == make_error_code(HealthError::UnknownServer));
}

// Guards against a floor that ignores drains and withdrawn failure domains.
TEST_CASE("the capacity of a pool takes drains and withdrawals from the snapshot")
{
    config::Pool pool;
    pool.servers = {config::BackendServer{serverId(0), {}, FailureDomainId("x")},
                    config::BackendServer{serverId(1), {}, FailureDomainId("y")},
                    config::BackendServer{serverId(2), {}, FailureDomainId("y")}};
    const auto snapshot = config::Snapshot::fromRows(
        ConfigVersion(1), ConfigVersion(1), {config::DomainWithdrawal{FailureDomainId("x"), ""}, config::ServerDrain{serverId(1), ""}});
    const PoolCapacity capacity = poolCapacity(pool, *snapshot);
    REQUIRE(capacity.servers.size() == 3);
    CHECK(capacity.servers[0].isOut);
    CHECK(capacity.servers[1].isOut);
    CHECK_FALSE(capacity.servers[2].isOut);
}

// Guards against a lease that outlasts its deadline because its reply was late, or that a late duplicate shortens.
TEST_CASE("a holder counts a lease from when its request was sent")
{
    testing::VirtualClock clock;
    EjectionHolder holder;
    const EjectionLease lease{serverId(0), 10s, PoolOwnerEpoch(1)};
    const auto sentAt = clock.now();
    clock.advance(4s);
    CHECK_FALSE(holder.isEjected(serverId(0), clock.now()));
    holder.onLease(lease, sentAt);
    holder.onLease(lease, sentAt - 5s);
    CHECK(holder.isEjected(serverId(0), clock.now()));
    clock.advance(5999ms);
    CHECK(holder.isEjected(serverId(0), clock.now()));
    CHECK(holder.takeReturned(clock.now()).empty());
    clock.advance(1ms);
    CHECK_FALSE(holder.isEjected(serverId(0), clock.now()));
    CHECK(holder.takeReturned(clock.now()) == std::vector{serverId(0)});
    CHECK(holder.takeReturned(clock.now()).empty());
}

// Guards against a server that a weight alone takes out of service.
TEST_CASE("a weight stays between 0.1 and 1 and makes a server look more loaded")
{
    EjectionHolder holder;
    holder.setWeight(serverId(0), ServerWeight(0));
    CHECK(holder.weight(serverId(0)).count() == doctest::Approx(0.1));
    CHECK_FALSE(holder.isEjected(serverId(0), MonotonicTime(1h)));
    CHECK(weightedLoad(LoadFigure(500), ServerWeight(1)).count() == 500);
    CHECK(weightedLoad(LoadFigure(500), ServerWeight(0.5)).count() > 1000);
    CHECK(weightedLoad(LoadFigure(0), ServerWeight(0.1)).count() > 0);
}
