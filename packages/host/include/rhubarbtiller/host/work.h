#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/health/units.h>
#include <rhubarbtiller/host/canceltoken.h>
#include <rhubarbtiller/http/httpmessage.h>
#include <rhubarbtiller/routing/refusal.h>
#include <rhubarbtiller/telemetry/span.h>

#include <memory>
#include <optional>
#include <string>

namespace rhubarbtiller::host {

/// A caller's request after its key was removed, with all that the following hops need.
struct Work
{
    RequestId id;
    http::HttpRequest request;
    OrganisationId organisation;
    /// Empty on routes that are open to all.
    KeyDigest keyDigest;
    RouteName route;
    std::uint32_t slice = 0;
    MonotonicTime deadline;
    telemetry::TraceContext trace;
    /// The version of the configuration under which the sender handled the request.
    ConfigVersion configVersion;
    std::shared_ptr<CancelToken> cancel;
};

/// What came of a request: a whole response of a backend server, or a refusal.
struct WorkOutcome
{
    routing::Execution execution = routing::Execution::NotRun;
    std::optional<http::HttpResponse> response;
    routing::Refusal refusal;
    /// The load of the backend server that was tried, if it is known.
    std::optional<health::LoadFigure> load;

    /// Makes the outcome of a refused request. Thread safety: any thread.
    static WorkOutcome refused(routing::Reason reason, routing::Execution execution, std::optional<Duration> retryAfter = {})
    {
        return {execution, std::nullopt, {reason, execution, retryAfter}, std::nullopt};
    }

    /// Makes the outcome of a request that a backend server answered. Thread safety: any thread.
    static WorkOutcome answered(http::HttpResponse response)
    {
        return {routing::Execution::Ran, std::move(response), {}, std::nullopt};
    }
};

} // namespace rhubarbtiller::host
