#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/gateway/dialect.h>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace rhubarbtiller::gateway {

/// How one attempt at a backend server ended.
enum class AttemptEnd {
    /// A complete response to the request was received.
    Answered,
    /// The connection could not be established; nothing was sent.
    NotConnected,
    /// After the request was sent, the connection was closed or carried an invalid response, or the response was aborted because
    /// a limit of ResponseLimits was exceeded.
    Broken,
};

struct AttemptOutcome
{
    AttemptEnd end = AttemptEnd::Broken;
    http::HttpResponse response;
    /// Whether the connection had served a request before.
    bool wasReused = false;
    /// The cause of a failure, for the log.
    std::string detail;
};

/// Memory limits for responses, since a faulty server may send one without end.
struct ResponseLimits
{
    /// Limit of the body of a response, and separately of the total size of the responses to other requests that are discarded
    /// before it; more counts as a failure of the server.
    ByteCount maxBody{8 * 1024 * 1024};
    /// Limit of all partly received responses together; above it the largest one is aborted.
    ByteCount maxBuffered{40 * 1024 * 1024};
};

/// A request to one backend server.
struct BackendCall
{
    RequestId id;
    BackendServerId server;
    Endpoint address;
    http::HttpRequest message;
};

/// Handle of a request that was sent to a backend server.
class BackendAttempt
{
public:
    BackendAttempt() = default;
    BackendAttempt(const BackendAttempt &) = delete;
    BackendAttempt &operator=(const BackendAttempt &) = delete;
    virtual ~BackendAttempt() = default;

    /// Closes the connection, so that the server aborts the request; the handler is not called afterwards.
    ///
    /// Precondition: none. Thread safety: the thread of the client.
    virtual void cancel() = 0;

    /// Returns whether a byte of the request may have reached the server. Precondition: none.
    virtual bool wasSent() const = 0;
};

/// Sends requests to backend servers over its own connection pool, and never retries one.
///
/// Responses with the id of another request are discarded, which libcurl cannot do on a persistent connection.
/// Thread safety: the thread that runs the context.
class BackendClient
{
public:
    using Handler = std::function<void(AttemptOutcome)>;

    BackendClient() = default;
    BackendClient(const BackendClient &) = delete;
    BackendClient &operator=(const BackendClient &) = delete;
    virtual ~BackendClient() = default;

    /// Sends a call; the handler runs at most once. Precondition: none.
    virtual std::shared_ptr<BackendAttempt> send(BackendCall call, Handler handler) = 0;

    /// Closes idle connections to servers for which \p isKept is false, and ends the requests at those of them that are unreachable.
    ///
    /// A request at such a server ends as broken once connections to its address have timed out repeatedly. A server that accepts or
    /// refuses connections may still respond, so that its requests go on: if its process has ended, their connections are reset.
    /// Precondition: none.
    virtual void retain(const std::function<bool(const BackendServerId &)> &isKept) = 0;

    /// Returns how many connections were opened. Precondition: none.
    virtual std::uint64_t connectionsOpened() const = 0;

    /// Returns the size of the buffered parts of responses, in bytes. Precondition: none.
    virtual ByteCount bufferedBytes() const = 0;
};

/// Precondition: \p context, \p clock and \p dialect outlive the client. Thread safety: any thread.
std::unique_ptr<BackendClient>
makeBackendClient(asio::io_context &context, const Clock &clock, const Dialect &dialect, const ResponseLimits &limits = {});

} // namespace rhubarbtiller::gateway
