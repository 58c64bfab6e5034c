#include <rhubarbtiller/http/errors.h>
#include <rhubarbtiller/http/restinioserver.h>

#include "testnetwork.h"

using namespace rhubarbtiller;
using namespace rhubarbtiller::http;

namespace {

/// Answers at once with the request's method, target and body, or keeps requests to "/hold" until the test answers and the body of one to
/// "/keep" beyond its response.
class EchoHandler : public RequestHandler
{
public:
    void onRequest(HttpRequest request, std::shared_ptr<Responder> responder) override
    {
        ++this->requests;
        if (request.target == "/large") {
            responder->respond(HttpResponse{200, {}, std::string(LargeBodySize, 'x')});
            return;
        }
        if (request.target == "/keep") {
            responder->respond(HttpResponse{200, {}, "kept"});
            const std::lock_guard lock(this->mutex);
            this->kept = std::move(request.body);
            return;
        }
        if (request.target == "/hold") {
            responder->onDisconnect([this] {
                ++this->disconnects;
            });
            const std::lock_guard lock(this->mutex);
            this->held.push_back(std::move(responder));
            return;
        }
        responder->respond(HttpResponse{200, {{"X-Echo", "yes"}}, request.method + " " + request.target + " " + request.body.text()});
    }

    void dropKept()
    {
        const std::lock_guard lock(this->mutex);
        this->kept = {};
    }

    Body keptBody()
    {
        const std::lock_guard lock(this->mutex);
        return this->kept;
    }

    std::size_t heldCount()
    {
        const std::lock_guard lock(this->mutex);
        return this->held.size();
    }

    std::shared_ptr<Responder> takeHeld()
    {
        const std::lock_guard lock(this->mutex);
        auto responder = this->held.empty() ? nullptr : this->held.front();
        if (responder) {
            this->held.erase(this->held.begin());
        }
        return responder;
    }

    /// Larger than what the sockets of a connection take up.
    static constexpr std::size_t LargeBodySize = 32 * 1024 * 1024;

    std::atomic<int> requests{0};
    std::atomic<int> disconnects{0};

private:
    std::mutex mutex;
    std::vector<std::shared_ptr<Responder>> held;
    /// The body of the last request to "/keep".
    Body kept;
};

class ServerFixture
{
public:
    explicit ServerFixture(const ServerLimits &limits = {})
        : server(makeRestinioServer(this->running.context, Endpoint("127.0.0.1:0"), limits, this->handler))
    {
        REQUIRE_FALSE(this->server->start());
    }

    ~ServerFixture()
    {
        this->server.reset();
        this->running.stop();
    }

    Endpoint address() const
    {
        return this->server->boundAddress();
    }

    // Declared first: responders that the handler still holds need the context.
    RunningContext running;
    EchoHandler handler;
    std::unique_ptr<HttpServer> server;
};

} // namespace

static int statusOf(const std::string &response)
{
    return response.size() > 12 ? std::stoi(response.substr(9, 3)) : 0;
}

// Guards against a server that loses or mixes requests of one connection.
TEST_CASE("server answers requests on a kept connection in their order")
{
    ServerFixture fixture;
    RawClient client(fixture.address());
    client.send("GET /a?b=c HTTP/1.1\r\nHost: x\r\n\r\nPOST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
                "PUT /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nch\r\n4\r\nunks\r\n0\r\n\r\n");
    const std::string text = client.readResponses(3);
    const auto first = text.find("GET /a?b=c ");
    const auto second = text.find("POST /b body");
    const auto third = text.find("PUT /c chunks");
    CHECK(first < second);
    CHECK(second < third);
    CHECK(third != std::string::npos);
    CHECK(fixture.handler.requests == 3);
}

// Guards against request smuggling: framing that another HTTP implementation may read differently (I2, I8).
TEST_CASE("server refuses malformed and ambiguous framing without handing the request on")
{
    const std::string host = "Host: x\r\n";
    const std::vector<std::string> requests = {
        "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
        "POST / HTTP/1.1\r\n" + host + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
        "POST / HTTP/1.1\r\n" + host + "Content-Length: 4, 4\r\n\r\nbody",
        "POST / HTTP/1.1\r\n" + host + "Content-Length: +4\r\n\r\nbody",
        "POST / HTTP/1.1\r\n" + host + "Content-Length: 0x4\r\n\r\nbody",
        "POST / HTTP/1.1\r\n" + host + "Content-Length: \r\n\r\nbody",
        "POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999999\r\n\r\nbody",
        "POST / HTTP/1.1\r\n" + host + "Content-Length : 4\r\n\r\nbody",
        "POST / HTTP/1.1\r\n" + host + "Content-Length\t: 4\r\n\r\nbody",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: identity\r\n\r\n",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n\r\nok\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nok\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n2\r\nokk\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n2\nok\n0\n\n",
        "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Trailer: y\r\n\r\n",
        "GET / HTTP/1.1\r\n" + host + "X-Folded: a\r\n b\r\n\r\n",
        "GET / HTTP/1.1\r\n" + host + "Content-Length:\r\n 4\r\n\r\nbody",
        "GET / HTTP/1.1\r\n Host: x\r\n\r\n",
        "GET / HTTP/1.1\n" + host + "\n",
        "GET / HTTP/1.1\r\nHost: x\nX: y\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\rX: y\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nX: a" + std::string(1, '\0') + "b\r\n\r\n",
        "GET / HTTP/1.1\r\n" + host + host + "\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\n" + host + "no colon\r\n\r\n",
        "GET / HTTP/1.1\r\n" + host + ": no name\r\n\r\n",
        "GET /\r\n\r\n",
        "GET / HTTP/2.0\r\n" + host + "\r\n",
        "GET / HTTP/1.10\r\n" + host + "\r\n",
        "GET  / HTTP/1.1\r\n" + host + "\r\n",
        "GET / x HTTP/1.1\r\n" + host + "\r\n",
        "GET http://x/ HTTP/1.1\r\n" + host + "\r\n",
        "GET /a#b HTTP/1.1\r\n" + host + "\r\n",
        "CONNECT x:80 HTTP/1.1\r\n" + host + "\r\n",
        "G<T / HTTP/1.1\r\n" + host + "\r\n",
        "UNKNOWN-METHOD / HTTP/1.1\r\n" + host + "\r\n",
        std::string("\x16\x03\x01\x02\x00\x01", 6),
    };
    ServerFixture fixture;
    for (const std::string &request : requests) {
        CAPTURE(request);
        RawClient client(fixture.address());
        client.send(request);
        const std::string response = client.readToEnd();
        CHECK(statusOf(response) == 400);
        CHECK(response.find("Rhubarbtiller-Executed: not_run\r\n") != std::string::npos);
        CHECK(client.closed());
    }
    CHECK(fixture.handler.requests == 0);
}

// Guards against a check that depends on how the bytes arrive: one byte at a time must give the same outcome.
TEST_CASE("framing is checked across reads")
{
    ServerFixture fixture;
    const auto sendSlowly = [&fixture](const std::string &request) {
        RawClient client(fixture.address());
        for (const char letter : request) {
            client.send(std::string_view(&letter, 1));
        }
        return client.readResponses(1);
    };
    CHECK(statusOf(sendSlowly("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok")) == 200);
    CHECK(statusOf(sendSlowly("POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")) == 200);
    CHECK(fixture.handler.requests == 2);
    CHECK(statusOf(sendSlowly("POST /x HTTP/1.1\r\nHost: x\r\nX: a\r\n b\r\n\r\n")) == 400);
    CHECK(fixture.handler.requests == 2);
}

// Guards against a caller that makes the host hold large requests.
TEST_CASE("server bounds header and body")
{
    ServerLimits limits;
    limits.maxHeader = ByteCount(1000);
    limits.maxBody = ByteCount(100);
    ServerFixture fixture(limits);
    const auto answer = [&fixture](const std::string &request) {
        RawClient client(fixture.address());
        client.send(request);
        return statusOf(client.readToEnd());
    };
    CHECK(answer("GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(1000, 'x')) == 431);
    CHECK(answer("GET /" + std::string(2000, 'x')) == 431);
    CHECK(answer("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n") == 413);
    CHECK(answer("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n") == 413);
    CHECK(answer("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n" + std::string(64, 'x') + "\r\n30\r\n"
                 + std::string(48, 'x') + "\r\n0\r\n\r\n")
          == 413);
    CHECK(fixture.handler.requests == 0);
    RawClient client(fixture.address());
    client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x'));
    CHECK(statusOf(client.readResponses(1)) == 200);
}

// Guards against callers that occupy a connection by sending slowly or not at all.
TEST_CASE("server closes connections that are slow or idle")
{
    ServerLimits limits;
    limits.readTimeLimit = std::chrono::milliseconds(200);
    limits.idleTimeLimit = std::chrono::milliseconds(300);
    ServerFixture fixture(limits);
    RawClient slow(fixture.address());
    slow.send("GET / HTTP/1.1\r\nHost");
    CHECK(statusOf(slow.readToEnd()) == 408);
    CHECK(slow.closed());
    RawClient slowBody(fixture.address());
    slowBody.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab");
    CHECK(statusOf(slowBody.readToEnd()) == 408);
    RawClient idle(fixture.address());
    CHECK(idle.readToEnd().empty());
    CHECK(idle.closed());
    RawClient kept(fixture.address());
    kept.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(statusOf(kept.readResponses(1)) == 200);
    CHECK(kept.readToEnd().empty());
    CHECK(kept.closed());
    CHECK(fixture.handler.requests == 1);
}

// Guards against a request that is cut short and runs all the same.
TEST_CASE("server drops requests that the caller did not finish")
{
    ServerFixture fixture;
    for (const bool isReset : {false, true}) {
        RawClient client(fixture.address());
        client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf");
        if (isReset) {
            client.reset();
        } else {
            client.close();
        }
    }
    RawClient client(fixture.address());
    client.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(statusOf(client.readResponses(1)) == 200);
    CHECK(fixture.handler.requests == 1);
}

// Guards against work that goes on for callers that have left, and against a crash when it answers them.
TEST_CASE("server reports callers that disconnect before the response")
{
    ServerFixture fixture;
    for (int round = 1; round <= 2; ++round) {
        RawClient client(fixture.address());
        client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(eventually([&] {
            return fixture.handler.requests == round;
        }));
        CHECK(fixture.handler.disconnects == round - 1);
        if (round == 1) {
            client.close();
        } else {
            client.reset();
        }
        CHECK(eventually([&] {
            return fixture.handler.disconnects == round;
        }));
        const auto responder = fixture.handler.takeHeld();
        REQUIRE(responder);
        responder->respond(HttpResponse{200, {}, "late"});
    }
    RawClient client(fixture.address());
    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    std::shared_ptr<Responder> responder;
    REQUIRE(eventually([&] {
        responder = fixture.handler.takeHeld();
        return responder != nullptr;
    }));
    responder->respond(HttpResponse{200, {}, "in time"});
    CHECK(client.readResponses(1).ends_with("in time"));
    client.close();
    CHECK(fixture.handler.disconnects == 2);
}

// Guards against a pipelined request that overtakes the one before it, and a refusal taken for another's response (I8).
TEST_CASE("pipelined requests wait for the response before them")
{
    ServerFixture fixture;
    RawClient client(fixture.address());
    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\nGET /next HTTP/1.1\r\nHost: x\r\n\r\n");
    std::shared_ptr<Responder> responder;
    REQUIRE(eventually([&] {
        responder = fixture.handler.takeHeld();
        return responder != nullptr;
    }));
    CHECK(fixture.handler.requests == 1);
    responder->respond(HttpResponse{200, {}, "first"});
    const std::string text = client.readResponses(2);
    CHECK(text.find("first") < text.find("GET /next"));
    CHECK(text.find("GET /next") != std::string::npos);

    RawClient broken(fixture.address());
    broken.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(eventually([&] {
        responder = fixture.handler.takeHeld();
        return responder != nullptr;
    }));
    broken.send("broken\r\n\r\n");
    CHECK(broken.readToEnd().empty());
    CHECK(broken.closed());
    CHECK(eventually([&] {
        return fixture.handler.disconnects == 1;
    }));
}

// Guards against responses that a caller cannot delimit or whose headers the handler could forge.
TEST_CASE("server frames responses by the request and the status")
{
    /// Answers with headers that must not reach the caller as they are.
    class FixedHandler : public RequestHandler
    {
    public:
        void onRequest(HttpRequest request, std::shared_ptr<Responder> responder) override
        {
            const int status = std::stoi(request.target.substr(1));
            responder->respond(
                HttpResponse{status,
                             {{"Transfer-Encoding", "chunked"}, {"Content-Length", "77"}, {"X-Bad", "a\r\nX-Forged: b"}, {"X-Good", "c"}},
                             "body"});
        }
    };
    FixedHandler handler;
    RunningContext running;
    const auto server = makeRestinioServer(running.context, Endpoint("127.0.0.1:0"), ServerLimits(), handler);
    REQUIRE_FALSE(server->start());
    RawClient client(server->boundAddress());
    const auto ask = [&client](const std::string &line) {
        client.send(line + " HTTP/1.1\r\nHost: x\r\n\r\n");
    };
    ask("GET /200");
    const std::string plain = client.readResponses(1);
    CHECK(plain.find("Content-Length: 4\r\n") != std::string::npos);
    CHECK(plain.find("X-Good: c") != std::string::npos);
    CHECK(plain.find("Transfer-Encoding") == std::string::npos);
    CHECK(plain.find("Forged") == std::string::npos);
    CHECK(plain.ends_with("body"));
    ask("GET /204");
    CHECK(client.readResponses(1).find("Content-Length") == std::string::npos);
    client.send("HEAD /200 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const std::string head = client.readToEnd();
    CHECK(head.find("Content-Length: 77\r\n") != std::string::npos);
    CHECK(head.ends_with("\r\n\r\n"));
    CHECK(client.closed());
}

// Guards against a planned stop that interrupts a request or keeps a connection for further ones (I12).
TEST_CASE("after stopAccepting open requests are answered and their connections closed")
{
    ServerFixture fixture;
    RawClient client(fixture.address());
    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    std::shared_ptr<Responder> responder;
    REQUIRE(eventually([&] {
        responder = fixture.handler.takeHeld();
        return responder != nullptr;
    }));
    fixture.server->stopAccepting();
    CHECK(eventually([&] {
        try {
            RawClient late(fixture.address());
            return false;
        } catch (const std::system_error &) {
            return true;
        }
    }));
    responder->respond(HttpResponse{200, {}, "finished"});
    const std::string text = client.readToEnd();
    CHECK(text.find("Connection: close\r\n") != std::string::npos);
    CHECK(text.ends_with("finished"));
    CHECK(client.closed());
}

// A planned stop that closes a connection with the first response drops the pipelined requests behind it, which servers work on.
TEST_CASE("a planned stop answers each pipelined request that the handler works on")
{
    ServerLimits limits;
    limits.maxPipelinedRequests = 4;
    ServerFixture fixture(limits);
    const std::string hold = "GET /hold HTTP/1.1\r\nHost: x\r\n\r\n";
    RawClient client(fixture.address());
    client.send(hold + hold + hold);
    REQUIRE(eventually([&] {
        return fixture.handler.requests == 3;
    }));
    const auto first = fixture.handler.takeHeld();
    const auto second = fixture.handler.takeHeld();
    const auto third = fixture.handler.takeHeld();
    fixture.server->closeAfterResponses();
    first->respond(HttpResponse{200, {}, "first"});
    const std::string firstResponse = client.readResponses(1);
    CHECK(firstResponse.ends_with("first"));
    CHECK(firstResponse.find("Connection: close") == std::string::npos);
    bool hasReadSecond = true;

    SUBCASE("the last response closes the connection")
    {
        second->respond(HttpResponse{200, {}, "second"});
        CHECK(client.readResponses(1).ends_with("second"));
        third->respond(HttpResponse{200, {}, "third"});
    }
    SUBCASE("the last response may be ready before earlier ones")
    {
        third->respond(HttpResponse{200, {}, "third"});
        second->respond(HttpResponse{200, {}, "second"});
        hasReadSecond = false;
    }
    SUBCASE("requests that arrive after the first response are not begun")
    {
        client.send("GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
        second->respond(HttpResponse{200, {}, "second"});
        CHECK(client.readResponses(1).ends_with("second"));
        third->respond(HttpResponse{200, {}, "third"});
    }
    const std::string last = client.readToEnd();
    CHECK(last.find("Connection: close\r\n") != std::string::npos);
    CHECK(last.ends_with("third"));
    CHECK((last.find("second") != std::string::npos) == !hasReadSecond);
    CHECK(client.closed());
    CHECK(fixture.handler.requests == 3);
}

// The newest response may have been given to the connection without a close before the stop began.
TEST_CASE("a planned stop closes a connection whose newest response was ready before it began")
{
    ServerLimits limits;
    limits.maxPipelinedRequests = 4;
    ServerFixture fixture(limits);
    RawClient client(fixture.address());
    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(eventually([&] {
        return fixture.handler.requests == 2;
    }));
    fixture.server->closeAfterResponses();
    fixture.handler.takeHeld()->respond(HttpResponse{200, {}, "first"});
    const std::string text = client.readResponses(2);
    CHECK(text.find("first") < text.find("GET /second"));
    CHECK(text.ends_with("GET /second "));
    client.send("GET /third HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string last = client.readToEnd();
    CHECK(last.find("Connection: close\r\n") != std::string::npos);
    CHECK(last.ends_with("GET /third "));
    CHECK(client.closed());
}

// Guards against a stop that leaves connections open.
TEST_CASE("stop closes every connection")
{
    ServerFixture fixture;
    RawClient client(fixture.address());
    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(eventually([&] {
        return fixture.handler.requests == 1;
    }));
    fixture.server->stop();
    CHECK(client.readToEnd().empty());
    CHECK(client.closed());
    CHECK(eventually([&] {
        return fixture.handler.disconnects == 1;
    }));
}

// Guards against more open connections than allowed, and a limit that never frees a place.
TEST_CASE("server bounds its connections")
{
    ServerLimits limits;
    limits.maxConnections = 2;
    ServerFixture fixture(limits);
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    RawClient first(fixture.address());
    RawClient second(fixture.address());
    first.send(request);
    second.send(request);
    CHECK(statusOf(first.readResponses(1)) == 200);
    CHECK(statusOf(second.readResponses(1)) == 200);
    RawClient third(fixture.address());
    third.send(request);
    CHECK(fixture.handler.requests == 2);
    first.close();
    CHECK(statusOf(third.readResponses(1)) == 200);
}

// Guards against callers that wait a second for "100 Continue" before they send the body.
TEST_CASE("server asks for the body when the caller expects it to")
{
    ServerFixture fixture;
    RawClient client(fixture.address());
    client.send("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
    CHECK(statusOf(client.readResponses(1)) == 100);
    client.send("ok");
    CHECK(client.readResponses(1).ends_with("POST /x ok"));
}

// Guards against a request to change the protocol that confuses the connection.
TEST_CASE("server ignores a wish to upgrade and closes the connection after the response")
{
    ServerFixture fixture;
    RawClient client(fixture.address());
    client.send("GET /x HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string text = client.readToEnd();
    CHECK(statusOf(text) == 200);
    CHECK(text.find("smuggled") == std::string::npos);
    CHECK(client.closed());
}

// Callers that stop reading large responses would use up the memory of the host, and end the requests of all its callers.
TEST_CASE("responses that callers do not read are bounded, and those that are broken off never look complete")
{
    ServerLimits limits;
    limits.maxUnreadResponses = ByteCount(3 * EchoHandler::LargeBodySize + EchoHandler::LargeBodySize / 2);
    ServerFixture fixture(limits);
    std::vector<std::unique_ptr<RawClient>> slow;
    for (int i = 0; i < 10; ++i) {
        slow.push_back(std::make_unique<RawClient>(fixture.address()));
        slow.back()->send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(eventually([&] {
            return fixture.handler.requests == i + 1;
        }));
    }
    RawClient fast(fixture.address());
    fast.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(statusOf(fast.readResponses(1)) == 200);
    int complete = 0;
    for (const auto &client : slow) {
        const auto text = client->readResponses(1);
        const auto body = text.find("\r\n\r\n");
        const bool isComplete = body != std::string::npos && text.size() - body - 4 == EchoHandler::LargeBodySize;
        complete += isComplete ? 1 : 0;
        CHECK_MESSAGE(text.find("Content-Length: " + std::to_string(EchoHandler::LargeBodySize)) != std::string::npos,
                      "a response without its length could look complete");
    }
    CHECK(complete == 3);
}

// A caller that sends many requests without reading has more unread responses than any other.
TEST_CASE("the connection with the most unread bytes is aborted first")
{
    ServerLimits limits;
    limits.maxUnreadResponses = ByteCount(5 * EchoHandler::LargeBodySize / 2);
    limits.maxPipelinedRequests = 4;
    ServerFixture fixture(limits);
    RawClient single(fixture.address());
    single.send("GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(eventually([&] {
        return fixture.handler.requests == 1;
    }));
    RawClient greedy(fixture.address());
    greedy.send("GET /large HTTP/1.1\r\nHost: x\r\n\r\nGET /large HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(greedy.readResponses(2).size() < 2 * EchoHandler::LargeBodySize);
    CHECK(single.readResponses(1).size() > EchoHandler::LargeBodySize);
}

// Guards against chunks that are lost or reordered when small ones are passed on together, and against records by chunk.
TEST_CASE("a body in tiny chunks and a header longer than the read buffer arrive whole")
{
    ServerFixture fixture;
    RawClient client(fixture.address());
    std::string body;
    std::string text = "POST /chunks HTTP/1.1\r\nHost: x\r\nLong: " + std::string(12'000, 'h') + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    static constexpr int Chunks = 40'000;
    for (int i = 0; i < Chunks; ++i) {
        const char letter = static_cast<char>('a' + i % 26);
        body += letter;
        text += std::string("1\r\n") + letter + "\r\n";
    }
    client.send(text + "0\r\n\r\nPOST /next HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n");
    const std::string responses = client.readResponses(2);
    CHECK(responses.find("POST /chunks " + body) != std::string::npos);
    CHECK(responses.ends_with("POST /next xyz"));
}

// Guards against a process that runs out of memory, and against a refusal that does not promise that the request has not run.
TEST_CASE("callers that stop short of the end are refused when the memory of all callers is exhausted")
{
    ServerLimits limits;
    std::atomic<int> closures{0};
    limits.account = std::make_shared<CallerAccount>(CallerMemoryLimits{ByteCount(1'000'000), ByteCount(2'000'000)},
                                                     [&closures](const CallerClosure &closure) {
                                                         closures += closure.reason == ClosureReason::RequestMemory ? 1 : 0;
                                                     });
    ServerFixture fixture(limits);
    std::vector<std::unique_ptr<RawClient>> stopped;
    for (int i = 0; i < 4; ++i) {
        stopped.push_back(std::make_unique<RawClient>(fixture.address()));
        stopped.back()->send("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 400000\r\n\r\n" + std::string(399'990, 'x'));
    }
    REQUIRE(eventually([&] {
        return closures >= 2;
    }));
    RawClient ordinary(fixture.address());
    ordinary.send("POST /ordinary HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nok");
    CHECK(ordinary.readResponses(1).ends_with("POST /ordinary ok"));
    int refused = 0;
    for (const auto &client : stopped) {
        client->send("0123456789");
        const std::string text = client->readResponses(1);
        if (statusOf(text) == 503) {
            ++refused;
            CHECK(text.find("Retry-After: 1\r\n") != std::string::npos);
            CHECK(text.find("Rhubarbtiller-Executed: not_run\r\n") != std::string::npos);
        } else {
            CHECK(statusOf(text) == 200);
        }
    }
    CHECK(refused == closures);
    CHECK(fixture.handler.requests == 5 - refused);
}

// Guards against a limit that counts a body no longer although its memory is still in use.
TEST_CASE("a body counts as used memory until its last copy is gone")
{
    static constexpr std::size_t BodySize = 700'000;
    ServerLimits limits;
    std::atomic<int> closures{0};
    limits.account = std::make_shared<CallerAccount>(CallerMemoryLimits{ByteCount(1'000'000), ByteCount(2'000'000)},
                                                     [&closures](const CallerClosure &) {
                                                         ++closures;
                                                     });
    ServerFixture fixture(limits);
    const auto upload = [](const std::string &target) {
        return "POST " + target + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(BodySize) + "\r\n\r\n"
            + std::string(BodySize, 'x');
    };
    RawClient first(fixture.address());
    first.send(upload("/keep"));
    CHECK(first.readResponses(1).ends_with("kept"));
    RawClient second(fixture.address());
    second.send(upload("/second"));
    CHECK(statusOf(second.readResponses(1)) == 503);
    CHECK(closures == 1);
    fixture.handler.dropKept();
    RawClient third(fixture.address());
    third.send(upload("/third"));
    CHECK(statusOf(third.readResponses(1)) == 200);
}

// Guards against the loss of a request in progress because its caller sends a large body behind it, and against bodies that are never
// read further.
TEST_CASE("a large body behind a request in progress waits for its response")
{
    ServerLimits limits;
    limits.maxPipelinedRequests = 4;
    limits.account = std::make_shared<CallerAccount>(CallerMemoryLimits{ByteCount(500'000), ByteCount(900'000)}, nullptr);
    ServerFixture fixture(limits);
    RawClient client(fixture.address());
    const std::string body(400'000, 'x');
    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\nPOST /second HTTP/1.1\r\nHost: x\r\nContent-Length: 400000\r\n\r\n" + body);
    REQUIRE(eventually([&] {
        return fixture.handler.requests == 1;
    }));
    fixture.handler.takeHeld()->respond(HttpResponse{200, {}, "first"});
    const std::string text = client.readResponses(2);
    CHECK(text.find("first") != std::string::npos);
    CHECK(text.ends_with("POST /second " + body));
}

// Guards against a slow trickle of bytes that holds a connection, and against limits of a changed configuration that do not apply.
TEST_CASE("time limits that change while the server runs apply to headers and idle connections")
{
    ServerLimits limits;
    const auto times = std::make_shared<AdjustableTimes>();
    limits.times = times;
    ServerFixture fixture(limits);
    times->headerMilliseconds = 300;
    times->idleMilliseconds = 300;
    RawClient trickle(fixture.address());
    trickle.send("GET /x HTTP/1.1\r\n");
    for (int i = 0; i < 8; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        trickle.send("X: y\r\n");
    }
    CHECK(statusOf(trickle.readToEnd()) == 408);
    CHECK(trickle.closed());
    RawClient unused(fixture.address());
    CHECK(unused.readToEnd().empty());
    CHECK(unused.closed());
}

// Guards against a connection without a request that stays open for as long as its caller sends empty lines.
TEST_CASE("empty lines do not extend the time of an idle connection")
{
    ServerLimits limits;
    limits.idleTimeLimit = std::chrono::milliseconds(300);
    ServerFixture fixture(limits);
    RawClient client(fixture.address());
    for (int i = 0; i < 20; ++i) {
        client.send("\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    client.send("GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(client.readToEnd().empty());
    CHECK(client.closed());
    CHECK(fixture.handler.requests == 0);
}

// Guards against a refusal for a header that the server itself stopped reading while an earlier request was in progress.
TEST_CASE("a long header behind a request in progress gets its time after the response")
{
    static constexpr std::size_t LongField = 40'000;
    ServerLimits limits;
    limits.maxHeader = ByteCount(64 * 1024);
    limits.maxPipelinedRequests = 4;
    const auto times = std::make_shared<AdjustableTimes>();
    times->headerMilliseconds = 2000;
    limits.times = times;
    ServerFixture fixture(limits);
    RawClient client(fixture.address());
    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\nLong: " + std::string(LongField, 'h'));
    std::this_thread::sleep_for(std::chrono::milliseconds(2300));
    const auto first = fixture.handler.takeHeld();
    REQUIRE(first);
    first->respond(HttpResponse{200, {}, "first"});
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    client.send("\r\n\r\n");
    const std::string text = client.readResponses(2);
    CHECK(text.find("first") != std::string::npos);
    CHECK(text.ends_with("GET /second "));
}

// Guards against a response that is cut off in the send buffer when a connection ends for want of memory with further requests unread.
TEST_CASE("a response that was written before the end for want of memory arrives whole")
{
    static constexpr std::size_t ResponseSize = 1'000'000;
    ServerLimits limits;
    limits.maxPipelinedRequests = 1;
    limits.account = std::make_shared<CallerAccount>(CallerMemoryLimits{ByteCount(100'000), ByteCount(8'000'000)}, nullptr);
    ServerFixture fixture(limits);
    RawClient client(fixture.address());
    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\nGET /queued HTTP/1.1\r\nHost: x\r\n\r\n"
                "POST /third HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"
                + std::string(90'000, 'x'));
    REQUIRE(eventually([&] {
        return fixture.handler.requests == 1;
    }));
    RawClient other(fixture.address());
    other.send("POST /hold HTTP/1.1\r\nHost: x\r\nContent-Length: 110000\r\n\r\n" + std::string(110'000, 'x'));
    REQUIRE(eventually([&] {
        return fixture.handler.requests == 2;
    }));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    fixture.handler.takeHeld()->respond(HttpResponse{200, {}, std::string(ResponseSize, 'r')});
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const std::string text = client.readToEnd();
    CHECK(statusOf(text) == 200);
    CHECK(text.size() > ResponseSize);
    CHECK(fixture.handler.requests == 2);
}

// Guards against a reset that drops the end of the last response of a stopping host, whose caller has sent further requests meanwhile.
TEST_CASE("the response that closes a connection arrives whole although further requests were sent")
{
    static constexpr std::size_t ResponseSize = 1'000'000;
    ServerLimits limits;
    limits.maxPipelinedRequests = 2;
    ServerFixture fixture(limits);
    RawClient client(fixture.address());
    client.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(eventually([&] {
        return fixture.handler.requests == 1;
    }));
    fixture.server->closeAfterResponses();
    fixture.handler.takeHeld()->respond(HttpResponse{200, {}, std::string(ResponseSize, 'r')});
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    client.send("GET /next HTTP/1.1\r\nHost: x\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const std::string text = client.readToEnd();
    CHECK(statusOf(text) == 200);
    CHECK(text.size() > ResponseSize);
    CHECK(fixture.handler.requests == 1);
}

// Guards against callers that are never accepted because others hold all connections without using them.
TEST_CASE("a new caller gets the connection of one that has been idle")
{
    ServerLimits limits;
    limits.maxConnections = 2;
    ServerFixture fixture(limits);
    RawClient working(fixture.address());
    working.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    RawClient idle(fixture.address());
    REQUIRE(eventually([&] {
        return fixture.handler.requests == 1;
    }));
    RawClient next(fixture.address());
    next.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(statusOf(next.readResponses(1)) == 200);
    CHECK(idle.readToEnd().empty());
    fixture.handler.takeHeld()->respond(HttpResponse{200, {}, "finished"});
    CHECK(working.readResponses(1).ends_with("finished"));
}

// Guards against a start that claims success without the address.
TEST_CASE("server reports an address in use")
{
    ServerFixture fixture;
    EchoHandler handler;
    const auto second = makeRestinioServer(fixture.running.context, fixture.address(), ServerLimits(), handler);
    CHECK(second->start() == HttpError::AddressInUse);
}

namespace {

std::string postWith(const std::string &target, const std::string &body, const std::string &fields = "")
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against the body of one request that reaches another, however the bytes are split into reads.
TEST_CASE("pipelined requests of all framings keep their own bodies")
{
    ServerLimits limits;
    limits.maxPipelinedRequests = 3;
    ServerFixture fixture(limits);
    std::string text;
    std::vector<std::string> expected;
    for (int i = 0; i < 60; ++i) {
        const std::string target = "/r" + std::to_string(i);
        const std::string body = i % 3 == 0 ? "" : "body-" + std::to_string(i) + std::string(static_cast<std::size_t>(i) * 37 % 900, 'b');
        if (i % 4 == 0) {
            text += postWith(target, body, "Connection: content-length, transfer-encoding\r\n");
        } else if (i % 4 == 1) {
            text += "POST " + target + " HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
            for (const char letter : body) {
                text += std::string("1;x=\"y\"\r\n") + letter + "\r\n";
            }
            text += "0\r\n\r\n";
        } else if (i % 4 == 2) {
            text += "GET " + target + " HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(5000, 'h')
                + "\r\ncontent-LENGTH: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        } else {
            text += "\r\n" + postWith(target, body, "Expect: 100-continue\r\n");
        }
        expected.push_back((i % 4 == 2 ? "GET " : "POST ") + target + " " + body);
    }
    text += "GET /end HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    expected.push_back("GET /end ");
    for (const std::size_t piece : {std::size_t(1), std::size_t(7), std::size_t(4096), std::size_t(4097), text.size()}) {
        CAPTURE(piece);
        RawClient client(fixture.address());
        for (std::size_t at = 0; at < text.size(); at += piece) {
            client.send(std::string_view(text).substr(at, piece));
        }
        const std::string all = client.readToEnd();
        std::size_t at = 0;
        for (const auto &body : expected) {
            const auto found = all.find("\r\n\r\n" + body, at);
            CHECK_MESSAGE(found != std::string::npos, body.substr(0, 20));
            at = found == std::string::npos ? at : found + 4 + body.size();
        }
    }
}

// Guards against bytes behind a request that asks to upgrade, and against its body.
TEST_CASE("a request with a body that wishes to upgrade behind others gets its own body")
{
    ServerLimits limits;
    limits.maxPipelinedRequests = 4;
    ServerFixture fixture(limits);
    RawClient client(fixture.address());
    client.send(postWith("/a", "aaaa") + "GET /hold HTTP/1.1\r\nHost: x\r\n\r\n" + postWith("/b", "bbbb")
                + postWith("/up", "uuuu", "Connection: Upgrade\r\nUpgrade: h2c\r\n") + postWith("/c", "cccc"));
    std::shared_ptr<Responder> held;
    REQUIRE(eventually([&] {
        held = fixture.handler.takeHeld();
        return held != nullptr;
    }));
    held->respond(HttpResponse{200, {}, "held"});
    const std::string text = client.readToEnd();
    CHECK(text.find("POST /a aaaa") < text.find("held"));
    CHECK(text.find("POST /b bbbb") < text.find("POST /up uuuu"));
    CHECK(text.find("POST /up uuuu") != std::string::npos);
    CHECK(text.find("POST /c") == std::string::npos);
}

// CONNECT has no body for http_parser, whatever its Content-Length.
TEST_CASE("CONNECT with a path and a Content-Length does not hand its body on as a request")
{
    ServerFixture fixture;
    RawClient client(fixture.address());
    const std::string inner = "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n";
    client.send("CONNECT / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner);
    const std::string text = client.readToEnd();
    MESSAGE(text);
    CHECK(text.find("smuggled") == std::string::npos);
}

// Guards against chunk lines that other implementations read differently.
TEST_CASE("chunk lines with a bare line feed or a bare carriage return are refused")
{
    ServerFixture fixture;
    const std::string head = "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &body : {std::string("2;a\nb\r\nok\r\n0\r\n\r\n"),
                                    std::string("2\rXok\r\n0\r\n\r\n"),
                                    std::string("2 2\r\nok\r\n0\r\n\r\n"),
                                    std::string("2\r\nokXX0\r\n\r\n"),
                                    std::string("2\r\nok\r\n0\r\n\rX")}) {
        CAPTURE(body);
        RawClient client(fixture.address());
        client.send(head + body + "GET /marker HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        const std::string text = client.readToEnd();
        CHECK(statusOf(text) == 400);
    }
}

// Guards against memory of requests that no limit counts.
TEST_CASE("the body of a request that wishes to upgrade behind one in progress counts")
{
    ServerLimits limits;
    limits.maxPipelinedRequests = 4;
    std::atomic<int> closures{0};
    limits.account = std::make_shared<CallerAccount>(CallerMemoryLimits{ByteCount(1'000'000), ByteCount(2'000'000)},
                                                     [&closures](const CallerClosure &) {
                                                         ++closures;
                                                     });
    ServerFixture fixture(limits);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 60; ++i) {
        clients.push_back(std::make_unique<RawClient>(fixture.address()));
        clients.back()->send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    REQUIRE(eventually([&] {
        return fixture.handler.requests == 60;
    }));
    for (const auto &client : clients) {
        client->send(postWith("/up", std::string(60'000, 'u'), "Connection: Upgrade\r\nUpgrade: h2c\r\n"));
        // One after the other, so that only whole requests can exceed the limit.
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    CHECK_MESSAGE(eventually([&] {
                      return closures > 0;
                  }),
                  "60 bodies of 60000 bytes are in memory beside a limit of 1000000");
}

// Guards against charges that stay or are removed twice when callers and handlers end in any order.
TEST_CASE("no charge is left after callers that leave at any time, and bodies that outlive the server")
{
    static constexpr std::size_t BodySize = 300'000;
    ServerLimits limits;
    limits.maxPipelinedRequests = 3;
    std::atomic<int> closures{0};
    limits.account = std::make_shared<CallerAccount>(CallerMemoryLimits{ByteCount(4'000'000), ByteCount(6'000'000)},
                                                     [&closures](const CallerClosure &closure) {
                                                         closures += closure.reason == ClosureReason::RequestMemory ? 1 : 0;
                                                     });
    Body outliving;
    {
        ServerFixture fixture(limits);
        for (int round = 0; round < 150; ++round) {
            RawClient client(fixture.address());
            std::string text;
            switch (round % 5) {
            case 0:
                text = postWith("/hold", std::string(BodySize, 'x'));
                break;
            case 1:
                text = postWith("/hold", "") + postWith("/b", std::string(50'000, 'x')) + postWith("/c", std::string(50'000, 'x'));
                break;
            case 2:
                text = postWith("/keep", std::string(BodySize, 'x')) + postWith("/hold", "x");
                break;
            case 3:
                text = postWith("/x", std::string(BodySize, 'x')).substr(0, 200'000);
                break;
            default:
                text = "GET /hold HTTP/1.1\r\nHost: x\r\n\r\n" + postWith("/x", std::string(900'000, 'x')).substr(0, 60'000);
                break;
            }
            client.send(text);
            if (round % 2 == 0) {
                std::this_thread::sleep_for(std::chrono::milliseconds(3));
            }
            if (round % 4 < 2) {
                client.reset();
            } else {
                client.close();
            }
            if (round % 7 == 0) {
                while (const auto held = fixture.handler.takeHeld()) {
                    held->respond(HttpResponse{200, {}, "late"});
                }
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        while (const auto held = fixture.handler.takeHeld()) {
            held->respond(HttpResponse{200, {}, "late"});
        }
        fixture.handler.dropKept();
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CHECK(closures == 0);
        // All of the limit must be free again: uploads of almost all of it are read although others are in progress.
        std::vector<std::unique_ptr<RawClient>> clients;
        for (int i = 0; i < 13; ++i) {
            clients.push_back(std::make_unique<RawClient>(fixture.address()));
            clients.back()->send(postWith("/hold", std::string(BodySize, 'x')));
        }
        const int before = fixture.handler.requests;
        CHECK(eventually([&] {
            return fixture.handler.heldCount() == 13;
        }));
        CHECK(closures == 0);
        MESSAGE(before);
        RawClient last(fixture.address());
        last.send(postWith("/keep", std::string(90'000, 'x')));
        CHECK(last.readResponses(1).ends_with("kept"));
        // The handler responds before it stores the body.
        CHECK(eventually([&] {
            outliving = fixture.handler.keptBody();
            return outliving.size() == 90'000;
        }));
    }
    limits.account.reset();
    CHECK(outliving.size() == 90'000);
    outliving = {};
}

// Guards against headers and bodies that are matched wrongly when random requests arrive in random pieces.
TEST_CASE("random pipelined requests in random pieces keep their own bodies")
{
    ServerLimits limits;
    limits.maxPipelinedRequests = 3;
    ServerFixture fixture(limits);
    std::uint32_t state = 12345;
    const auto random = [&state](std::uint32_t below) {
        state = state * 1664525 + 1013904223;
        return (state >> 8) % below;
    };
    for (int round = 0; round < 120; ++round) {
        CAPTURE(round);
        std::string text;
        std::vector<std::string> expected;
        const std::uint32_t count = 1 + random(12);
        for (std::uint32_t i = 0; i < count; ++i) {
            const std::string target = "/" + std::to_string(round) + "-" + std::to_string(i);
            const std::string body(random(3) == 0 ? 0 : random(random(4) == 0 ? 9000 : 40), static_cast<char>('a' + i));
            const char *const methods[] = {"GET", "POST", "PUT", "DELETE", "OPTIONS"};
            const std::string method = methods[random(5)];
            std::string head
                = method + " " + target + (random(8) == 0 && i + 1 == count ? " HTTP/1.0\r\n" : " HTTP/1.1\r\n") + "Host: x\r\n";
            if (random(6) == 0) {
                head += "X-Long: " + std::string(random(9000), 'h') + "\r\n";
            }
            if (random(6) == 0) {
                head += "Expect: 100-continue\r\n";
            }
            if (i + 1 == count) {
                head += random(2) == 0 ? "Connection: close\r\n" : "Connection: Upgrade, close\r\nUpgrade: websocket\r\n";
            }
            if (head.find("HTTP/1.0") == std::string::npos && random(2) == 0) {
                text += head + "tRANSFER-encoding: CHUNKED\r\n\r\n";
                for (std::size_t at = 0; at < body.size();) {
                    const std::size_t size = std::min<std::size_t>(body.size() - at, 1 + random(700));
                    char line[16];
                    std::snprintf(line, sizeof(line), "%zX", size);
                    text += line + std::string(random(2) == 0 ? ";ext=1" : "") + "\r\n" + body.substr(at, size) + "\r\n";
                    at += size;
                }
                text += "0\r\n\r\n";
            } else {
                text += head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            }
            expected.push_back(method + " " + target + " " + body);
        }
        RawClient client(fixture.address());
        for (std::size_t at = 0; at < text.size();) {
            const std::size_t size = 1 + random(random(2) == 0 ? 20 : 6000);
            client.send(std::string_view(text).substr(at, size));
            at += size;
        }
        const std::string all = client.readToEnd();
        std::size_t at = 0;
        for (const auto &body : expected) {
            const auto found = all.find("Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, at);
            CHECK_MESSAGE(found != std::string::npos, body.substr(0, 30));
            at = found == std::string::npos ? at : found + body.size();
        }
    }
}
