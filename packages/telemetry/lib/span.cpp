#include <rhubarbtiller/telemetry/span.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <mutex>
#include <thread>

namespace rhubarbtiller::telemetry {

static constexpr std::size_t TraceIdDigits = 32;
static constexpr std::size_t SpanIdDigits = 16;

/// Length of "00-<trace>-<span>-<flags>".
static constexpr std::size_t HeaderLength = 55;

/// Spans that wait for the writer; more are dropped so that a slow output never delays a request.
static constexpr std::size_t MaxQueuedSpans = 4096;

static bool isLowerHex(std::string_view text)
{
    return std::ranges::all_of(text, [](char letter) {
        return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f');
    });
}

static bool isAllZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

TraceContext TraceContext::parse(std::string_view header, RandomSource &random)
{
    const auto trace = header.size() >= HeaderLength ? header.substr(3, TraceIdDigits) : std::string_view();
    const auto span = header.size() >= HeaderLength ? header.substr(36, SpanIdDigits) : std::string_view();
    const bool isWellFormed = header.size() == HeaderLength && header.starts_with("00-") && header[35] == '-' && header[52] == '-'
        && isLowerHex(trace) && isLowerHex(span) && isLowerHex(header.substr(53)) && !isAllZero(trace) && !isAllZero(span);
    if (!isWellFormed) {
        return {randomHex(random, TraceIdDigits), "", true};
    }
    const bool isSampled = ((header[54] >= 'a' ? header[54] - 'a' + 10 : header[54] - '0') & 1) != 0;
    return {std::string(trace), std::string(span), isSampled};
}

std::string TraceContext::header() const
{
    return "00-" + this->traceId + "-" + this->spanId + (this->isSampled ? "-01" : "-00");
}

TraceContext TraceContext::child(RandomSource &random) const
{
    return {this->traceId, randomHex(random, SpanIdDigits), this->isSampled};
}

static void appendText(std::string &json, std::string_view text)
{
    json += '"';
    for (const char letter : text) {
        if (letter == '"' || letter == '\\') {
            json += '\\';
            json += letter;
        } else if (static_cast<unsigned char>(letter) < ' ') {
            json += ' ';
        } else {
            json += letter;
        }
    }
    json += '"';
}

/// Returns the span as one object of the OTLP JSON encoding.
static std::string toOtlpJson(const SpanRecord &span)
{
    const auto start = std::chrono::duration_cast<std::chrono::nanoseconds>(span.start.time_since_epoch());
    std::string json = "{\"traceId\":";
    appendText(json, span.context.traceId);
    json += ",\"spanId\":";
    appendText(json, span.context.spanId);
    json += ",\"parentSpanId\":";
    appendText(json, span.parentSpanId);
    json += ",\"name\":";
    appendText(json, span.name);
    json += ",\"kind\":1,\"startTimeUnixNano\":\"" + std::to_string(start.count());
    json += "\",\"endTimeUnixNano\":\"" + std::to_string((start + span.length).count()) + "\",\"attributes\":[";
    bool isFirst = true;
    for (const auto &[key, value] : span.attributes) {
        json += isFirst ? "{\"key\":" : ",{\"key\":";
        isFirst = false;
        appendText(json, key);
        json += ",\"value\":{\"stringValue\":";
        appendText(json, value);
        json += "}}";
    }
    json += "]}\n";
    return json;
}

namespace {

/// Writes spans on a thread of its own.
class JsonLinesExporter : public SpanExporter
{
public:
    explicit JsonLinesExporter(const std::string &path)
        : output(path == "-" ? stderr : std::fopen(path.c_str(), "a")), writer([this] {
            this->writeAll();
        })
    {
    }

    ~JsonLinesExporter() override
    {
        {
            const std::lock_guard lock(this->mutex);
            this->isClosing = true;
        }
        this->wakeUp.notify_one();
        this->writer.join();
        if (this->output && this->output != stderr) {
            std::fclose(this->output);
        }
    }

    void exportSpan(SpanRecord span) override
    {
        if (!span.context.isSampled) {
            return;
        }
        {
            const std::lock_guard lock(this->mutex);
            if (this->queue.size() >= MaxQueuedSpans) {
                return;
            }
            this->queue.push_back(std::move(span));
        }
        this->wakeUp.notify_one();
    }

private:
    void writeAll()
    {
        std::unique_lock lock(this->mutex);
        while (true) {
            this->wakeUp.wait(lock, [this] {
                return this->isClosing || !this->queue.empty();
            });
            if (this->queue.empty()) {
                return;
            }
            std::deque<SpanRecord> batch;
            batch.swap(this->queue);
            lock.unlock();
            for (const auto &span : batch) {
                const auto line = toOtlpJson(span);
                if (this->output) {
                    std::fwrite(line.data(), 1, line.size(), this->output);
                }
            }
            if (this->output) {
                std::fflush(this->output);
            }
            lock.lock();
        }
    }

    std::FILE *output;
    std::mutex mutex;
    std::condition_variable wakeUp;
    std::deque<SpanRecord> queue;
    bool isClosing = false;
    std::thread writer;
};

/// Drops all spans.
class NullExporter : public SpanExporter
{
public:
    void exportSpan(SpanRecord) override
    {
    }
};

} // namespace

std::unique_ptr<SpanExporter> makeJsonLinesExporter(const std::string &path)
{
    if (path.empty()) {
        return std::make_unique<NullExporter>();
    }
    return std::make_unique<JsonLinesExporter>(path);
}

} // namespace rhubarbtiller::telemetry
