#include <rhubarbtiller/telemetry/log.h>
#include <rhubarbtiller/telemetry/metrics.h>
#include <rhubarbtiller/telemetry/span.h>

#include "logformat.h"
#include "otlpjson.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>
#include <thread>

#include <unistd.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::telemetry;

static std::size_t occurrences(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto position = text.find(part); position != std::string::npos; position = text.find(part, position + 1)) {
        ++count;
    }
    return count;
}

// Guards against a value of a caller that forges a log line or a field.
TEST_CASE("log values cannot forge lines or fields")
{
    const auto time = std::chrono::system_clock::time_point(std::chrono::microseconds(1500000));
    CHECK(formatLogLine(time, LogLevel::Info, "started", {{"host", "a-1"}, {"port", 80}, {"ok", true}, {"share", 0.25}, {"none", ""}})
          == "time=1970-01-01T00:00:01.500000Z level=info event=started host=a-1 port=80 ok=true share=0.25 none=\"\"");
    const std::string line = formatLogLine(
        time,
        LogLevel::Warning,
        "refused",
        {{"target", "/x\r\ntime=0 level=error event=forged"}, {"quote", "a\" level=\"b\\"}, {"byte", "\x1b\x9b"}, {"brace", "{}"}});
    CHECK(line.find('\n') == std::string::npos);
    CHECK(line.find('\r') == std::string::npos);
    CHECK(line.ends_with(R"( target="/x\r\ntime=0 level=error event=forged" quote="a\" level=\"b\\" byte="\x1b\x9b" brace={})"));
}

// Guards against lines below the level that is set, and against lines that are not whole on standard error.
TEST_CASE("log writes whole lines to standard error from the level set")
{
    char path[] = "/tmp/rhubarbtiller-log-XXXXXX";
    const int file = mkstemp(path);
    REQUIRE(file >= 0);
    const int saved = dup(STDERR_FILENO);
    dup2(file, STDERR_FILENO);
    logEvent(LogLevel::Debug, "hidden");
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([] {
            for (int line = 0; line < 50; ++line) {
                logEvent(LogLevel::Info, "shown", {{"brace", "{} {0}"}});
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    setLogLevel(LogLevel::Error);
    logEvent(LogLevel::Warning, "hidden");
    setLogLevel(LogLevel::Info);
    std::fflush(stderr);
    dup2(saved, STDERR_FILENO);
    close(saved);
    close(file);
    std::ifstream input(path);
    std::string line;
    int lines = 0;
    while (std::getline(input, line)) {
        ++lines;
        CHECK(line.ends_with(" level=info event=shown brace=\"{} {0}\""));
    }
    CHECK(lines == 200);
    std::remove(path);
}

// Guards against malformed traceparent headers that are passed on, and against traces that are torn apart.
TEST_CASE("traceparent headers are parsed strictly and passed on")
{
    SeededRandom random(1);
    const std::string header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto context = TraceContext::parse(header, random);
    CHECK(context.header() == header);
    const auto child = context.child(random);
    CHECK(child.traceId == context.traceId);
    CHECK(child.spanId != context.spanId);
    CHECK(child.isSampled);
    CHECK(TraceContext::parse("cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00-more", random).traceId == context.traceId);
    for (const char *malformed : {"",
                                  "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
                                  "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                  "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                                  "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                                  "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                  "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
                                  "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0g"}) {
        CAPTURE(malformed);
        const auto fresh = TraceContext::parse(malformed, random);
        CHECK(fresh.traceId != context.traceId);
        CHECK(fresh.traceId.size() == 32);
        CHECK(fresh.spanId.size() == 16);
        CHECK_FALSE(fresh.isSampled);
    }
}

// Guards against spans that a collector cannot read, and spans lost when the program stops.
TEST_CASE("spans are written as OTLP JSON lines before the exporter ends")
{
    char path[] = "/tmp/rhubarbtiller-spans-XXXXXX";
    const int file = mkstemp(path);
    REQUIRE(file >= 0);
    close(file);
    SeededRandom random(2);
    SpanRecord span;
    span.name = "dispatch";
    span.context = TraceContext::parse("", random);
    span.parentSpanId = "b7ad6b7169203331";
    span.start = WallTime(std::chrono::seconds(5));
    span.length = std::chrono::milliseconds(2);
    span.attributes = {{"target", "/x\n\xff"}};
    {
        const auto exporter = makeJsonLinesExporter(path);
        for (int i = 0; i < 100; ++i) {
            exporter->exportSpan(span);
        }
    }
    std::ifstream input(path);
    std::string line;
    int lines = 0;
    while (std::getline(input, line)) {
        ++lines;
        const auto json = nlohmann::json::parse(line);
        CHECK(json["traceId"] == span.context.traceId);
        CHECK(json["parentSpanId"] == span.parentSpanId);
        CHECK(json["startTimeUnixNano"] == "5000000000");
        CHECK(json["endTimeUnixNano"] == "5002000000");
        CHECK(json["attributes"][0]["key"] == "target");
        CHECK(json["attributes"][0]["value"].contains("stringValue"));
    }
    CHECK(lines == 100);
    std::remove(path);
}

// Guards against metrics that are missing or named otherwise than operators expect.
TEST_CASE("metrics are exposed in the Prometheus text format")
{
    Metrics metrics;
    metrics.countRequest("not_run", "rate_exceeded");
    metrics.countRequest("not_run", "rate_exceeded");
    metrics.observeAddedLatency(std::chrono::milliseconds(2));
    metrics.countAdmission();
    metrics.countAdmissionRefusal("rate_exceeded");
    metrics.countEjection("failures");
    metrics.setFreshnessAge(std::chrono::milliseconds(500));
    metrics.setAppliedVersion(ConfigVersion(7));
    metrics.setSettledVersion(ConfigVersion(6));
    metrics.setVotesHeld(12);
    metrics.setShardsOwned(4);
    metrics.setPeersConnected(13);
    metrics.setLeastUsedServers(0.75);
    metrics.setMostUnserved(0.125);
    metrics.countStoreError("read_item");
    metrics.countControlBytes(ByteCount(100));
    metrics.countControlCpu(std::chrono::milliseconds(250));
    const std::string text = metrics.exposition();
    for (const char *sample : {"rhubarbtiller_requests_total{outcome=\"not_run\",reason=\"rate_exceeded\"} 2",
                               "rhubarbtiller_added_latency_seconds_bucket{le=\"0.0028\"} 1",
                               "rhubarbtiller_admissions_total 1",
                               "rhubarbtiller_admission_refusals_total{reason=\"rate_exceeded\"} 1",
                               "rhubarbtiller_ejections_total{evidence=\"failures\"} 1",
                               "rhubarbtiller_freshness_age_seconds 0.5",
                               "rhubarbtiller_config_version_applied 7",
                               "rhubarbtiller_config_version_settled 6",
                               "rhubarbtiller_votes_held 12",
                               "rhubarbtiller_shards_owned 4",
                               "rhubarbtiller_peers_connected 13",
                               "rhubarbtiller_least_used_servers_ratio 0.75",
                               "rhubarbtiller_most_unserved_ratio 0.125",
                               "rhubarbtiller_store_errors_total{operation=\"read_item\"} 1",
                               "rhubarbtiller_control_bytes_total 100",
                               "rhubarbtiller_control_cpu_seconds_total 0.25"}) {
        CAPTURE(sample);
        CHECK(text.find(std::string(sample) + "\n") != std::string::npos);
    }
    CHECK(occurrences(text, "# HELP ") == 16);
}

// Guards against memory that grows with label values that were not meant as such.
TEST_CASE("the label values of a metric are bounded")
{
    Metrics metrics;
    for (int i = 0; i < 1000; ++i) {
        metrics.countEjection("value-" + std::to_string(i));
    }
    const std::string text = metrics.exposition();
    CHECK(occurrences(text, "\nrhubarbtiller_ejections_total{") == 33);
    CHECK(text.find("rhubarbtiller_ejections_total{evidence=\"other\"} 968\n") != std::string::npos);
}
