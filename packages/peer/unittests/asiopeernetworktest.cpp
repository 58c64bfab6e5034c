#include <rhubarbtiller/peer/asiopeernetwork.h>
#include <rhubarbtiller/peer/errors.h>

#include <peer_types.h>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace rhubarbtiller;
using namespace rhubarbtiller::peer;

namespace {

/// Answers forwarded requests with their id and leaves vote requests unanswered.
class EchoHandler : public PeerMessageHandler
{
public:
    void onMessage(const HostId &sender, const wire::Envelope &message, PeerReplyFunction reply) override
    {
        ++this->received;
        if (!message.__isset.forwardRequest) {
            return;
        }
        wire::ForwardReply body;
        body.reason = sender.text() + " " + message.forwardRequest.requestId;
        wire::Envelope envelope;
        envelope.__set_forwardReply(body);
        reply(envelope);
        // A second answer to the same call must not reach the caller.
        body.reason = "second";
        envelope.__set_forwardReply(body);
        reply(envelope);
    }

    std::atomic<int> received{0};
};

/// Two hosts on loopback.
struct Pair
{
    explicit Pair(const std::string &secondCredential = "0123456789abcdef")
        : first(this->context, this->clock, {HostId("first"), Endpoint("127.0.0.1:0"), "0123456789abcdef", nullptr}, this->firstHandler)
        , second(this->context, this->clock, {HostId("second"), Endpoint("127.0.0.1:0"), secondCredential, nullptr}, this->secondHandler)
    {
        REQUIRE_FALSE(this->first.start());
        REQUIRE_FALSE(this->second.start());
        this->thread = std::thread([this] {
            this->context.run();
        });
    }

    ~Pair()
    {
        this->first.stop();
        this->second.stop();
        this->thread.join();
    }

    PeerOutcome call(const Endpoint &address, wire::Envelope message, Duration timeout = std::chrono::seconds(5))
    {
        std::promise<std::shared_ptr<PeerOutcome>> promise;
        this->first.call(address, std::move(message), this->clock.now() + timeout, [&promise](PeerOutcome outcome) {
            promise.set_value(std::make_shared<PeerOutcome>(std::move(outcome)));
        });
        return *promise.get_future().get();
    }

    SystemClock clock;
    asio::io_context context;
    EchoHandler firstHandler;
    EchoHandler secondHandler;
    AsioPeerNetwork first;
    AsioPeerNetwork second;
    std::thread thread;
};

} // namespace

static wire::Envelope forwardMessage(const std::string &id)
{
    wire::ForwardRequest body;
    body.requestId = id;
    wire::Envelope message;
    message.__set_forwardRequest(body);
    return message;
}

static wire::Envelope voteMessage()
{
    wire::Envelope message;
    message.__set_voteRequest(wire::VoteRequest());
    return message;
}

// Guards against answers that reach the wrong call, or a second answer that is taken for that of the next call.
TEST_CASE("each call gets its own answer")
{
    Pair pair;
    for (int i = 0; i < 50; ++i) {
        const auto outcome = pair.call(pair.second.boundAddress(), forwardMessage("r" + std::to_string(i)));
        REQUIRE(outcome.reply);
        CHECK((*outcome.reply)->forwardReply.reason == "first r" + std::to_string(i));
    }
}

// Guards against a host without the credential that sends or answers messages.
TEST_CASE("a wrong credential lets no message through")
{
    Pair pair("fedcba9876543210");
    const auto outcome = pair.call(pair.second.boundAddress(), forwardMessage("r"));
    CHECK_FALSE(outcome.reply);
    CHECK_FALSE(outcome.mayHaveBeenSent);
    CHECK(pair.secondHandler.received == 0);
}

// Guards against "not run" for a message that was sent but not answered.
TEST_CASE("a call without an answer may have been sent")
{
    Pair pair;
    const auto outcome = pair.call(pair.second.boundAddress(), voteMessage(), std::chrono::milliseconds(300));
    CHECK(outcome.reply.error() == make_error_code(PeerError::Timeout));
    CHECK(outcome.mayHaveBeenSent);
}

// Guards against "unknown" for a message to a host that is not there.
TEST_CASE("a refused connection is certain not to have sent the message")
{
    Pair pair;
    const auto address = pair.second.boundAddress();
    pair.second.stop();
    const auto outcome = pair.call(address, forwardMessage("r"));
    CHECK_FALSE(outcome.reply);
    CHECK_FALSE(outcome.mayHaveBeenSent);
}

// Guards against a stranger that makes the host allocate memory or parse messages before it has proved the credential.
TEST_CASE("garbage and oversized frames before the handshake close the connection")
{
    Pair pair;
    const auto &text = pair.second.boundAddress().text();
    const auto port = static_cast<std::uint16_t>(std::stoi(text.substr(text.rfind(':') + 1)));
    for (const std::string &bytes :
         {std::string("\xff\xff\xff\xff", 4), std::string("\0\0\0\x04oops", 8), std::string("GET / HTTP/1.1\r\n\r\n")}) {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        socket.connect({asio::ip::make_address("127.0.0.1"), port});
        asio::write(socket, asio::buffer(bytes));
        std::error_code error;
        char buffer[4096];
        while (!error) {
            socket.read_some(asio::buffer(buffer), error);
        }
        CHECK((error == asio::error::eof || error == asio::error::connection_reset));
    }
    CHECK(pair.secondHandler.received == 0);
}
