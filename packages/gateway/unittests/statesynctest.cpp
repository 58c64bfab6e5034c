#include "statesync.h"
#include "fakes.h"
#include "thriftcodec.h"

#include <rhubarbtiller/http/compression.h>
#include <rhubarbtiller/http/errors.h>
#include <rhubarbtiller/testing/fakehttpclient.h>
#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

namespace {

/// The replicas of a host, with a fake store and a fake peer.
class SyncFixture
{
public:
    explicit SyncFixture(Duration firstReadDelay = 0ms)
        : peers([this](const http::HttpCall &) {
            return http::HttpOutcome{http::HttpResponse{200, {}, this->peerAnswer}, true};
        })
        , sync({this->context,
                this->clock,
                this->random,
                this->source,
                this->decoder,
                this->peers,
                this->published,
                FailureDomainId("a"),
                [this] {
                    ++this->publications;
                }})
    {
        if (firstReadDelay > 0ms) {
            this->sync.deferFirstRead(this->clock.now() + firstReadDelay);
        }
        this->sync.start();
    }

    /// Runs the handlers that are ready; the timer of the object under test runs on real time.
    void settle()
    {
        this->context.restart();
        this->context.poll();
    }

    /// Runs until after the next tick of the object under test.
    void tick()
    {
        this->context.restart();
        this->context.run_for(150ms);
    }

    void startWith(std::vector<SourceRow> servers)
    {
        this->source.answer(SourceTable::Configuration, SourceBatch{{{"config", "1", 1, false}}, 10});
        this->source.answer(SourceTable::Servers, SourceBatch{std::move(servers), 10});
    }

    /// Completes the next watch call with a response of the store.
    void changeConfiguration(std::vector<SourceRow> rows, std::uint64_t version)
    {
        this->clock.advance(1s);
        this->tick();
        this->source.answer(SourceTable::Configuration, SourceBatch{std::move(rows), version});
    }

    std::vector<std::string> servers() const
    {
        std::vector<std::string> names;
        for (const auto &entry : this->published.read()->servers->entries()) {
            names.push_back(entry.id.text());
        }
        return names;
    }

    PeerReplicaStatus peer(std::uint64_t configuration, std::uint64_t servers, std::optional<Duration> age)
    {
        return {HostId("peer"), FailureDomainId("a"), Endpoint("127.0.0.1:1"), {StoreEra(), configuration}, {StoreEra(), servers}, age};
    }

    asio::io_context context;
    testing::VirtualClock clock;
    SeededRandom random{3};
    FakeSource source;
    PlainDecoder decoder;
    std::string peerAnswer;
    testing::FakeHttpClient peers;
    RcuCell<catalog::FleetState> published;
    int publications = 0;
    StateSync sync;
};

using Names = std::vector<std::string>;

/// Returns rows like those of a configuration with many routes.
std::vector<SourceRow> largeConfiguration(std::size_t routes)
{
    SeededRandom random(11);
    std::string value;
    for (std::size_t i = 0; i < routes; ++i) {
        value += R"({"kind":"routes","meta":{"name":"r-)" + std::to_string(random.below(1'000'000'000)) + R"("},"spec":{"host":"host)"
            + std::to_string(random.below(10)) + R"(.example","prefix":"/)" + std::to_string(random.below(1'000'000'000))
            + R"(/","type":"unsafe","timeout_s":1.2,"slo_s":0.8,"priority":1,"service":"bookings","max_attempts":2,"public":false}},)";
    }
    return {{"routes", value, 20, false}};
}

} // namespace

TEST_CASE("a host reads both tables in full and watches them from that version")
{
    SyncFixture fixture;
    REQUIRE(fixture.source.pending(SourceTable::Servers)->isWhole);
    fixture.startWith({{"s1", "ready", 5, false}});
    CHECK(fixture.servers() == Names{"s1"});
    fixture.clock.advance(1s);
    fixture.tick();
    const auto *const next = fixture.source.pending(SourceTable::Servers);
    REQUIRE(next != nullptr);
    CHECK_FALSE(next->isWhole);
    CHECK(next->after == 10);
}

TEST_CASE("a table whose change history is lost is read in full, and rows removed meanwhile are erased")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}, {"s2", "ready", 6, false}});
    fixture.clock.advance(1s);
    fixture.tick();
    fixture.source.answer(SourceTable::Servers, make_error_code(SourceError::HistoryGone));
    REQUIRE(fixture.source.pending(SourceTable::Servers) != nullptr);
    CHECK(fixture.source.pending(SourceTable::Servers)->isWhole);
    fixture.source.answer(SourceTable::Servers, SourceBatch{{{"s1", "ready", 5, false}}, 30});
    CHECK(fixture.servers() == Names{"s1"});
}

TEST_CASE("a row that cannot be decoded is ignored, and the other rows stay in use")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "odd", 5, false}, {"s2", "ready", 6, false}});
    CHECK(fixture.servers() == Names{"s2"});
}

TEST_CASE("entries that expired while the store was unreachable stay in use until their servers had time to write them again")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}, {"s2", "ready", 6, false}, {"s3", "draining", 7, false}});
    for (int i = 0; i < 3; ++i) {
        fixture.clock.advance(2s);
        fixture.tick();
        REQUIRE(fixture.source.pending(SourceTable::Servers) != nullptr);
        fixture.source.answer(SourceTable::Servers, make_error_code(SourceError::Unavailable));
    }
    fixture.clock.advance(2s);
    fixture.tick();
    fixture.source.answer(SourceTable::Servers, SourceBatch{{{"s1", "", 20, true}, {"s3", "", 21, true}}, 21});
    // A draining server does not write its entry again.
    CHECK(fixture.servers() == Names{"s2", "s1"});
    fixture.clock.advance(2500ms);
    fixture.tick();
    CHECK(fixture.servers() == Names{"s2"});
}

// Guards against a host that sends requests to servers that are gone for as long as the store refuses it alone.
TEST_CASE("a host that the store refuses keeps expired servers in use although its peers are served")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}, {"s2", "ready", 6, false}});
    const auto refuse = [&fixture] {
        for (int i = 0; i < 2; ++i) {
            fixture.clock.advance(700ms);
            fixture.tick();
            REQUIRE(fixture.source.pending(SourceTable::Servers) != nullptr);
            fixture.source.answer(SourceTable::Servers, make_error_code(SourceError::Unavailable));
        }
    };
    refuse();
    fixture.clock.advance(2s);
    fixture.tick();
    fixture.source.answer(SourceTable::Servers, SourceBatch{{{"s1", "", 20, true}}, 20});
    REQUIRE(fixture.servers() == Names{"s2", "s1"});
    refuse();
    fixture.clock.advance(2500ms);
    fixture.tick();
    // Without a peer in contact the store may still lack what the servers want to write.
    CHECK(fixture.servers() == Names{"s2", "s1"});
    fixture.clock.advance(1s);
    fixture.sync.onPeerReplicaStatus(fixture.peer(10, 20, 10ms));
    fixture.tick();
    CHECK(fixture.servers() == Names{"s2"});
}

TEST_CASE("a host that pulls changes from a peer does not treat removals as expired entries")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}, {"s2", "ready", 6, false}});
    for (int i = 0; i < 3; ++i) {
        fixture.clock.advance(2s);
        fixture.tick();
        fixture.source.answer(SourceTable::Servers, make_error_code(SourceError::Unavailable));
    }
    // The peer is in contact with the store again, and this host is on standby.
    fixture.sync.setRank(1);
    wire::ReplicaAnswer answer;
    answer.version = 20;
    answer.__set_keys({"s2"});
    fixture.peerAnswer = encodeThrift(answer);
    fixture.sync.onPeerReplicaStatus(fixture.peer(10, 20, 10ms));
    fixture.tick();
    CHECK(fixture.servers() == Names{"s2"});
}

// Guards against hosts that are up to date and announce an older version, so that no peer pulls from them.
TEST_CASE("a pull that changes no row leaves the announced version behind")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}});
    fixture.sync.setRank(1);
    wire::ReplicaAnswer answer;
    answer.version = 20;
    answer.__set_removed({"s2"});
    fixture.peerAnswer = encodeThrift(answer);
    fixture.sync.onPeerReplicaStatus(fixture.peer(20, 20, 10ms));
    fixture.tick();
    CHECK(fixture.servers() == Names{"s1"});
    CHECK(fixture.sync.replicaStatus().serversVersion.number == 20);
    CHECK(fixture.sync.replicaStatus().configurationVersion.number == 20);
}

TEST_CASE("responses for the servers hide from the peers that the store refuses the configuration")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}});
    for (int i = 0; i < 3; ++i) {
        fixture.clock.advance(1s);
        fixture.tick();
        REQUIRE(fixture.source.pending(SourceTable::Configuration) != nullptr);
        fixture.source.answer(SourceTable::Configuration, make_error_code(SourceError::Unavailable));
        fixture.source.answer(SourceTable::Servers, SourceBatch{{}, 10});
    }
    REQUIRE(fixture.sync.replicaStatus().storeContactAge);
    CHECK(*fixture.sync.replicaStatus().storeContactAge == 3s);
}

TEST_CASE("a standby host pulls changes from a peer and does not read the store while the peer is in contact with it")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}});
    fixture.sync.setRank(1);
    fixture.sync.onPeerReplicaStatus(fixture.peer(10, 10, 10ms));
    fixture.clock.advance(500ms);
    fixture.source.calls.clear();
    fixture.tick();
    CHECK(fixture.source.calls.empty());
    wire::ReplicaAnswer answer;
    answer.version = 15;
    answer.__set_keys({"s1", "s9"});
    wire::ReplicaRow row;
    row.key = "s9";
    row.value = "ready";
    row.version = 15;
    answer.rows.push_back(row);
    fixture.peerAnswer = encodeThrift(answer);
    fixture.sync.onPeerReplicaStatus(fixture.peer(10, 15, 10ms));
    fixture.settle();
    CHECK(fixture.servers() == Names{"s1", "s9"});
}

// Models a link of 10 Mbit/s of which requests use nine tenths, in a fleet whose configuration grows by 2,000 routes.
TEST_CASE("a host with a slow link pulls a large configuration from its peer within the time for a change")
{
    constexpr double LinkBytesPerSecond = 125'000;
    constexpr Duration TimeForChange = 2500ms;
    SyncFixture peer;
    peer.startWith({});
    peer.changeConfiguration(largeConfiguration(2000), 20);

    SyncFixture fixture;
    fixture.startWith({});
    fixture.sync.setRank(1);
    fixture.peers.setServer([&](const http::HttpCall &call) {
        auto response = peer.sync.handleReplicaRequest(call.request, SourceTable::Configuration, {StoreEra(), 10});
        const auto arrivesAt = fixture.clock.now()
            + std::chrono::duration_cast<Duration>(
                                   std::chrono::duration<double>(static_cast<double>(response.body.size()) / LinkBytesPerSecond));
        fixture.clock.advance(std::min(arrivesAt, call.deadline) - fixture.clock.now());
        if (arrivesAt > call.deadline) {
            return http::HttpOutcome{make_error_code(http::HttpError::Timeout), true};
        }
        return http::HttpOutcome{std::move(response), true};
    });
    const auto changedAt = fixture.clock.now();
    while (fixture.sync.replicaStatus().configurationVersion.number < 20 && fixture.clock.now() < changedAt + TimeForChange) {
        fixture.sync.onPeerReplicaStatus(fixture.peer(20, 10, 10ms));
        fixture.settle();
        fixture.clock.advance(100ms);
    }
    CHECK(fixture.sync.replicaStatus().configurationVersion.number == 20);
    CHECK(fixture.clock.now() - changedAt < TimeForChange);
}

TEST_CASE("the timeout of a pull doubles with each timeout up to a maximum, and is reset after a success")
{
    SyncFixture fixture;
    fixture.startWith({});
    fixture.sync.setRank(1);
    fixture.peers.setServer([](const http::HttpCall &) {
        return http::HttpOutcome{make_error_code(http::HttpError::Timeout), true};
    });
    const auto pull = [&fixture] {
        fixture.sync.onPeerReplicaStatus(fixture.peer(20, 10, 10ms));
        fixture.settle();
        return fixture.peers.calls.back().deadline - fixture.clock.now();
    };
    CHECK(pull() == 500ms);
    CHECK(pull() == 1s);
    CHECK(pull() == 2s);
    CHECK(pull() == 4s);
    CHECK(pull() == 4s);
    wire::ReplicaAnswer answer;
    answer.version = 15;
    answer.__set_keys({"config"});
    fixture.peers.setServer([&answer](const http::HttpCall &) {
        return http::HttpOutcome{http::HttpResponse{200, {}, encodeThrift(answer)}, true};
    });
    CHECK(pull() == 4s);
    CHECK(pull() == 500ms);
}

TEST_CASE("a host keeps waiting for peers that announce a change and never deliver it")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}});
    fixture.sync.setRank(1);
    fixture.peers.setServer([](const http::HttpCall &) {
        return http::HttpOutcome{make_error_code(http::HttpError::Timeout), true};
    });
    fixture.sync.onPeerReplicaStatus(fixture.peer(20, 10, 10ms));
    fixture.settle();
    fixture.source.calls.clear();
    fixture.clock.advance(500ms);
    fixture.sync.onPeerReplicaStatus(fixture.peer(20, 10, 10ms));
    fixture.tick();
    CHECK(fixture.source.pending(SourceTable::Configuration) == nullptr);
    fixture.clock.advance(200ms);
    fixture.sync.onPeerReplicaStatus(fixture.peer(20, 10, 10ms));
    fixture.tick();
    CHECK(fixture.source.pending(SourceTable::Configuration) != nullptr);
    CHECK(fixture.source.pending(SourceTable::Servers) == nullptr);
}

TEST_CASE("an unreachable peer does not change the timeout of a pull")
{
    SyncFixture fixture;
    fixture.startWith({});
    fixture.sync.setRank(1);
    fixture.peers.setServer([](const http::HttpCall &) {
        return http::HttpOutcome{make_error_code(http::HttpError::ConnectionRefused), true};
    });
    for (int i = 0; i < 3; ++i) {
        fixture.sync.onPeerReplicaStatus(fixture.peer(20, 10, 10ms));
        fixture.settle();
        CHECK(fixture.peers.calls.back().deadline - fixture.clock.now() == 500ms);
    }
}

TEST_CASE("a peer that does not accept compression receives uncompressed rows, and each version receives its own rows")
{
    SyncFixture fixture;
    fixture.startWith({});
    fixture.changeConfiguration(largeConfiguration(100), 20);
    http::HttpRequest question;
    const auto plain = fixture.sync.handleReplicaRequest(question, SourceTable::Configuration, {StoreEra(), 10});
    CHECK(http::findHeader(plain.headers, "Content-Encoding").empty());
    const auto rows = decodeThrift<wire::ReplicaAnswer>(plain.body);
    REQUIRE(rows);
    CHECK(rows->rows.size() == 1);

    question.headers.push_back({"Accept-Encoding", "deflate"});
    const auto compressed = fixture.sync.handleReplicaRequest(question, SourceTable::Configuration, {StoreEra(), 10});
    CHECK(http::findHeader(compressed.headers, "Content-Encoding") == "deflate");
    CHECK(http::inflated(compressed.body, ByteCount(1'000'000)) == plain.body);
    // A peer at this version lacks no row.
    const auto none = fixture.sync.handleReplicaRequest(question, SourceTable::Configuration, {StoreEra(), 20});
    const auto noRows = decodeThrift<wire::ReplicaAnswer>(none.body);
    REQUIRE(noRows);
    CHECK(noRows->rows.empty());

    fixture.changeConfiguration({{"routes", std::string(5000, 'n'), 30, false}}, 30);
    const auto newer = fixture.sync.handleReplicaRequest(question, SourceTable::Configuration, {StoreEra(), 10});
    const auto body = http::inflated(newer.body, ByteCount(1'000'000));
    REQUIRE(body);
    CHECK(decodeThrift<wire::ReplicaAnswer>(*body)->version == 30);
}

TEST_CASE("a malformed response of a peer changes nothing")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}});
    fixture.peerAnswer = "\xff\xff garbage";
    fixture.sync.setRank(1);
    fixture.sync.onPeerReplicaStatus(fixture.peer(10, 15, 10ms));
    fixture.settle();
    CHECK(fixture.servers() == Names{"s1"});
}

// A start of all hosts would otherwise read both tables from the store once for each host.
TEST_CASE("a host that starts beside a peer in contact with the store takes both tables from it without a call")
{
    SyncFixture peer;
    peer.startWith({{"s1", "ready", 5, false}});
    SyncFixture fixture(300ms);
    fixture.peers.setServer([&peer](const http::HttpCall &call) {
        const bool isConfiguration = call.request.target.starts_with("/replica/configuration");
        const auto table = isConfiguration ? SourceTable::Configuration : SourceTable::Servers;
        return http::HttpOutcome{peer.sync.handleReplicaRequest(call.request, table, {StoreEra(), 0}), true};
    });
    CHECK(fixture.source.calls.empty());
    fixture.sync.onPeerReplicaStatus(fixture.peer(10, 10, 10ms));
    fixture.settle();
    fixture.sync.setRank(1);
    CHECK(fixture.servers() == Names{"s1"});
    CHECK(fixture.sync.replicaStatus().configurationVersion.number == 10);
    fixture.clock.advance(400ms);
    fixture.sync.onPeerReplicaStatus(fixture.peer(10, 10, 10ms));
    fixture.tick();
    CHECK(fixture.source.calls.empty());
}

// A peer that is cut from the store may still have servers that have left and keys that were withdrawn.
TEST_CASE("a host that starts takes no tables from a peer without recent contact with the store")
{
    SyncFixture fixture(300ms);
    fixture.sync.onPeerReplicaStatus(fixture.peer(10, 10, std::nullopt));
    fixture.sync.onPeerReplicaStatus(fixture.peer(10, 10, 2s));
    fixture.settle();
    CHECK(fixture.peers.calls.empty());
    fixture.clock.advance(310ms);
    fixture.tick();
    CHECK(fixture.source.pending(SourceTable::Configuration) != nullptr);
    CHECK(fixture.source.pending(SourceTable::Servers) != nullptr);
}

TEST_CASE("a host whose peer announces the tables and does not deliver them reads the store")
{
    SyncFixture fixture(300ms);
    fixture.peers.setServer([](const http::HttpCall &) {
        return http::HttpOutcome{make_error_code(http::HttpError::ConnectionRefused), true};
    });
    fixture.sync.onPeerReplicaStatus(fixture.peer(10, 10, 10ms));
    fixture.settle();
    fixture.clock.advance(310ms);
    fixture.tick();
    CHECK(fixture.source.pending(SourceTable::Configuration) != nullptr);
    CHECK(fixture.source.pending(SourceTable::Servers) != nullptr);
}

TEST_CASE("a host that starts while the store is away takes the tables that the other hosts use")
{
    SyncFixture peer;
    peer.startWith({{"s1", "ready", 5, false}});
    SyncFixture fixture(300ms);
    fixture.peers.setServer([&peer](const http::HttpCall &call) {
        const bool isConfiguration = call.request.target.starts_with("/replica/configuration");
        const auto table = isConfiguration ? SourceTable::Configuration : SourceTable::Servers;
        return http::HttpOutcome{peer.sync.handleReplicaRequest(call.request, table, {StoreEra(), 0}), true};
    });
    fixture.clock.advance(310ms);
    fixture.tick();
    fixture.source.answer(SourceTable::Configuration, make_error_code(SourceError::Unavailable));
    fixture.source.answer(SourceTable::Servers, make_error_code(SourceError::Unavailable));
    fixture.sync.onPeerReplicaStatus(fixture.peer(10, 10, std::nullopt));
    fixture.settle();
    REQUIRE(fixture.published.read() != nullptr);
    CHECK(fixture.servers() == Names{"s1"});
    CHECK(fixture.sync.replicaStatus().configurationVersion.number == 10);
}

TEST_CASE("a host keeps watching a store from a position of before its return")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}});
    fixture.clock.advance(1s);
    fixture.tick();
    SUBCASE("that answers with the changes after it")
    {
        fixture.source.answer(SourceTable::Servers, SourceBatch{{{"s2", "ready", 12, false}}, 12, StoreEra(1)});
    }
    SUBCASE("that does not have the position")
    {
        fixture.source.answer(SourceTable::Servers, make_error_code(SourceError::HistoryGone));
    }
    REQUIRE(fixture.source.pending(SourceTable::Servers) != nullptr);
    CHECK(fixture.source.pending(SourceTable::Servers)->isWhole);
    fixture.source.answer(SourceTable::Servers, SourceBatch{{{"s1", "draining", 4, false}, {"s2", "ready", 6, false}}, 6, StoreEra(1)});
    CHECK(fixture.published.read()->servers->entries().front().isDraining);
    CHECK(fixture.servers() == Names{"s1", "s2"});
    CHECK(fixture.sync.replicaStatus().serversVersion == StoreVersion{StoreEra(1), 6});
}

TEST_CASE("a response that the replica ignores counts as contact with the store")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}});
    for (int i = 0; i < 3; ++i) {
        fixture.clock.advance(1s);
        fixture.tick();
        fixture.source.answer(SourceTable::Configuration, SourceBatch{{}, 10});
        fixture.source.answer(SourceTable::Servers, make_error_code(SourceError::HistoryGone));
        REQUIRE(fixture.source.pending(SourceTable::Servers) != nullptr);
        fixture.source.answer(SourceTable::Servers, SourceBatch{{{"s1", "ready", 5, false}}, 7});
        CHECK(fixture.source.pending(SourceTable::Servers) == nullptr);
    }
    REQUIRE(fixture.sync.replicaStatus().storeContactAge);
    CHECK(*fixture.sync.replicaStatus().storeContactAge == 3s);
}

TEST_CASE("a host does not pull from a peer that has seen the return of the store")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}});
    fixture.sync.setRank(1);
    wire::ReplicaAnswer answer;
    answer.version = 6;
    answer.era = 1;
    answer.__set_keys({"s1", "s2"});
    wire::ReplicaRow row;
    row.key = "s2";
    row.value = "ready";
    row.version = 6;
    row.era = 1;
    answer.rows.push_back(row);
    fixture.peerAnswer = encodeThrift(answer);
    auto status = fixture.peer(10, 6, 10ms);
    status.serversVersion.era = StoreEra(1);
    fixture.sync.onPeerReplicaStatus(status);
    fixture.settle();
    CHECK(fixture.servers() == Names{"s1", "s2"});
}

TEST_CASE("a watch of an empty store ends the process when the store returns from an older copy")
{
    SyncFixture fixture;
    fixture.source.answer(SourceTable::Configuration, SourceBatch{{}, 0, StoreEra(1)});
    fixture.clock.advance(1s);
    fixture.tick();
    REQUIRE(fixture.source.pending(SourceTable::Configuration) != nullptr);
    fixture.source.answer(SourceTable::Configuration, SourceBatch{{{"config", "1", 1, false}}, 1, StoreEra(2)});
    REQUIRE(fixture.source.pending(SourceTable::Configuration) != nullptr);
    CHECK(fixture.source.pending(SourceTable::Configuration)->isWhole);
}

// Guards against a host that neither reads the store nor pulls, during an upgrade of a fleet whose store says its era.
TEST_CASE("a standby host takes a reader of an earlier release, which names no era, for one that delivers changes")
{
    SyncFixture fixture;
    fixture.source.answer(SourceTable::Configuration, SourceBatch{{{"config", "1", 1, false}}, 10, StoreEra(1)});
    fixture.source.answer(SourceTable::Servers, SourceBatch{{{"s1", "ready", 5, false}}, 10, StoreEra(1)});
    fixture.sync.setRank(1);
    wire::ReplicaAnswer answer;
    answer.version = 20;
    answer.__set_keys({"config"});
    wire::ReplicaRow row;
    row.key = "config";
    row.value = "2";
    row.version = 20;
    answer.rows.push_back(row);
    fixture.peerAnswer = encodeThrift(answer);
    fixture.source.calls.clear();
    for (int i = 0; i < 30; ++i) {
        fixture.clock.advance(100ms);
        fixture.sync.onPeerReplicaStatus(fixture.peer(20, 10, 10ms));
        fixture.settle();
        fixture.sync.update();
    }
    const bool hasChange = fixture.published.read()->catalog->version() == ConfigVersion(2);
    const bool readsStore = fixture.source.pending(SourceTable::Configuration) != nullptr;
    CHECK((hasChange || readsStore));
}

/// Has the fixture pull the servers from a peer that has seen the return of the store.
static void pullReturnedServers(SyncFixture &fixture, std::int64_t version)
{
    wire::ReplicaAnswer answer;
    answer.version = version;
    answer.era = 1;
    answer.__set_keys({"s1"});
    fixture.peerAnswer = encodeThrift(answer);
    auto status = fixture.peer(10, static_cast<std::uint64_t>(version), 10ms);
    status.serversVersion.era = StoreEra(1);
    fixture.sync.onPeerReplicaStatus(status);
    fixture.settle();
    REQUIRE(fixture.sync.replicaStatus().serversVersion == StoreVersion{StoreEra(1), static_cast<std::uint64_t>(version)});
}

// Guards against changes between the position of a pull and that of a watch from before it, which neither delivers.
TEST_CASE("a watch from a position of the earlier era is applied to rows of the later one that a peer delivered meanwhile")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}});
    fixture.clock.advance(1s);
    fixture.sync.update();
    REQUIRE(fixture.source.pending(SourceTable::Servers) != nullptr);
    REQUIRE(fixture.source.pending(SourceTable::Servers)->after == 10);
    pullReturnedServers(fixture, 6);
    // The store has given out number 8 for s2 again; the watch waits for changes after number 10.
    fixture.source.answer(SourceTable::Servers, SourceBatch{{{"s3", "ready", 12, false}}, 12, StoreEra(1)});
    fixture.clock.advance(1s);
    fixture.sync.update();
    const auto *const next = fixture.source.pending(SourceTable::Servers);
    REQUIRE(next != nullptr);
    CHECK((next->isWhole || next->after < 8));
}

// Guards against a reader without a fault that pauses because a peer was faster than its read.
TEST_CASE("a read of the store that a pull has overtaken delays the next read and is no contact with the store")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}});
    for (int i = 0; i < 4; ++i) {
        fixture.clock.advance(2s);
        fixture.sync.update();
        REQUIRE(fixture.source.pending(SourceTable::Servers) != nullptr);
        fixture.source.answer(SourceTable::Servers, make_error_code(SourceError::Unavailable));
    }
    fixture.clock.advance(2s);
    fixture.sync.update();
    fixture.source.answer(SourceTable::Servers, make_error_code(SourceError::HistoryGone));
    REQUIRE(fixture.source.pending(SourceTable::Servers) != nullptr);
    REQUIRE(fixture.source.pending(SourceTable::Servers)->isWhole);
    pullReturnedServers(fixture, 6);
    fixture.source.answer(SourceTable::Servers, SourceBatch{{{"s1", "ready", 5, false}}, 5, StoreEra(1)});
    fixture.clock.advance(350ms);
    fixture.sync.update();
    CHECK(fixture.source.pending(SourceTable::Servers) != nullptr);
}
