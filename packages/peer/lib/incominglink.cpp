#include "incominglink.h"

#include "framecodec.h"

#include <rhubarbtiller/peer/errors.h>
#include <rhubarbtiller/telemetry/log.h>

#include <asio/post.hpp>

namespace rhubarbtiller::peer {

static constexpr std::chrono::milliseconds HandshakeTimeout{2000};

IncomingLink::IncomingLink(std::shared_ptr<LinkContext> linkContext,
                           PeerMessageHandler &messageHandler,
                           asio::ip::tcp::socket acceptedSocket)
    : context(std::move(linkContext))
    , handler(messageHandler)
    , strand(acceptedSocket.get_executor())
    , connection(std::make_shared<Connection>(std::move(acceptedSocket)))
    , challenge(this->context->handshake.challenge())
{
}

void IncomingLink::start(std::function<void()> onClosed)
{
    asio::post(this->strand, [self = this->shared_from_this(), onClosed = std::move(onClosed)] {
        self->connection->start(
            [self](std::string body) {
                if (self->peer) {
                    self->onFrame(std::move(body));
                } else {
                    self->onHandshakeFrame(std::move(body));
                }
            },
            [self, onClosed](std::error_code reason) {
                if (!self->peer) {
                    telemetry::logEvent(telemetry::LogLevel::Warning, "peer_not_admitted", {{"error", reason.message()}});
                }
                onClosed();
            });
        self->connection->arm(HandshakeTimeout);
        self->connection->send(encodeFrame(self->challenge));
    });
}

void IncomingLink::stop()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->connection->close(make_error_code(PeerError::Stopped));
    });
}

void IncomingLink::onHandshakeFrame(std::string body)
{
    wire::ChallengeResponse response;
    auto name = decodeBody(body, response) ? this->context->handshake.verify(this->challenge, response) : std::nullopt;
    if (!name) {
        this->connection->close(make_error_code(PeerError::Unauthenticated));
        return;
    }
    this->peer = std::move(name);
    this->connection->disarm();
    this->connection->setMaxFrame(MaxFrameBytes);
    this->connection->send(encodeFrame(this->context->handshake.prove(response)));
}

void IncomingLink::onFrame(std::string body)
{
    const auto size = body.size() + FrameHeaderBytes;
    wire::Envelope message;
    if (!decodeBody(body, message) || message.isReply) {
        this->connection->close(make_error_code(PeerError::MalformedMessage));
        return;
    }
    this->context->countControl(message, size);
    if (!this->context->filter->allowsIncoming(*this->peer)) {
        return;
    }
    this->handler.onMessage(*this->peer, message, [weak = this->weak_from_this(), callId = message.callId](wire::Envelope answer) {
        if (const auto self = weak.lock()) {
            self->reply(callId, std::move(answer));
        }
    });
}

void IncomingLink::reply(std::int64_t callId, wire::Envelope message)
{
    message.callId = callId;
    message.isReply = true;
    asio::post(this->strand, [self = this->shared_from_this(), message = std::move(message)] {
        if (!self->context->filter->allowsOutgoing(*self->peer)) {
            return;
        }
        auto frame = encodeFrame(message);
        self->context->countControl(message, frame.size());
        self->connection->send(std::move(frame));
    });
}

} // namespace rhubarbtiller::peer
