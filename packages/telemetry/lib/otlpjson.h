#pragma once

#include <rhubarbtiller/telemetry/span.h>

#include <string>

namespace rhubarbtiller::telemetry {

/// Returns a span as an OTLP JSON object on one line, without a line end. Thread safety: any thread.
std::string formatSpan(const SpanRecord &span);

} // namespace rhubarbtiller::telemetry
