#include "outgoinglink.h"

#include "endpoints.h"
#include "framecodec.h"

#include <rhubarbtiller/peer/errors.h>
#include <rhubarbtiller/telemetry/log.h>

#include <asio/post.hpp>

namespace rhubarbtiller::peer {

static constexpr std::chrono::milliseconds HandshakeTimeout{2000};

/// Calls right after a failed connection fail at once, so that a dead peer costs no connection for each of them.
static constexpr Duration ReconnectPause = std::chrono::milliseconds(100);

void LinkContext::countControl(const wire::Envelope &message, std::size_t frameBytes)
{
    if (!message.__isset.forwardRequest && !message.__isset.forwardReply) {
        this->controlBytes.fetch_add(frameBytes, std::memory_order_relaxed);
    }
}

OutgoingLink::OutgoingLink(std::shared_ptr<LinkContext> linkContext, Endpoint peerAddress)
    : context(std::move(linkContext))
    , strand(asio::make_strand(this->context->ioContext))
    , address(std::move(peerAddress))
    , timer(this->strand)
{
}

void OutgoingLink::call(wire::Envelope message, MonotonicTime deadline, PeerOutcomeHandler handler)
{
    asio::post(this->strand,
               [self = this->shared_from_this(), call = Call{std::move(message), std::move(handler), deadline, false}]() mutable {
                   self->begin(std::move(call));
               });
}

void OutgoingLink::stop()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->isStopped = true;
        if (self->connection) {
            self->connection->close(make_error_code(PeerError::Stopped));
        }
        self->onClosed(make_error_code(PeerError::Stopped));
    });
}

void OutgoingLink::begin(Call call)
{
    const auto now = this->context->clock.now();
    if (this->isStopped || (!this->connection && !this->isConnecting && now < this->nextConnectAt)) {
        const auto reason = this->isStopped ? PeerError::Stopped : PeerError::ConnectionFailed;
        call.handler({make_error_code(reason), false});
        return;
    }
    const auto id = ++this->lastCallId;
    call.message.callId = id;
    call.message.isReply = false;
    this->deadlines.emplace(call.deadline, id);
    this->calls.emplace(id, std::move(call));
    this->armTimer();
    if (this->peer) {
        this->send(id);
    } else if (!this->connection && !this->isConnecting) {
        this->connect();
    }
}

void OutgoingLink::connect()
{
    const auto endpoint = parseEndpoint(this->address);
    if (!endpoint) {
        this->onClosed(make_error_code(PeerError::ConnectionFailed));
        return;
    }
    this->isConnecting = true;
    auto socket = std::make_shared<asio::ip::tcp::socket>(this->strand);
    auto connectTimer = std::make_shared<asio::steady_timer>(this->strand, HandshakeTimeout);
    connectTimer->async_wait([socket](const std::error_code &error) {
        std::error_code ignored;
        if (!error) {
            socket->close(ignored);
        }
    });
    socket->async_connect(*endpoint, [self = this->shared_from_this(), socket, connectTimer](const std::error_code &error) {
        connectTimer->cancel();
        self->isConnecting = false;
        if (error || self->isStopped) {
            self->onClosed(make_error_code(PeerError::ConnectionFailed));
            return;
        }
        self->onConnected(std::move(*socket));
    });
}

void OutgoingLink::onConnected(asio::ip::tcp::socket socket)
{
    this->connection = std::make_shared<Connection>(std::move(socket));
    this->connection->start(
        [self = this->shared_from_this()](std::string body) {
            if (self->peer) {
                self->onReply(std::move(body));
            } else {
                self->onHandshakeFrame(std::move(body));
            }
        },
        [self = this->shared_from_this()](std::error_code reason) {
            self->onClosed(reason);
        });
    this->connection->arm(HandshakeTimeout);
}

void OutgoingLink::onHandshakeFrame(std::string body)
{
    if (!this->sentResponse) {
        wire::Challenge challenge;
        if (!decodeBody(body, challenge)) {
            this->connection->close(make_error_code(PeerError::MalformedMessage));
            return;
        }
        this->sentResponse = this->context->handshake.respond(challenge);
        this->connection->send(encodeFrame(*this->sentResponse));
        return;
    }
    wire::ChallengeProof proof;
    auto name = decodeBody(body, proof) ? this->context->handshake.verify(*this->sentResponse, proof) : std::nullopt;
    if (!name) {
        this->connection->close(make_error_code(PeerError::Unauthenticated));
        return;
    }
    this->peer = std::move(name);
    this->connection->disarm();
    this->connection->setMaxFrame(MaxFrameBytes);
    this->sendPending();
}

void OutgoingLink::sendPending()
{
    for (const auto &[id, call] : this->calls) {
        if (!call.mayHaveBeenSent) {
            this->send(id);
        }
    }
}

void OutgoingLink::send(std::int64_t id)
{
    auto &call = this->calls.at(id);
    if (!this->context->filter->allowsOutgoing(*this->peer)) {
        // To the sender, a lost message looks like one that was sent.
        call.mayHaveBeenSent = true;
        return;
    }
    auto frame = encodeFrame(call.message);
    this->context->countControl(call.message, frame.size());
    // The message is not needed any more, and its body may be large.
    call.message = wire::Envelope();
    this->connection->send(std::move(frame), [self = this->shared_from_this(), id] {
        if (const auto found = self->calls.find(id); found != self->calls.end()) {
            found->second.mayHaveBeenSent = true;
        }
    });
}

void OutgoingLink::onReply(std::string body)
{
    const auto size = body.size() + FrameHeaderBytes;
    auto reply = std::make_shared<wire::Envelope>();
    if (!decodeBody(body, *reply) || !reply->isReply) {
        this->connection->close(make_error_code(PeerError::MalformedMessage));
        return;
    }
    this->context->countControl(*reply, size);
    if (!this->context->filter->allowsIncoming(*this->peer)) {
        return;
    }
    this->finish(reply->callId, {Result<std::shared_ptr<const wire::Envelope>>(std::shared_ptr<const wire::Envelope>(reply)), true});
}

void OutgoingLink::finish(std::int64_t id, PeerOutcome outcome)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return;
    }
    const auto handler = std::move(found->second.handler);
    this->calls.erase(found);
    handler(std::move(outcome));
}

void OutgoingLink::onClosed(std::error_code reason)
{
    if (reason == make_error_code(PeerError::Unauthenticated) || reason == make_error_code(PeerError::MalformedMessage)) {
        telemetry::logEvent(telemetry::LogLevel::Warning, "peer_refused", {{"address", this->address.text()}, {"error", reason.message()}});
    }
    if (!this->peer) {
        this->nextConnectAt = this->context->clock.now() + ReconnectPause;
    }
    this->connection = nullptr;
    this->sentResponse.reset();
    this->peer.reset();
    auto open = std::move(this->calls);
    this->calls.clear();
    this->deadlines.clear();
    this->timer.cancel();
    for (auto &[id, call] : open) {
        call.handler({reason, call.mayHaveBeenSent});
    }
}

void OutgoingLink::armTimer()
{
    if (this->deadlines.empty()) {
        return;
    }
    this->timer.expires_after(std::chrono::ceil<std::chrono::microseconds>(this->deadlines.begin()->first - this->context->clock.now()));
    this->timer.async_wait([self = this->shared_from_this()](const std::error_code &error) {
        if (!error) {
            self->expire();
        }
    });
}

void OutgoingLink::expire()
{
    const auto now = this->context->clock.now();
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const auto id = this->deadlines.begin()->second;
        this->deadlines.erase(this->deadlines.begin());
        const auto found = this->calls.find(id);
        if (found == this->calls.end()) {
            continue;
        }
        // A frame that waits behind others in the connection's queue may still leave, so it counts as sent.
        const bool mayLeave = found->second.mayHaveBeenSent || this->peer.has_value();
        this->finish(id, {make_error_code(PeerError::Timeout), mayLeave});
    }
    this->armTimer();
}

} // namespace rhubarbtiller::peer
