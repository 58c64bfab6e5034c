#include <rhubarbtiller/http/curlhttpclient.h>
#include <rhubarbtiller/http/errors.h>

#include "testnetwork.h"

#include <array>
#include <future>

using namespace rhubarbtiller;
using namespace rhubarbtiller::http;

namespace {

/// A client on its own threads whose calls the test waits for.
class ClientFixture
{
public:
    explicit ClientFixture(CurlClientOptions options = {}) : client(makeCurlHttpClient(this->running.context, this->clock, options))
    {
    }

    HttpCall call(const Endpoint &server, const std::string &method, const std::string &body = {}) const
    {
        HttpCall call;
        call.server = server;
        call.request = HttpRequest{method, "/path?query=1", {}, body};
        call.deadline = this->clock.now() + std::chrono::seconds(8);
        return call;
    }

    HttpOutcome run(HttpCall message)
    {
        auto outcome = std::make_shared<std::promise<HttpOutcome>>();
        auto future = outcome->get_future();
        const auto handle = this->client->send(std::move(message), [outcome](HttpOutcome result) {
            outcome->set_value(std::move(result));
        });
        REQUIRE(future.wait_for(std::chrono::seconds(10)) == std::future_status::ready);
        return future.get();
    }

    SystemClock clock;
    RunningContext running;
    std::unique_ptr<HttpClient> client;
};

} // namespace

static const std::string Okay = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Runs one GET against a server that sends \p bytes for each request and then closes the connection.
static HttpOutcome outcomeOf(const std::string &bytes, const std::string &method = "GET")
{
    RawServer server([&bytes](asio::ip::tcp::socket &socket, int) {
        if (!RawServer::readRequest(socket).empty()) {
            RawServer::write(socket, bytes);
        }
    });
    ClientFixture fixture;
    return fixture.run(fixture.call(server.endpoint(), method));
}

// Guards against a status outside the protocol that a caller gets as a response: a faulty server sent 000.
TEST_CASE("client rejects a status outside the protocol")
{
    for (const std::string status : {"000", "007", "099", "20", "101", "600", "999", "1000"}) {
        const auto outcome = outcomeOf("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok");
        CHECK_MESSAGE(!outcome.response, "status ", status);
    }
    CHECK(outcomeOf("HTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\nok").response);
    CHECK(outcomeOf("HTTP/1.1 199 Odd\r\n\r\n" + Okay).response);
    CHECK_FALSE(outcomeOf("HTTP/1.1 199 Odd\r\n\r\n").response);
}

// Guards against a request that reaches the server changed: target, headers, body and framing.
TEST_CASE("client sends the request as it was given and reads the whole response")
{
    std::promise<std::string> seen;
    RawServer server([&seen](asio::ip::tcp::socket &socket, int) {
        seen.set_value(RawServer::readRequest(socket));
        RawServer::write(socket, "HTTP/1.1 201 Created\r\nX-One: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        RawServer::waitForEnd(socket);
    });
    ClientFixture fixture;
    auto call = fixture.call(server.endpoint(), "POST", std::string(100000, 'x'));
    call.request.target = "/a/../b//%2e?x=%20&y";
    call.request.headers = {{"X-Empty", ""}, {"Content-Length", "5"}, {"Transfer-Encoding", "chunked"}, {"Expect", "100-continue"}};
    const auto outcome = fixture.run(std::move(call));
    REQUIRE(outcome.response);
    CHECK(outcome.response->status == 201);
    CHECK(findHeader(outcome.response->headers, "x-one") == "1");
    CHECK(outcome.response->body == "abcde");
    const std::string request = seen.get_future().get();
    CHECK(request.starts_with("POST /a/../b//%2e?x=%20&y HTTP/1.1\r\n"));
    CHECK(request.find("X-Empty:") != std::string::npos);
    CHECK(request.find("Content-Length: 100000\r\n") != std::string::npos);
    CHECK(request.find("Content-Length: 5\r\n") == std::string::npos);
    CHECK(request.find("Transfer-Encoding") == std::string::npos);
    CHECK(request.find("Expect") == std::string::npos);
    CHECK(request.find("Accept:") == std::string::npos);
}

// Guards against a response that was cut short or whose end is ambiguous and is taken for a whole one (I8).
TEST_CASE("client rejects incomplete and ambiguous responses")
{
    const auto error = [](const std::string &bytes) {
        const auto outcome = outcomeOf(bytes);
        CHECK(outcome.mayHaveBeenSent);
        CHECK_FALSE(outcome.response);
        return outcome.response.error();
    };
    CHECK(error("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort") == HttpError::IncompleteResponse);
    CHECK(error("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab") == HttpError::IncompleteResponse);
    CHECK(error("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n") == HttpError::IncompleteResponse);
    CHECK(error("HTTP/1.1 200 OK\r\n\r\nuntil the end") == HttpError::IncompleteResponse);
    CHECK(error("HTTP/1.1 200 OK\r\nContent-Le") == HttpError::IncompleteResponse);
    CHECK(error("") == HttpError::ConnectionReset);
    CHECK(error("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
          == HttpError::MalformedResponse);
    CHECK(error("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok") == HttpError::MalformedResponse);
    CHECK(error("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok") == HttpError::MalformedResponse);
    CHECK(error("HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok") == HttpError::MalformedResponse);
    CHECK(error("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n") == HttpError::MalformedResponse);
    CHECK(error("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n") == HttpError::MalformedResponse);
    CHECK(error("this is not HTTP\r\n\r\n") == HttpError::MalformedResponse);
}

// Guards against a head that stops and is taken for a response without a body.
TEST_CASE("client takes no response that breaks off at any byte for a whole one")
{
    for (const std::string &text : {std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: y\r\n\r\nok"),
                                    std::string("HTTP/1.1 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
                                    std::string("HTTP/1.1 204 No Content\r\nX: y\r\n\r\n"),
                                    std::string("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"),
                                    std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")}) {
        CAPTURE(text);
        for (std::size_t size = 0; size < text.size(); ++size) {
            CAPTURE(size);
            const auto outcome = outcomeOf(text.substr(0, size));
            // libcurl ends a chunked body at the return before the last line feed.
            const bool isOnlyLineFeedMissing = size + 1 == text.size() && text.find("chunked") != std::string::npos;
            CHECK((!outcome.response || (isOnlyLineFeedMissing && outcome.response->body == "ok")));
        }
        CHECK(outcomeOf(text).response);
    }
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n";
    for (std::size_t size = 0; size < head.size(); ++size) {
        CHECK_FALSE(outcomeOf(head.substr(0, size), "HEAD").response);
    }
}

// Guards against an earlier refusal, written once more on a kept connection, that answers a request which runs.
// Guards against a reset that the write of the upload reports, after which the read sees an orderly end.
TEST_CASE("client takes a response without a length for a whole one although its connection was reset during the upload")
{
    static constexpr std::size_t UploadSize = 50'000'000;
    RawServer server([](asio::ip::tcp::socket &socket, int) {
        std::array<char, 4096> head{};
        socket.read_some(asio::buffer(head));
        RawServer::write(socket, "HTTP/1.1 200 OK\r\n\r\npart of the body");
        // The client has read that much and waits for room to write more.
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    });
    ClientFixture fixture;
    const auto outcome = fixture.run(fixture.call(server.endpoint(), "POST", std::string(UploadSize, 'x')));
    CHECK_FALSE(outcome.response);
}

TEST_CASE("client takes no second copy of a refusal for the answer to the next request")
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno";
    for (const bool isIdleWhenCopied : {false, true}) {
        CAPTURE(isIdleWhenCopied);
        std::atomic<bool> isCopied{false};
        std::atomic<int> connections{0};
        RawServer server([&](asio::ip::tcp::socket &socket, int) {
            if (connections++ > 0) {
                RawServer::readRequest(socket);
                RawServer::write(socket, Okay);
                return;
            }
            RawServer::readRequest(socket);
            RawServer::write(socket, isIdleWhenCopied ? refusal : refusal + refusal);
            if (isIdleWhenCopied) {
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
                RawServer::write(socket, refusal);
            }
            isCopied = true;
            if (!RawServer::readRequest(socket).empty()) {
                RawServer::write(socket, Okay);
            }
        });
        ClientFixture fixture;
        CHECK(fixture.run(fixture.call(server.endpoint(), "GET")).response->status == 503);
        REQUIRE(eventually([&isCopied] {
            return isCopied.load();
        }));
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        const auto second = fixture.run(fixture.call(server.endpoint(), "GET"));
        CHECK((!second.response || second.response->status == 200));
    }
}

// Guards against refusing whole responses that have no body or an interim response in front.
TEST_CASE("client accepts whole responses of every framing")
{
    CHECK(outcomeOf("HTTP/1.1 204 No Content\r\n\r\n").response->status == 204);
    CHECK(outcomeOf("HTTP/1.1 304 Not Modified\r\n\r\n").response->status == 304);
    CHECK(outcomeOf("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n").response->status == 304);
    CHECK(outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n", "HEAD").response->status == 200);
    CHECK(outcomeOf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").response->body == "ok");
    CHECK(outcomeOf("HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok").response->body == "ok");
    CHECK(outcomeOf("HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\nContent-Length: 0\r\n\r\n").response->status == 302);
}

// Guards against a server whose bytes never end, in a head, a row of interim responses, a trailer or the framing of chunks.
TEST_CASE("client stops reading a response whose bytes beside the body never end")
{
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(1000, 'x');
    // Buffers of the sockets on both sides take some megabytes.
    static constexpr std::size_t Most = 32 * 1024 * 1024;
    for (const auto &[start, repeated] : {std::pair<std::string, std::string>("", "\r\n"),
                                          {"HTTP/1.1 200 OK\r\nX: ", filler},
                                          {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
                                          {"", "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n"},
                                          {chunkedHead + "1;", filler},
                                          {chunkedHead, "1;" + filler + "\r\nx\r\n"},
                                          {chunkedHead + "0\r\n", "X: y\r\n"}}) {
        CAPTURE(start);
        CAPTURE(repeated.substr(0, 40));
        std::atomic<std::size_t> written{0};
        RawServer server([&, first = start, more = repeated](asio::ip::tcp::socket &socket, int) {
            RawServer::readRequest(socket);
            std::string block = first;
            while (block.size() < 16 * 1024) {
                block += more;
            }
            std::error_code error;
            // Twice what is allowed, so that a client that goes on reading shows.
            while (!error && written < 2 * Most) {
                written += asio::write(socket, asio::buffer(block), error);
                block = block.starts_with(first) && !first.empty() ? block.substr(first.size()) : block;
            }
            RawServer::waitForEnd(socket);
        });
        ClientFixture fixture;
        const auto outcome = fixture.run(fixture.call(server.endpoint(), "GET"));
        REQUIRE_FALSE(outcome.response);
        CHECK(outcome.response.error() != HttpError::Timeout);
        CHECK(written < Most);
    }
}

// Guards against a server that makes the host hold more of a response than allowed.
TEST_CASE("client stops reading an oversized response")
{
    RawServer server([](asio::ip::tcp::socket &socket, int) {
        RawServer::readRequest(socket);
        RawServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x'));
        RawServer::waitForEnd(socket);
    });
    ClientFixture fixture;
    auto call = fixture.call(server.endpoint(), "GET");
    call.maxAnswer = ByteCount(1000);
    const auto outcome = fixture.run(std::move(call));
    CHECK(outcome.response.error() == HttpError::OversizedResponse);
    CHECK(outcome.mayHaveBeenSent);

    const auto header = outcomeOf("HTTP/1.1 200 OK\r\nX: " + std::string(70000, 'x') + "\r\nContent-Length: 2\r\n\r\nok");
    CHECK(header.response.error() == HttpError::OversizedResponse);
}

// Guards against a refusal "not run" that is false, or "unknown" for a request that was certainly never sent (I9).
TEST_CASE("client reports nothing sent only if no connection was made")
{
    ClientFixture fixture;
    Endpoint closedPort;
    {
        RawServer server([](asio::ip::tcp::socket &, int) {
        });
        closedPort = server.endpoint();
    }
    const auto refused = fixture.run(fixture.call(closedPort, "POST", "x"));
    CHECK(refused.response.error() == HttpError::ConnectionRefused);
    CHECK_FALSE(refused.mayHaveBeenSent);

    auto late = fixture.call(closedPort, "POST", "x");
    late.deadline = fixture.clock.now() - std::chrono::seconds(1);
    const auto lapsed = fixture.run(std::move(late));
    CHECK(lapsed.response.error() == HttpError::Timeout);
    CHECK_FALSE(lapsed.mayHaveBeenSent);

    for (const char *target : {"", "relative", "/with space", "/line\r\nX: y", "/fragment#x"}) {
        auto malformed = fixture.call(closedPort, "GET");
        malformed.request.target = target;
        const auto outcome = fixture.run(std::move(malformed));
        CHECK(outcome.response.error() == HttpError::MalformedRequest);
        CHECK_FALSE(outcome.mayHaveBeenSent);
    }
    auto forged = fixture.call(closedPort, "GET");
    forged.request.headers = {{"X", "y\r\nZ: z"}};
    CHECK(fixture.run(std::move(forged)).response.error() == HttpError::MalformedRequest);
    auto named = fixture.call(Endpoint("localhost:80"), "GET");
    CHECK(fixture.run(std::move(named)).response.error() == HttpError::MalformedRequest);
}

// Guards against work that runs twice because libcurl repeats a request on a new connection by itself (I10).
TEST_CASE("client never sends a request twice when a reused connection closes")
{
    for (const bool isFresh : {false, true}) {
        for (const char *method : {"POST", "GET", "PATCH"}) {
            std::atomic<int> executions{0};
            RawServer server([&executions](asio::ip::tcp::socket &socket, int number) {
                if (RawServer::readRequest(socket).empty()) {
                    return;
                }
                ++executions;
                if (number == 2) {
                    RawServer::write(socket, Okay);
                    RawServer::waitForEnd(socket);
                    return;
                }
                RawServer::write(socket, Okay);
                // Reads the second request of the reused connection and closes without a response.
                if (!RawServer::readRequest(socket).empty()) {
                    ++executions;
                }
            });
            CurlClientOptions options;
            options.freshConnectionForNonIdempotent = isFresh;
            ClientFixture fixture(options);
            REQUIRE(fixture.run(fixture.call(server.endpoint(), "GET")).response);
            const auto second = fixture.run(fixture.call(server.endpoint(), method, "work"));
            CAPTURE(method);
            CAPTURE(isFresh);
            if (isFresh && std::string(method) != "GET") {
                CHECK(second.response);
            } else {
                CHECK_FALSE(second.response);
                CHECK(second.response.error() == HttpError::RepeatRefused);
            }
            CHECK(second.mayHaveBeenSent);
            CHECK(executions == 2);
        }
    }
}

// Guards against a response to one caller that continues with the bytes of another response (I8).
TEST_CASE("client does not reuse a connection with trailing bytes")
{
    for (const char *extra : {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged", "x"}) {
        for (const std::string &first : {Okay,
                                         std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
                                         std::string("HTTP/1.1 204 No Content\r\n\r\n")}) {
            RawServer server([&](asio::ip::tcp::socket &socket, int number) {
                while (!RawServer::readRequest(socket).empty()) {
                    RawServer::write(socket, number == 1 ? first + extra : Okay);
                }
            });
            ClientFixture fixture;
            const auto one = fixture.run(fixture.call(server.endpoint(), "GET"));
            CHECK(one.response);
            const auto two = fixture.run(fixture.call(server.endpoint(), "GET"));
            REQUIRE(two.response);
            CHECK(two.response->body == "ok");
            CHECK(server.connections() == 2);
        }
    }
}

// Guards against connections that pile up or are opened for each request.
TEST_CASE("client reuses connections and bounds them for each server")
{
    RawServer server([](asio::ip::tcp::socket &socket, int) {
        while (!RawServer::readRequest(socket).empty()) {
            RawServer::write(socket, Okay);
        }
    });
    CurlClientOptions options;
    options.maxConnectionsPerServer = 3;
    ClientFixture fixture(options);
    std::atomic<int> done{0};
    std::atomic<int> good{0};
    for (int i = 0; i < 40; ++i) {
        fixture.client->send(fixture.call(server.endpoint(), "GET"), [&](HttpOutcome outcome) {
            good += outcome.response ? 1 : 0;
            ++done;
        });
    }
    CHECK(eventually([&] {
        return done == 40;
    }));
    CHECK(good == 40);
    CHECK(server.connections() <= 3);
}

// Guards against a call that outlives its deadline, and against a late response taken for the next one (I8).
TEST_CASE("a deadline and a cancellation close the connection")
{
    std::atomic<int> ended{0};
    RawServer server([&ended](asio::ip::tcp::socket &socket, int number) {
        while (!RawServer::readRequest(socket).empty()) {
            if (number <= 2) {
                RawServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nla");
                RawServer::waitForEnd(socket);
                ++ended;
                return;
            }
            RawServer::write(socket, Okay);
        }
    });
    ClientFixture fixture;
    auto timed = fixture.call(server.endpoint(), "GET");
    timed.deadline = fixture.clock.now() + std::chrono::milliseconds(200);
    const auto lapsed = fixture.run(std::move(timed));
    CHECK(lapsed.response.error() == HttpError::Timeout);
    CHECK(lapsed.mayHaveBeenSent);

    std::promise<HttpOutcome> promise;
    std::atomic<int> calls{0};
    const auto handle = fixture.client->send(fixture.call(server.endpoint(), "GET"), [&](HttpOutcome outcome) {
        ++calls;
        promise.set_value(std::move(outcome));
    });
    REQUIRE(eventually([&] {
        return server.connections() == 2;
    }));
    handle->cancel();
    handle->cancel();
    const auto cancelled = promise.get_future().get();
    CHECK(cancelled.response.error() == HttpError::Cancelled);
    CHECK(eventually([&] {
        return ended == 2;
    }));
    const auto next = fixture.run(fixture.call(server.endpoint(), "GET"));
    REQUIRE(next.response);
    CHECK(next.response->body == "ok");
    CHECK(server.connections() == 3);
    CHECK(calls == 1);
    handle->cancel();
}

// Guards against calls whose handler never runs because the client was destroyed.
TEST_CASE("destroying the client cancels its calls")
{
    RawServer server([](asio::ip::tcp::socket &socket, int) {
        RawServer::waitForEnd(socket);
    });
    ClientFixture fixture;
    std::promise<HttpOutcome> promise;
    const auto handle = fixture.client->send(fixture.call(server.endpoint(), "GET"), [&](HttpOutcome outcome) {
        promise.set_value(std::move(outcome));
    });
    REQUIRE(eventually([&] {
        return server.connections() == 1;
    }));
    fixture.client.reset();
    CHECK(promise.get_future().get().response.error() == HttpError::Cancelled);
    handle->cancel();
}

// Guards against requests to the platform's services that are not signed.
TEST_CASE("client signs requests with AWS Signature Version 4")
{
    std::promise<std::string> seen;
    RawServer server([&seen](asio::ip::tcp::socket &socket, int) {
        seen.set_value(RawServer::readRequest(socket));
        RawServer::write(socket, Okay);
        RawServer::waitForEnd(socket);
    });
    ClientFixture fixture;
    auto call = fixture.call(server.endpoint(), "POST", "{}");
    call.request.target = "/";
    call.awsSignature = "aws:amz:local-1:dynamodb";
    call.awsCredential = "access:secret";
    REQUIRE(fixture.run(std::move(call)).response);
    const std::string request = seen.get_future().get();
    CHECK(request.find("Authorization: AWS4-HMAC-SHA256 Credential=access/") != std::string::npos);
    CHECK(request.find("/local-1/dynamodb/aws4_request") != std::string::npos);
    CHECK(request.find("secret") == std::string::npos);
}
