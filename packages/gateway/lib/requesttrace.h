#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/http/httpmessage.h>
#include <rhubarbtiller/telemetry/span.h>

namespace rhubarbtiller::gateway {

/// Records the spans of one request: one for the host and one for each attempt.
///
/// Without an exporter it does nothing and leaves the request's headers unchanged. Thread safety: one thread.
class RequestTrace
{
public:
    /// Continues the trace of the caller's headers, or starts a new one. Precondition: \p spanExporter is null or outlives this object.
    RequestTrace(telemetry::SpanExporter *spanExporter, const http::Headers &callerHeaders, const Clock &clock, RandomSource &random);

    /// The open span of an attempt at a backend server.
    struct AttemptSpan
    {
        telemetry::TraceContext context;
        WallTime startedAt;
        MonotonicTime sentAt{};
    };

    /// Starts the span of an attempt and sets its trace context in the headers for the server. Precondition: none.
    AttemptSpan beginAttempt(http::Headers &headers, const Clock &clock, RandomSource &random) const;

    /// Ends the span of an attempt. Precondition: \p attempt came from beginAttempt().
    void endAttempt(const AttemptSpan &attempt, const BackendServerId &server, std::string_view result, MonotonicTime now) const;

    /// Ends the span of the host. Precondition: called once.
    void end(const RequestId &request, std::string_view outcome, int status, MonotonicTime now) const;

private:
    telemetry::SpanExporter *exporter;
    telemetry::TraceContext callerContext;
    telemetry::TraceContext hostContext;
    WallTime startedAt{};
    MonotonicTime arrivedAt{};
};

} // namespace rhubarbtiller::gateway
