#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/random.h>

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rhubarbtiller::telemetry {

/// The position of a hop in a trace, as in the W3C traceparent header.
struct TraceContext
{
    std::string traceId;
    std::string spanId;
    bool isSampled = false;

    /// Parses a traceparent header; starts a new trace if it is missing or malformed. Thread safety: any thread.
    static TraceContext parse(std::string_view header, RandomSource &random);

    /// Returns the traceparent header. Precondition: the ids are set. Thread safety: any thread.
    std::string header() const;

    /// Returns a context of the same trace with a new span id. Thread safety: any thread.
    TraceContext child(RandomSource &random) const;
};

/// A finished hop.
struct SpanRecord
{
    std::string name;
    TraceContext context;
    std::string parentSpanId;
    WallTime start;
    Duration length{};
    std::vector<std::pair<std::string, std::string>> attributes;
};

/// Receives finished spans.
class SpanExporter
{
public:
    SpanExporter() = default;
    SpanExporter(const SpanExporter &) = delete;
    SpanExporter &operator=(const SpanExporter &) = delete;
    virtual ~SpanExporter() = default;

    /// Takes a finished span; must not block. Thread safety: any thread.
    virtual void exportSpan(SpanRecord span) = 0;
};

/// Returns an exporter that writes spans as OTLP JSON objects, one a line, to the file; drops spans when it falls behind.
///
/// Precondition: \p path can be opened for appending; "-" is standard error, empty drops all spans. Thread safety: any thread.
std::unique_ptr<SpanExporter> makeJsonLinesExporter(const std::string &path);

} // namespace rhubarbtiller::telemetry
