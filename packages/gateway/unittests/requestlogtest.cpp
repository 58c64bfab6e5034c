#include "requestlog.h"
#include "requesttrace.h"

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

namespace {

/// Collects the exported spans.
class SpanCollector : public telemetry::SpanExporter
{
public:
    void exportSpan(telemetry::SpanRecord span) override
    {
        this->spans.push_back(std::move(span));
    }

    std::vector<telemetry::SpanRecord> spans;
};

} // namespace

TEST_CASE("under load, log lines are reserved for requests that were not answered")
{
    testing::VirtualClock clock;
    clock.advance(1h);
    RequestLog log;
    int answered = 0;
    while (log.tryConsumeLine(true, clock.now())) {
        ++answered;
    }
    CHECK(answered > 0);
    CHECK(log.tryConsumeLine(false, clock.now()));
    int failed = 0;
    while (log.tryConsumeLine(false, clock.now())) {
        ++failed;
    }
    CHECK(failed >= 100);
    clock.advance(1s);
    CHECK(log.tryConsumeLine(false, clock.now()));
}

TEST_CASE("a request has a span for the host and one for each attempt, in the caller's trace")
{
    const testing::VirtualClock clock;
    SeededRandom random{3};
    SpanCollector collector;
    const std::string traceId = "0af7651916cd43dd8448eb211c80319c";
    const RequestTrace trace(&collector, {{"traceparent", "00-" + traceId + "-b7ad6b7169203331-01"}}, clock, random);
    http::Headers headers{{"traceparent", "00-" + traceId + "-b7ad6b7169203331-01"}};
    const auto attempt = trace.beginAttempt(headers, clock, random);
    REQUIRE(headers.size() == 1);
    CHECK(headers[0].value.find(attempt.context.spanId) != std::string::npos);
    trace.endAttempt(attempt, BackendServerId("s1"), "answered", clock.now());
    trace.end(RequestId("r1"), "answered", 200, clock.now());
    REQUIRE(collector.spans.size() == 2);
    CHECK(collector.spans[0].name == "backend");
    CHECK(collector.spans[0].context.traceId == traceId);
    CHECK(collector.spans[0].parentSpanId == collector.spans[1].context.spanId);
    CHECK(collector.spans[1].parentSpanId == "b7ad6b7169203331");
}

TEST_CASE("without an exporter a request's headers are unchanged")
{
    const testing::VirtualClock clock;
    SeededRandom random{3};
    const RequestTrace trace(nullptr, {}, clock, random);
    http::Headers headers{{"traceparent", "anything"}};
    trace.beginAttempt(headers, clock, random);
    CHECK(headers[0].value == "anything");
}
