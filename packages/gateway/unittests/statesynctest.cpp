#include "statesync.h"
#include "fakes.h"
#include "thriftcodec.h"

#include <rhubarbtiller/testing/fakehttpclient.h>
#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

namespace {

/// A host's state copies with a store and a peer that the test plays.
class SyncFixture
{
public:
    SyncFixture()
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
        this->sync.start();
    }

    /// Runs what is due; the timer of the object under test runs on real time.
    void settle()
    {
        this->context.restart();
        this->context.poll();
    }

    /// Lets the next tick come, which is bounded by the interval of the object under test.
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

    std::vector<std::string> servers() const
    {
        std::vector<std::string> names;
        for (const auto &entry : this->published.read()->servers->entries()) {
            names.push_back(entry.id.text());
        }
        return names;
    }

    PeerStanding peer(std::uint64_t configuration, std::uint64_t servers, std::optional<Duration> age)
    {
        return {HostId("peer"), FailureDomainId("a"), Endpoint("127.0.0.1:1"), configuration, servers, age};
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

} // namespace

TEST_CASE("a host reads both tables whole and follows them from there")
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

TEST_CASE("lost history is read anew, and what went meanwhile is gone")
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

TEST_CASE("a row that cannot be read names no server, and the others hold")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "odd", 5, false}, {"s2", "ready", 6, false}});
    CHECK(fixture.servers() == Names{"s2"});
}

TEST_CASE("entries that lapsed while the store was away hold until their servers can have written them again")
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
    // The draining server would not have written its entry again.
    CHECK(fixture.servers() == Names{"s2", "s1"});
    fixture.clock.advance(2500ms);
    fixture.tick();
    CHECK(fixture.servers() == Names{"s2"});
}

TEST_CASE("a host that a peer keeps current does not treat removals as lapsed entries")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}, {"s2", "ready", 6, false}});
    for (int i = 0; i < 3; ++i) {
        fixture.clock.advance(2s);
        fixture.tick();
        fixture.source.answer(SourceTable::Servers, make_error_code(SourceError::Unavailable));
    }
    // The peer has contact with the store again, and this host stands by.
    fixture.sync.setRank(1);
    wire::ReplicaAnswer answer;
    answer.version = 20;
    answer.__set_keys({"s2"});
    fixture.peerAnswer = encodeThrift(answer);
    fixture.sync.onPeer(fixture.peer(10, 20, 10ms));
    fixture.tick();
    CHECK(fixture.servers() == Names{"s2"});
}

TEST_CASE("a standby host takes changes from a peer and leaves the store alone while the peer is in contact")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}});
    fixture.sync.setRank(1);
    fixture.sync.onPeer(fixture.peer(10, 10, 10ms));
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
    fixture.sync.onPeer(fixture.peer(10, 15, 10ms));
    fixture.settle();
    CHECK(fixture.servers() == Names{"s1", "s9"});
}

TEST_CASE("a malformed answer of a peer changes nothing")
{
    SyncFixture fixture;
    fixture.startWith({{"s1", "ready", 5, false}});
    fixture.peerAnswer = "\xff\xff garbage";
    fixture.sync.setRank(1);
    fixture.sync.onPeer(fixture.peer(10, 15, 10ms));
    fixture.settle();
    CHECK(fixture.servers() == Names{"s1"});
}
