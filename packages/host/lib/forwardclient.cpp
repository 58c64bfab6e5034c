#include <rhubarbtiller/host/forwardclient.h>

#include "awaiting.h"
#include "wirecodec.h"

#include <rhubarbtiller/telemetry/log.h>

namespace rhubarbtiller::host {

using routing::Execution;
using routing::Reason;

/// How long the caller of a broken forward waits to learn whether the peer had started.
static constexpr Duration CancelTimeout = std::chrono::milliseconds(100);

ForwardClient::ForwardClient(const Clock &systemClock, peer::PeerNetwork &peerNetwork, PeerHealth &peerHealth)
    : clock(systemClock), network(peerNetwork), peers(peerHealth)
{
}

static peer::wire::Envelope cancelMessage(const RequestId &id)
{
    peer::wire::CancelRequest body;
    body.requestId = id.text();
    peer::wire::Envelope message;
    message.__set_cancelRequest(body);
    return message;
}

asio::awaitable<WorkOutcome> ForwardClient::forward(config::Host peer, Work work, BackendServerId server, MonotonicTime attemptDeadline)
{
    peer::wire::Envelope message;
    message.__set_forwardRequest(toWire(work, server, this->clock.now()));
    work.cancel->onCancel([this, address = peer.peerAddress, id = work.id] {
        this->network.call(address, cancelMessage(id), this->clock.now() + CancelTimeout, [](const peer::PeerOutcome &) {
        });
    });
    auto outcome = co_await awaitHandler<peer::PeerOutcome>([&](auto handler) {
        this->network.call(peer.peerAddress, std::move(message), attemptDeadline, std::move(handler));
    });
    if (outcome.reply && (*outcome.reply)->__isset.forwardReply) {
        this->peers.onSuccess(peer.id);
        co_return fromWire((*outcome.reply)->forwardReply);
    }
    this->peers.onFailure(peer.id, this->clock.now());
    const auto cause = outcome.reply.error();
    telemetry::logEvent(
        telemetry::LogLevel::Warning,
        "forward_failed",
        {{"peer", peer.id.text()}, {"request", work.id.text()}, {"error", cause.message()}, {"sent", outcome.mayHaveBeenSent}});
    if (!outcome.mayHaveBeenSent) {
        co_return WorkOutcome::refused(Reason::NotOwner, Execution::NotRun);
    }
    co_return co_await this->bar(peer, work, cause);
}

asio::awaitable<WorkOutcome> ForwardClient::bar(const config::Host &peer, const Work &work, const std::error_code &cause)
{
    auto outcome = co_await awaitHandler<peer::PeerOutcome>([&](auto handler) {
        this->network.call(peer.peerAddress, cancelMessage(work.id), this->clock.now() + CancelTimeout, std::move(handler));
    });
    const bool neverStarted = outcome.reply && (*outcome.reply)->__isset.cancelReply
        && (*outcome.reply)->cancelReply.state == peer::wire::CancelState::NEVER_STARTED;
    if (neverStarted) {
        co_return WorkOutcome::refused(Reason::NotOwner, Execution::NotRun);
    }
    const bool late = this->clock.now() >= work.deadline;
    telemetry::logEvent(telemetry::LogLevel::Warning, "outcome_unknown", {{"request", work.id.text()}, {"error", cause.message()}});
    co_return WorkOutcome::refused(late ? Reason::DeadlinePassed : Reason::ServerFailed, Execution::Unknown);
}

} // namespace rhubarbtiller::host
