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

/// A caller's request with the parts that decisions need.
struct CallerRequest
{
    RequestId id;
    std::string virtualHost;
    /// Without the query.
    std::string path;
    /// The caller's key; it is not among the headers of the message.
    std::optional<std::string> key;
    /// How long the caller waits, from the moment that the request was read.
    std::optional<Duration> patience;
    /// What goes on to the backend server: end-to-end headers only.
    http::HttpRequest message;
};

/// Why a request got an answer of the system's own.
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
};

/// Returns the word for logs and metrics. Precondition: none. Thread safety: any thread.
std::string_view refusalWord(RefusalReason reason);

/// An answer of the system's own.
struct Refusal
{
    RefusalReason reason = RefusalReason::Malformed;
    /// Whether the request certainly did not run and never will.
    bool isNotRun = true;
    /// When the caller may come again.
    std::optional<Duration> retryAfter;
};

/// The parts of a request that change from one attempt to the next.
struct AttemptHead
{
    BackendServerId server;
    /// Empty on public routes.
    OrganisationId organisation;
    Duration remaining{};
};

/// Whom a message of a backend server answers.
enum class AnswerOwner {
    ThisRequest,
    OtherRequest,
    Unmarked,
};

/// What a whole answer of a backend server means.
enum class AnswerMeaning {
    /// The request ran.
    Ran,
    /// The request ran, and the server reports a failure of its own.
    RanAndFailed,
    /// The server refused it without running it.
    NotRun,
    /// Another server has the address; it did not run.
    WrongServer,
    /// The answer carries no proof that it is the server's.
    Invalid,
};

/// How callers and backend servers speak; decodes and encodes, decides nothing.
///
/// Thread safety: any thread.
class Dialect
{
public:
    Dialect() = default;
    Dialect(const Dialect &) = delete;
    Dialect &operator=(const Dialect &) = delete;
    virtual ~Dialect() = default;

    /// Decodes a caller's request. Precondition: the message was read whole.
    virtual std::variant<CallerRequest, Refusal> decode(http::HttpRequest message) const = 0;

    /// Returns the message of one attempt. Precondition: none.
    virtual http::HttpRequest attempt(const CallerRequest &request, const AttemptHead &head) const = 0;

    /// Tells whom an answer belongs to. Precondition: none.
    virtual AnswerOwner ownerOf(const http::HttpResponse &response, const RequestId &request) const = 0;

    /// Tells what an answer means that belongs to the request. Precondition: none.
    virtual AnswerMeaning meaningOf(const http::HttpResponse &response) const = 0;

    /// Returns a backend server's answer as the caller gets it. Precondition: the answer is whole.
    virtual http::HttpResponse callerAnswer(http::HttpResponse response) const = 0;

    /// Returns an answer of the system's own. Precondition: none.
    virtual http::HttpResponse refusal(const Refusal &refusal, const RequestId &request) const = 0;

    /// Returns the time that an idle connection is kept by the server, as an answer announces. Precondition: none.
    virtual std::optional<Duration> announcedIdleTime(const http::HttpResponse &response) const = 0;

    /// Decodes the question which hosts to use; empty if the message asks something else. Precondition: none.
    virtual std::optional<FailureDomainId> addressQuestion(const http::HttpRequest &message) const = 0;

    /// Returns the answer to the question which hosts to use. Precondition: none.
    virtual http::HttpResponse addressAnswer(const std::vector<Endpoint> &addresses, Duration lifetime) const = 0;

    /// Returns whether the message asks if this host is ready. Precondition: none.
    virtual bool isReadinessQuestion(const http::HttpRequest &message) const = 0;
};

} // namespace rhubarbtiller::gateway
