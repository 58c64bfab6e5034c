#include "fakes.h"

#include <rhubarbtiller/gateway/backendclient.h>
#include <rhubarbtiller/testing/rawhttpserver.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <array>
#include <list>
#include <thread>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;
using testing::RawConnection;

namespace {

/// A client and a raw server on one thread.
class BackendFixture
{
public:
    explicit BackendFixture(RawConnection::RequestHandler handler, ResponseLimits limits = {})
        : server(this->context, std::move(handler)), client(makeBackendClient(this->context, this->clock, this->dialect, limits))
    {
        this->server.start(Endpoint("127.0.0.1:0"));
    }

    /// Sends a request and runs until its outcome, for at most two seconds.
    std::optional<AttemptOutcome> send(const std::string &id)
    {
        return this->send(this->call(id));
    }

    std::optional<AttemptOutcome> send(BackendCall call)
    {
        std::optional<AttemptOutcome> result;
        this->lastAttempt = this->client->send(std::move(call), [&result](AttemptOutcome outcome) {
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
    std::unique_ptr<BackendClient> client;
    std::shared_ptr<BackendAttempt> lastAttempt;
};

} // namespace

static std::string responseFor(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_CASE("a connection is reused after a complete response")
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

// Guards against copies of a large body, and against an idle connection that keeps the body of its last request.
TEST_CASE("a body is shared with its sender and dropped once it has been written")
{
    static constexpr std::size_t BodySize = 3'000'000;
    std::string arrived;
    BackendFixture fixture([&arrived](const http::HttpRequest &request, const std::shared_ptr<RawConnection> &connection) {
        arrived = request.body;
        connection->respond({200, {{"Id", std::string(findHeader(request.headers, "Id"))}}, "ok"});
    });
    auto text = std::make_shared<const std::string>(BodySize, 'x');
    const std::weak_ptr<const std::string> watched = text;
    auto call = fixture.call("1");
    call.message.body = http::Body(std::move(text));
    const auto second = call;
    CHECK(fixture.send(std::move(call))->end == AttemptEnd::Answered);
    CHECK(arrived == std::string(BodySize, 'x'));
    CHECK_MESSAGE(watched.use_count() == 1, "the idle connection keeps the body");
    CHECK(second.message.body.size() == BodySize);
    CHECK(fixture.client->connectionsOpened() == 1);
}

// Guards against a connection that is given up while it sends, and keeps the body.
TEST_CASE("a cancelled request drops its body")
{
    BackendFixture fixture([](const http::HttpRequest &, const std::shared_ptr<RawConnection> &) {
    });
    auto text = std::make_shared<const std::string>(30'000'000, 'x');
    const std::weak_ptr<const std::string> watched = text;
    auto call = fixture.call("1");
    call.message.body = http::Body(std::move(text));
    const auto attempt = fixture.client->send(std::move(call), [](const AttemptOutcome &) {
    });
    while (!attempt->wasSent()) {
        fixture.context.run_one_for(20ms);
    }
    CHECK_FALSE(watched.expired());
    attempt->cancel();
    fixture.context.poll();
    CHECK(watched.expired());
}

TEST_CASE("a late response to an earlier request is discarded")
{
    BackendFixture fixture([](const http::HttpRequest &request, const std::shared_ptr<RawConnection> &connection) {
        const std::string id(findHeader(request.headers, "Id"));
        if (id == "2") {
            connection->sendRaw(responseFor("1", "late"), false);
        }
        connection->sendRaw(responseFor(id, "own"), false);
        connection->finishRequest();
    });
    CHECK(fixture.send("1")->response.body == "own");
    const auto second = fixture.send("2");
    REQUIRE(second);
    REQUIRE(second->end == AttemptEnd::Answered);
    CHECK(second->response.body == "own");
}

TEST_CASE("a connection with bytes after a response is not reused")
{
    BackendFixture fixture([](const http::HttpRequest &request, const std::shared_ptr<RawConnection> &connection) {
        const std::string id(findHeader(request.headers, "Id"));
        connection->sendRaw(responseFor(id, "own") + responseFor(id, "again"), false);
        connection->finishRequest();
    });
    CHECK(fixture.send("1")->response.body == "own");
    CHECK(fixture.send("2")->response.body == "own");
    CHECK(fixture.client->connectionsOpened() == 2);
}

TEST_CASE("a response without a request id is accepted only on a new connection")
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

TEST_CASE("a response without a length is complete after an orderly close, and broken after a reset")
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

// Guards against a status outside the protocol that a caller gets as a response: a faulty server sent 000.
TEST_CASE("a status outside the protocol breaks the attempt at once")
{
    std::string status;
    const auto endFor = [&status](const std::string &text) {
        status = text;
        BackendFixture fixture([&status](const http::HttpRequest &, const std::shared_ptr<RawConnection> &connection) {
            connection->sendRaw("HTTP/1.1 " + status + " Odd\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", false);
        });
        const auto outcome = fixture.send("1");
        return outcome ? std::optional(outcome->end) : std::nullopt;
    };
    for (const std::string text : {"000", "007", "099", "20", "2", "101", "600", "999", "1000"}) {
        CHECK_MESSAGE(endFor(text) == AttemptEnd::Broken, "status ", text);
    }
    CHECK(endFor("599") == AttemptEnd::Answered);
    CHECK(endFor("299") == AttemptEnd::Answered);
}

// Guards against an interim response of an unknown kind that is taken for the final one.
TEST_CASE("an unknown interim response is skipped, and is no response by itself")
{
    bool hasFinal = true;
    BackendFixture fixture([&hasFinal](const http::HttpRequest &, const std::shared_ptr<RawConnection> &connection) {
        connection->sendRaw("HTTP/1.1 199 Odd\r\n\r\n" + (hasFinal ? responseFor("1", "own") : std::string()), !hasFinal);
        if (hasFinal) {
            connection->finishRequest();
        }
    });
    CHECK(fixture.send("1")->response.body == "own");
    hasFinal = false;
    CHECK(fixture.send("1")->end == AttemptEnd::Broken);
}

TEST_CASE("a truncated response is broken")
{
    BackendFixture fixture([](const http::HttpRequest &, const std::shared_ptr<RawConnection> &connection) {
        connection->sendRaw("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf", true);
    });
    CHECK(fixture.send("1")->end == AttemptEnd::Broken);
}

TEST_CASE("a refused connection means that nothing was sent")
{
    BackendFixture fixture([](const http::HttpRequest &, const std::shared_ptr<RawConnection> &) {
    });
    fixture.target = Endpoint("127.0.0.1:1");
    CHECK(fixture.send("1")->end == AttemptEnd::NotConnected);
}

TEST_CASE("an invalid address means that nothing was sent")
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

namespace {

/// A listening socket whose queue of connections is full, so that further ones time out as those to a machine that is gone.
class FullListener
{
public:
    explicit FullListener(asio::io_context &context)
        : acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)), first(context)
    {
        this->acceptor.listen(0);
    }

    Endpoint address() const
    {
        return Endpoint("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()));
    }

    /// Accepts the connection of the request, and fills the queue with others.
    void fill(asio::io_context &context)
    {
        this->acceptor.accept(this->first);
        for (int i = 0; i < 3; ++i) {
            this->others.emplace_back(context).async_connect(this->acceptor.local_endpoint(), [](std::error_code) {
            });
        }
    }

    void stopListening()
    {
        this->acceptor.close();
    }

private:
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket first;
    std::list<asio::ip::tcp::socket> others;
};

/// Removes the server of a request in progress and returns the outcome within two seconds.
std::optional<AttemptOutcome> outcomeAfterRemoval(BackendFixture &fixture, const std::function<void()> &afterSending)
{
    std::optional<AttemptOutcome> result;
    const auto attempt = fixture.client->send(fixture.call("1"), [&result](AttemptOutcome outcome) {
        result = std::move(outcome);
    });
    while (!attempt->wasSent()) {
        fixture.context.run_one_for(20ms);
    }
    afterSending();
    fixture.context.run_for(50ms);
    fixture.client->retain([](const BackendServerId &) {
        return false;
    });
    const auto until = std::chrono::steady_clock::now() + 2s;
    fixture.context.restart();
    while (!result && std::chrono::steady_clock::now() < until) {
        fixture.context.run_one_for(20ms);
    }
    attempt->cancel();
    return result;
}

} // namespace

// Guards against requests that wait until their deadline for a machine that has been gone for seconds.
TEST_CASE("a request at a server that was removed and is unreachable ends as broken")
{
    BackendFixture fixture([](const http::HttpRequest &, const std::shared_ptr<RawConnection> &) {
    });
    FullListener listener(fixture.context);
    fixture.target = listener.address();
    const auto outcome = outcomeAfterRemoval(fixture, [&] {
        listener.fill(fixture.context);
    });
    REQUIRE(outcome);
    CHECK(outcome->end == AttemptEnd::Broken);
    CHECK(outcome->detail == "server unreachable");
}

// Guards against aborting work at a slow server that has lost its entry only because it cannot reach the store.
TEST_CASE("a request at a server that was removed goes on while the server accepts connections")
{
    BackendFixture fixture([](const http::HttpRequest &, const std::shared_ptr<RawConnection> &) {
    });
    CHECK_FALSE(outcomeAfterRemoval(fixture, [] {
    }));
}

// Guards against aborting the last requests of a server that no longer accepts connections before it ends.
TEST_CASE("a request at a server that was removed goes on while the server refuses connections")
{
    BackendFixture fixture([](const http::HttpRequest &, const std::shared_ptr<RawConnection> &) {
    });
    FullListener listener(fixture.context);
    fixture.target = listener.address();
    CHECK_FALSE(outcomeAfterRemoval(fixture, [&] {
        listener.fill(fixture.context);
        listener.stopListening();
    }));
}

/// A refusal of an earlier request, which a faulty server sends a second time.
static std::string refusalOf(const std::string &id)
{
    return "HTTP/1.1 503 Full\r\n" + (id.empty() ? "" : "Id: " + id + "\r\n") + "Not-Run: yes\r\nContent-Length: 2\r\n\r\nno";
}

/// When a server sends the refusal of the first request a second time.
enum class DuplicateTiming {
    WithFirstResponse,
    WhileIdle,
    BeforeSecondResponse,
    InTwoParts,
};

// Guards against a duplicate refusal being taken as the response to the next request: its caller would be told that the request
// did not run although it did.
TEST_CASE("a duplicate of an earlier refusal is not taken as the response to the next request")
{
    for (const bool hasId : {true, false}) {
        for (const auto timing : {DuplicateTiming::WithFirstResponse,
                                  DuplicateTiming::WhileIdle,
                                  DuplicateTiming::BeforeSecondResponse,
                                  DuplicateTiming::InTwoParts}) {
            CAPTURE(hasId);
            CAPTURE(static_cast<int>(timing));
            int runs = 0;
            asio::steady_timer *timer = nullptr;
            BackendFixture fixture([&](const http::HttpRequest &request, const std::shared_ptr<RawConnection> &connection) {
                const std::string id(findHeader(request.headers, "Id"));
                const auto duplicate = refusalOf(hasId ? "1" : "");
                if (id == "1") {
                    connection->sendRaw(refusalOf(id) + (timing == DuplicateTiming::WithFirstResponse ? duplicate : ""), false);
                    connection->finishRequest();
                    if (timing == DuplicateTiming::WhileIdle) {
                        timer->expires_after(10ms);
                        timer->async_wait([connection, duplicate](std::error_code) {
                            connection->sendRaw(duplicate, false);
                        });
                    }
                    return;
                }
                ++runs;
                if (timing == DuplicateTiming::BeforeSecondResponse) {
                    connection->sendRaw(duplicate, false);
                } else if (timing == DuplicateTiming::InTwoParts) {
                    connection->sendRaw(duplicate.substr(0, duplicate.size() / 2), false);
                }
                timer->expires_after(20ms);
                timer->async_wait([connection, id, duplicate, timing](std::error_code) {
                    const auto rest = timing == DuplicateTiming::InTwoParts ? duplicate.substr(duplicate.size() / 2) : "";
                    connection->sendRaw(rest + responseFor(id, "own"), false);
                    connection->finishRequest();
                });
            });
            asio::steady_timer serverTimer(fixture.context);
            timer = &serverTimer;
            const auto first = fixture.send("1");
            REQUIRE(first);
            CHECK(first->response.status == 503);
            if (timing == DuplicateTiming::WhileIdle) {
                fixture.context.restart();
                fixture.context.run_for(50ms);
            }
            const auto second = fixture.send("2");
            REQUIRE(second);
            CHECK(runs == 1);
            // Either its own response or none.
            CHECK((second->end == AttemptEnd::Broken || second->response.body == "own"));
            if (hasId || timing == DuplicateTiming::WithFirstResponse || timing == DuplicateTiming::WhileIdle) {
                CHECK(second->end == AttemptEnd::Answered);
            }
        }
    }
}

TEST_CASE("endless responses to other requests break the attempt")
{
    std::uint64_t sent = 0;
    std::shared_ptr<RawConnection> flooding;
    BackendFixture fixture([&](const http::HttpRequest &, const std::shared_ptr<RawConnection> &connection) {
        flooding = connection;
    });
    std::optional<AttemptOutcome> result;
    fixture.lastAttempt = fixture.client->send(fixture.call("2"), [&result](AttemptOutcome outcome) {
        result = std::move(outcome);
    });
    const auto flood = responseFor("1", std::string(100'000, 'x'));
    const auto until = std::chrono::steady_clock::now() + 10s;
    while (!result && std::chrono::steady_clock::now() < until) {
        if (flooding && sent < 100'000'000) {
            flooding->sendRaw(flood, false);
            sent += flood.size();
        }
        fixture.context.restart();
        fixture.context.run_for(2ms);
    }
    REQUIRE(result);
    CHECK(result->end == AttemptEnd::Broken);
    CHECK(sent < 50'000'000);
}

TEST_CASE("endless responses on many connections stay within the buffer limit")
{
    static constexpr int EndlessResponses = 20;
    static constexpr ByteCount MaxBuffered(4 * 1024 * 1024);
    std::vector<std::shared_ptr<RawConnection>> flooding;
    BackendFixture fixture(
        [&flooding](const http::HttpRequest &request, const std::shared_ptr<RawConnection> &connection) {
            const std::string id(findHeader(request.headers, "Id"));
            if (id == "small") {
                connection->respond({200, {{"Id", id}}, "ok"});
                return;
            }
            connection->sendRaw("HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\n", false);
            flooding.push_back(connection);
        },
        ResponseLimits{ByteCount(8 * 1024 * 1024), MaxBuffered});
    int broken = 0;
    std::vector<std::shared_ptr<BackendAttempt>> attempts;
    for (int i = 0; i < EndlessResponses; ++i) {
        attempts.push_back(fixture.client->send(fixture.call(std::to_string(i)), [&broken](const AttemptOutcome &outcome) {
            broken += outcome.end == AttemptEnd::Broken ? 1 : 0;
        }));
    }
    const std::string filler(64 * 1024, 'x');
    std::uint64_t maxSeen = 0;
    const auto until = std::chrono::steady_clock::now() + 20s;
    for (int round = 0; broken < EndlessResponses && round < 400 && std::chrono::steady_clock::now() < until; ++round) {
        for (const auto &connection : flooding) {
            connection->sendRaw(filler, false);
        }
        fixture.context.restart();
        fixture.context.run_for(5ms);
        maxSeen = std::max(maxSeen, fixture.client->bufferedBytes().count());
        if (round == 100) {
            CHECK(fixture.send("small")->response.body == "ok");
        }
    }
    CHECK(maxSeen <= MaxBuffered.count());
    CHECK(maxSeen > 0);
    CHECK(broken == EndlessResponses);
    CHECK(fixture.client->bufferedBytes().count() == 0);
}

// Guards against a reset that the write of the upload reports, after which the read sees an orderly end.
TEST_CASE("a response without a length counts as complete although its connection was reset during the upload")
{
    static constexpr std::size_t UploadSize = 50'000'000;
    asio::io_context serverContext;
    asio::ip::tcp::acceptor acceptor(serverContext, {asio::ip::address_v4::loopback(), 0});
    std::thread server([&acceptor] {
        auto socket = acceptor.accept();
        std::array<char, 4096> head{};
        socket.read_some(asio::buffer(head));
        asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart of the body")));
        // The caller has read that much and waits for room to write more.
        std::this_thread::sleep_for(300ms);
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    });
    BackendFixture fixture([](const http::HttpRequest &, const std::shared_ptr<RawConnection> &) {
    });
    fixture.target = Endpoint("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    auto call = fixture.call("1");
    call.message.body = std::string(UploadSize, 'x');
    const auto outcome = fixture.send(std::move(call));
    server.join();
    REQUIRE(outcome);
    CHECK(outcome->end == AttemptEnd::Broken);
}

// Guards against a body that is kept after an early response, or after a cancellation while connecting.
TEST_CASE("a body is dropped after an early response and after a cancellation while connecting")
{
    BackendFixture fixture([](const http::HttpRequest &, const std::shared_ptr<RawConnection> &) {
    });
    auto text = std::make_shared<const std::string>(30'000'000, 'x');
    const std::weak_ptr<const std::string> watched = text;
    SUBCASE("early response")
    {
        asio::io_context serverContext;
        asio::ip::tcp::acceptor acceptor(serverContext, {asio::ip::address_v4::loopback(), 0});
        std::atomic<bool> isDone{false};
        std::thread server([&acceptor, &isDone] {
            auto socket = acceptor.accept();
            std::array<char, 4096> head{};
            socket.read_some(asio::buffer(head));
            asio::write(socket, asio::buffer(responseFor("1", "early")));
            while (!isDone) {
                std::this_thread::sleep_for(5ms);
            }
        });
        fixture.target = Endpoint("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
        auto call = fixture.call("1");
        call.message.body = http::Body(std::move(text));
        const auto outcome = fixture.send(std::move(call));
        REQUIRE(outcome);
        CHECK(outcome->end == AttemptEnd::Answered);
        CHECK(outcome->response.body == "early");
        fixture.context.poll();
        CHECK(watched.expired());
        isDone = true;
        server.join();
        fixture.target.reset();
        fixture.send("2");
        CHECK(fixture.client->connectionsOpened() == 2);
    }
    SUBCASE("cancelled while connecting")
    {
        auto call = fixture.call("1");
        call.message.body = http::Body(std::move(text));
        const auto attempt = fixture.client->send(std::move(call), [](const AttemptOutcome &) {
        });
        attempt->cancel();
        CHECK(watched.expired());
        fixture.context.poll();
        CHECK_FALSE(attempt->wasSent());
    }
}

// Guards against attempts that share a body and end each other's write.
TEST_CASE("an attempt that is cancelled while it writes leaves the shared body of another whole")
{
    static constexpr std::size_t BodySize = 20'000'000;
    std::string arrived;
    BackendFixture fixture([&arrived](const http::HttpRequest &request, const std::shared_ptr<RawConnection> &connection) {
        arrived = request.body.text();
        connection->respond({200, {{"Id", std::string(findHeader(request.headers, "Id"))}}, "ok"});
    });
    std::string bytes(BodySize, 'x');
    for (std::size_t i = 0; i < BodySize; i += 1000) {
        bytes[i] = static_cast<char>('a' + i / 1000 % 26);
    }
    auto call = fixture.call("1");
    call.message.body = http::Body(bytes);
    auto other = fixture.call("2");
    other.message.body = call.message.body;
    const auto first = fixture.client->send(std::move(call), [](const AttemptOutcome &) {
    });
    while (!first->wasSent()) {
        fixture.context.run_one_for(20ms);
    }
    std::optional<AttemptOutcome> result;
    const auto second = fixture.client->send(std::move(other), [&result](AttemptOutcome outcome) {
        result = std::move(outcome);
    });
    while (!second->wasSent()) {
        fixture.context.run_one_for(20ms);
    }
    first->cancel();
    const auto until = std::chrono::steady_clock::now() + 5s;
    while (!result && std::chrono::steady_clock::now() < until) {
        fixture.context.run_one_for(20ms);
    }
    REQUIRE(result);
    CHECK(result->end == AttemptEnd::Answered);
    CHECK(arrived == bytes);
}
