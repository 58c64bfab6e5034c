#include <rhubarbtiller/routing/refusal.h>

#include <algorithm>
#include <iterator>

namespace rhubarbtiller::routing {

static constexpr ReasonFacts AllFacts[] = {
    {Reason::None, "none", 500, "Internal error"},
    {Reason::MalformedRequest, "malformed_request", 400, "The request is malformed"},
    {Reason::AmbiguousKey, "ambiguous_key", 400, "The request carries more than one key"},
    {Reason::KeyInContent, "key_in_content", 400, "The key also appears in the path or body of the request"},
    {Reason::MissingKey, "missing_key", 401, "The route needs a key"},
    {Reason::UnknownKey, "unknown_key", 401, "The key is not granted to any organisation"},
    {Reason::NoRoute, "no_route", 404, "No route matches the method and path"},
    {Reason::BodyTooLarge, "body_too_large", 413, "The body is larger than the route allows"},
    {Reason::StaleConfiguration, "stale_configuration", 503, "This host cannot confirm that its configuration is current"},
    {Reason::HostOverloaded, "host_overloaded", 503, "This host is overloaded"},
    {Reason::RateExceeded, "rate_exceeded", 429, "The organisation's rate is exceeded"},
    {Reason::NoHome, "no_home", 503, "No host can admit requests of the organisation at this moment"},
    {Reason::DuplicateRequest, "duplicate_request", 409, "A request with this idempotency key was accepted before"},
    {Reason::StoreUnavailable, "store_unavailable", 503, "The idempotency key cannot be recorded at this moment"},
    {Reason::NoServer, "no_server", 503, "No backend server of the pool can take the request"},
    {Reason::NotOwner, "not_owner", 503, "The host does not own the backend server"},
    {Reason::ServerBusy, "server_busy", 503, "The backend servers are busy"},
    {Reason::ServerShed, "server_shed", 503, "The backend server sheds load"},
    {Reason::ServerFailed, "server_failed", 502, "The connection to the backend server failed"},
    {Reason::IncompleteAnswer, "incomplete_answer", 502, "The backend server's answer was not whole"},
    {Reason::DeadlinePassed, "deadline_passed", 504, "The time limit of the request has passed"},
    {Reason::Cancelled, "cancelled", 499, "The caller closed the connection"},
    {Reason::HostLeaving, "host_leaving", 503, "This host is shutting down"},
};

std::string_view executionWord(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not_run";
    case Execution::Ran:
        return "ran";
    case Execution::Unknown:
        break;
    }
    return "unknown";
}

const ReasonFacts &factsOf(Reason reason)
{
    const auto *const found = std::ranges::find(AllFacts, reason, &ReasonFacts::reason);
    return found == std::end(AllFacts) ? AllFacts[0] : *found;
}

Reason reasonByWord(std::string_view word)
{
    const auto *const found = std::ranges::find(AllFacts, word, &ReasonFacts::word);
    return found == std::end(AllFacts) ? Reason::None : found->reason;
}

} // namespace rhubarbtiller::routing
