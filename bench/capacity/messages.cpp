#include "messages.h"

#include "codec.h"
#include "fleet.h"
#include "suites.h"
#include "wirecodec.h"

#include <rhubarbtiller/config/codec.h>
#include <rhubarbtiller/membership/placement.h>

#include <functional>

namespace rhubarbtiller::bench {

using peer::wire::Envelope;

/// The length prefix of a frame.
static constexpr std::size_t FrameHeader = 4;

static Envelope envelope(bool isReply)
{
    Envelope message;
    // As high as after a few hours at a few dozen calls a second on one connection.
    message.callId = 1'000'000;
    message.isReply = isReply;
    return message;
}

double encodedBytes(const Envelope &message)
{
    return static_cast<double>(peer::encodeMessage(message).size() + FrameHeader);
}

static membership::EvidenceVector evidenceOf(std::size_t witnesses)
{
    membership::EvidenceVector evidence;
    evidence.storeVersion = FleetVersion;
    evidence.storeAge = std::chrono::microseconds(480'000);
    evidence.settledVersion = FleetVersion;
    for (std::size_t i = 0; i < witnesses; ++i) {
        evidence.witnesses.push_back({hostName(i * 50), FleetVersion, std::chrono::microseconds(950'000)});
    }
    return evidence;
}

static std::vector<ShardId> shardsOf(std::size_t count)
{
    std::vector<ShardId> shards;
    for (std::size_t i = 0; i < count; ++i) {
        shards.emplace_back(static_cast<std::uint32_t>(500 + i));
    }
    return shards;
}

Envelope voteRequest(std::size_t shards, std::size_t witnesses)
{
    membership::VoteRequest request;
    request.holder = hostName(7);
    request.incarnation = Incarnation(1'790'000'000'000'000'000);
    request.configVersion = FleetVersion;
    request.sequence = 1'000'000;
    request.hearsReplies = true;
    request.wanted = shardsOf(shards);
    auto body = host::toWire(request);
    body.evidence = host::toWire(evidenceOf(witnesses));
    auto message = envelope(false);
    message.__set_voteRequest(body);
    return message;
}

Envelope voteReply(std::size_t shards, std::size_t witnesses)
{
    auto body = host::toWire(membership::VoteReply{FleetVersion, shardsOf(shards)});
    body.evidence = host::toWire(evidenceOf(witnesses));
    auto message = envelope(true);
    message.__set_voteReply(body);
    return message;
}

static health::ServerSample sampleOf(std::size_t number)
{
    health::ServerSample sample;
    sample.server = BackendServerId("server-0" + std::to_string(1000 + number));
    sample.successes.fill(3);
    sample.medianLatency = std::chrono::microseconds(25'000);
    return sample;
}

Envelope serverReport(std::size_t samples)
{
    peer::wire::ServerReport body;
    body.pool = "service-00007";
    body.knownEpoch = 0x7000'0000'0000'0000;
    for (std::size_t i = 0; i < samples; ++i) {
        body.samples.push_back(host::toWire(sampleOf(i)));
    }
    auto message = envelope(false);
    message.__set_serverReport(body);
    return message;
}

Envelope ejectionReply(std::size_t grants)
{
    peer::wire::EjectionReply body;
    body.isPoolOwner = true;
    body.epoch = 0x7000'0000'0000'0000;
    for (std::size_t i = 0; i < grants; ++i) {
        peer::wire::EjectionGrant grant;
        grant.server = "server-0" + std::to_string(1000 + i);
        grant.validForMicros = 3'000'000;
        grant.evidence = "failures 37/40 in 2 buckets, pool 1.0%, log10 p -14.2";
        body.grants.push_back(grant);
    }
    auto message = envelope(true);
    message.__set_ejectionReply(body);
    return message;
}

Envelope notOwnerReply()
{
    auto message = envelope(true);
    message.__set_ejectionReply({});
    return message;
}

static Envelope configRequest()
{
    peer::wire::ConfigRequest body;
    body.afterVersion = static_cast<std::int64_t>(FleetVersion.count());
    auto message = envelope(false);
    message.__set_configRequest(body);
    return message;
}

static Envelope configReply(std::size_t changes)
{
    peer::wire::ConfigReply body;
    body.version = static_cast<std::int64_t>(FleetVersion.count());
    for (std::size_t i = 0; i < changes; ++i) {
        config::Change change;
        change.version = FleetVersion;
        change.id = ChangeId("0123456789abcdef01234567");
        change.author = "operator-1";
        change.mutations.emplace_back(config::PutRow{makeKey(i, TargetSize.organisations)});
        body.changes.push_back(config::encodeChange(change));
    }
    auto message = envelope(true);
    message.__set_configReply(body);
    return message;
}

static Envelope cancelRequest()
{
    peer::wire::CancelRequest body;
    body.requestId = std::string(32, 'a');
    auto message = envelope(false);
    message.__set_cancelRequest(body);
    return message;
}

static Envelope cancelReply()
{
    peer::wire::CancelReply body;
    body.state = peer::wire::CancelState::NEVER_STARTED;
    auto message = envelope(true);
    message.__set_cancelReply(body);
    return message;
}

static Envelope borrowRequest()
{
    peer::wire::BorrowRequest body;
    body.organisation = "organisation-00007";
    body.slice = 3;
    body.wanted = 50;
    auto message = envelope(false);
    message.__set_borrowRequest(body);
    return message;
}

static Envelope borrowReply()
{
    peer::wire::BorrowReply body;
    body.lent = 25;
    auto message = envelope(true);
    message.__set_borrowReply(body);
    return message;
}

static void addTimes(Report &report, const std::string &name, const Envelope &message)
{
    const auto bytes = peer::encodeMessage(message);
    report.add("message." + name + ".encode", "message", "us", {{1, medianMicrosOfBatch(21, 200, [&] {
                                                                     (void)peer::encodeMessage(message);
                                                                 })}});
    report.add("message." + name + ".decode", "message", "us", {{1, medianMicrosOfBatch(21, 200, [&] {
                                                                     Envelope decoded;
                                                                     (void)peer::decodeMessage(bytes, decoded);
                                                                 })}});
}

static void addMessage(Report &report, const std::string &name, const Envelope &message)
{
    report.add("message." + name, "message", "B", {{1, encodedBytes(message)}});
    addTimes(report, name, message);
}

void measureMessages(Report &report)
{
    const auto bytesOf = [](const std::function<Envelope(std::size_t)> &make) {
        return [make](std::size_t size) {
            return encodedBytes(make(size));
        };
    };
    report.add("message.voteRequest.shards", "shard", "B", measureSizes({0, 1, 2, 4, 8}, bytesOf([](std::size_t n) {
                                                                            return voteRequest(n, 9);
                                                                        })));
    report.add("message.voteRequest.witnesses", "witness", "B", measureSizes({0, 3, 6, 9}, bytesOf([](std::size_t n) {
                                                                                 return voteRequest(1, n);
                                                                             })));
    report.add("message.voteReply.shards", "shard", "B", measureSizes({0, 1, 2, 4, 8}, bytesOf([](std::size_t n) {
                                                                          return voteReply(n, 9);
                                                                      })));
    report.add("message.serverReport.samples", "sample", "B", measureSizes({1, 2, 4, 8}, bytesOf(serverReport)));
    report.add("message.ejectionReply.grants", "grant", "B", measureSizes({0, 1, 2, 4}, bytesOf(ejectionReply)));
    report.add("message.configReply.changes", "change", "B", measureSizes({1, 2, 4, 8}, bytesOf(configReply)));
    addMessage(report, "voteRequest", voteRequest(1, 9));
    addMessage(report, "voteReply", voteReply(1, 9));
    addMessage(report, "serverReport", serverReport(1));
    addMessage(report, "ejectionReply.notOwner", notOwnerReply());
    addMessage(report, "ejectionReply.noGrant", ejectionReply(0));
    addMessage(report, "configRequest", configRequest());
    addMessage(report, "configReply", configReply(1));
    addMessage(report, "cancelRequest", cancelRequest());
    addMessage(report, "cancelReply", cancelReply());
    addMessage(report, "borrowRequest", borrowRequest());
    addMessage(report, "borrowReply", borrowReply());
}

} // namespace rhubarbtiller::bench
