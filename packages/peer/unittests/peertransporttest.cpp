#include <rhubarbtiller/peer/errors.h>
#include <rhubarbtiller/peer/messages.h>
#include <rhubarbtiller/peer/peertransport.h>

#include "codec.h"
#include "handshake.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <future>
#include <mutex>
#include <thread>

using namespace rhubarbtiller;
using namespace rhubarbtiller::peer;

namespace {

class RunningContext
{
public:
    RunningContext() : guard(asio::make_work_guard(this->context))
    {
        for (int i = 0; i < 2; ++i) {
            this->threads.emplace_back([this] {
                this->context.run();
            });
        }
    }

    ~RunningContext()
    {
        this->stop();
    }

    void stop()
    {
        this->guard.reset();
        this->context.stop();
        for (auto &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    asio::io_context context;

private:
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::vector<std::thread> threads;
};

/// Answers borrow requests with twice the number wanted; keeps requests for the organisation "hold".
class TestHandler : public PeerMessageHandler
{
public:
    void onMessage(const HostId &sender, const wire::Envelope &message, PeerReplyFunction reply) override
    {
        ++this->messages;
        const std::lock_guard lock(this->mutex);
        this->lastSender = sender;
        if (message.borrowRequest.organisation == "hold") {
            this->held.push_back(reply);
            return;
        }
        wire::Envelope answer;
        if (message.__isset.forwardRequest) {
            wire::ForwardReply forwarded;
            forwarded.body = message.forwardRequest.body;
            answer.__set_forwardReply(forwarded);
        } else {
            wire::BorrowReply lent;
            lent.lent = message.borrowRequest.wanted * 2;
            answer.__set_borrowReply(lent);
        }
        reply(answer);
        reply(answer);
    }

    std::atomic<int> messages{0};
    std::mutex mutex;
    HostId lastSender;
    std::vector<PeerReplyFunction> held;
};

/// Loses messages on demand.
class CuttingFilter : public LinkFilter
{
public:
    bool passesTo(const Endpoint &) const override
    {
        return !this->cutsOutgoing;
    }

    bool passesFrom(const Endpoint &) const override
    {
        return !this->cutsIncoming;
    }

    std::atomic<bool> cutsOutgoing{false};
    std::atomic<bool> cutsIncoming{false};
};

class PeerFixture
{
public:
    PeerFixture()
    {
        PeerOptions serverOptions = this->options("server");
        this->serverTraffic = serverOptions.traffic;
        this->server = makePeerServer(this->running.context, serverOptions, this->handler);
        REQUIRE_FALSE(this->server->start());
    }

    ~PeerFixture()
    {
        this->network.reset();
        this->server.reset();
        this->running.stop();
    }

    static PeerOptions options(const std::string &host)
    {
        PeerOptions options;
        options.self = HostId(host);
        options.bind = Endpoint("127.0.0.1:0");
        options.credential = "shared credential";
        options.minReconnectDelay = std::chrono::milliseconds(5);
        options.maxReconnectDelay = std::chrono::milliseconds(20);
        return options;
    }

    void connect(const PeerOptions &clientOptions)
    {
        this->clientTraffic = clientOptions.traffic;
        this->network = makePeerNetwork(this->running.context, this->clock, clientOptions);
    }

    std::future<PeerOutcome> start(const Endpoint &peer, const wire::Envelope &message, Duration limit = std::chrono::seconds(8))
    {
        auto outcome = std::make_shared<std::promise<PeerOutcome>>();
        auto future = outcome->get_future();
        this->network->call(peer, message, this->clock.now() + limit, [outcome](PeerOutcome result) {
            outcome->set_value(std::move(result));
        });
        return future;
    }

    PeerOutcome run(const Endpoint &peer, const wire::Envelope &message, Duration limit = std::chrono::seconds(8))
    {
        auto future = this->start(peer, message, limit);
        REQUIRE(future.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
        return future.get();
    }

    SystemClock clock;
    RunningContext running;
    TestHandler handler;
    std::unique_ptr<PeerServer> server;
    std::unique_ptr<PeerNetwork> network;
    std::shared_ptr<PeerTraffic> serverTraffic;
    std::shared_ptr<PeerTraffic> clientTraffic;
};

/// Speaks frames over a blocking socket.
class RawPeer
{
public:
    explicit RawPeer(asio::ip::tcp::socket connected) : socket(std::move(connected))
    {
        // A test that waits for a frame which never comes must end.
        const timeval limit{10, 0};
        setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }

    static RawPeer connectTo(asio::io_context &context, const Endpoint &endpoint)
    {
        const std::string &text = endpoint.text();
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind(':') + 1)))});
        return RawPeer(std::move(socket));
    }

    void sendRaw(const std::string &bytes)
    {
        std::error_code ignored;
        asio::write(this->socket, asio::buffer(bytes), ignored);
    }

    void send(const std::string &payload)
    {
        this->sendRaw(sizeOf(payload.size()) + payload);
    }

    /// Reads a frame; empty at the end of the connection.
    std::string receive()
    {
        std::array<unsigned char, 4> size{};
        std::error_code error;
        asio::read(this->socket, asio::buffer(size), error);
        if (error) {
            this->hasEnded = error != asio::error::would_block && error != asio::error::try_again;
            return {};
        }
        std::string payload((std::size_t(size[0]) << 24) + (std::size_t(size[1]) << 16) + (std::size_t(size[2]) << 8) + size[3], '\0');
        asio::read(this->socket, asio::buffer(payload), error);
        return payload;
    }

    /// Returns whether the other side closes the connection without sending another frame.
    bool closes()
    {
        return this->receive().empty() && this->hasEnded;
    }

    static std::string sizeOf(std::size_t size)
    {
        return {static_cast<char>(size >> 24), static_cast<char>(size >> 16), static_cast<char>(size >> 8), static_cast<char>(size)};
    }

    /// Takes the part of a connecting host that knows \p credential.
    void authenticate(const std::string &credential)
    {
        wire::Challenge challenge;
        REQUIRE(decodeMessage(this->receive(), challenge));
        wire::ChallengeResponse response;
        response.host = "raw";
        response.nonce = makeNonce();
        response.mac = connectorProof(credential, challenge.nonce, response.host, response.nonce);
        this->send(encodeMessage(response));
    }

    asio::ip::tcp::socket socket;
    bool hasEnded = false;
};

/// A stand-in for a peer whose behaviour after the handshake a test writes by hand.
class RawPeerServer
{
public:
    explicit RawPeerServer(std::function<void(RawPeer &)> sessionCode, std::string sharedCredential = "shared credential")
        : session(std::move(sessionCode))
        , credential(std::move(sharedCredential))
        , acceptor(this->context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , thread([this] {
            this->acceptOne();
        })
    {
    }

    ~RawPeerServer()
    {
        this->thread.join();
    }

    Endpoint endpoint() const
    {
        return Endpoint("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()));
    }

private:
    void acceptOne()
    {
        RawPeer peer(this->acceptor.accept());
        wire::Challenge challenge;
        challenge.nonce = makeNonce();
        peer.send(encodeMessage(challenge));
        wire::ChallengeResponse response;
        if (!decodeMessage(peer.receive(), response)) {
            return;
        }
        wire::ChallengeAccepted accepted;
        accepted.host = "raw";
        accepted.mac = acceptorProof(this->credential, challenge.nonce, accepted.host, response.nonce);
        peer.send(encodeMessage(accepted));
        this->session(peer);
    }

    std::function<void(RawPeer &)> session;
    std::string credential;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

} // namespace

static bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

static wire::Envelope borrow(int wanted, const std::string &organisation = "a")
{
    wire::BorrowRequest request;
    request.organisation = organisation;
    request.wanted = wanted;
    wire::Envelope message;
    message.__set_borrowRequest(request);
    return message;
}

static std::string borrowReply(std::int64_t callId, int lent)
{
    wire::BorrowReply reply;
    reply.lent = lent;
    wire::Envelope message;
    message.callId = callId;
    message.isReply = true;
    message.__set_borrowReply(reply);
    return encodeMessage(message);
}

// Guards against replies that reach the wrong call, more than one connection, and a sender that is not the proven one (I8).
TEST_CASE("many calls share one connection and get their own replies")
{
    PeerFixture fixture;
    fixture.connect(PeerFixture::options("client"));
    std::vector<std::future<PeerOutcome>> outcomes;
    for (int i = 0; i < 200; ++i) {
        outcomes.push_back(fixture.start(fixture.server->boundAddress(), borrow(i)));
    }
    for (int i = 0; i < 200; ++i) {
        REQUIRE(outcomes[static_cast<std::size_t>(i)].wait_for(std::chrono::seconds(10)) == std::future_status::ready);
        const auto outcome = outcomes[static_cast<std::size_t>(i)].get();
        REQUIRE(outcome.reply);
        CHECK(outcome.reply.value()->borrowReply.lent == 2 * i);
        CHECK(outcome.mayHaveBeenSent);
    }
    CHECK(fixture.handler.messages == 200);
    CHECK(fixture.clientTraffic->connectedPeers == 1);
    const std::lock_guard lock(fixture.handler.mutex);
    CHECK(fixture.handler.lastSender == HostId("client"));
}

// Guards against large forwarded bodies that break framing or are counted as control traffic.
TEST_CASE("forwarded bodies are carried whole and counted apart from control traffic")
{
    PeerFixture fixture;
    fixture.connect(PeerFixture::options("client"));
    wire::ForwardRequest request;
    request.requestId = "r";
    request.body = std::string(3000000, 'x') + std::string("\0\xff", 2);
    wire::Envelope message;
    message.__set_forwardRequest(request);
    const auto outcome = fixture.run(fixture.server->boundAddress(), message);
    REQUIRE(outcome.reply);
    CHECK(outcome.reply.value()->forwardReply.body == request.body);
    CHECK(fixture.clientTraffic->forwardBytesSent > 3000000);
    CHECK(fixture.clientTraffic->forwardBytesReceived > 3000000);
    CHECK(fixture.clientTraffic->controlBytesSent < 1000);
    CHECK(fixture.clientTraffic->controlBytesSent == fixture.serverTraffic->controlBytesReceived);

    request.body = std::string(MaxFrame, 'x');
    message.__set_forwardRequest(request);
    const auto oversized = fixture.run(fixture.server->boundAddress(), message);
    CHECK(oversized.reply.error() == PeerError::OversizedMessage);
    CHECK_FALSE(oversized.mayHaveBeenSent);
}

// Guards against hosts that do not know the credential, on either side.
TEST_CASE("a host without the credential is rejected on both sides")
{
    PeerFixture fixture;
    PeerOptions wrong = PeerFixture::options("client");
    wrong.credential = "other credential";
    fixture.connect(wrong);
    const auto outcome = fixture.run(fixture.server->boundAddress(), borrow(1));
    CHECK_FALSE(outcome.reply);
    CHECK_FALSE(outcome.mayHaveBeenSent);
    CHECK(fixture.handler.messages == 0);

    std::atomic<bool> sawMessage{false};
    RawPeerServer impostor(
        [&sawMessage](RawPeer &peer) {
            sawMessage = !peer.closes();
        },
        "other credential");
    fixture.connect(PeerFixture::options("client"));
    const auto unproven = fixture.run(impostor.endpoint(), borrow(1));
    CHECK(unproven.reply.error() == PeerError::AuthenticationFailed);
    CHECK_FALSE(unproven.mayHaveBeenSent);
    CHECK_FALSE(sawMessage);
}

// Guards against bytes before authentication that are parsed as messages, held in memory or answered.
TEST_CASE("the server closes connections that do not authenticate")
{
    PeerFixture fixture;
    asio::io_context context;
    const auto attempt = [&](const std::function<void(RawPeer &)> &act) {
        RawPeer peer = RawPeer::connectTo(context, fixture.server->boundAddress());
        wire::Challenge challenge;
        REQUIRE(decodeMessage(peer.receive(), challenge));
        CHECK(challenge.nonce.size() == NonceSize);
        act(peer);
        CHECK(peer.closes());
    };
    attempt([](RawPeer &peer) {
        peer.send("garbage");
    });
    attempt([](RawPeer &peer) {
        peer.send("");
    });
    attempt([](RawPeer &peer) {
        peer.send(encodeMessage(borrow(1)));
    });
    attempt([](RawPeer &peer) {
        peer.sendRaw(RawPeer::sizeOf(MaxUnauthenticatedFrame + 1));
    });
    attempt([](RawPeer &peer) {
        peer.sendRaw("GET / HTTP/1.1\r\n\r\n");
    });
    attempt([](RawPeer &peer) {
        wire::ChallengeResponse response;
        response.host = "raw";
        response.nonce = makeNonce();
        response.mac = connectorProof("shared credential", makeNonce(), response.host, response.nonce);
        peer.send(encodeMessage(response));
    });
    attempt([](RawPeer &) {
        // Sends nothing; the time limit of the handshake ends the connection.
    });
    CHECK(fixture.handler.messages == 0);
}

// Guards against an authenticated peer that makes the host hold a huge frame, or whose malformed messages are handled.
TEST_CASE("the server closes connections with oversized or malformed messages")
{
    PeerFixture fixture;
    asio::io_context context;
    for (const std::string &bytes : {RawPeer::sizeOf(MaxFrame + 1),
                                     RawPeer::sizeOf(7) + "garbage",
                                     RawPeer::sizeOf(borrowReply(1, 1).size()) + borrowReply(1, 1),
                                     RawPeer::sizeOf(encodeMessage(borrow(1)).size() + 1) + encodeMessage(borrow(1)) + "x"}) {
        RawPeer peer = RawPeer::connectTo(context, fixture.server->boundAddress());
        peer.authenticate("shared credential");
        wire::ChallengeAccepted accepted;
        REQUIRE(decodeMessage(peer.receive(), accepted));
        peer.sendRaw(bytes);
        CHECK(peer.closes());
    }
    CHECK(fixture.handler.messages == 0);
}

// Guards against calls that hang or claim "not sent" when a connection breaks under them (I9).
TEST_CASE("a broken connection fails its pending calls at once")
{
    PeerFixture fixture;
    RawPeerServer breaking([](RawPeer &peer) {
        peer.receive();
    });
    fixture.connect(PeerFixture::options("client"));
    // Waiting for the deadline instead would end in a timeout.
    const auto outcome = fixture.run(breaking.endpoint(), borrow(1));
    CHECK(outcome.reply.error() == PeerError::ConnectionBroken);
    CHECK(outcome.mayHaveBeenSent);

    const auto refused = fixture.run(Endpoint("127.0.0.1:1"), borrow(1));
    CHECK(refused.reply.error() == PeerError::ConnectionFailed);
    CHECK_FALSE(refused.mayHaveBeenSent);
    const auto malformed = fixture.run(Endpoint("host:1"), borrow(1));
    CHECK(malformed.reply.error() == PeerError::ConnectionFailed);
    CHECK_FALSE(malformed.mayHaveBeenSent);
}

// Guards against a link that stays down after its peer was restarted.
TEST_CASE("calls connect again after the peer was restarted")
{
    PeerFixture fixture;
    fixture.connect(PeerFixture::options("client"));
    const Endpoint address = fixture.server->boundAddress();
    REQUIRE(fixture.run(address, borrow(1)).reply);
    fixture.server->stop();
    REQUIRE(eventually([&] {
        return fixture.clientTraffic->connectedPeers == 0;
    }));
    const auto down = fixture.run(address, borrow(1));
    CHECK_FALSE(down.reply);
    CHECK_FALSE(down.mayHaveBeenSent);
    PeerOptions options = PeerFixture::options("server");
    options.bind = address;
    fixture.server = makePeerServer(fixture.running.context, options, fixture.handler);
    REQUIRE_FALSE(fixture.server->start());
    CHECK(eventually([&] {
        return bool(fixture.run(address, borrow(1)).reply);
    }));
}

// Guards against duplicate, late and unknown replies that are taken for the reply to another call (I8).
TEST_CASE("duplicate and unknown replies are dropped")
{
    PeerFixture fixture;
    RawPeerServer confused([](RawPeer &peer) {
        wire::Envelope first;
        wire::Envelope second;
        if (!decodeMessage(peer.receive(), first)) {
            return;
        }
        peer.send(borrowReply(first.callId + 1000, 7));
        peer.send(borrowReply(first.callId, 1));
        peer.send(borrowReply(first.callId, 2));
        if (!decodeMessage(peer.receive(), second)) {
            return;
        }
        peer.send(borrowReply(first.callId, 3));
        peer.send(borrowReply(second.callId, 4));
        peer.closes();
    });
    fixture.connect(PeerFixture::options("client"));
    const auto first = fixture.run(confused.endpoint(), borrow(1));
    REQUIRE(first.reply);
    CHECK(first.reply.value()->borrowReply.lent == 1);
    const auto second = fixture.run(confused.endpoint(), borrow(1));
    REQUIRE(second.reply);
    CHECK(second.reply.value()->borrowReply.lent == 4);
    fixture.network.reset();
}

// Guards against calls that outlive their deadline.
TEST_CASE("a call ends at its deadline")
{
    PeerFixture fixture;
    fixture.connect(PeerFixture::options("client"));
    const Endpoint address = fixture.server->boundAddress();
    const auto late = fixture.run(address, borrow(1), -std::chrono::milliseconds(1));
    CHECK(late.reply.error() == PeerError::Timeout);
    CHECK_FALSE(late.mayHaveBeenSent);
    const auto held = fixture.run(address, borrow(1, "hold"), std::chrono::milliseconds(200));
    CHECK(held.reply.error() == PeerError::Timeout);
    CHECK(held.mayHaveBeenSent);
    // The reply to the ended call comes late and must not disturb the next one.
    {
        const std::lock_guard lock(fixture.handler.mutex);
        REQUIRE(fixture.handler.held.size() == 1);
        fixture.handler.held.front()(borrow(1));
    }
    CHECK(fixture.run(address, borrow(3)).reply.value()->borrowReply.lent == 6);
}

// Guards against calls whose handler never runs because the network was destroyed.
TEST_CASE("destroying the network fails its calls")
{
    PeerFixture fixture;
    fixture.connect(PeerFixture::options("client"));
    auto future = fixture.start(fixture.server->boundAddress(), borrow(1, "hold"));
    REQUIRE(eventually([&] {
        return fixture.handler.messages == 1;
    }));
    fixture.network.reset();
    REQUIRE(future.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
    const auto outcome = future.get();
    CHECK(outcome.reply.error() == PeerError::Stopped);
    CHECK(outcome.mayHaveBeenSent);
}

// Guards against a link filter that cuts more or less than one direction.
TEST_CASE("a link can be cut in one direction")
{
    PeerFixture fixture;
    const auto filter = std::make_shared<CuttingFilter>();
    PeerOptions options = PeerFixture::options("client");
    options.filter = filter;
    fixture.connect(options);
    const Endpoint address = fixture.server->boundAddress();
    REQUIRE(fixture.run(address, borrow(1)).reply);
    filter->cutsOutgoing = true;
    const auto lost = fixture.run(address, borrow(1), std::chrono::milliseconds(100));
    CHECK(lost.reply.error() == PeerError::Timeout);
    CHECK(lost.mayHaveBeenSent);
    CHECK(fixture.handler.messages == 1);
    filter->cutsOutgoing = false;
    filter->cutsIncoming = true;
    CHECK(fixture.run(address, borrow(1), std::chrono::milliseconds(100)).reply.error() == PeerError::Timeout);
    CHECK(fixture.handler.messages == 2);
    filter->cutsIncoming = false;
    CHECK(fixture.run(address, borrow(1)).reply);
}
