#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/result.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/http/calleraccount.h>
#include <rhubarbtiller/http/httpmessage.h>

#include <atomic>
#include <functional>
#include <memory>

namespace rhubarbtiller::http {

/// Answers one request of a caller.
class Responder
{
public:
    Responder() = default;
    Responder(const Responder &) = delete;
    Responder &operator=(const Responder &) = delete;
    virtual ~Responder() = default;

    /// Sends the response. Precondition: not called before for this request. Thread safety: any thread.
    virtual void respond(HttpResponse response) = 0;

    /// Has \p handler called, on a thread of the server, if the caller's connection closes before the response.
    ///
    /// Precondition: called at most once. Thread safety: any thread.
    virtual void onDisconnect(std::function<void()> handler) = 0;
};

/// Receives the requests that a server has read whole and found well-formed.
class RequestHandler
{
public:
    RequestHandler() = default;
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;
    virtual ~RequestHandler() = default;

    /// Takes a request; answers through \p responder, at once or later. Thread safety: called from several threads.
    ///
    /// The headers lack those that announce the body. The memory of the request counts as used until \p responder has responded and no
    /// copy of the body is left.
    virtual void onRequest(HttpRequest request, std::shared_ptr<Responder> responder) = 0;
};

/// Time limits that may change while a server runs, in milliseconds.
///
/// Thread safety: any thread.
struct AdjustableTimes
{
    /// A header that has not been read whole by this time after its first byte is refused.
    std::atomic<std::int64_t> headerMilliseconds{10'000};
    /// A connection without a request is closed after this time.
    std::atomic<std::int64_t> idleMilliseconds{60'000};
};

/// The bounds that keep one caller from hurting others.
struct ServerLimits
{
    ByteCount maxHeader{16 * 1024};
    ByteCount maxBody{1024 * 1024};
    std::uint32_t maxConnections = 2000;
    std::uint32_t maxPipelinedRequests = 1;
    /// Limit of all responses together that callers have not read yet; above it the connection with the most bytes is aborted.
    ByteCount maxUnreadResponses{256 * 1024 * 1024};
    /// A request that has not been read whole by this time after its first byte is refused.
    std::chrono::milliseconds readTimeLimit{10000};
    std::chrono::milliseconds idleTimeLimit{60000};
    /// Overrides the time limits of headers and of idle connections, if set.
    std::shared_ptr<const AdjustableTimes> times;
    /// Shared by the servers whose callers use memory together; if unset, the server has one without limits of its own.
    std::shared_ptr<CallerAccount> account;
};

/// Accepts HTTP connections at one address.
class HttpServer
{
public:
    HttpServer() = default;
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;
    virtual ~HttpServer() = default;

    /// Binds the address and begins to accept. Precondition: not started before. Thread safety: one thread.
    virtual Status start() = 0;

    /// Returns the address with the port that was bound. Precondition: started. Thread safety: any thread.
    virtual Endpoint boundAddress() const = 0;

    /// Has every connection close with the response to the newest request that its handler works on when the next response is ready.
    ///
    /// Requests behind that one are not given to the handler. New connections are still accepted.
    ///
    /// Precondition: started. Thread safety: any thread.
    virtual void closeAfterResponses() = 0;

    /// Closes the listening socket; open connections live on until they close as after closeAfterResponses().
    ///
    /// Precondition: started. Thread safety: any thread.
    virtual void stopAccepting() = 0;

    /// Closes everything. Precondition: none. Thread safety: one thread.
    virtual void stop() = 0;
};

} // namespace rhubarbtiller::http
