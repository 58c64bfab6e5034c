#include "fakes.h"

#include <rhubarbtiller/gateway/backendclient.h>
#include <rhubarbtiller/testing/rawhttpserver.h>

#include <asio/steady_timer.hpp>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;
using testing::RawConnection;

namespace {

/// A client and a raw server on one thread.
class BackendFixture
{
public:
    explicit BackendFixture(RawConnection::RequestHandler handler) : server(this->context, std::move(handler))
    {
        this->server.start(Endpoint("127.0.0.1:0"));
    }

    /// Sends a request and runs until its outcome, for at most two seconds.
    std::optional<AttemptOutcome> send(const std::string &id)
    {
        std::optional<AttemptOutcome> result;
        this->lastAttempt = this->client->send(this->call(id), [&result](AttemptOutcome outcome) {
            result = std::move(outcome);
        });
        const auto until = std::chrono::steady_clock::now() + 2s;
        this->context.restart();
        while (!result && std::chrono::steady_clock::now() < until) {
            this->context.run_one_for(20ms);
        }
        return result;
    }

    BackendCall call(const std::string &id)
    {
        BackendCall made;
        made.id = RequestId(id);
        made.server = BackendServerId("s1");
        made.address = this->target ? *this->target : this->server.boundAddress();
        made.message.method = "POST";
        made.message.target = "/";
        made.message.headers = {{"Host", "x"}, {"Id", id}};
        made.message.body = "body";
        return made;
    }

    asio::io_context context;
    SystemClock clock;
    PlainDialect dialect;
    testing::RawHttpServer server;
    std::optional<Endpoint> target;
    std::unique_ptr<BackendClient> client = makeBackendClient(this->context, this->clock, this->dialect);
    std::shared_ptr<BackendAttempt> lastAttempt;
};

} // namespace

static std::string answerFor(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_CASE("a connection is used again after a whole answer")
{
    BackendFixture fixture([](const http::HttpRequest &request, const std::shared_ptr<RawConnection> &connection) {
        connection->respond({200, {{"Id", std::string(findHeader(request.headers, "Id"))}}, "ok"});
    });
    CHECK(fixture.send("1")->end == AttemptEnd::Answered);
    const auto second = fixture.send("2");
    CHECK(second->end == AttemptEnd::Answered);
    CHECK(second->wasReused);
    CHECK(fixture.client->connectionsOpened() == 1);
}

TEST_CASE("a late answer to an earlier request is passed over")
{
    BackendFixture fixture([](const http::HttpRequest &request, const std::shared_ptr<RawConnection> &connection) {
        const std::string id(findHeader(request.headers, "Id"));
        if (id == "2") {
            connection->sendRaw(answerFor("1", "late"), false);
        }
        connection->sendRaw(answerFor(id, "own"), false);
        connection->finishRequest();
    });
    CHECK(fixture.send("1")->response.body == "own");
    const auto second = fixture.send("2");
    REQUIRE(second);
    REQUIRE(second->end == AttemptEnd::Answered);
    CHECK(second->response.body == "own");
}

TEST_CASE("a connection with bytes behind an answer is not used again")
{
    BackendFixture fixture([](const http::HttpRequest &request, const std::shared_ptr<RawConnection> &connection) {
        const std::string id(findHeader(request.headers, "Id"));
        connection->sendRaw(answerFor(id, "own") + answerFor(id, "again"), false);
        connection->finishRequest();
    });
    CHECK(fixture.send("1")->response.body == "own");
    CHECK(fixture.send("2")->response.body == "own");
    CHECK(fixture.client->connectionsOpened() == 2);
}

TEST_CASE("an unmarked answer counts only on a connection that served nothing before")
{
    BackendFixture fixture([](const http::HttpRequest &request, const std::shared_ptr<RawConnection> &connection) {
        if (findHeader(request.headers, "Id") == "1") {
            connection->respond({200, {}, "unmarked"});
        } else {
            connection->respond({200, {}, "whose"});
        }
    });
    CHECK(fixture.send("1")->end == AttemptEnd::Answered);
    CHECK(fixture.send("2")->end == AttemptEnd::Broken);
}

TEST_CASE("an answer without a length is whole when the connection ends in order, and broken when it is reset")
{
    BackendFixture fixture([](const http::HttpRequest &request, const std::shared_ptr<RawConnection> &connection) {
        const std::string id(findHeader(request.headers, "Id"));
        connection->sendRaw("HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nall", id == "1");
        if (id != "1") {
            connection->reset();
        }
    });
    const auto whole = fixture.send("1");
    CHECK(whole->end == AttemptEnd::Answered);
    CHECK(whole->response.body == "all");
    CHECK(fixture.send("2")->end == AttemptEnd::Broken);
}

TEST_CASE("an answer that ends early is broken")
{
    BackendFixture fixture([](const http::HttpRequest &, const std::shared_ptr<RawConnection> &connection) {
        connection->sendRaw("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf", true);
    });
    CHECK(fixture.send("1")->end == AttemptEnd::Broken);
}

TEST_CASE("a port that nobody listens on means that nothing was sent")
{
    BackendFixture fixture([](const http::HttpRequest &, const std::shared_ptr<RawConnection> &) {
    });
    fixture.target = Endpoint("127.0.0.1:1");
    CHECK(fixture.send("1")->end == AttemptEnd::NotConnected);
}

TEST_CASE("an address that cannot be read means that nothing was sent")
{
    BackendFixture fixture([](const http::HttpRequest &, const std::shared_ptr<RawConnection> &) {
    });
    fixture.target = Endpoint("nonsense");
    CHECK(fixture.send("1")->end == AttemptEnd::NotConnected);
}

TEST_CASE("a cancelled attempt closes its connection and reports nothing")
{
    bool isClosed = false;
    bool isHandled = false;
    BackendFixture fixture([&isClosed, &isHandled](const http::HttpRequest &, const std::shared_ptr<RawConnection> &connection) {
        isHandled = true;
        connection->onClose([&isClosed] {
            isClosed = true;
        });
    });
    bool isReported = false;
    const auto attempt = fixture.client->send(fixture.call("1"), [&isReported](const AttemptOutcome &) {
        isReported = true;
    });
    const auto until = std::chrono::steady_clock::now() + 2s;
    while (!isClosed && std::chrono::steady_clock::now() < until) {
        fixture.context.run_one_for(10ms);
        if (isHandled) {
            attempt->cancel();
        }
    }
    CHECK(isClosed);
    CHECK_FALSE(isReported);
    CHECK(attempt->wasSent());
}
