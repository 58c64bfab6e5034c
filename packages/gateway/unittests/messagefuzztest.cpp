#include "fakes.h"
#include "peerlink.h"
#include "responseparser.h"
#include "thriftcodec.h"

#include <rhubarbtiller/gateway/settings.h>
#include <rhubarbtiller/http/compression.h>
#include <rhubarbtiller/testing/fakehttpclient.h>
#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

#include <cstdlib>
#include <iostream>
#include <limits>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

/// Messages of each kind in every test run; RHUBARBTILLER_SEEDS adds to them, RHUBARBTILLER_SEED replaces the seed.
static constexpr std::uint64_t FixedMessages = 3000;
static constexpr std::uint64_t FixedSeed = 20261205;

namespace {

/// Keeps the receiver, so that a test can hand over datagrams.
class ReceivingSocket : public DatagramSocket
{
public:
    std::error_code open(const Endpoint &, Receiver ownReceiver) override
    {
        this->receiver = std::move(ownReceiver);
        return {};
    }

    std::error_code send(std::string_view, const Endpoint &) override
    {
        return {};
    }

    Receiver receiver;
};

/// A host with a server, an organisation and a peer, whose messages come from the test.
class FuzzedHost
{
public:
    FuzzedHost()
    {
        catalog::ServerEntry entry;
        entry.id = BackendServerId("s1");
        entry.service = catalog::ServiceName("service");
        entry.failureDomain = FailureDomainId("a");
        this->board.retain(catalog::ServerTable({entry}));
        this->link.open();
        this->sync.start();
        this->source.answer(SourceTable::Configuration, SourceBatch{{{"config", "1", 1, false}}, 10});
        this->source.answer(SourceTable::Servers, SourceBatch{{{"s1", "ready", 5, false}}, 10});
    }

    static balance::HostRecord ownRecord()
    {
        balance::HostRecord record;
        record.id = HostId("own");
        record.failureDomain = FailureDomainId("a");
        record.peerAddress = Endpoint("127.0.0.1:1");
        return record;
    }

    void receive(const wire::Datagram &datagram)
    {
        this->socket.receiver(encodeThrift(datagram), Endpoint("127.0.0.1:2"));
    }

    void settle()
    {
        this->context.restart();
        this->context.poll();
    }

    asio::io_context context;
    testing::VirtualClock clock;
    SeededRandom random{3};
    FakeSource source;
    PlainDecoder decoder;
    ReceivingSocket socket;
    std::string peerResponse;
    testing::FakeHttpClient peers{[this](const http::HttpCall &) {
        return http::HttpOutcome{http::HttpResponse{200, {}, this->peerResponse}, true};
    }};
    RcuCell<catalog::FleetState> state;
    balance::HostDirectory directory{ownRecord(), 2, true};
    balance::Scoreboard board;
    balance::OrganisationQuota quota{5s};
    balance::RetryBudget retries{balance::RetryBudgetBounds()};
    StateSync sync{
        {this->context, this->clock, this->random, this->source, this->decoder, this->peers, this->state, FailureDomainId("a"), [] {
         }}};
    PeerLink link{{this->context,
                   this->clock,
                   this->random,
                   this->directory,
                   this->board,
                   this->quota,
                   this->sync,
                   this->socket,
                   {FailureDomainId("a"), FailureDomainId("b")},
                   {},
                   [this](const PeerReplicaStatus &status) {
                       this->sync.onPeerReplicaStatus(status);
                   },
                   this->retries,
                   [] {
                       return MonotonicTime();
                   }}};
};

/// Draws the parts of messages; extreme numbers and known names are frequent.
class MessageSource
{
public:
    explicit MessageSource(std::uint64_t seed) : random(seed)
    {
    }

    template<class Number>
    Number number()
    {
        switch (this->random.below(6)) {
        case 0:
            return std::numeric_limits<Number>::max();
        case 1:
            return std::numeric_limits<Number>::min();
        case 2:
            return static_cast<Number>(this->random.below(std::numeric_limits<std::uint64_t>::max()));
        case 3:
            return -1;
        default:
            return static_cast<Number>(this->random.below(100));
        }
    }

    double real()
    {
        static constexpr std::array Values{
            0.0, -1.0, 1e308, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()};
        return Values[this->random.below(Values.size())];
    }

    std::string text()
    {
        static const std::array<std::string, 8> Texts{"", "a", "b", "own", "peer", "s1", "organisation", "127.0.0.1:2"};
        return this->random.below(10) == 0 ? std::string(this->random.below(300), '\xff') : Texts[this->random.below(Texts.size())];
    }

    bool flag()
    {
        return this->random.below(2) == 0;
    }

    wire::HostBeat heartbeat()
    {
        wire::HostBeat beat;
        beat.host = this->text();
        beat.failureDomain = this->text();
        beat.callerAddress = this->text();
        beat.peerAddress = this->text();
        beat.controlAddress = this->text();
        beat.incarnation = this->number<std::int64_t>();
        beat.isLeaving = this->flag();
        beat.beatIntervalMs = this->number<std::int32_t>();
        beat.configurationVersion = this->number<std::int64_t>();
        beat.serversVersion = this->number<std::int64_t>();
        beat.configurationEra = this->number<std::int64_t>();
        beat.serversEra = this->number<std::int64_t>();
        beat.storeContactAgeMs = this->number<std::int32_t>();
        beat.isServing = this->flag();
        beat.isEntry = this->flag();
        beat.milliCores = this->number<std::int32_t>();
        return beat;
    }

    wire::Datagram datagram()
    {
        wire::Datagram datagram;
        datagram.__set_sender(this->heartbeat());
        for (std::uint64_t i = 0; i < this->random.below(4); ++i) {
            datagram.mentioned.push_back(this->heartbeat());
            wire::ServerEvidence evidence;
            evidence.server = this->text();
            evidence.evidence = this->number<std::int8_t>();
            datagram.evidence.push_back(evidence);
            wire::ServerLoad load;
            load.server = this->text();
            load.outstanding = this->number<std::int32_t>();
            datagram.loads.push_back(load);
            wire::Admissions admissions;
            admissions.organisation = this->text();
            admissions.admitted = this->number<std::int64_t>();
            admissions.sinceLastReport = this->number<std::int64_t>();
            datagram.admissions.push_back(admissions);
            wire::WindowUse use;
            use.organisation = this->text();
            use.admitted = this->number<std::int64_t>();
            use.assumed = this->real();
            use.bySlice.assign(this->random.below(20), this->number<std::int32_t>());
            datagram.windowUses.push_back(use);
        }
        datagram.__isset.mentioned = this->flag();
        datagram.__isset.evidence = this->flag();
        datagram.__isset.loads = this->flag();
        datagram.__isset.admissions = this->flag();
        datagram.__isset.windowUses = this->flag();
        datagram.__set_namesAllUses(this->flag());
        datagram.__set_wantsMentions(this->flag());
        datagram.__set_wantsWindowUses(this->flag());
        return datagram;
    }

    wire::ReplicaAnswer replicaAnswer()
    {
        wire::ReplicaAnswer answer;
        answer.version = this->number<std::int64_t>();
        answer.era = this->number<std::int64_t>();
        for (std::uint64_t i = 0; i < this->random.below(4); ++i) {
            wire::ReplicaRow row;
            row.key = this->text();
            row.value = this->text();
            row.version = this->number<std::int64_t>();
            row.era = this->number<std::int64_t>();
            row.ageMs = this->number<std::int64_t>();
            answer.rows.push_back(row);
            answer.keys.push_back(this->text());
            answer.removed.push_back(this->text());
        }
        answer.__isset.keys = this->flag();
        answer.__isset.removed = this->flag();
        return answer;
    }

    /// Changes, repeats or cuts off some bytes.
    std::string mutated(std::string bytes)
    {
        for (std::uint64_t i = 0; i < this->random.below(4) && !bytes.empty(); ++i) {
            const auto position = this->random.below(bytes.size());
            switch (this->random.below(4)) {
            case 0:
                bytes[position] = static_cast<char>(this->random.below(256));
                break;
            case 1:
                bytes.insert(position, bytes.substr(position, this->random.below(20)));
                break;
            case 2:
                bytes.erase(position, this->random.below(20));
                break;
            default:
                bytes.resize(position);
                break;
            }
        }
        return bytes;
    }

    SeededRandom random;
};

/// Returns the seed and prints it, so that a run that ends the process can be repeated.
std::uint64_t printedSeed()
{
    const char *const seed = std::getenv("RHUBARBTILLER_SEED");
    const auto value = seed != nullptr ? std::stoull(seed) : FixedSeed;
    std::cout << "seed " << value << std::endl;
    return value;
}

std::uint64_t messageCount()
{
    const char *const additional = std::getenv("RHUBARBTILLER_SEEDS");
    return FixedMessages + (additional != nullptr ? std::stoull(additional) : 0);
}

} // namespace

// A host of a newer version may report kinds of evidence that this one does not know.
TEST_CASE("a report with an unknown kind of evidence ends the process")
{
    FuzzedHost host;
    wire::Datagram datagram;
    wire::HostBeat sender;
    sender.host = "peer";
    sender.failureDomain = "a";
    sender.peerAddress = "127.0.0.1:2";
    datagram.__set_sender(sender);
    for (const std::int8_t kind : {static_cast<std::int8_t>(1), static_cast<std::int8_t>(99), static_cast<std::int8_t>(-1)}) {
        wire::ServerEvidence evidence;
        evidence.server = "s1";
        evidence.evidence = kind;
        datagram.evidence.push_back(evidence);
    }
    datagram.__isset.evidence = true;
    host.receive(datagram);
    // The known kind before it counts.
    CHECK(host.board.state(BackendServerId("s1")).consecutiveFailures == 1);
}

TEST_CASE("a malformed or extreme datagram ends the process")
{
    FuzzedHost host;
    MessageSource source(printedSeed());
    for (std::uint64_t i = 0; i < messageCount(); ++i) {
        host.socket.receiver(source.mutated(encodeThrift(source.datagram())), Endpoint("127.0.0.1:2"));
        host.link.update();
        host.clock.advance(50ms);
        host.settle();
    }
    CHECK(host.sync.replicaStatus().configurationVersion.number >= 10);
}

TEST_CASE("a malformed or extreme replica of a peer ends the process")
{
    FuzzedHost host;
    MessageSource source(printedSeed());
    for (std::uint64_t i = 0; i < messageCount(); ++i) {
        host.peerResponse = source.mutated(encodeThrift(source.replicaAnswer()));
        host.sync.setRank(1);
        PeerReplicaStatus peer{
            HostId("peer"), FailureDomainId("a"), Endpoint("127.0.0.1:2"), {StoreEra(), 10 + i}, {StoreEra(), 10 + i}, 10ms};
        host.sync.onPeerReplicaStatus(peer);
        host.settle();
        host.clock.advance(1s);
    }
    CHECK(host.state.read()->catalog != nullptr);
}

TEST_CASE("a malformed response of a server ends the process")
{
    MessageSource source(printedSeed());
    static const std::array<std::string, 4> Responses{
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nhello",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nT: v\r\n\r\n",
        "HTTP/1.1 503 Full\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
    };
    std::uint64_t complete = 0;
    for (std::uint64_t i = 0; i < messageCount(); ++i) {
        ResponseParser parser(source.flag(), ByteCount(1000));
        const auto bytes = source.mutated(Responses[source.random.below(Responses.size())]);
        const auto split = source.random.below(bytes.size() + 1);
        parser.parse(std::string_view(bytes).substr(0, split));
        if (!parser.isComplete() && !parser.isMalformed()) {
            parser.parse(std::string_view(bytes).substr(split));
        }
        if (!parser.isComplete() && !parser.isMalformed()) {
            parser.finish();
        }
        complete += parser.isComplete() ? 1 : 0;
    }
    CHECK(complete > 0);
}

TEST_CASE("malformed settings end the process")
{
    MessageSource source(printedSeed());
    static const std::string Settings = R"({"id": "h", "failureDomain": "a", "failureDomains": ["a"], "callerAddress": "127.0.0.1:1",
        "readinessAddress": "127.0.0.1:2", "directoryAddress": "127.0.0.1:3", "controlAddress": "127.0.0.1:4",
        "peerAddress": "127.0.0.1:5", "storeAddress": "127.0.0.1:6", "seeds": ["127.0.0.1:7"], "processorCores": 0.5, "memoryMb": 160,
        "retryBudget": {"ratio": 0.2, "slack": 10, "windowSeconds": 10}, "firstStart": true})";
    std::uint64_t valid = 0;
    for (std::uint64_t i = 0; i < messageCount(); ++i) {
        config::Problems problems;
        valid += parseGatewaySettings(source.mutated(Settings), problems) ? 1 : 0;
    }
    CHECK(valid > 0);
    CHECK(valid < messageCount());
}
