#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/http/httpmessage.h>
#include <rhubarbtiller/telemetry/span.h>

namespace rhubarbtiller::gateway {

/// Makes the spans of one request: one for the host and one for each attempt.
///
/// Without an exporter it does nothing and leaves the request's headers alone. Thread safety: one thread.
class RequestTrace
{
public:
    /// Continues the trace that the caller's headers name, or begins one. Precondition: \p spanExporter is null or outlives this object.
    RequestTrace(telemetry::SpanExporter *spanExporter, const http::Headers &callerHeaders, const Clock &clock, RandomSource &random);

    /// An attempt at a backend server, from its sending.
    struct Attempt
    {
        telemetry::TraceContext context;
        WallTime startedAt;
        MonotonicTime sentAt{};
    };

    /// Begins the span of an attempt and puts it into the headers that the server gets. Precondition: none.
    Attempt beginAttempt(http::Headers &headers, const Clock &clock, RandomSource &random) const;

    /// Ends the span of an attempt. Precondition: \p attempt came from beginAttempt().
    void endAttempt(const Attempt &attempt, const BackendServerId &server, std::string_view result, MonotonicTime now) const;

    /// Ends the span of the host. Precondition: called once.
    void end(const RequestId &request, std::string_view outcome, int status, MonotonicTime now) const;

private:
    telemetry::SpanExporter *exporter;
    telemetry::TraceContext caller;
    telemetry::TraceContext own;
    WallTime startedAt{};
    MonotonicTime arrivedAt{};
};

} // namespace rhubarbtiller::gateway
