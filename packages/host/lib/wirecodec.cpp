#include "wirecodec.h"

#include <algorithm>
#include <chrono>

namespace rhubarbtiller::host {

using std::chrono::duration_cast;
using std::chrono::microseconds;

/// A count of microseconds on the wire that stands for no time at all.
static constexpr std::int64_t NoTime = -1;

static std::int64_t micros(Duration duration)
{
    return duration_cast<microseconds>(duration).count();
}

// Ages are rounded up: evidence must never look newer than it is.
static std::int64_t microsRoundedUp(Duration duration)
{
    return std::chrono::ceil<microseconds>(duration).count();
}

static std::vector<std::int32_t> toWire(const std::vector<ShardId> &shards)
{
    std::vector<std::int32_t> numbers;
    numbers.reserve(shards.size());
    for (const auto shard : shards) {
        numbers.push_back(static_cast<std::int32_t>(shard.count()));
    }
    return numbers;
}

static std::vector<ShardId> fromWire(const std::vector<std::int32_t> &numbers)
{
    std::vector<ShardId> shards;
    shards.reserve(numbers.size());
    for (const auto number : numbers) {
        shards.emplace_back(static_cast<std::uint32_t>(number));
    }
    return shards;
}

peer::wire::EvidenceVector toWire(const membership::EvidenceVector &evidence)
{
    peer::wire::EvidenceVector message;
    message.storeVersion = static_cast<std::int64_t>(evidence.storeVersion.count());
    message.storeAgeMicros = evidence.storeAge ? microsRoundedUp(*evidence.storeAge) : NoTime;
    for (const auto &witness : evidence.witnesses) {
        peer::wire::WitnessEvidence entry;
        entry.host = witness.host.text();
        entry.version = static_cast<std::int64_t>(witness.version.count());
        entry.ageMicros = microsRoundedUp(witness.age);
        message.witnesses.push_back(std::move(entry));
    }
    return message;
}

membership::EvidenceVector fromWire(const peer::wire::EvidenceVector &message)
{
    membership::EvidenceVector evidence;
    evidence.storeVersion = ConfigVersion(static_cast<std::uint64_t>(message.storeVersion));
    if (message.storeAgeMicros >= 0) {
        evidence.storeAge = microseconds(message.storeAgeMicros);
    }
    for (const auto &entry : message.witnesses) {
        // A negative age would make evidence look newer than the request that asked for it.
        if (entry.ageMicros < 0) {
            continue;
        }
        evidence.witnesses.push_back(
            {HostId(entry.host), ConfigVersion(static_cast<std::uint64_t>(entry.version)), microseconds(entry.ageMicros)});
    }
    return evidence;
}

peer::wire::VoteRequest toWire(const membership::VoteRequest &request)
{
    peer::wire::VoteRequest message;
    message.holder = request.holder.text();
    message.incarnation = static_cast<std::int64_t>(request.incarnation.count());
    message.configVersion = static_cast<std::int64_t>(request.configVersion.count());
    message.sequence = static_cast<std::int64_t>(request.sequence);
    message.hearsReplies = request.hearsReplies;
    message.wanted = toWire(request.wanted);
    message.released = toWire(request.released);
    return message;
}

membership::VoteRequest fromWire(const peer::wire::VoteRequest &message)
{
    membership::VoteRequest request;
    request.holder = HostId(message.holder);
    request.incarnation = Incarnation(static_cast<std::uint64_t>(message.incarnation));
    request.configVersion = ConfigVersion(static_cast<std::uint64_t>(message.configVersion));
    request.sequence = static_cast<std::uint64_t>(message.sequence);
    request.hearsReplies = message.hearsReplies;
    request.wanted = fromWire(message.wanted);
    request.released = fromWire(message.released);
    return request;
}

peer::wire::VoteReply toWire(const membership::VoteReply &reply)
{
    peer::wire::VoteReply message;
    message.configVersion = static_cast<std::int64_t>(reply.configVersion.count());
    message.granted = toWire(reply.granted);
    return message;
}

membership::VoteReply fromWire(const peer::wire::VoteReply &message)
{
    membership::VoteReply reply;
    reply.configVersion = ConfigVersion(static_cast<std::uint64_t>(message.configVersion));
    reply.granted = fromWire(message.granted);
    return reply;
}

peer::wire::ServerSample toWire(const health::ServerSample &sample)
{
    peer::wire::ServerSample message;
    message.server = sample.server.text();
    message.successes.assign(sample.successes.begin(), sample.successes.end());
    message.failures.assign(sample.failures.begin(), sample.failures.end());
    message.medianLatencyMicros = static_cast<std::int32_t>(micros(sample.medianLatency));
    message.slowAnswers = static_cast<std::int32_t>(sample.slowAnswers);
    message.failuresInRow = static_cast<std::int32_t>(sample.failuresInRow);
    return message;
}

static void copyCounters(const std::vector<std::int32_t> &from, std::array<std::uint32_t, health::EvidenceBuckets> &to)
{
    const auto count = std::min(from.size(), to.size());
    for (std::size_t i = 0; i < count; ++i) {
        to[i] = static_cast<std::uint32_t>(std::max(from[i], 0));
    }
}

health::ServerSample fromWire(const peer::wire::ServerSample &message)
{
    health::ServerSample sample;
    sample.server = BackendServerId(message.server);
    copyCounters(message.successes, sample.successes);
    copyCounters(message.failures, sample.failures);
    sample.medianLatency = microseconds(std::max(message.medianLatencyMicros, 0));
    sample.slowAnswers = static_cast<std::uint32_t>(std::max(message.slowAnswers, 0));
    sample.failuresInRow = static_cast<std::uint32_t>(std::max(message.failuresInRow, 0));
    return sample;
}

static std::vector<peer::wire::WireHeader> toWire(const http::Headers &headers)
{
    std::vector<peer::wire::WireHeader> fields;
    fields.reserve(headers.size());
    for (const auto &header : headers) {
        peer::wire::WireHeader field;
        field.name = header.name;
        field.value = header.value;
        fields.push_back(std::move(field));
    }
    return fields;
}

static http::Headers fromWire(const std::vector<peer::wire::WireHeader> &fields)
{
    http::Headers headers;
    headers.reserve(fields.size());
    for (const auto &field : fields) {
        headers.push_back({field.name, field.value});
    }
    return headers;
}

peer::wire::ForwardRequest toWire(const Work &work, const BackendServerId &server, MonotonicTime now)
{
    peer::wire::ForwardRequest message;
    message.requestId = work.id.text();
    message.stage = server.isEmpty() ? peer::wire::ForwardStage::ADMISSION : peer::wire::ForwardStage::DISPATCH;
    message.method = work.request.method;
    message.target = work.request.target;
    message.headers = toWire(work.request.headers);
    message.body = work.request.body;
    message.remainingMicros = micros(work.deadline - now);
    message.organisation = work.organisation.text();
    message.keyDigest = work.keyDigest.text();
    message.route = work.route.text();
    message.slice = static_cast<std::int32_t>(work.slice);
    message.backendServer = server.text();
    message.traceParent = work.trace.header();
    message.configVersion = static_cast<std::int64_t>(work.configVersion.count());
    return message;
}

Work fromWire(const peer::wire::ForwardRequest &message, MonotonicTime now)
{
    Work work;
    work.id = RequestId(message.requestId);
    work.request = {message.method, message.target, fromWire(message.headers), message.body};
    work.organisation = OrganisationId(message.organisation);
    work.keyDigest = KeyDigest(message.keyDigest);
    work.route = RouteName(message.route);
    work.slice = static_cast<std::uint32_t>(std::max(message.slice, 0));
    work.deadline = now + microseconds(message.remainingMicros);
    work.configVersion = ConfigVersion(static_cast<std::uint64_t>(message.configVersion));
    work.cancel = std::make_shared<CancelToken>();
    return work;
}

static peer::wire::Execution::type toWire(routing::Execution execution)
{
    switch (execution) {
    case routing::Execution::NotRun:
        return peer::wire::Execution::NOT_RUN;
    case routing::Execution::Ran:
        return peer::wire::Execution::RAN;
    case routing::Execution::Unknown:
        break;
    }
    return peer::wire::Execution::UNKNOWN;
}

static routing::Execution fromWire(peer::wire::Execution::type execution)
{
    switch (execution) {
    case peer::wire::Execution::NOT_RUN:
        return routing::Execution::NotRun;
    case peer::wire::Execution::RAN:
        return routing::Execution::Ran;
    case peer::wire::Execution::UNKNOWN:
        break;
    }
    return routing::Execution::Unknown;
}

peer::wire::ForwardReply toWire(const WorkOutcome &outcome)
{
    peer::wire::ForwardReply message;
    message.execution = toWire(outcome.execution);
    message.hasResponse = outcome.response.has_value();
    if (outcome.response) {
        message.status = outcome.response->status;
        message.headers = toWire(outcome.response->headers);
        message.body = outcome.response->body;
    }
    message.reason = std::string(routing::factsOf(outcome.refusal.reason).word);
    message.retryAfterMicros = outcome.refusal.retryAfter ? micros(*outcome.refusal.retryAfter) : NoTime;
    message.loadPermille = outcome.load ? static_cast<std::int32_t>(outcome.load->count()) : -1;
    return message;
}

WorkOutcome fromWire(const peer::wire::ForwardReply &message)
{
    WorkOutcome outcome;
    outcome.execution = fromWire(message.execution);
    if (message.hasResponse) {
        outcome.response = http::HttpResponse{message.status, fromWire(message.headers), message.body};
    }
    outcome.refusal.reason = routing::reasonByWord(message.reason);
    outcome.refusal.execution = outcome.execution;
    if (message.retryAfterMicros >= 0) {
        outcome.refusal.retryAfter = microseconds(message.retryAfterMicros);
    }
    if (message.loadPermille >= 0) {
        outcome.load = health::LoadFigure(static_cast<std::uint32_t>(message.loadPermille));
    }
    return outcome;
}

} // namespace rhubarbtiller::host
