#pragma once

#include <rhubarbtiller/base/clock.h>

#include <optional>
#include <string_view>

namespace rhubarbtiller::routing {

/// What is known of the execution of a request at backend servers.
enum class Execution {
    /// No byte of the request reached a backend server, or the server said that it did not run it.
    NotRun,
    Ran,
    Unknown,
};

/// Returns the word used in headers and documents. Precondition: none. Thread safety: any thread.
std::string_view executionWord(Execution execution);

/// Why a request was refused.
enum class Reason {
    None,
    MalformedRequest,
    AmbiguousKey,
    KeyInContent,
    MissingKey,
    UnknownKey,
    NoRoute,
    BodyTooLarge,
    StaleConfiguration,
    HostOverloaded,
    RateExceeded,
    NoHome,
    DuplicateRequest,
    StoreUnavailable,
    NoServer,
    NotOwner,
    ServerBusy,
    ServerShed,
    ServerFailed,
    IncompleteAnswer,
    DeadlinePassed,
    Cancelled,
    HostLeaving,
};

/// The fixed facts about a reason.
struct ReasonFacts
{
    Reason reason;
    std::string_view word;
    int status;
    std::string_view title;
};

/// Returns the facts about \p reason. Precondition: none. Thread safety: any thread.
const ReasonFacts &factsOf(Reason reason);

/// Returns the reason with this word, or Reason::None. Precondition: none. Thread safety: any thread.
Reason reasonByWord(std::string_view word);

/// A truthful refusal.
struct Refusal
{
    Reason reason = Reason::None;
    Execution execution = Execution::NotRun;
    /// How long the caller should wait before it tries again; unset if trying again is of no use.
    std::optional<Duration> retryAfter;
};

} // namespace rhubarbtiller::routing
