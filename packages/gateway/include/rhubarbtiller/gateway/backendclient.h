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
    /// A whole answer that belongs to the request.
    Answered,
    /// No connection; nothing was sent.
    NotConnected,
    /// The connection ended, or sent something else than an answer, after the request was sent.
    Broken,
};

struct AttemptOutcome
{
    AttemptEnd end = AttemptEnd::Broken;
    http::HttpResponse response;
    /// Whether the connection had served a request before.
    bool wasReused = false;
    /// What went wrong, for the log.
    std::string detail;
};

/// What bounds the answers of faulty servers, which may never end.
struct AnswerLimits
{
    /// The body of one answer, and late answers to other requests before it; larger ones are taken for a fault of the server.
    ByteCount maxBody{8 * 1024 * 1024};
    /// The answers that are being read, together; the largest one is given up when there is no room.
    ByteCount maxHeld{40 * 1024 * 1024};
};

/// One message to one backend server.
struct BackendCall
{
    RequestId id;
    BackendServerId server;
    Endpoint address;
    http::HttpRequest message;
};

/// Lets the sender give an attempt up.
class BackendAttempt
{
public:
    BackendAttempt() = default;
    BackendAttempt(const BackendAttempt &) = delete;
    BackendAttempt &operator=(const BackendAttempt &) = delete;
    virtual ~BackendAttempt() = default;

    /// Closes the connection, which makes the server drop the request; the handler is not called any more.
    ///
    /// Precondition: none. Thread safety: the thread of the client.
    virtual void cancel() = 0;

    /// Returns whether a byte of the request may have reached the server. Precondition: none.
    virtual bool wasSent() const = 0;
};

/// Sends requests to backend servers over connections of its own, and never repeats one.
///
/// Answers that name another request are passed over, which libcurl cannot do on a kept connection.
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

    /// Closes idle connections to servers for which \p isKept is false. Precondition: none.
    virtual void retain(const std::function<bool(const BackendServerId &)> &isKept) = 0;

    /// Returns how many connections were opened. Precondition: none.
    virtual std::uint64_t connectionsOpened() const = 0;

    /// Returns the bytes of the answers that are being read. Precondition: none.
    virtual ByteCount heldBytes() const = 0;
};

/// Precondition: \p context, \p clock and \p dialect outlive the client. Thread safety: any thread.
std::unique_ptr<BackendClient>
makeBackendClient(asio::io_context &context, const Clock &clock, const Dialect &dialect, const AnswerLimits &limits = {});

} // namespace rhubarbtiller::gateway
