#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/http/httpmessage.h>

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rhubarbtiller::gateway {

/// A decoded request of a caller, with the fields that admission and routing use.
struct CallerRequest
{
    RequestId id;
    std::string virtualHost;
    /// Without the query.
    std::string path;
    /// The caller's key; it is not among the headers of the message.
    std::optional<std::string> key;
    /// The caller's timeout, counted from the moment that the request was read.
    std::optional<Duration> timeout;
    /// The message to forward to the backend server; holds end-to-end headers only.
    http::HttpRequest message;
};

/// Why the host responds to a request itself instead of returning a backend server's response.
enum class RefusalReason {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    NoConfiguration,
    NoRoute,
    UnknownKey,
    OverQuota,
    NoServer,
    Saturated,
    NotAccepted,
    RetryBudgetSpent,
    OutcomeUnknown,
    DeadlinePassed,
    /// The process ends before the request could.
    Stopping,
};

/// Returns the name of the reason in logs, metrics and responses. Precondition: none. Thread safety: any thread.
std::string_view refusalReasonName(RefusalReason reason);

/// A response that the host generates itself.
struct Refusal
{
    RefusalReason reason = RefusalReason::Malformed;
    /// Whether it is certain that no server runs the request, now or later.
    bool isNotRun = true;
    /// How long the caller should wait before it retries.
    std::optional<Duration> retryAfter;
};

/// The fields of a request that differ between attempts.
struct AttemptParameters
{
    BackendServerId server;
    /// Empty on public routes.
    OrganisationId organisation;
    Duration remaining{};
};

/// Which request a response of a backend server belongs to, by its request id.
enum class BackendResponseCorrelation {
    ThisRequest,
    OtherRequest,
    NoRequestId,
};

/// Classification of a complete response of a backend server.
enum class BackendResponseClass {
    /// The request ran.
    Ran,
    /// The request ran, and the server reports a failure of its own.
    RanAndFailed,
    /// The server rejected the request without running it.
    NotRun,
    /// Another server uses this address; the request did not run.
    WrongServer,
    /// The response lacks the proof that it comes from the server.
    Invalid,
};

/// Decodes and encodes the HTTP messages of callers and backend servers; makes no routing decisions.
///
/// Thread safety: any thread.
class Dialect
{
public:
    Dialect() = default;
    Dialect(const Dialect &) = delete;
    Dialect &operator=(const Dialect &) = delete;
    virtual ~Dialect() = default;

    /// Decodes a caller's request. Precondition: the message is complete.
    virtual std::variant<CallerRequest, Refusal> decode(http::HttpRequest message) const = 0;

    /// Returns the message of one attempt. Precondition: none.
    virtual http::HttpRequest encodeAttempt(const CallerRequest &request, const AttemptParameters &parameters) const = 0;

    /// Returns which request a response belongs to. Precondition: none.
    virtual BackendResponseCorrelation correlationOf(const http::HttpResponse &response, const RequestId &request) const = 0;

    /// Classifies a response that belongs to the request. Precondition: none.
    virtual BackendResponseClass classify(const http::HttpResponse &response) const = 0;

    /// Converts a backend server's response to the one that the caller receives. Precondition: the response is complete.
    virtual http::HttpResponse callerResponse(http::HttpResponse response) const = 0;

    /// Encodes a refusal as a response. Precondition: none.
    virtual http::HttpResponse refusalResponse(const Refusal &refusal, const RequestId &request) const = 0;

    /// Returns the keep-alive timeout that a response announces, if any. Precondition: none.
    virtual std::optional<Duration> keepAliveTimeout(const http::HttpResponse &response) const = 0;

    /// Decodes a query for host addresses; empty if the message is another request. Precondition: none.
    virtual std::optional<FailureDomainId> decodeAddressQuery(const http::HttpRequest &message) const = 0;

    /// Encodes the response to a query for host addresses. Precondition: none.
    virtual http::HttpResponse addressResponse(const std::vector<Endpoint> &addresses, Duration lifetime) const = 0;

    /// Returns whether the message is a readiness probe. Precondition: none.
    virtual bool isReadinessProbe(const http::HttpRequest &message) const = 0;
};

} // namespace rhubarbtiller::gateway
