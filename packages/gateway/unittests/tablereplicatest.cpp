#include "tablereplica.h"
#include "fakes.h"

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

static const PlainDecoder decoder;

static SourceBatch batch(std::uint64_t version, std::vector<SourceRow> rows)
{
    return {std::move(rows), version, StoreEra()};
}

TEST_CASE("changes are applied in order, and a removed row is erased")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Servers, decoder);
    CHECK(replica.replace(batch(5, {{"a", "1", 3, false}, {"b", "1", 5, false}}), clock.now()));
    CHECK(replica.apply(batch(7, {{"a", "2", 6, false}, {"b", "", 7, true}}), clock.now()));
    CHECK(replica.rows().size() == 1);
    CHECK(replica.rows().at("a").value == "2");
    CHECK(replica.removedRows().contains("b"));
    CHECK(replica.version().number == 7);
}

TEST_CASE("a removal that carries the version of the row it removes is applied")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Servers, decoder);
    replica.replace(batch(5, {{"a", "1", 3, false}}), clock.now());
    CHECK(replica.apply(batch(9, {{"a", "", 3, true}}), clock.now()));
    CHECK(replica.rows().empty());
}

TEST_CASE("a removed row returns with a watch response that a newer copy of a peer has overtaken")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Servers, decoder);
    replica.replace(batch(10, {{"config", "1", 3, false}}), clock.now());
    wire::ReplicaAnswer answer;
    answer.version = 15;
    answer.__set_removed({"evacuate/a"});
    replica.applyPeerResponse(answer, clock.now());
    CHECK_FALSE(replica.apply(batch(12, {{"evacuate/a", "", 12, false}}), clock.now()));
    CHECK_FALSE(replica.rows().contains("evacuate/a"));
    CHECK(replica.position().number == 15);
}

/// Returns the rows of a replica at version 10 with row b, after it has pulled from \p peer.
static ReplicatedRows rowsAfterPullFrom(const TableReplica &peer, const testing::VirtualClock &clock)
{
    TableReplica behind(SourceTable::Servers, decoder);
    behind.replace(batch(10, {{"a", "1", 3, false}, {"b", "1", 10, false}}), clock.now());
    REQUIRE(peer.version() > behind.version());
    behind.applyPeerResponse(peer.changesSince(behind.version(), clock.now()), clock.now());
    return behind.rows();
}

TEST_CASE("a removal is lost on the way over a host that never had the row")
{
    testing::VirtualClock clock;
    const auto rowAlone = batch(6, {{"a", "1", 3, false}});
    SUBCASE("from the store")
    {
        TableReplica peer(SourceTable::Servers, decoder);
        peer.replace(rowAlone, clock.now());
        peer.apply(batch(15, {{"b", "", 15, true}}), clock.now());
        CHECK_FALSE(rowsAfterPullFrom(peer, clock).contains("b"));
    }
    SUBCASE("from a read of the full table")
    {
        TableReplica peer(SourceTable::Servers, decoder);
        peer.replace(rowAlone, clock.now());
        peer.replace(batch(15, {{"a", "1", 3, false}}), clock.now());
        CHECK_FALSE(rowsAfterPullFrom(peer, clock).contains("b"));
    }
    SUBCASE("from another peer")
    {
        TableReplica source(SourceTable::Servers, decoder);
        source.replace(batch(10, {{"a", "1", 3, false}, {"b", "1", 10, false}}), clock.now());
        source.apply(batch(15, {{"b", "", 15, true}}), clock.now());
        TableReplica peer(SourceTable::Servers, decoder);
        peer.replace(rowAlone, clock.now());
        peer.applyPeerResponse(source.changesSince(peer.version(), clock.now()), clock.now());
        CHECK_FALSE(rowsAfterPullFrom(peer, clock).contains("b"));
    }
}

TEST_CASE("a stale read of the full table does not revert the replica")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Servers, decoder);
    replica.replace(batch(10, {{"a", "new", 9, false}}), clock.now());
    CHECK_FALSE(replica.replace(batch(8, {{"a", "old", 4, false}, {"b", "1", 5, false}}), clock.now()));
    CHECK(replica.rows().size() == 1);
    CHECK(replica.rows().at("a").value == "new");
}

TEST_CASE("a read of the full table erases the rows that it does not contain")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Servers, decoder);
    replica.replace(batch(10, {{"a", "1", 9, false}, {"b", "1", 10, false}}), clock.now());
    CHECK(replica.replace(batch(12, {{"a", "1", 9, false}}), clock.now()));
    CHECK_FALSE(replica.rows().contains("b"));
}

TEST_CASE("a response without changes advances the position and not the version")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Servers, decoder);
    replica.replace(batch(10, {{"a", "1", 9, false}}), clock.now());
    CHECK_FALSE(replica.apply(batch(20, {}), clock.now()));
    CHECK(replica.position().number == 20);
    CHECK(replica.version().number == 10);
}

TEST_CASE("a peer receives the rows that it lacks, with their age, and the removals")
{
    testing::VirtualClock clock;
    TableReplica ahead(SourceTable::Servers, decoder);
    TableReplica behind(SourceTable::Servers, decoder);
    ahead.replace(batch(5, {{"a", "1", 3, false}, {"b", "1", 5, false}}), clock.now());
    REQUIRE(behind.applyPeerResponse(ahead.changesSince(behind.version(), clock.now()), clock.now()));
    const auto firstSeen = clock.now();
    clock.advance(2s);
    ahead.apply(batch(8, {{"b", "", 8, true}, {"c", "1", 7, false}}), clock.now());
    const auto response = ahead.changesSince(behind.version(), clock.now());
    CHECK(response.rows.size() == 1);
    CHECK(behind.applyPeerResponse(response, clock.now()));
    CHECK(behind.rows().size() == 2);
    CHECK(behind.rows().at("a").receivedAt == firstSeen);
    CHECK(behind.removedRows().contains("b"));
}

TEST_CASE("a response of a peer with an older replica changes nothing")
{
    testing::VirtualClock clock;
    TableReplica ahead(SourceTable::Servers, decoder);
    TableReplica behind(SourceTable::Servers, decoder);
    behind.replace(batch(5, {{"a", "1", 3, false}}), clock.now());
    ahead.replace(batch(9, {{"a", "2", 8, false}}), clock.now());
    CHECK_FALSE(ahead.applyPeerResponse(behind.changesSince({StoreEra(), 0}, clock.now()), clock.now()));
    CHECK(ahead.rows().at("a").value == "2");
}

TEST_CASE("a peer within the removal history receives the removed keys, any other peer receives all keys")
{
    testing::VirtualClock clock;
    TableReplica leader(SourceTable::Servers, decoder);
    leader.replace(batch(5, {{"a", "1", 3, false}, {"b", "1", 4, false}, {"c", "1", 5, false}}), clock.now());
    TableReplica peer(SourceTable::Servers, decoder);
    peer.applyPeerResponse(leader.changesSince({StoreEra(), 0}, clock.now()), clock.now());
    CHECK(peer.rows().size() == 3);
    leader.apply(batch(7, {{"b", "", 7, true}}), clock.now());
    leader.apply(batch(8, {{"d", "1", 8, false}}), clock.now());
    const auto response = leader.changesSince(peer.version(), clock.now());
    CHECK_FALSE(response.__isset.keys);
    CHECK(response.removed == std::vector<std::string>{"b"});
    CHECK(response.rows.size() == 1);
    CHECK(peer.applyPeerResponse(response, clock.now()));
    CHECK(peer.rows().size() == 3);
    CHECK_FALSE(peer.rows().contains("b"));
    CHECK(peer.removedRows().contains("b"));
    // The removal history of the leader begins with its first read.
    CHECK(leader.changesSince({StoreEra(), 4}, clock.now()).__isset.keys);
}

TEST_CASE("a key that was removed and written again is retained")
{
    testing::VirtualClock clock;
    TableReplica leader(SourceTable::Servers, decoder);
    leader.replace(batch(5, {{"a", "1", 3, false}}), clock.now());
    TableReplica peer(SourceTable::Servers, decoder);
    peer.applyPeerResponse(leader.changesSince({StoreEra(), 0}, clock.now()), clock.now());
    leader.apply(batch(6, {{"a", "", 6, true}}), clock.now());
    leader.apply(batch(7, {{"a", "2", 7, false}}), clock.now());
    CHECK(peer.applyPeerResponse(leader.changesSince(peer.version(), clock.now()), clock.now()));
    CHECK(peer.rows().at("a").value == "2");
}

// Guards against the loss of a row that a peer has already read, when the batches of the peer end at other versions.
TEST_CASE("a key that was removed and written again within one batch is retained by a peer that has read it")
{
    testing::VirtualClock clock;
    TableReplica leader(SourceTable::Servers, decoder);
    TableReplica peer(SourceTable::Servers, decoder);
    for (auto *const replica : {&leader, &peer}) {
        replica->replace(batch(5, {{"a", "1", 3, false}}), clock.now());
    }
    peer.apply(batch(7, {{"a", "", 6, true}, {"a", "2", 7, false}}), clock.now());
    leader.apply(batch(9, {{"a", "", 6, true}, {"a", "2", 7, false}, {"b", "1", 9, false}}), clock.now());
    CHECK(peer.applyPeerResponse(leader.changesSince(peer.version(), clock.now()), clock.now()));
    CHECK(peer.rows().size() == 2);
}

TEST_CASE("a peer receives all keys after more removals than the history contains")
{
    testing::VirtualClock clock;
    TableReplica leader(SourceTable::Servers, decoder);
    std::vector<SourceRow> rows;
    for (int i = 0; i < 1500; ++i) {
        rows.push_back({"k" + std::to_string(i), "1", 1, false});
    }
    leader.replace(batch(5, rows), clock.now());
    TableReplica peer(SourceTable::Servers, decoder);
    peer.applyPeerResponse(leader.changesSince({StoreEra(), 0}, clock.now()), clock.now());
    for (int i = 0; i < 1200; ++i) {
        leader.apply(batch(static_cast<std::uint64_t>(10 + i), {{"k" + std::to_string(i), "", static_cast<std::uint64_t>(10 + i), true}}),
                     clock.now());
    }
    CHECK(leader.changesSince(peer.version(), clock.now()).__isset.keys);
    CHECK(peer.applyPeerResponse(leader.changesSince(peer.version(), clock.now()), clock.now()));
    CHECK(peer.rows().size() == 300);
}

/// Returns a batch of the era after the first return of the store.
static SourceBatch returned(std::uint64_t version, std::vector<SourceRow> rows)
{
    return {std::move(rows), version, StoreEra(1)};
}

TEST_CASE("a store that returns with lower versions leaves its changes ignored")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Servers, decoder);
    replica.replace(batch(20, {{"a", "ready", 3, false}}), clock.now());
    CHECK(replica.replace(returned(9, {{"a", "ready", 3, false}, {"b", "ready", 9, false}}), clock.now()));
    CHECK(replica.rows().contains("b"));
    CHECK(replica.apply(returned(10, {{"a", "draining", 10, false}}), clock.now()));
    CHECK(replica.rows().at("a").value == "draining");
    CHECK(replica.position() == StoreVersion{StoreEra(1), 10});
}

TEST_CASE("an older copy of the store takes back what its writers had changed")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Servers, decoder);
    replica.replace(batch(20, {{"a", "draining", 18, false}, {"b", "ready", 4, false}}), clock.now());
    replica.apply(batch(22, {{"b", "", 22, true}}), clock.now());
    replica.replace(returned(9, {{"a", "ready", 3, false}, {"b", "ready", 4, false}}), clock.now());
    CHECK(replica.rows().at("a").value == "draining");
    CHECK_FALSE(replica.rows().contains("b"));

    SUBCASE("until the writer writes again")
    {
        CHECK(replica.apply(returned(12, {{"b", "ready", 12, false}}), clock.now()));
        CHECK(replica.rows().contains("b"));
        CHECK(replica.apply(returned(13, {{"a", "draining", 13, false}}), clock.now()));
        CHECK(replica.rows().at("a").version == StoreVersion{StoreEra(1), 13});
    }
    SUBCASE("until the store would have removed the entry of a server that is gone")
    {
        clock.advance(TableReplica::EntryLifetime);
        CHECK(replica.settle(clock.now()));
        CHECK(replica.rows().contains("b"));
        CHECK(replica.rows().at("a").value == "draining");
    }
    SUBCASE("and the store removes the entries")
    {
        CHECK(replica.apply(returned(12, {{"a", "", 11, true}, {"b", "", 12, true}}), clock.now()));
        CHECK(replica.rows().empty());
        clock.advance(TableReplica::EntryLifetime);
        CHECK_FALSE(replica.settle(clock.now()));
    }
}

TEST_CASE("rows that an older copy of the store lacks are dropped before they can be written again")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Servers, decoder);
    replica.replace(batch(20, {{"a", "ready", 18, false}, {"b", "ready", 19, false}}), clock.now());
    replica.replace(returned(9, {}), clock.now());
    CHECK(replica.rows().size() == 2);
    // The peer would keep a row for the whole time again that another host keeps.
    CHECK(replica.changesSince({}, clock.now()).keys.empty());
    CHECK(replica.apply(returned(10, {{"b", "ready", 10, false}}), clock.now()));
    clock.advance(TableReplica::RewriteTime - 1ms);
    CHECK_FALSE(replica.settle(clock.now()));
    clock.advance(1ms);
    CHECK(replica.settle(clock.now()));
    CHECK(replica.removedRows().contains("a"));
    CHECK(replica.rows().size() == 1);
}

TEST_CASE("a replica does not follow a peer that has seen the return of the store")
{
    testing::VirtualClock clock;
    TableReplica ahead(SourceTable::Servers, decoder);
    TableReplica behind(SourceTable::Servers, decoder);
    behind.replace(batch(20, {{"a", "draining", 18, false}, {"b", "ready", 4, false}, {"c", "ready", 19, false}}), clock.now());
    behind.apply(batch(22, {{"b", "", 22, true}}), clock.now());
    ahead.replace(returned(9, {{"a", "ready", 3, false}, {"b", "ready", 4, false}, {"d", "ready", 9, false}}), clock.now());
    CHECK(behind.applyPeerResponse(ahead.changesSince(behind.version(), clock.now()), clock.now()));
    CHECK(behind.version() == ahead.version());
    CHECK(behind.rows().at("a").value == "draining");
    CHECK_FALSE(behind.rows().contains("b"));
    CHECK(behind.rows().contains("c"));
    CHECK(behind.rows().contains("d"));
}

// Guards against a row that stays for ever because a read of the whole table does not clear it from the rows that are held back.
TEST_CASE("an entry that the store has removed comes back when the time to hold it back ends")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Servers, decoder);
    replica.replace(batch(20, {{"a", "ready", 3, false}, {"b", "ready", 4, false}}), clock.now());
    replica.apply(batch(22, {{"b", "", 22, true}}), clock.now());
    replica.replace(returned(9, {{"a", "ready", 3, false}, {"b", "ready", 4, false}}), clock.now());
    REQUIRE_FALSE(replica.rows().contains("b"));
    clock.advance(5s);
    SUBCASE("after the host has read the table again")
    {
        replica.replace(returned(40, {{"a", "ready", 12, false}}), clock.now());
    }
    SUBCASE("after the host has pulled all keys from a peer")
    {
        TableReplica peer(SourceTable::Servers, decoder);
        peer.replace(returned(40, {{"a", "ready", 12, false}}), clock.now());
        replica.applyPeerResponse(peer.changesSince(replica.version(), clock.now()), clock.now());
    }
    CHECK_FALSE(replica.rows().contains("b"));
    clock.advance(TableReplica::EntryLifetime);
    replica.settle(clock.now());
    CHECK_FALSE(replica.rows().contains("b"));
}

// Guards against a server that has left being used by a host that cannot know it, although the peer that it pulls from does.
TEST_CASE("a host uses an entry that its peer holds back")
{
    testing::VirtualClock clock;
    TableReplica peer(SourceTable::Servers, decoder);
    peer.replace(batch(20, {{"a", "ready", 3, false}, {"b", "ready", 4, false}}), clock.now());
    TableReplica replica(SourceTable::Servers, decoder);
    SUBCASE("after it has started during the return of the store")
    {
    }
    SUBCASE("after it has missed the removal")
    {
        replica.replace(batch(20, {{"a", "ready", 3, false}, {"b", "ready", 4, false}}), clock.now());
    }
    peer.apply(batch(22, {{"b", "", 22, true}}), clock.now());
    peer.replace(returned(9, {{"a", "ready", 3, false}, {"b", "ready", 4, false}}), clock.now());
    REQUIRE_FALSE(peer.rows().contains("b"));
    replica.applyPeerResponse(peer.changesSince(replica.version(), clock.now()), clock.now());
    CHECK(replica.rows().contains("a"));
    CHECK_FALSE(replica.rows().contains("b"));
}

// Guards against a configuration of the store that hosts with memory ignore for ever and hosts without it follow.
TEST_CASE("a configuration that is written long after the return of the store is not in force")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Configuration, decoder);
    replica.replace(batch(20, {{"config", "9", 18, false}}), clock.now());
    replica.replace(returned(9, {{"config", "7", 3, false}}), clock.now());
    CHECK(replica.rows().at("config").value == "9");
    clock.advance(60s);
    replica.settle(clock.now());
    replica.apply(returned(500, {{"config", "8", 500, false}}), clock.now());
    CHECK(replica.rows().at("config").value == "8");
}

// Guards against a replica that ignores the store for ever after one malformed message.
TEST_CASE("a negative version of a peer stops a replica from following the store")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Servers, decoder);
    replica.replace(returned(9, {{"a", "ready", 3, false}}), clock.now());
    wire::ReplicaAnswer response;
    response.version = 5;
    response.era = 1;
    response.__set_keys({"a"});
    SUBCASE("with its era")
    {
        response.era = -1;
    }
    SUBCASE("with its number")
    {
        response.version = -1;
    }
    SUBCASE("with a row beyond the version of the response")
    {
        response.version = 10;
        wire::ReplicaRow row;
        row.key = "a";
        row.value = "draining";
        row.version = 10;
        row.era = -1;
        response.rows.push_back(row);
    }
    replica.applyPeerResponse(response, clock.now());
    CHECK(replica.replace(returned(14, {{"a", "ready", 13, false}}), clock.now()));
    CHECK(replica.rows().at("a").value == "ready");
}

// Guards against an evacuation or an order that was withdrawn being in force again because the copy lists it.
TEST_CASE("an order of the operator that was withdrawn comes back with the copy of the store")
{
    testing::VirtualClock clock;
    TableReplica replica(SourceTable::Configuration, decoder);
    replica.replace(batch(20, {{"config", "9", 3, false}, {"evacuate/a", "{}", 4, false}}), clock.now());
    replica.apply(batch(22, {{"evacuate/a", "", 22, true}}), clock.now());
    replica.replace(returned(9, {{"config", "9", 3, false}, {"evacuate/a", "{}", 4, false}}), clock.now());
    CHECK_FALSE(replica.rows().contains("evacuate/a"));
}

// Guards against a pull that was requested before the host itself read the table of the new era, and is answered after it.
TEST_CASE("a host uses an entry that its peer holds back and that it held back itself")
{
    testing::VirtualClock clock;
    TableReplica peer(SourceTable::Servers, decoder);
    TableReplica replica(SourceTable::Servers, decoder);
    for (auto *const each : {&peer, &replica}) {
        each->replace(batch(20, {{"a", "ready", 3, false}, {"b", "ready", 4, false}}), clock.now());
        each->apply(batch(22, {{"b", "", 22, true}}), clock.now());
    }
    const auto requestedAfter = replica.version();
    replica.replace(returned(9, {{"a", "ready", 3, false}, {"b", "ready", 4, false}}), clock.now());
    peer.replace(returned(10, {{"a", "ready", 10, false}, {"b", "ready", 4, false}}), clock.now());
    REQUIRE_FALSE(replica.rows().contains("b"));
    REQUIRE_FALSE(peer.rows().contains("b"));
    replica.applyPeerResponse(peer.changesSince(requestedAfter, clock.now()), clock.now());
    CHECK(replica.rows().at("a").version.number == 10);
    CHECK_FALSE(replica.rows().contains("b"));
}
