#include <rhubarbtiller/telemetry/metrics.h>
#include <rhubarbtiller/telemetry/span.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::telemetry;

// Guards against a trace that breaks at this hop, or that a malformed header can forge.
TEST_CASE("a traceparent is carried on and a malformed one starts a new trace")
{
    SeededRandom random(7);
    const std::string header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto context = TraceContext::parse(header, random);
    CHECK(context.header() == header);
    const auto child = context.child(random);
    CHECK(child.traceId == context.traceId);
    CHECK(child.spanId != context.spanId);

    for (const auto *const bad : {"",
                                  "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                                  "00-xx",
                                  "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}) {
        const auto fresh = TraceContext::parse(bad, random);
        CHECK(fresh.traceId.size() == 32);
        CHECK(fresh.traceId != context.traceId);
    }
}

// Guards against a metric that is counted but does not show on the page.
TEST_CASE("counted requests show by reason and execution")
{
    Metrics metrics;
    metrics.countRequest("rate_exceeded", "not_run");
    metrics.set(Gauge::AppliedVersion, 12);
    const auto page = metrics.exposition();
    CHECK(page.find("rhubarbtiller_requests_total{execution=\"not_run\",reason=\"rate_exceeded\"} 1") != std::string::npos);
    CHECK(page.find("rhubarbtiller_config_applied_version 12") != std::string::npos);
}
