#include "otlpjson.h"

#include <nlohmann/json.hpp>

namespace rhubarbtiller::telemetry {

static std::string unixNanos(WallTime time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

std::string formatSpan(const SpanRecord &span)
{
    using Json = nlohmann::ordered_json;
    Json attributes = Json::array();
    for (const auto &[key, value] : span.attributes) {
        attributes.push_back(Json{{"key", key}, {"value", Json{{"stringValue", value}}}});
    }
    Json object;
    object["traceId"] = span.context.traceId;
    object["spanId"] = span.context.spanId;
    if (!span.parentSpanId.empty()) {
        object["parentSpanId"] = span.parentSpanId;
    }
    object["name"] = span.name;
    // OTLP's SPAN_KIND_SERVER; every hop is one.
    object["kind"] = 2;
    // 64-bit numbers are strings in the JSON form of protocol buffers.
    object["startTimeUnixNano"] = unixNanos(span.start);
    object["endTimeUnixNano"] = unixNanos(span.start + std::chrono::duration_cast<WallTime::duration>(span.length));
    object["attributes"] = std::move(attributes);
    // Attributes may hold bytes of a caller that are not UTF-8; they must not make the line fail.
    return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace rhubarbtiller::telemetry
