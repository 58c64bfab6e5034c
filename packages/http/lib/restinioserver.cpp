#include <rhubarbtiller/http/restinioserver.h>

#include <rhubarbtiller/http/errors.h>

#include "guardedsocket.h"
#include <rhubarbtiller/http/endpoints.h>

#include <asio/dispatch.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <restinio/all.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <unordered_map>

namespace rhubarbtiller::http {

// RESTinio looks these two functions up for its socket type.
template<class Connection, class StartRead, class Failed>
void prepare_connection_and_start_read(GuardedSocket &, Connection &, StartRead startRead, Failed) // NOLINT(readability-identifier-naming)
{
    startRead();
}

inline restinio::impl::tls_socket_t *
make_tls_socket_pointer_for_state_listener(GuardedSocket &) noexcept // NOLINT(readability-identifier-naming)
{
    return nullptr;
}

namespace {

struct ServerTraits : public restinio::traits_t<restinio::asio_timer_manager_t,
                                                restinio::null_logger_t,
                                                restinio::details::autodetect_request_handler_type,
                                                restinio::default_strand_t,
                                                GuardedSocket>
{
};

using RestinioConnection = restinio::impl::connection_t<ServerTraits>;

/// Where the responses of one connection go.
struct OpenConnection
{
    std::shared_ptr<AcceptedConnection> accepted;
    std::weak_ptr<restinio::impl::connection_base_t> restinioConnection;
};

class ServerCore;

/// Charges the memory of a whole request to the account until the last owner has let go of it.
///
/// Thread safety: any thread.
class RequestCharge
{
public:
    RequestCharge(std::shared_ptr<CallerAccount> callerAccount, LedgerNumber connection, ByteCount requestBytes)
        : account(std::move(callerAccount)), bytes(requestBytes)
    {
        this->account->onRequest(connection, this->bytes);
    }

    RequestCharge(const RequestCharge &) = delete;
    RequestCharge &operator=(const RequestCharge &) = delete;

    ~RequestCharge()
    {
        this->account->onReleased(this->bytes);
    }

private:
    const std::shared_ptr<CallerAccount> account;
    const ByteCount bytes;
};

/// A body with the charge of its request, which ends after the body is freed.
struct ChargedBody
{
    std::shared_ptr<const RequestCharge> charge;
    std::string text;
};

/// The bytes of the responses that callers have not read yet, by connection.
///
/// Thread safety: any thread.
class UnreadResponses : public std::enable_shared_from_this<UnreadResponses>
{
    using Counts = std::map<std::shared_ptr<AcceptedConnection>, std::uint64_t>;

public:
    UnreadResponses(ByteCount maxBytes, std::shared_ptr<CallerAccount> callerAccount) : limit(maxBytes), account(std::move(callerAccount))
    {
    }

    /// Counts a response until the returned object is destroyed, and aborts connections until the total is within the limit.
    std::shared_ptr<void> add(const std::shared_ptr<AcceptedConnection> &connection, std::uint64_t bytes)
    {
        std::vector<Counts::value_type> aborted;
        this->account->chargeUnread(ByteCount(bytes));
        {
            const std::lock_guard lock(this->mutex);
            this->bytesByConnection[connection] += bytes;
            this->total += bytes;
            // Aborted connections count until their responses are dropped, which the next selection has to leave out.
            auto excess = this->total;
            while (excess > this->limit.count()) {
                const auto largest = this->findLargest(aborted);
                if (largest == this->bytesByConnection.end()) {
                    break;
                }
                excess -= std::min(excess, largest->second);
                aborted.push_back(*largest);
            }
        }
        for (const auto &[each, held] : aborted) {
            this->account->report({ClosureReason::UnreadResponses, ByteCount(held), false});
            each->abort();
        }
        return {nullptr, [self = this->shared_from_this(), connection, bytes](void *) {
                    self->remove(connection, bytes);
                }};
    }

private:
    Counts::const_iterator findLargest(const std::vector<Counts::value_type> &excluded) const
    {
        auto largest = this->bytesByConnection.end();
        for (auto each = this->bytesByConnection.begin(); each != this->bytesByConnection.end(); ++each) {
            const bool isExcluded = std::any_of(excluded.begin(), excluded.end(), [&each](const auto &chosen) {
                return chosen.first == each->first;
            });
            if (!isExcluded && (largest == this->bytesByConnection.end() || each->second > largest->second)) {
                largest = each;
            }
        }
        return largest;
    }

    void remove(const std::shared_ptr<AcceptedConnection> &connection, std::uint64_t bytes)
    {
        this->account->removeUnread(ByteCount(bytes));
        const std::lock_guard lock(this->mutex);
        this->total -= bytes;
        const auto found = this->bytesByConnection.find(connection);
        found->second -= bytes;
        if (found->second == 0) {
            this->bytesByConnection.erase(found);
        }
    }

    const ByteCount limit;
    const std::shared_ptr<CallerAccount> account;
    std::mutex mutex;
    Counts bytesByConnection;
    std::uint64_t total = 0;
};

/// Sends the response to one request.
class RestinioResponder : public Responder
{
public:
    RestinioResponder(std::shared_ptr<ServerCore> server,
                      const restinio::request_t &request,
                      const OpenConnection &open,
                      std::uint64_t requestNumber,
                      std::shared_ptr<const RequestCharge> requestCharge);
    ~RestinioResponder() override;

    void respond(HttpResponse response) override;
    void onDisconnect(std::function<void()> handler) override;

private:
    /// What a response needs after the responder is gone.
    struct Target
    {
        std::shared_ptr<ServerCore> core;
        std::shared_ptr<AcceptedConnection> accepted;
        /// Keeps RESTinio's connection alive, which nothing else does while it neither reads nor writes.
        std::shared_ptr<restinio::impl::connection_base_t> connection;
        restinio::request_id_t requestId;
        /// Position of the request on its connection, from 1 on.
        std::uint64_t number;
        bool isHead;
        bool isOldVersion;
    };

    static void write(const Target &target, HttpResponse response);

    /// Released with the response.
    std::shared_ptr<const RequestCharge> charge;
    const Target target;
    std::atomic<bool> hasResponded{false};
    std::atomic<std::uint64_t> disconnectHandler{0};
};

/// Accepts connections and gives them to RESTinio's connection objects.
///
/// RESTinio's own acceptor stops for good after the first failed accept, such as one for want of file descriptors.
class ServerCore : public std::enable_shared_from_this<ServerCore>
{
public:
    ServerCore(asio::io_context &ioContext, const Endpoint &endpoint, const ServerLimits &serverLimits, RequestHandler &requestHandler);

    Status start();
    Endpoint boundAddress() const;
    void closeAfterResponses();
    void stopAccepting();
    void stop();

    bool isStopping() const
    {
        return this->stopping.load();
    }

    CallerAccount &account()
    {
        return *this->limits.account;
    }

    UnreadResponses &unreadResponses()
    {
        return *this->unread;
    }

private:
    std::error_code openAcceptor();
    void accept();
    void adopt(asio::ip::tcp::socket socket);
    void acceptLater();
    void waitForPlace();
    restinio::request_handling_status_t onRequest(const restinio::request_handle_t &request);
    OpenConnection findConnection(restinio::connection_id_t id);

    asio::io_context &context;
    const Endpoint bind;
    const ServerLimits limits;
    RequestHandler &handler;
    asio::strand<asio::io_context::executor_type> strand;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    std::unique_ptr<restinio::impl::connection_factory_t<ServerTraits>> factory;
    Endpoint bound;
    std::atomic<bool> stopping{false};
    bool isAcceptPending = false;
    bool isWaitingForPlace = false;
    std::uint32_t serverNumber = 0;
    std::uint32_t openSockets = 0;

    std::mutex connectionsMutex;
    std::unordered_map<restinio::connection_id_t, OpenConnection> connections;
    const std::shared_ptr<UnreadResponses> unread;
};

class RestinioServer : public HttpServer
{
public:
    RestinioServer(asio::io_context &context, const Endpoint &bind, const ServerLimits &limits, RequestHandler &handler)
        : core(std::make_shared<ServerCore>(context, bind, limits, handler))
    {
    }

    ~RestinioServer() override
    {
        this->core->stop();
    }

    Status start() override
    {
        return this->core->start();
    }

    Endpoint boundAddress() const override
    {
        return this->core->boundAddress();
    }

    void closeAfterResponses() override
    {
        this->core->closeAfterResponses();
    }

    void stopAccepting() override
    {
        this->core->stopAccepting();
    }

    void stop() override
    {
        this->core->stop();
    }

private:
    std::shared_ptr<ServerCore> core;
};

#pragma GCC diagnostic push
// RESTinio's interface has no virtual destructor; the object is never destroyed through it.
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"
/// Satisfies the constructor of RESTinio's connection limiter; the server counts connections itself.
class UnusedAcceptor : public restinio::connection_count_limits::impl::acceptor_callback_iface_t
{
public:
    void call_accept_now(std::size_t) noexcept override // NOLINT(readability-identifier-naming)
    {
    }

    void schedule_next_accept_attempt(std::size_t) noexcept override // NOLINT(readability-identifier-naming)
    {
    }
};
#pragma GCC diagnostic pop

} // namespace

static bool isSafeHeader(const Header &header)
{
    const auto isBreak = [](char letter) {
        return letter == '\r' || letter == '\n' || letter == '\0';
    };
    return !header.name.empty() && header.name.find_first_of(" \t:") == std::string::npos
        && std::none_of(header.name.begin(), header.name.end(), isBreak) && std::none_of(header.value.begin(), header.value.end(), isBreak);
}

/// Returns the header of a response with its framing, and leaves \p response with the body that follows it.
static std::string formatHeader(HttpResponse &response, bool isHead, bool isOldVersion, bool closes)
{
    const bool isStatusValid = response.status >= 200 && response.status <= 599;
    const int status = isStatusValid ? response.status : 500;
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + http_status_str(static_cast<http_status>(status)) + "\r\n";
    std::string announcedLength;
    for (const Header &header : response.headers) {
        if (isSameHeaderName(header.name, "Content-Length")) {
            announcedLength = header.value;
            continue;
        }
        // A line break in a value would let it forge headers.
        if (isSameHeaderName(header.name, "Transfer-Encoding") || isSameHeaderName(header.name, "Connection") || !isSafeHeader(header)) {
            continue;
        }
        text += header.name + ": " + header.value + "\r\n";
    }
    if (closes) {
        text += "Connection: close\r\n";
    } else if (isOldVersion) {
        text += "Connection: keep-alive\r\n";
    }
    const bool isNumber = !announcedLength.empty() && announcedLength.find_first_not_of("0123456789") == std::string::npos;
    if (status == 204 || status == 304) {
        response.body.clear();
    } else if (isHead) {
        // The response to HEAD announces the length that GET would have.
        text += "Content-Length: " + (isNumber ? announcedLength : std::to_string(response.body.size())) + "\r\n";
        response.body.clear();
    } else {
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    return text + "\r\n";
}

RestinioResponder::RestinioResponder(std::shared_ptr<ServerCore> server,
                                     const restinio::request_t &request,
                                     const OpenConnection &open,
                                     std::uint64_t requestNumber,
                                     std::shared_ptr<const RequestCharge> requestCharge)
    : charge(std::move(requestCharge))
    , target{std::move(server),
             open.accepted,
             open.restinioConnection.lock(),
             request.request_id(),
             requestNumber,
             request.header().method() == restinio::http_method_head(),
             request.header().http_minor() == 0}
{
}

RestinioResponder::~RestinioResponder()
{
    if (!this->hasResponded.load()) {
        // A request without a response would hold its connection until the handling time limit.
        this->respond(HttpResponse{500, {}, {}});
    }
}

void RestinioResponder::respond(HttpResponse response)
{
    if (this->hasResponded.exchange(true)) {
        assert(false && "a request was answered twice");
        return;
    }
    this->target.accepted->removeDisconnectHandler(this->disconnectHandler.load());
    this->charge.reset();
    this->target.core->account().onResponse(this->target.accepted->ledgerNumber());
    if (!this->target.connection) {
        return;
    }
    // Whether the response closes the connection depends on the requests behind it.
    asio::dispatch(this->target.accepted->executor(), [target = this->target, response = std::move(response)]() mutable {
        write(target, std::move(response));
    });
}

/// Precondition: runs on the executor of the connection.
void RestinioResponder::write(const Target &target, HttpResponse response)
{
    const bool closes = target.accepted->onResponseReady(target.number, target.core->isStopping());
    std::string header = formatHeader(response, target.isHead, target.isOldVersion, closes);
    const std::size_t statusLineSize = header.find("\r\n");
    const auto unread = target.core->unreadResponses().add(target.accepted, header.size() + response.body.size());
    restinio::writable_items_container_t parts;
    parts.emplace_back(std::move(header));
    if (!response.body.empty()) {
        parts.emplace_back(std::move(response.body));
    }
    restinio::write_group_t group(std::move(parts));
    group.status_line_size(statusLineSize);
    group.after_write_notificator([answered = target.accepted, unread](const asio::error_code &) {
        asio::post(answered->executor(), [answered] {
            answered->onResponseWritten();
        });
    });
    target.connection->write_response_parts(
        target.requestId,
        restinio::response_output_flags_t(restinio::response_parts_attr_t::final_parts, restinio::response_connection_attr(!closes)),
        std::move(group));
}

void RestinioResponder::onDisconnect(std::function<void()> handler)
{
    if (this->hasResponded.load()) {
        return;
    }
    this->disconnectHandler = this->target.accepted->addDisconnectHandler(std::move(handler));
}

static ServerLimits withAccount(ServerLimits limits)
{
    if (!limits.account) {
        limits.account = std::make_shared<CallerAccount>(CallerMemoryLimits(), nullptr);
    }
    return limits;
}

ServerCore::ServerCore(asio::io_context &ioContext,
                       const Endpoint &endpoint,
                       const ServerLimits &serverLimits,
                       RequestHandler &requestHandler)
    : context(ioContext)
    , bind(endpoint)
    , limits(withAccount(serverLimits))
    , handler(requestHandler)
    , strand(asio::make_strand(ioContext))
    , acceptor(strand)
    , retryTimer(strand)
    , serverNumber(limits.account->addServer())
    , unread(std::make_shared<UnreadResponses>(limits.maxUnreadResponses, limits.account))
{
}

Status ServerCore::start()
{
    if (const auto error = this->openAcceptor()) {
        return error;
    }
    restinio::server_settings_t<ServerTraits> settings;
    settings
        .request_handler([owner = this->weak_from_this()](const restinio::request_handle_t &request) {
            const auto self = owner.lock();
            return self ? self->onRequest(request) : restinio::request_rejected();
        })
        // One more than is handed to the handler: RESTinio notices the end of a connection only while it reads.
        .max_pipelined_requests(this->limits.maxPipelinedRequests + 1)
        // The guarded socket bounds reads itself; these are backstops.
        .read_next_http_message_timelimit(std::chrono::hours(1))
        .write_http_response_timelimit(this->limits.idleTimeLimit)
        .handle_request_timeout(std::chrono::hours(1))
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t().max_body_size(this->limits.maxBody.count()))
        .ensure_valid_connection_state_listener();
    auto timerManager = std::make_shared<restinio::asio_timer_manager_t>(this->context, std::chrono::seconds(1));
    auto socketOptions = settings.socket_options_setter();
    auto connectionSettings = std::make_shared<restinio::impl::connection_settings_t<ServerTraits>>(
        settings, restinio::impl::create_parser_settings<ServerTraits::http_methods_mapper_t>(), std::move(timerManager));
    this->factory
        = std::make_unique<restinio::impl::connection_factory_t<ServerTraits>>(std::move(connectionSettings), std::move(socketOptions));
    asio::post(this->strand, [self = this->shared_from_this()] {
        self->accept();
    });
    return {};
}

std::error_code ServerCore::openAcceptor()
{
    const auto address = parseEndpoint(this->bind);
    if (!address) {
        return HttpError::ConnectionFailed;
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
    if (!error) {
        this->bound = formatEndpoint(this->acceptor.local_endpoint(error));
    }
    if (error) {
        std::error_code ignored;
        this->acceptor.close(ignored);
        return fromSystemError(error);
    }
    return {};
}

Endpoint ServerCore::boundAddress() const
{
    return this->bound;
}

void ServerCore::closeAfterResponses()
{
    this->stopping = true;
}

void ServerCore::stopAccepting()
{
    this->closeAfterResponses();
    asio::post(this->strand, [self = this->shared_from_this()] {
        std::error_code ignored;
        self->acceptor.close(ignored);
        self->retryTimer.cancel();
    });
}

void ServerCore::stop()
{
    this->stopAccepting();
    // Runs after the acceptor has closed, so that no connection is missed.
    asio::post(this->strand, [self = this->shared_from_this()] {
        std::unordered_map<restinio::connection_id_t, OpenConnection> open;
        {
            const std::lock_guard lock(self->connectionsMutex);
            open = self->connections;
        }
        for (const auto &[id, connection] : open) {
            connection.accepted->abort();
        }
    });
}

/// Tries again after a while.
void ServerCore::acceptLater()
{
    static constexpr std::chrono::milliseconds RetryInterval{100};
    this->retryTimer.expires_after(RetryInterval);
    this->retryTimer.async_wait([self = this->shared_from_this()](std::error_code failure) {
        if (!failure) {
            self->accept();
        }
    });
}

/// Ends a connection that may be replaced once a new caller waits. Precondition: all connections are in use.
void ServerCore::waitForPlace()
{
    if (this->isWaitingForPlace) {
        return;
    }
    this->isWaitingForPlace = true;
    this->acceptor.async_wait(asio::ip::tcp::acceptor::wait_read,
                              asio::bind_executor(this->strand, [self = this->shared_from_this()](std::error_code error) {
                                  self->isWaitingForPlace = false;
                                  if (error || !self->acceptor.is_open()) {
                                      return;
                                  }
                                  if (self->openSockets >= self->limits.maxConnections) {
                                      self->account().replaceConnection(self->serverNumber);
                                  }
                                  self->acceptLater();
                              }));
}

void ServerCore::accept()
{
    if (this->isAcceptPending || !this->acceptor.is_open()) {
        return;
    }
    if (this->openSockets >= this->limits.maxConnections) {
        this->waitForPlace();
        return;
    }
    this->isAcceptPending = true;
    this->acceptor.async_accept(
        this->context,
        asio::bind_executor(this->strand, [self = this->shared_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
            self->isAcceptPending = false;
            if (!self->acceptor.is_open()) {
                return;
            }
            if (error) {
                // Without file descriptors the next accept would fail at once.
                self->account().replaceConnection(self->serverNumber);
                self->acceptLater();
                return;
            }
            self->adopt(std::move(socket));
            self->accept();
        }));
}

void ServerCore::adopt(asio::ip::tcp::socket socket)
{
    std::error_code error;
    const auto remote = socket.remote_endpoint(error);
    if (error) {
        return;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    auto accepted = std::make_shared<AcceptedConnection>(std::move(socket), this->limits);
    static UnusedAcceptor unusedAcceptor;
    static restinio::connection_count_limits::noop_connection_count_limiter_t limiter(
        &unusedAcceptor,
        restinio::connection_count_limits::max_parallel_connections_t(1),
        restinio::connection_count_limits::max_active_accepts_t(1));
    std::shared_ptr<RestinioConnection> connection;
    try {
        connection = this->factory->create_new_connection(
            GuardedSocket(accepted), remote, restinio::connection_count_limit_types<ServerTraits>::lifetime_monitor_t(&limiter));
    } catch (const std::exception &) {
        return;
    }
    const auto id = connection->connection_id();
    accepted->setExecutor(connection->get_executor());
    accepted->joinAccount(this->serverNumber);
    ++this->openSockets;
    accepted->onEnd(
        [owner = this->weak_from_this(), id] {
            if (const auto self = owner.lock()) {
                const std::lock_guard lock(self->connectionsMutex);
                self->connections.erase(id);
            }
        },
        [owner = this->weak_from_this()] {
            if (const auto self = owner.lock()) {
                asio::post(self->strand, [self] {
                    --self->openSockets;
                    self->accept();
                });
            }
        });
    {
        const std::lock_guard lock(this->connectionsMutex);
        this->connections.emplace(id, OpenConnection{accepted, connection});
    }
    asio::post(accepted->executor(), [connection] {
        connection->init();
    });
}

OpenConnection ServerCore::findConnection(restinio::connection_id_t id)
{
    const std::lock_guard lock(this->connectionsMutex);
    const auto found = this->connections.find(id);
    return found == this->connections.end() ? OpenConnection() : found->second;
}

restinio::request_handling_status_t ServerCore::onRequest(const restinio::request_handle_t &request)
{
    const OpenConnection open = this->findConnection(request->connection_id());
    if (!open.accepted) {
        return restinio::request_rejected();
    }
    HttpRequest message;
    message.method = request->header().method().c_str();
    message.target = request->header().request_target();
    request->header().for_each_field([&message](const auto &field) {
        message.headers.push_back({field.name(), field.value()});
    });
    std::string body = open.accepted->takeBody();
    const auto number = open.accepted->onRequestDispatched();
    std::uint64_t bytes = message.target.size() + body.size();
    for (const Header &header : message.headers) {
        bytes += header.name.size() + header.value.size() + sizeof(Header);
    }
    const auto charge = std::make_shared<const RequestCharge>(this->limits.account, open.accepted->ledgerNumber(), ByteCount(bytes));
    if (!body.empty()) {
        const auto charged = std::make_shared<const ChargedBody>(ChargedBody{charge, std::move(body)});
        message.body = Body(std::shared_ptr<const std::string>(charged, &charged->text));
    }
    auto responder = std::make_shared<RestinioResponder>(this->shared_from_this(), *request, open, number, charge);
    const bool isLast = request->header().connection() != restinio::http_connection_header_t::keep_alive;
    open.accepted->enqueue(
        [self = this->shared_from_this(), held = std::make_shared<HttpRequest>(std::move(message)), responder] {
            self->handler.onRequest(std::move(*held), responder);
        },
        isLast,
        this->limits.maxPipelinedRequests);
    return restinio::request_accepted();
}

std::unique_ptr<HttpServer>
makeRestinioServer(asio::io_context &context, const Endpoint &bind, const ServerLimits &limits, RequestHandler &handler)
{
    return std::make_unique<RestinioServer>(context, bind, limits, handler);
}

} // namespace rhubarbtiller::http
