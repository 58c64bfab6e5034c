#include <rhubarbtiller/config/codec.h>
#include <rhubarbtiller/config/errors.h>
#include <rhubarbtiller/config/tables.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::config;

static Change exampleChange()
{
    Pool pool;
    pool.name = PoolName("seats");
    pool.slotsPerServer = SlotCount(4);
    pool.servers = {{BackendServerId("s1"), Endpoint("127.0.0.1:9001"), FailureDomainId("a")}};
    Route route;
    route.name = RouteName("holds");
    route.pathPrefix = "/holds/";
    route.methods = {"POST"};
    route.pool = pool.name;
    const Organisation organisation{OrganisationId("north"), RequestRate(12.5), RequestCount(30)};
    const KeyGrant grant{KeyDigest("ab12"), KeyName("north-1"), organisation.id};
    const Host host{HostId("h1"),
                    Incarnation(7),
                    Endpoint("127.0.0.1:1"),
                    Endpoint("127.0.0.1:2"),
                    Endpoint("127.0.0.1:3"),
                    FailureDomainId("a"),
                    HostState::Leaving};
    FleetParameters fleet;
    fleet.witnesses = {host.id};
    return Change{ConfigVersion(1),
                  ChangeId("c1"),
                  "ama",
                  {PutRow{pool},
                   PutRow{route},
                   PutRow{organisation},
                   PutRow{grant},
                   PutRow{DomainWithdrawal{FailureDomainId("b"), "power"}},
                   PutRow{ServerDrain{BackendServerId("s1"), "kernel"}},
                   PutRow{host},
                   PutRow{fleet},
                   DeleteRow{Table::Keys, "ff"}}};
}

// Guards against a field that gets lost on the way through the store.
TEST_CASE("a change and a snapshot survive encoding")
{
    const auto change = exampleChange();
    const auto decoded = decodeChange(encodeChange(change));
    REQUIRE(decoded);
    CHECK(decoded.value() == change);

    const auto snapshot = Snapshot().apply(change);
    const auto restored = decodeSnapshot(encodeSnapshot(*snapshot));
    REQUIRE(restored);
    CHECK(encodeSnapshot(*restored.value()) == encodeSnapshot(*snapshot));
    CHECK(restored.value()->version() == snapshot->version());
    CHECK(restored.value()->findRoute("POST", "/holds/3") != nullptr);
}

// Guards against a damaged item of the store that is taken for a change.
TEST_CASE("damaged changes are refused")
{
    CHECK_FALSE(decodeChange("{"));
    CHECK_FALSE(decodeChange(R"({"version": 1, "id": "x", "mutations": [{"table": "nothing", "delete": "a"}]})"));
    CHECK_FALSE(decodeChange(R"({"version": 1, "id": "x", "mutations": [], "extra": 1})"));
}

// Guards against a recursion as deep as the document.
TEST_CASE("a deeply nested document ends the process")
{
    const auto deep = std::string(200'000, '[') + std::string(200'000, ']');
    CHECK_FALSE(decodeChange(deep));
    CHECK_FALSE(decodeChange(R"({"version": 1, "id": "x", "mutations": [], "extra": )" + deep + "}"));
    CHECK_FALSE(decodeChange(R"({"version": 1, "id": "x", "mutations": [{"table": )" + deep + R"(, "delete": "a"}]})"));
    Problems problems;
    parsePools(R"({"pools": [{"name": )" + deep + "}]}", "pools.json", problems);
    REQUIRE_FALSE(problems.empty());
    CHECK(problems[0].error == make_error_code(ConfigError::MalformedDocument));
}

// Guards against a misspelt field that silently falls back to its default.
TEST_CASE("faults in tables are reported with path, value and what is allowed")
{
    Problems problems;
    parsePools(
        R"({"pools": [{"name": "p", "slotsPerServer": 0, "flor": 3, "servers": [{"id": "s", "address": "host:1", "failureDomain": "a"}]}]})",
        "pools.json",
        problems);
    REQUIRE(problems.size() == 3);
    CHECK(problems[0].path == "pools.json.pools[0].slotsPerServer");
    CHECK(problems[0].value == "0");
    CHECK(problems[1].path == "pools.json.pools[0].servers[0].address");
    CHECK(problems[2].error == make_error_code(ConfigError::UnknownField));
}

// Guards against tables that each look right but do not fit together.
TEST_CASE("routes without a pool and servers that stand twice are refused")
{
    Problems problems;
    Tables tables;
    tables.routes = parseRoutes(R"({"routes": [{"name": "r", "pathPrefix": "/", "pool": "missing"}]})", "routes.json", problems);
    tables.pools = parsePools(R"({"pools": [{"name": "p", "slotsPerServer": 1, "servers": [
        {"id": "s", "address": "127.0.0.1:1", "failureDomain": "a"},
        {"id": "s", "address": "127.0.0.1:2", "failureDomain": "a"}]}]})",
                              "pools.json",
                              problems);
    REQUIRE(problems.empty());
    const auto faults = checkTables(tables);
    REQUIRE(faults.size() == 2);
    CHECK(faults[0].error == make_error_code(ConfigError::DuplicateRow));
    CHECK(faults[1].error == make_error_code(ConfigError::BrokenReference));
}

// Guards against a difference that leaves a removed row in force or rewrites rows that did not change.
TEST_CASE("the mutations of a difference lead to the wanted tables and no further")
{
    const auto current = Snapshot().apply(exampleChange());
    Tables wanted;
    wanted.pools = {*current->findPool(PoolName("seats"))};
    const auto mutations = mutationsFor(*current, wanted);
    REQUIRE(mutations.size() == 1);
    CHECK(std::get<DeleteRow>(mutations[0]) == DeleteRow{Table::Routes, "holds"});
    const auto next = current->apply(Change{ConfigVersion(2), ChangeId("c2"), "ama", mutations});
    CHECK(compareTables(*next, wanted).empty());
    CHECK(next->tablesVersion() == ConfigVersion(2));
}
