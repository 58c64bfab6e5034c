#include <rhubarbtiller/peer/peertransport.h>

#include <rhubarbtiller/peer/errors.h>
#include <rhubarbtiller/peer/messages.h>
#include <rhubarbtiller/telemetry/log.h>

#include "addresses.h"
#include "codec.h"
#include "frameconnection.h"
#include "handshake.h"

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <mutex>
#include <unordered_map>

namespace rhubarbtiller::peer {

namespace {

/// A call that waits for its reply.
struct PendingCall
{
    PendingCall(asio::io_context &context, PeerOutcomeHandler receiver) : handler(std::move(receiver)), timer(context)
    {
    }

    PeerOutcomeHandler handler;
    asio::steady_timer timer;
    std::string frame;
    bool isForward = false;
    bool wasHandedToSocket = false;
};

/// The connection that this host makes to one peer. Everything but call() and shutDown() runs on its strand.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(asio::io_context &ioContext, const Clock &timeSource, const PeerOptions &peerOptions, const Endpoint &peerAddress)
        : context(ioContext)
        , clock(timeSource)
        , options(peerOptions)
        , address(peerAddress)
        , strand(asio::make_strand(ioContext))
        , timer(ioContext)
        , reconnectDelay(peerOptions.minReconnectDelay)
    {
    }

    void call(const wire::Envelope &message, MonotonicTime deadline, PeerOutcomeHandler handler);
    void shutDown();

private:
    enum class State {
        Idle,
        Waiting,
        Connecting,
        Handshaking,
        Ready,
        Stopped,
    };

    void start(wire::Envelope &message, MonotonicTime deadline, PeerOutcomeHandler handler);
    void answer(PeerOutcomeHandler handler, Result<std::shared_ptr<const wire::Envelope>> reply, bool mayHaveBeenSent);
    void finish(std::int64_t callId, Result<std::shared_ptr<const wire::Envelope>> reply);
    void failAll(std::error_code error);
    void transmit(std::int64_t callId);
    void connect();
    void onConnected(asio::ip::tcp::socket connected);
    void onHandshakeFrame(const std::string &bytes);
    void onChallenge(const std::string &bytes);
    void onAccepted(const std::string &bytes);
    void onFrame(const std::string &bytes);
    void disconnect(std::error_code error, const char *event);
    void armTimer(std::chrono::milliseconds delay, std::function<void()> work);

    asio::io_context &context;
    const Clock &clock;
    const PeerOptions options;
    const Endpoint address;
    asio::strand<asio::io_context::executor_type> strand;
    asio::steady_timer timer;
    std::uint64_t timerGeneration = 0;
    State state = State::Idle;
    std::chrono::milliseconds reconnectDelay;
    std::chrono::steady_clock::time_point nextConnect{};
    std::shared_ptr<asio::ip::tcp::socket> connecting;
    std::shared_ptr<FrameConnection> connection;
    std::string challengeNonce;
    std::string ownNonce;
    std::int64_t lastCallId = 0;
    std::uint64_t waitingBytes = 0;
    std::unordered_map<std::int64_t, std::shared_ptr<PendingCall>> pending;
    /// Calls in the order in which they came while there was no connection.
    std::deque<std::int64_t> waiting;
};

class TcpPeerNetwork : public PeerNetwork
{
public:
    TcpPeerNetwork(asio::io_context &ioContext, const Clock &timeSource, const PeerOptions &peerOptions)
        : context(ioContext), clock(timeSource), options(peerOptions)
    {
    }

    ~TcpPeerNetwork() override
    {
        for (const auto &[address, link] : this->links) {
            link->shutDown();
        }
    }

    void call(const Endpoint &peer, wire::Envelope message, MonotonicTime deadline, PeerOutcomeHandler handler) override
    {
        this->linkTo(peer)->call(message, deadline, std::move(handler));
    }

private:
    std::shared_ptr<PeerLink> linkTo(const Endpoint &peer)
    {
        const std::lock_guard lock(this->mutex);
        auto &link = this->links[peer];
        if (!link) {
            link = std::make_shared<PeerLink>(this->context, this->clock, this->options, peer);
        }
        return link;
    }

    asio::io_context &context;
    const Clock &clock;
    const PeerOptions options;
    std::mutex mutex;
    std::unordered_map<Endpoint, std::shared_ptr<PeerLink>> links;
};

} // namespace

static bool isForwardMessage(const wire::Envelope &message)
{
    return message.__isset.forwardRequest || message.__isset.forwardReply;
}

void PeerLink::call(const wire::Envelope &message, MonotonicTime deadline, PeerOutcomeHandler handler)
{
    asio::post(
        this->strand,
        [self = this->shared_from_this(), held = std::make_shared<wire::Envelope>(message), deadline, next = std::move(handler)]() mutable {
            self->start(*held, deadline, std::move(next));
        });
}

void PeerLink::shutDown()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        if (self->state == State::Ready) {
            --self->options.traffic->connectedPeers;
        }
        self->state = State::Stopped;
        ++self->timerGeneration;
        self->timer.cancel();
        if (self->connection) {
            self->connection->close();
            self->connection.reset();
        }
        if (self->connecting) {
            std::error_code ignored;
            self->connecting->close(ignored);
        }
        self->failAll(PeerError::Stopped);
    });
}

void PeerLink::start(wire::Envelope &message, MonotonicTime deadline, PeerOutcomeHandler handler)
{
    const Duration remaining = deadline - this->clock.now();
    if (this->state == State::Stopped || remaining <= Duration::zero()) {
        this->answer(std::move(handler), std::error_code(this->state == State::Stopped ? PeerError::Stopped : PeerError::Timeout), false);
        return;
    }
    auto call = std::make_shared<PendingCall>(this->context, std::move(handler));
    const std::int64_t callId = ++this->lastCallId;
    message.callId = callId;
    message.isReply = false;
    call->isForward = isForwardMessage(message);
    call->frame = encodeMessage(message);
    const std::uint64_t queued = this->waitingBytes + (this->connection ? this->connection->queuedBytes() : 0);
    if (call->frame.size() > MaxFrame || queued + call->frame.size() > this->options.maxQueuedBytes) {
        const auto error = call->frame.size() > MaxFrame ? PeerError::OversizedMessage : PeerError::QueueFull;
        this->answer(std::move(call->handler), std::error_code(error), false);
        return;
    }
    call->timer.expires_after(remaining);
    call->timer.async_wait(asio::bind_executor(this->strand, [owner = this->weak_from_this(), callId](std::error_code error) {
        const auto self = owner.lock();
        if (!error && self) {
            self->finish(callId, std::error_code(PeerError::Timeout));
        }
    }));
    this->pending.emplace(callId, call);
    if (this->state == State::Ready) {
        this->transmit(callId);
        return;
    }
    this->waitingBytes += call->frame.size();
    this->waiting.push_back(callId);
    if (this->state == State::Idle) {
        this->connect();
    }
}

void PeerLink::answer(PeerOutcomeHandler handler, Result<std::shared_ptr<const wire::Envelope>> reply, bool mayHaveBeenSent)
{
    asio::post(this->context, [next = std::move(handler), outcome = PeerOutcome{std::move(reply), mayHaveBeenSent}]() mutable {
        next(std::move(outcome));
    });
}

void PeerLink::finish(std::int64_t callId, Result<std::shared_ptr<const wire::Envelope>> reply)
{
    const auto found = this->pending.find(callId);
    if (found == this->pending.end()) {
        return;
    }
    const auto call = found->second;
    this->pending.erase(found);
    call->timer.cancel();
    if (const auto place = std::find(this->waiting.begin(), this->waiting.end(), callId); place != this->waiting.end()) {
        this->waiting.erase(place);
        this->waitingBytes -= call->frame.size();
    }
    this->answer(std::move(call->handler), std::move(reply), call->wasHandedToSocket);
}

void PeerLink::failAll(std::error_code error)
{
    this->waiting.clear();
    this->waitingBytes = 0;
    const auto failed = std::exchange(this->pending, {});
    for (const auto &[callId, call] : failed) {
        call->timer.cancel();
        this->answer(std::move(call->handler), error, call->wasHandedToSocket);
    }
}

void PeerLink::transmit(std::int64_t callId)
{
    const auto found = this->pending.find(callId);
    if (found == this->pending.end()) {
        return;
    }
    const auto call = found->second;
    if (!this->options.filter->passesTo(this->address)) {
        // A lost message looks to its sender like one that was sent.
        call->wasHandedToSocket = true;
        return;
    }
    const std::uint64_t size = call->frame.size() + 4;
    this->connection->send(std::move(call->frame), [owner = this->weak_from_this(), callId, size] {
        const auto self = owner.lock();
        if (!self) {
            return false;
        }
        const auto still = self->pending.find(callId);
        if (still == self->pending.end()) {
            return false;
        }
        still->second->wasHandedToSocket = true;
        auto &traffic = *self->options.traffic;
        (still->second->isForward ? traffic.forwardBytesSent : traffic.controlBytesSent) += size;
        return true;
    });
}

void PeerLink::armTimer(std::chrono::milliseconds delay, std::function<void()> work)
{
    const std::uint64_t generation = ++this->timerGeneration;
    this->timer.expires_after(delay);
    this->timer.async_wait(
        asio::bind_executor(this->strand, [owner = this->weak_from_this(), generation, next = std::move(work)](std::error_code error) {
            const auto self = owner.lock();
            if (!error && self && self->timerGeneration == generation) {
                next();
            }
        }));
}

void PeerLink::connect()
{
    const auto now = std::chrono::steady_clock::now();
    if (now < this->nextConnect) {
        this->state = State::Waiting;
        this->armTimer(std::chrono::ceil<std::chrono::milliseconds>(this->nextConnect - now), [this] {
            this->connect();
        });
        return;
    }
    this->nextConnect = now + this->reconnectDelay;
    this->reconnectDelay = std::min(this->reconnectDelay * 2, this->options.maxReconnectDelay);
    const auto target = parseAddress(this->address);
    if (!target) {
        this->disconnect(PeerError::ConnectionFailed, "peer_address_malformed");
        return;
    }
    this->state = State::Connecting;
    this->connecting = std::make_shared<asio::ip::tcp::socket>(this->context);
    // The limit covers the connection and the handshake.
    this->armTimer(this->options.handshakeTimeLimit, [this] {
        this->disconnect(PeerError::ConnectionFailed, "peer_handshake_timeout");
    });
    this->connecting->async_connect(
        *target, asio::bind_executor(this->strand, [self = this->shared_from_this(), socket = this->connecting](std::error_code error) {
            if (self->connecting != socket || self->state != State::Connecting) {
                return;
            }
            if (error) {
                self->disconnect(PeerError::ConnectionFailed, "peer_connection_failed");
                return;
            }
            self->connecting.reset();
            self->onConnected(std::move(*socket));
        }));
}

void PeerLink::onConnected(asio::ip::tcp::socket connected)
{
    this->state = State::Handshaking;
    this->challengeNonce.clear();
    this->connection = std::make_shared<FrameConnection>(std::move(connected), this->strand);
    const std::weak_ptr<PeerLink> owner = this->weak_from_this();
    this->connection->start({[owner](const std::string &bytes) {
                                 if (const auto self = owner.lock()) {
                                     if (self->state == State::Ready) {
                                         self->onFrame(bytes);
                                     } else {
                                         self->onHandshakeFrame(bytes);
                                     }
                                 }
                             },
                             [owner](std::error_code error) {
                                 if (const auto self = owner.lock()) {
                                     self->disconnect(error, "peer_connection_broken");
                                 }
                             }},
                            MaxUnauthenticatedFrame);
}

void PeerLink::onHandshakeFrame(const std::string &bytes)
{
    this->options.traffic->controlBytesReceived += bytes.size() + 4;
    if (this->challengeNonce.empty()) {
        this->onChallenge(bytes);
    } else {
        this->onAccepted(bytes);
    }
}

void PeerLink::onChallenge(const std::string &bytes)
{
    wire::Challenge challenge;
    if (!decodeMessage(bytes, challenge) || challenge.nonce.size() != NonceSize) {
        this->disconnect(PeerError::AuthenticationFailed, "peer_challenge_malformed");
        return;
    }
    this->challengeNonce = challenge.nonce;
    this->ownNonce = makeNonce();
    wire::ChallengeResponse response;
    response.host = this->options.self.text();
    response.nonce = this->ownNonce;
    response.mac = connectorProof(this->options.credential, this->challengeNonce, response.host, this->ownNonce);
    std::string frame = encodeMessage(response);
    this->options.traffic->controlBytesSent += frame.size() + 4;
    this->connection->send(std::move(frame));
}

void PeerLink::onAccepted(const std::string &bytes)
{
    wire::ChallengeAccepted accepted;
    if (!decodeMessage(bytes, accepted)
        || !isSameProof(accepted.mac, acceptorProof(this->options.credential, this->challengeNonce, accepted.host, this->ownNonce))) {
        this->disconnect(PeerError::AuthenticationFailed, "peer_acceptor_unproven");
        return;
    }
    ++this->timerGeneration;
    this->timer.cancel();
    this->state = State::Ready;
    this->reconnectDelay = this->options.minReconnectDelay;
    ++this->options.traffic->connectedPeers;
    this->connection->setMaxFrame(MaxFrame);
    const auto calls = std::exchange(this->waiting, {});
    this->waitingBytes = 0;
    for (const std::int64_t callId : calls) {
        this->transmit(callId);
    }
}

void PeerLink::onFrame(const std::string &bytes)
{
    const auto message = std::make_shared<wire::Envelope>();
    if (!decodeMessage(bytes, *message) || !message->isReply) {
        this->disconnect(PeerError::MalformedMessage, "peer_message_malformed");
        return;
    }
    auto &traffic = *this->options.traffic;
    (isForwardMessage(*message) ? traffic.forwardBytesReceived : traffic.controlBytesReceived) += bytes.size() + 4;
    if (!this->options.filter->passesFrom(this->address)) {
        return;
    }
    // A reply without a pending call is late or a duplicate, and is dropped.
    this->finish(message->callId, std::shared_ptr<const wire::Envelope>(message));
}

void PeerLink::disconnect(std::error_code error, const char *event)
{
    if (this->state == State::Stopped) {
        return;
    }
    telemetry::logEvent(telemetry::LogLevel::Warning, event, {{"peer", this->address.text()}, {"error", error.message()}});
    if (this->state == State::Ready) {
        --this->options.traffic->connectedPeers;
    }
    this->state = State::Idle;
    ++this->timerGeneration;
    this->timer.cancel();
    if (this->connection) {
        this->connection->close();
        this->connection.reset();
    }
    if (this->connecting) {
        std::error_code ignored;
        this->connecting->close(ignored);
        this->connecting.reset();
    }
    this->failAll(error);
}

std::unique_ptr<PeerNetwork> makePeerNetwork(asio::io_context &context, const Clock &clock, const PeerOptions &options)
{
    return std::make_unique<TcpPeerNetwork>(context, clock, options);
}

} // namespace rhubarbtiller::peer
