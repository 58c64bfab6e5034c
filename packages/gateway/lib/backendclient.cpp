#include <rhubarbtiller/gateway/backendclient.h>

#include "responseparser.h"

#include <rhubarbtiller/http/endpoints.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <unordered_map>
#include <unordered_set>

namespace rhubarbtiller::gateway {

/// Servers are a few milliseconds away; a longer handshake means a lost packet or a partition.
static constexpr std::chrono::milliseconds ConnectTimeout{250};

/// Connections that must time out one after the other before a server counts as unreachable, since a single packet may be lost.
static constexpr unsigned UnreachableAfterTimeouts = 2;

/// How long an idle connection is reusable if the server announces no keep-alive timeout.
static constexpr Duration DefaultKeepAlive = std::chrono::seconds(4);

/// A connection is no longer reused this long before the server closes it, so that no request races with the close.
static constexpr Duration IdleMargin = std::chrono::milliseconds(1500);

/// Limit of idle connections per server.
static constexpr std::size_t MaxIdlePerServer = 8;

/// Returns the header of a request with its framing.
static std::string formatHeader(const http::HttpRequest &message)
{
    std::string text = message.method + " " + message.target + " HTTP/1.1\r\n";
    for (const auto &header : message.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    const bool hasBody = !message.body.empty() || (message.method != "GET" && message.method != "HEAD");
    if (hasBody) {
        text += "Content-Length: " + std::to_string(message.body.size()) + "\r\n";
    }
    return text + "\r\n";
}

namespace {

class Client;

/// The bytes of a request on its way to a server.
struct OutgoingRequest
{
    std::string header;
    http::Body body;
};

/// One connection to one server; serves one request at a time.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::io_context &context, std::weak_ptr<Client> owner, BackendServerId backend, Endpoint target)
        : server(std::move(backend)), address(std::move(target)), client(std::move(owner)), socket(context), connectTimer(context)
    {
    }

    void start(const RequestId &request, OutgoingRequest text, bool isHeadRequest, BackendClient::Handler receiver);
    void watchIdle();
    void close();
    void cancel();

    bool wasSent() const
    {
        return this->isSent;
    }

    /// Fails the attempt because the limit of buffered response bytes is exceeded. Precondition: bufferedBytes() is above 0.
    void abortResponse()
    {
        this->finish(AttemptEnd::Broken, "no memory for the answer");
    }

    /// Fails the attempt because the server can no longer respond. Precondition: none.
    void abortUnreachable()
    {
        this->finish(AttemptEnd::Broken, "server unreachable");
    }

    std::uint64_t bufferedBytes() const
    {
        return this->buffered;
    }

    const BackendServerId server;
    const Endpoint address;
    MonotonicTime usableUntil{};

private:
    void connect();
    void write();
    void read();
    void onBytes(std::size_t size);
    void onEnd(std::error_code error);
    void finish(AttemptEnd end, std::string detail);
    bool deliverResponse();
    BackendClient::Handler takeHandler();
    void updateBuffered(std::uint64_t bytes);

    std::weak_ptr<Client> client;
    asio::ip::tcp::socket socket;
    asio::steady_timer connectTimer;
    RequestId id;
    /// The request until it is being written.
    std::shared_ptr<const OutgoingRequest> outgoing;
    bool isHead = false;
    ByteCount maxBody{0};
    BackendClient::Handler handler;
    std::unique_ptr<ResponseParser> parser;
    http::HttpResponse answer;
    std::array<char, 16384> incoming{};
    std::uint32_t servedRequests = 0;
    /// Buffered bytes that are counted in the client's total.
    std::uint64_t buffered = 0;
    /// Bytes of responses to other requests since the request was sent.
    std::uint64_t discardedBytes = 0;
    bool isConnected = false;
    bool isSent = false;
    bool isWritten = false;
    bool isReading = false;
    bool isClosed = false;
};

/// Connects to an address without sending anything, to find out whether the server is unreachable.
class ReachabilityCheck : public std::enable_shared_from_this<ReachabilityCheck>
{
public:
    using Handler = std::function<void(bool isUnreachable)>;

    ReachabilityCheck(asio::io_context &context, Endpoint target, Handler receiver)
        : address(std::move(target)), handler(std::move(receiver)), socket(context), timer(context)
    {
    }

    /// Precondition: called once.
    void start()
    {
        this->connect();
    }

private:
    void connect()
    {
        const auto target = http::parseEndpoint(this->address);
        if (!target) {
            this->handler(false);
            return;
        }
        const auto number = ++this->attempts;
        this->timer.expires_after(ConnectTimeout);
        this->timer.async_wait([self = this->shared_from_this(), number](std::error_code error) {
            if (!error && number == self->attempts && !self->isFinished) {
                self->onTimeout();
            }
        });
        this->socket.async_connect(*target, [self = this->shared_from_this(), number](std::error_code) {
            if (number == self->attempts && !self->isFinished) {
                // Accepted, or refused by a machine that would also reset the connections of an ended process.
                self->finish(false);
            }
        });
    }

    void onTimeout()
    {
        std::error_code ignored;
        this->socket.close(ignored);
        if (this->attempts < UnreachableAfterTimeouts) {
            this->connect();
            return;
        }
        this->finish(true);
    }

    void finish(bool isUnreachable)
    {
        this->isFinished = true;
        this->timer.cancel();
        std::error_code ignored;
        this->socket.close(ignored);
        this->handler(isUnreachable);
    }

    Endpoint address;
    Handler handler;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    unsigned attempts = 0;
    bool isFinished = false;
};

class Attempt : public BackendAttempt
{
public:
    explicit Attempt(std::shared_ptr<Connection> used) : connection(std::move(used))
    {
    }

    void cancel() override
    {
        this->connection->cancel();
    }

    bool wasSent() const override
    {
        return this->connection->wasSent();
    }

private:
    std::shared_ptr<Connection> connection;
};

class Client : public BackendClient, public std::enable_shared_from_this<Client>
{
public:
    Client(asio::io_context &ioContext, const Clock &timeSource, const Dialect &messageDialect, const ResponseLimits &responseLimits)
        : context(ioContext), clock(timeSource), dialect(messageDialect), limits(responseLimits)
    {
    }

    ~Client() override
    {
        for (auto &[server, connections] : this->idle) {
            for (const auto &connection : connections) {
                connection->close();
            }
        }
    }

    std::shared_ptr<BackendAttempt> send(BackendCall call, Handler handler) override
    {
        auto connection = this->takeIdle(call);
        if (!connection) {
            connection = std::make_shared<Connection>(this->context, this->weak_from_this(), call.server, call.address);
            ++this->opened;
        }
        connection->start(
            call.id, {formatHeader(call.message), std::move(call.message.body)}, call.message.method == "HEAD", std::move(handler));
        return std::make_shared<Attempt>(connection);
    }

    void retain(const std::function<bool(const BackendServerId &)> &isKept) override
    {
        for (auto &[server, connections] : this->idle) {
            if (!isKept(server)) {
                for (const auto &connection : std::exchange(connections, {})) {
                    connection->close();
                }
            }
        }
        std::erase_if(this->idle, [](const auto &entry) {
            return entry.second.empty();
        });
        this->checkRemovedServers(isKept);
    }

    std::uint64_t connectionsOpened() const override
    {
        return this->opened;
    }

    void addIdle(const std::shared_ptr<Connection> &connection, const http::HttpResponse &response)
    {
        auto &connections = this->idle[connection->server];
        if (connections.size() >= MaxIdlePerServer) {
            connection->close();
            return;
        }
        const auto announcedTimeout = this->dialect.keepAliveTimeout(response);
        connection->usableUntil
            = this->clock.now() + (announcedTimeout ? std::max(Duration(0), *announcedTimeout - IdleMargin) : DefaultKeepAlive);
        connections.push_back(connection);
        connection->watchIdle();
    }

    void addWaiting(Connection &connection)
    {
        this->waiting[connection.server].insert(&connection);
    }

    void removeWaiting(Connection &connection)
    {
        const auto found = this->waiting.find(connection.server);
        if (found != this->waiting.end() && found->second.erase(&connection) > 0 && found->second.empty()) {
            this->waiting.erase(found);
        }
    }

    void removeIdle(const std::shared_ptr<Connection> &connection)
    {
        if (const auto found = this->idle.find(connection->server); found != this->idle.end()) {
            std::erase(found->second, connection);
        }
    }

    const Dialect &messageDialect() const
    {
        return this->dialect;
    }

    ByteCount maxBody() const
    {
        return this->limits.maxBody;
    }

    /// Updates the total of buffered bytes, and aborts the largest response if the total exceeds its limit.
    void onBufferedChanged(Connection &connection, std::uint64_t before, std::uint64_t now)
    {
        this->buffered += now - before;
        if (now == 0) {
            this->receiving.erase(&connection);
            return;
        }
        this->receiving.insert(&connection);
        if (this->buffered > this->limits.maxBuffered.count()) {
            const auto largest = std::max_element(this->receiving.begin(), this->receiving.end(), [](const auto *one, const auto *other) {
                return one->bufferedBytes() < other->bufferedBytes();
            });
            (*largest)->abortResponse();
        }
    }

    ByteCount bufferedBytes() const override
    {
        return ByteCount(this->buffered);
    }

private:
    /// Checks each server that is not kept and still has requests, unless a check of it is in progress.
    void checkRemovedServers(const std::function<bool(const BackendServerId &)> &isKept)
    {
        for (const auto &[server, connections] : this->waiting) {
            if (isKept(server) || !this->checked.insert(server).second) {
                continue;
            }
            const auto address = (*connections.begin())->address;
            const auto check = std::make_shared<ReachabilityCheck>(
                this->context, address, [weak = this->weak_from_this(), server = server, address](bool isUnreachable) {
                    if (const auto self = weak.lock()) {
                        self->onChecked(server, address, isUnreachable);
                    }
                });
            check->start();
        }
    }

    void onChecked(const BackendServerId &server, const Endpoint &address, bool isUnreachable)
    {
        this->checked.erase(server);
        const auto found = this->waiting.find(server);
        if (!isUnreachable || found == this->waiting.end()) {
            return;
        }
        std::vector<std::shared_ptr<Connection>> ended;
        for (auto *const connection : found->second) {
            if (connection->wasSent() && connection->address == address) {
                ended.push_back(connection->shared_from_this());
            }
        }
        for (const auto &connection : ended) {
            connection->abortUnreachable();
        }
    }

    /// Returns the most recently used connection, which is the least likely to have been closed.
    std::shared_ptr<Connection> takeIdle(const BackendCall &call)
    {
        const auto found = this->idle.find(call.server);
        if (found == this->idle.end()) {
            return nullptr;
        }
        auto &connections = found->second;
        while (!connections.empty()) {
            auto connection = std::move(connections.back());
            connections.pop_back();
            if (connection->address == call.address && this->clock.now() < connection->usableUntil) {
                return connection;
            }
            connection->close();
        }
        return nullptr;
    }

    asio::io_context &context;
    const Clock &clock;
    const Dialect &dialect;
    const ResponseLimits limits;
    std::unordered_map<BackendServerId, std::vector<std::shared_ptr<Connection>>> idle;
    /// The connections with a request that has no outcome yet.
    std::unordered_map<BackendServerId, std::unordered_set<Connection *>> waiting;
    /// Removed servers whose reachability is being checked.
    std::unordered_set<BackendServerId> checked;
    /// The connections with a partly received response, and the total of their buffered bytes.
    std::unordered_set<Connection *> receiving;
    std::uint64_t buffered = 0;
    std::uint64_t opened = 0;
};

} // namespace

void Connection::start(const RequestId &request, OutgoingRequest text, bool isHeadRequest, BackendClient::Handler receiver)
{
    this->id = request;
    this->outgoing = std::make_shared<const OutgoingRequest>(std::move(text));
    this->isHead = isHeadRequest;
    this->handler = std::move(receiver);
    this->isSent = false;
    this->isWritten = false;
    this->discardedBytes = 0;
    const auto owner = this->client.lock();
    this->maxBody = owner ? owner->maxBody() : ByteCount(0);
    if (owner) {
        owner->addWaiting(*this);
    }
    this->parser = std::make_unique<ResponseParser>(this->isHead, this->maxBody);
    if (this->isConnected) {
        this->write();
        return;
    }
    this->connect();
}

void Connection::connect()
{
    const auto target = http::parseEndpoint(this->address);
    if (!target) {
        this->finish(AttemptEnd::NotConnected, "address");
        return;
    }
    this->connectTimer.expires_after(ConnectTimeout);
    this->connectTimer.async_wait([self = this->shared_from_this()](std::error_code error) {
        if (!error && !self->isConnected) {
            self->finish(AttemptEnd::NotConnected, "connect timeout");
        }
    });
    this->socket.async_connect(*target, [self = this->shared_from_this()](std::error_code error) {
        if (self->isClosed) {
            return;
        }
        self->connectTimer.cancel();
        if (error) {
            self->finish(AttemptEnd::NotConnected, error.message());
            return;
        }
        self->isConnected = true;
        std::error_code ignored;
        self->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->write();
    });
}

void Connection::write()
{
    this->isSent = true;
    // The operation alone keeps the request, whose memory is free once it has been written or given up.
    auto request = std::exchange(this->outgoing, nullptr);
    const std::array<asio::const_buffer, 2> parts{asio::buffer(request->header), asio::buffer(request->body.text())};
    asio::async_write(
        this->socket, parts, [self = this->shared_from_this(), request = std::move(request)](std::error_code error, std::size_t) {
            // The read operation reports the error too, possibly after a response that the server sent early.
            self->isWritten = !error;
        });
    if (!this->isReading) {
        this->read();
    }
}

void Connection::watchIdle()
{
    if (!this->isReading) {
        this->read();
    }
}

void Connection::read()
{
    this->isReading = true;
    this->socket.async_read_some(asio::buffer(this->incoming), [self = this->shared_from_this()](std::error_code error, std::size_t size) {
        self->isReading = false;
        if (self->isClosed) {
            return;
        }
        if (error) {
            self->onEnd(error);
            return;
        }
        self->onBytes(size);
    });
}

void Connection::onEnd(std::error_code error)
{
    if (!this->handler) {
        this->close();
        return;
    }
    // A response without a length ends with its connection, but only after an orderly close. The kernel reports a reset once: if the write
    // of the request got it, the read sees an orderly close.
    if (error == asio::error::eof && this->isWritten && this->parser->finish()) {
        if (this->deliverResponse()) {
            return;
        }
    }
    this->finish(AttemptEnd::Broken, error.message());
}

void Connection::onBytes(std::size_t size)
{
    if (!this->handler) {
        // No request is outstanding, so the bytes belong to none.
        this->close();
        return;
    }
    std::string_view bytes(this->incoming.data(), size);
    while (!bytes.empty()) {
        const auto used = this->parser->parse(bytes);
        if (this->parser->isMalformed()) {
            this->finish(AttemptEnd::Broken, "malformed answer");
            return;
        }
        this->updateBuffered(this->parser->bufferedBytes().count());
        if (this->isClosed) {
            return;
        }
        bytes.remove_prefix(used);
        if (!this->parser->isComplete()) {
            continue;
        }
        const bool hasMore = !bytes.empty();
        if (this->deliverResponse()) {
            if (hasMore) {
                this->close();
            }
            return;
        }
        this->discardedBytes += this->parser->consumedBytes().count();
        if (this->discardedBytes > this->maxBody.count()) {
            this->finish(AttemptEnd::Broken, "answers to other requests");
            return;
        }
        this->parser = std::make_unique<ResponseParser>(this->isHead, this->maxBody);
    }
    this->read();
}

void Connection::updateBuffered(std::uint64_t bytes)
{
    const auto before = std::exchange(this->buffered, bytes);
    if (const auto owner = this->client.lock(); owner && before != bytes) {
        owner->onBufferedChanged(*this, before, bytes);
    }
}

/// Delivers the parsed response; returns false if it belongs to another request.
bool Connection::deliverResponse()
{
    auto response = this->parser->take();
    this->updateBuffered(0);
    const auto owner = this->client.lock();
    if (!owner) {
        this->finish(AttemptEnd::Broken, "shutting down");
        return true;
    }
    switch (owner->messageDialect().correlationOf(response, this->id)) {
    case BackendResponseCorrelation::OtherRequest:
        return false;
    case BackendResponseCorrelation::NoRequestId:
        // On a reused connection it may be a late response to an earlier request.
        if (this->servedRequests > 0) {
            this->finish(AttemptEnd::Broken, "unmarked answer");
            return true;
        }
        break;
    case BackendResponseCorrelation::ThisRequest:
        break;
    }
    // After an early response the server would read the rest of the request as the next one.
    const bool canKeep = this->isWritten && this->parser->shouldKeepAlive();
    AttemptOutcome outcome;
    outcome.end = AttemptEnd::Answered;
    outcome.wasReused = this->servedRequests > 0;
    ++this->servedRequests;
    const auto receiver = this->takeHandler();
    if (canKeep) {
        owner->addIdle(this->shared_from_this(), response);
    } else {
        this->close();
    }
    outcome.response = std::move(response);
    receiver(std::move(outcome));
    return true;
}

void Connection::finish(AttemptEnd end, std::string detail)
{
    const auto receiver = this->takeHandler();
    this->close();
    if (receiver) {
        AttemptOutcome outcome;
        outcome.end = end;
        outcome.wasReused = this->servedRequests > 0;
        outcome.detail = std::move(detail);
        receiver(std::move(outcome));
    }
}

/// Ends the request at this connection.
BackendClient::Handler Connection::takeHandler()
{
    if (const auto owner = this->client.lock()) {
        owner->removeWaiting(*this);
    }
    return std::exchange(this->handler, nullptr);
}

void Connection::cancel()
{
    if (this->takeHandler()) {
        this->close();
    }
}

void Connection::close()
{
    if (std::exchange(this->isClosed, true)) {
        return;
    }
    this->updateBuffered(0);
    this->outgoing.reset();
    this->connectTimer.cancel();
    std::error_code ignored;
    this->socket.close(ignored);
    if (const auto owner = this->client.lock()) {
        owner->removeIdle(this->shared_from_this());
    }
}

namespace {

/// Owns the client through a shared pointer, since its connections hold weak pointers to it.
class ClientHandle : public BackendClient
{
public:
    ClientHandle(asio::io_context &context, const Clock &clock, const Dialect &dialect, const ResponseLimits &limits)
        : client(std::make_shared<Client>(context, clock, dialect, limits))
    {
    }

    std::shared_ptr<BackendAttempt> send(BackendCall call, Handler handler) override
    {
        return this->client->send(std::move(call), std::move(handler));
    }

    void retain(const std::function<bool(const BackendServerId &)> &isKept) override
    {
        this->client->retain(isKept);
    }

    std::uint64_t connectionsOpened() const override
    {
        return this->client->connectionsOpened();
    }

    ByteCount bufferedBytes() const override
    {
        return this->client->bufferedBytes();
    }

private:
    std::shared_ptr<Client> client;
};

} // namespace

std::unique_ptr<BackendClient>
makeBackendClient(asio::io_context &context, const Clock &clock, const Dialect &dialect, const ResponseLimits &limits)
{
    return std::make_unique<ClientHandle>(context, clock, dialect, limits);
}

} // namespace rhubarbtiller::gateway
