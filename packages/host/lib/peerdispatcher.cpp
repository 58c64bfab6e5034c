#include <rhubarbtiller/host/peerdispatcher.h>

#include "wirecodec.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/post.hpp>

#include <algorithm>

namespace rhubarbtiller::host {

using routing::Execution;
using routing::Reason;

/// Longer than a message can wait in the buffers of a paused host whose sender still acts on the outcome.
static constexpr Duration RequestRetention = std::chrono::minutes(2);

/// Bounds the memory; 500 forwarded requests a second need 60,000 entries over the retention.
static constexpr std::size_t MaxRememberedRequests = 200'000;

PeerDispatcher::PeerDispatcher(const Parts &dispatcherParts)
    : parts(dispatcherParts), deduplicator(MaxRememberedRequests, RequestRetention, dispatcherParts.clock.now())
{
}

void PeerDispatcher::onMessage(const HostId &sender, const peer::wire::Envelope &message, peer::PeerReplyFunction reply)
{
    if (message.__isset.forwardRequest) {
        this->onForward(message.forwardRequest, std::move(reply));
        return;
    }
    if (message.__isset.cancelRequest) {
        this->onCancel(message.cancelRequest, reply);
        return;
    }
    if (message.__isset.borrowRequest) {
        const auto &request = message.borrowRequest;
        peer::wire::BorrowReply body;
        const auto wanted = RequestCount(static_cast<double>(std::max(request.wanted, 0)));
        const auto slice = static_cast<std::uint32_t>(std::max(request.slice, 0));
        body.lent = static_cast<std::int32_t>(this->parts.home.lend(OrganisationId(request.organisation), slice, wanted).count());
        peer::wire::Envelope envelope;
        envelope.__set_borrowReply(body);
        reply(std::move(envelope));
        return;
    }
    asio::post(this->parts.controlStrand, [this, sender, message, reply = std::move(reply)] {
        if (message.__isset.voteRequest) {
            this->parts.leases.onVoteRequest(sender, message.voteRequest, reply);
        } else if (message.__isset.serverReport) {
            this->parts.pools.onServerReport(message.serverReport, reply);
        } else if (message.__isset.configRequest) {
            this->parts.configs.onConfigRequest(message.configRequest, reply);
        }
    });
}

void PeerDispatcher::onForward(const peer::wire::ForwardRequest &message, peer::PeerReplyFunction reply)
{
    const auto now = this->parts.clock.now();
    auto work = fromWire(message, now);
    const auto sender = telemetry::TraceContext::parse(message.traceParent, this->parts.random);
    work.trace = sender.child(this->parts.random);
    {
        const std::lock_guard lock(this->mutex);
        // A second copy, or one whose sender has already been told "not run", must not start.
        const auto decision = this->deduplicator.onForward(work.id, now);
        if (decision == peer::StartDecision::TableFull) {
            peer::wire::Envelope envelope;
            envelope.__set_forwardReply(toWire(WorkOutcome::refused(Reason::HostOverloaded, Execution::NotRun)));
            reply(std::move(envelope));
            return;
        }
        if (decision != peer::StartDecision::Start) {
            return;
        }
        this->running.emplace(work.id, work.cancel);
    }
    this->inProgress.fetch_add(1, std::memory_order_relaxed);
    if (ConfigVersion(static_cast<std::uint64_t>(message.configVersion)) > this->parts.configs.appliedVersion()) {
        asio::post(this->parts.controlStrand, [this] {
            this->parts.configs.pollSoon();
        });
    }
    const bool isAdmission = message.stage == peer::wire::ForwardStage::ADMISSION;
    asio::co_spawn(
        this->parts.executor,
        [this,
         work = std::move(work),
         server = BackendServerId(message.backendServer),
         isAdmission,
         reply = std::move(reply),
         parentSpanId = sender.spanId]() mutable -> asio::awaitable<void> {
            const auto id = work.id;
            const auto trace = work.trace;
            const auto wallStart = this->parts.clock.wallNow();
            const auto startedAt = this->parts.clock.now();
            WorkOutcome outcome;
            if (isAdmission) {
                outcome = co_await this->parts.home.run(std::move(work));
            } else {
                outcome = co_await this->parts.serverOwner.run(std::move(work), std::move(server));
            }
            peer::wire::Envelope envelope;
            envelope.__set_forwardReply(toWire(outcome));
            reply(std::move(envelope));
            telemetry::SpanRecord span{isAdmission ? "home" : "owner",
                                       trace,
                                       std::move(parentSpanId),
                                       wallStart,
                                       this->parts.clock.now() - startedAt,
                                       {{"request", id.text()}, {"execution", std::string(routing::executionWord(outcome.execution))}}};
            this->parts.spans.exportSpan(std::move(span));
            {
                const std::lock_guard lock(this->mutex);
                this->deduplicator.onFinished(id, this->parts.clock.now());
                this->running.erase(id);
            }
            this->inProgress.fetch_sub(1, std::memory_order_relaxed);
        },
        asio::detached);
}

static peer::wire::CancelState::type toWire(peer::CancelDecision outcome)
{
    switch (outcome) {
    case peer::CancelDecision::NeverStarted:
        return peer::wire::CancelState::NEVER_STARTED;
    case peer::CancelDecision::Running:
        return peer::wire::CancelState::RUNNING;
    case peer::CancelDecision::Finished:
        break;
    }
    return peer::wire::CancelState::FINISHED;
}

void PeerDispatcher::onCancel(const peer::wire::CancelRequest &message, const peer::PeerReplyFunction &reply)
{
    const RequestId id(message.requestId);
    std::shared_ptr<CancelToken> token;
    peer::wire::CancelReply body;
    {
        const std::lock_guard lock(this->mutex);
        body.state = toWire(this->deduplicator.onCancel(id, this->parts.clock.now()));
        if (const auto found = this->running.find(id); found != this->running.end()) {
            token = found->second;
        }
    }
    if (token) {
        token->cancel();
    }
    peer::wire::Envelope envelope;
    envelope.__set_cancelReply(body);
    reply(std::move(envelope));
}

} // namespace rhubarbtiller::host
