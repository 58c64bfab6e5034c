#include "requesttrace.h"

namespace rhubarbtiller::gateway {

/// The header of the W3C trace context.
static constexpr const char *TraceHeader = "traceparent";

RequestTrace::RequestTrace(telemetry::SpanExporter *spanExporter,
                           const http::Headers &callerHeaders,
                           const Clock &clock,
                           RandomSource &random)
    : exporter(spanExporter)
{
    if (this->exporter == nullptr) {
        return;
    }
    this->callerContext = telemetry::TraceContext::parse(http::findHeader(callerHeaders, TraceHeader), random);
    this->hostContext = this->callerContext.child(random);
    this->startedAt = clock.wallNow();
    this->arrivedAt = clock.now();
}

RequestTrace::AttemptSpan RequestTrace::beginAttempt(http::Headers &headers, const Clock &clock, RandomSource &random) const
{
    if (this->exporter == nullptr) {
        return {};
    }
    AttemptSpan attempt{this->hostContext.child(random), clock.wallNow(), clock.now()};
    http::removeHeader(headers, TraceHeader);
    headers.push_back({TraceHeader, attempt.context.header()});
    return attempt;
}

void RequestTrace::endAttempt(const AttemptSpan &attempt, const BackendServerId &server, std::string_view result, MonotonicTime now) const
{
    if (this->exporter != nullptr) {
        this->exporter->exportSpan({"backend",
                                    attempt.context,
                                    this->hostContext.spanId,
                                    attempt.startedAt,
                                    now - attempt.sentAt,
                                    {{"server", server.text()}, {"result", std::string(result)}}});
    }
}

void RequestTrace::end(const RequestId &request, std::string_view outcome, int status, MonotonicTime now) const
{
    if (this->exporter != nullptr) {
        this->exporter->exportSpan({"entry",
                                    this->hostContext,
                                    this->callerContext.spanId,
                                    this->startedAt,
                                    now - this->arrivedAt,
                                    {{"request", request.text()}, {"outcome", std::string(outcome)}, {"status", std::to_string(status)}}});
    }
}

} // namespace rhubarbtiller::gateway
