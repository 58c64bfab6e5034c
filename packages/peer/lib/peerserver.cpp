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

#include <set>

namespace rhubarbtiller::peer {

namespace {

class TcpPeerServer;
class ServerCore;

/// One accepted connection; runs on its strand.
class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
    PeerSession(std::shared_ptr<ServerCore> server, asio::ip::tcp::socket socket, FrameConnection::Strand sessionStrand);

    void start();
    void close();

private:
    void onFrame(const std::string &bytes);
    void onChallengeResponse(const std::string &bytes);
    void onMessage(const std::string &bytes);
    void reply(std::int64_t callId, wire::Envelope &message);
    void end(std::error_code error, const char *event);

    std::shared_ptr<ServerCore> core;
    std::shared_ptr<FrameConnection> connection;
    asio::steady_timer handshakeTimer;
    std::string challengeNonce;
    std::string remote;
    HostId sender;
    bool isAuthenticated = false;
    bool hasEnded = false;
};

class ServerCore : public std::enable_shared_from_this<ServerCore>
{
public:
    ServerCore(asio::io_context &ioContext, const PeerOptions &peerOptions, PeerMessageHandler &messageHandler)
        : context(ioContext)
        , options(peerOptions)
        , handler(messageHandler)
        , strand(asio::make_strand(ioContext))
        , acceptor(strand)
        , retryTimer(strand)
    {
    }

    Status start();
    void stop();
    void forget(const std::shared_ptr<PeerSession> &session);

    asio::io_context &context;
    const PeerOptions options;
    PeerMessageHandler &handler;
    Endpoint bound;

private:
    void accept();

    asio::strand<asio::io_context::executor_type> strand;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    bool isAcceptPending = false;
    std::set<std::shared_ptr<PeerSession>> sessions;
};

class TcpPeerServer : public PeerServer
{
public:
    TcpPeerServer(asio::io_context &context, const PeerOptions &options, PeerMessageHandler &handler)
        : core(std::make_shared<ServerCore>(context, options, handler))
    {
    }

    ~TcpPeerServer() override
    {
        this->core->stop();
    }

    Status start() override
    {
        return this->core->start();
    }

    Endpoint boundAddress() const override
    {
        return this->core->bound;
    }

    void stop() override
    {
        this->core->stop();
    }

private:
    std::shared_ptr<ServerCore> core;
};

} // namespace

PeerSession::PeerSession(std::shared_ptr<ServerCore> server, asio::ip::tcp::socket socket, FrameConnection::Strand sessionStrand)
    : core(std::move(server)), handshakeTimer(core->context)
{
    std::error_code error;
    const auto address = socket.remote_endpoint(error);
    this->remote = error ? std::string("unknown") : formatAddress(address).text();
    this->connection = std::make_shared<FrameConnection>(std::move(socket), std::move(sessionStrand));
}

void PeerSession::start()
{
    const auto &strand = this->connection->executor();
    this->handshakeTimer.expires_after(this->core->options.handshakeTimeLimit);
    this->handshakeTimer.async_wait(asio::bind_executor(strand, [owner = this->weak_from_this()](std::error_code error) {
        const auto self = owner.lock();
        if (!error && self && !self->isAuthenticated) {
            self->end(PeerError::Timeout, "peer_handshake_timeout");
        }
    }));
    const std::weak_ptr<PeerSession> owner = this->weak_from_this();
    this->connection->start({[owner](const std::string &bytes) {
                                 if (const auto self = owner.lock()) {
                                     self->onFrame(bytes);
                                 }
                             },
                             [owner](std::error_code error) {
                                 if (const auto self = owner.lock()) {
                                     self->end(error, "peer_connection_ended");
                                 }
                             }},
                            MaxUnauthenticatedFrame);
    this->challengeNonce = makeNonce();
    wire::Challenge challenge;
    challenge.nonce = this->challengeNonce;
    std::string frame = encodeMessage(challenge);
    this->core->options.traffic->controlBytesSent += frame.size() + 4;
    this->connection->send(std::move(frame));
}

void PeerSession::close()
{
    asio::post(this->connection->executor(), [self = this->shared_from_this()] {
        self->end(PeerError::Stopped, "peer_connection_closed");
    });
}

void PeerSession::onFrame(const std::string &bytes)
{
    if (this->isAuthenticated) {
        this->onMessage(bytes);
    } else {
        this->onChallengeResponse(bytes);
    }
}

void PeerSession::onChallengeResponse(const std::string &bytes)
{
    const PeerOptions &options = this->core->options;
    options.traffic->controlBytesReceived += bytes.size() + 4;
    wire::ChallengeResponse response;
    if (!decodeMessage(bytes, response) || response.nonce.size() != NonceSize || response.host.empty()
        || !isSameProof(response.mac, connectorProof(options.credential, this->challengeNonce, response.host, response.nonce))) {
        this->end(PeerError::AuthenticationFailed, "peer_rejected");
        return;
    }
    this->isAuthenticated = true;
    this->handshakeTimer.cancel();
    this->sender = HostId(response.host);
    wire::ChallengeAccepted accepted;
    accepted.host = options.self.text();
    accepted.mac = acceptorProof(options.credential, this->challengeNonce, accepted.host, response.nonce);
    std::string frame = encodeMessage(accepted);
    options.traffic->controlBytesSent += frame.size() + 4;
    this->connection->setMaxFrame(MaxFrame);
    this->connection->send(std::move(frame));
}

void PeerSession::onMessage(const std::string &bytes)
{
    const auto message = std::make_shared<wire::Envelope>();
    if (!decodeMessage(bytes, *message) || message->isReply) {
        this->end(PeerError::MalformedMessage, "peer_message_malformed");
        return;
    }
    auto &traffic = *this->core->options.traffic;
    (message->__isset.forwardRequest ? traffic.forwardBytesReceived : traffic.controlBytesReceived) += bytes.size() + 4;
    if (!this->core->options.filter->passesFromHost(this->sender)) {
        return;
    }
    // Off the strand, so that a slow message does not hold up the others.
    asio::post(this->core->context, [self = this->shared_from_this(), message] {
        const auto hasReplied = std::make_shared<std::atomic<bool>>(false);
        const std::weak_ptr<PeerSession> owner = self;
        const std::int64_t callId = message->callId;
        self->core->handler.onMessage(self->sender, *message, [owner, hasReplied, callId](const wire::Envelope &answer) {
            const auto session = owner.lock();
            if (!session || hasReplied->exchange(true)) {
                return;
            }
            const auto held = std::make_shared<wire::Envelope>(answer);
            asio::post(session->connection->executor(), [session, callId, held] {
                session->reply(callId, *held);
            });
        });
    });
}

void PeerSession::reply(std::int64_t callId, wire::Envelope &message)
{
    const PeerOptions &options = this->core->options;
    if (this->hasEnded || !options.filter->passesToHost(this->sender)) {
        return;
    }
    message.callId = callId;
    message.isReply = true;
    std::string frame = encodeMessage(message);
    if (frame.size() > MaxFrame || this->connection->queuedBytes() + frame.size() > options.maxQueuedBytes) {
        // Without its reply the caller runs into its deadline; closing would fail its other calls as well.
        telemetry::logEvent(telemetry::LogLevel::Warning,
                            "peer_reply_dropped",
                            {{"peer", this->sender.text()}, {"bytes", static_cast<std::uint64_t>(frame.size())}});
        return;
    }
    (message.__isset.forwardReply ? options.traffic->forwardBytesSent : options.traffic->controlBytesSent) += frame.size() + 4;
    this->connection->send(std::move(frame));
}

void PeerSession::end(std::error_code error, const char *event)
{
    if (this->hasEnded) {
        return;
    }
    this->hasEnded = true;
    this->handshakeTimer.cancel();
    this->connection->close();
    const auto level = this->isAuthenticated ? telemetry::LogLevel::Info : telemetry::LogLevel::Warning;
    telemetry::logEvent(level, event, {{"address", this->remote}, {"peer", this->sender.text()}, {"error", error.message()}});
    this->core->forget(this->shared_from_this());
}

Status ServerCore::start()
{
    const auto address = parseAddress(this->options.bind);
    if (!address) {
        return PeerError::ConnectionFailed;
    }
    std::error_code error;
    this->acceptor.open(address->protocol(), error);
    if (!error) {
        this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        this->acceptor.bind(*address, error);
    }
    if (!error) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        const bool isInUse = error == asio::error::address_in_use;
        std::error_code ignored;
        this->acceptor.close(ignored);
        return isInUse ? PeerError::AddressInUse : PeerError::ConnectionFailed;
    }
    this->bound = formatAddress(this->acceptor.local_endpoint(error));
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->accept();
    });
    return {};
}

void ServerCore::stop()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        std::error_code ignored;
        self->acceptor.close(ignored);
        self->retryTimer.cancel();
        for (const auto &session : self->sessions) {
            session->close();
        }
    });
}

void ServerCore::forget(const std::shared_ptr<PeerSession> &session)
{
    asio::post(this->strand, [self = this->shared_from_this(), session] {
        self->sessions.erase(session);
        self->accept();
    });
}

void ServerCore::accept()
{
    if (this->isAcceptPending || !this->acceptor.is_open() || this->sessions.size() >= this->options.maxConnections) {
        return;
    }
    this->isAcceptPending = true;
    const auto sessionStrand = asio::make_strand(this->context);
    this->acceptor.async_accept(
        this->context,
        asio::bind_executor(this->strand,
                            [self = this->shared_from_this(), sessionStrand](std::error_code error, asio::ip::tcp::socket socket) {
                                self->isAcceptPending = false;
                                if (!self->acceptor.is_open()) {
                                    return;
                                }
                                if (error) {
                                    // Without file descriptors the next accept would fail at once.
                                    self->retryTimer.expires_after(std::chrono::milliseconds(100));
                                    self->retryTimer.async_wait([self](std::error_code failure) {
                                        if (!failure) {
                                            self->accept();
                                        }
                                    });
                                    return;
                                }
                                const auto session = std::make_shared<PeerSession>(self, std::move(socket), sessionStrand);
                                self->sessions.insert(session);
                                asio::post(sessionStrand, [session] {
                                    session->start();
                                });
                                self->accept();
                            }));
}

std::unique_ptr<PeerServer> makePeerServer(asio::io_context &context, const PeerOptions &options, PeerMessageHandler &handler)
{
    return std::make_unique<TcpPeerServer>(context, options, handler);
}

} // namespace rhubarbtiller::peer
