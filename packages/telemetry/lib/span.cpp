#include <rhubarbtiller/telemetry/span.h>

#include "otlpjson.h"

#include <algorithm>
#include <cassert>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <mutex>
#include <thread>

namespace rhubarbtiller::telemetry {

// About a second of spans at the target rate of one host; a longer queue would only use memory while the disk is slow.
static constexpr std::size_t MaxQueuedSpans = 4096;

namespace {

struct FileCloser
{
    void operator()(std::FILE *file) const
    {
        if (file != stderr) {
            std::fclose(file);
        }
    }
};

/// Writes spans on a background thread.
class JsonLinesExporter : public SpanExporter
{
public:
    explicit JsonLinesExporter(const std::string &path)
        : file(path == "-" ? stderr : std::fopen(path.c_str(), "ae")), writer([this] {
            this->writeAll();
        })
    {
    }

    ~JsonLinesExporter() override
    {
        {
            const std::lock_guard lock(this->mutex);
            this->isStopping = true;
        }
        this->wakeUp.notify_one();
        this->writer.join();
    }

    void exportSpan(SpanRecord span) override
    {
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
                return this->isStopping || !this->queue.empty();
            });
            if (this->queue.empty()) {
                return;
            }
            std::deque<SpanRecord> batch;
            batch.swap(this->queue);
            lock.unlock();
            this->writeBatch(batch);
            lock.lock();
        }
    }

    void writeBatch(const std::deque<SpanRecord> &batch)
    {
        if (!this->file) {
            return;
        }
        std::string lines;
        for (const SpanRecord &span : batch) {
            lines += formatSpan(span);
            lines += '\n';
        }
        std::fwrite(lines.data(), 1, lines.size(), this->file.get());
        std::fflush(this->file.get());
    }

    std::unique_ptr<std::FILE, FileCloser> file;
    std::mutex mutex;
    std::condition_variable wakeUp;
    std::deque<SpanRecord> queue;
    bool isStopping = false;
    std::thread writer;
};

} // namespace

static bool isLowerHex(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char digit) {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    });
}

static bool isAllZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

TraceContext TraceContext::parse(std::string_view header, RandomSource &random)
{
    // "00-<32 digits>-<16 digits>-<2 digits>"; later versions may append more after another dash.
    const bool hasShape = header.size() >= 55 && header[2] == '-' && header[35] == '-' && header[52] == '-';
    if (hasShape) {
        const std::string_view version = header.substr(0, 2);
        const std::string_view trace = header.substr(3, 32);
        const std::string_view span = header.substr(36, 16);
        const std::string_view flags = header.substr(53, 2);
        const bool hasEnd = header.size() == 55 || (version != "00" && header[55] == '-');
        if (hasEnd && isLowerHex(version) && version != "ff" && isLowerHex(trace) && isLowerHex(span) && isLowerHex(flags)
            && !isAllZero(trace) && !isAllZero(span)) {
            const char low = flags[1];
            const int bits = low <= '9' ? low - '0' : low - 'a' + 10;
            return {std::string(trace), std::string(span), (bits & 1) != 0};
        }
    }
    return {randomHex(random, 32), randomHex(random, 16), false};
}

std::string TraceContext::header() const
{
    assert(this->traceId.size() == 32 && this->spanId.size() == 16 && "a trace context needs its ids");
    return "00-" + this->traceId + "-" + this->spanId + (this->isSampled ? "-01" : "-00");
}

TraceContext TraceContext::child(RandomSource &random) const
{
    return {this->traceId, randomHex(random, 16), this->isSampled};
}

namespace {

/// Drops all spans.
class NullExporter : public SpanExporter
{
public:
    void exportSpan(SpanRecord /*span*/) override
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
