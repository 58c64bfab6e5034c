#include <rhubarbtiller/health/evidence.h>

#include <algorithm>
#include <xxhash.h>

namespace rhubarbtiller::health {

// Enough for a stable median; bounds the memory of a period with many requests.
constexpr std::size_t MostLatencies = 1024;
constexpr std::size_t KeptMedians = 30;
constexpr std::size_t LeastMedians = 3;
constexpr std::size_t KeptSamples = 4;
constexpr int SlowFactor = 3;

std::size_t evidenceBucket(const OrganisationId &organisation)
{
    return XXH64(organisation.text().data(), organisation.text().size(), 0) % EvidenceBuckets;
}

static Duration medianOf(std::vector<Duration> values)
{
    if (values.empty()) {
        return Duration{};
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

EvidenceWindow::EvidenceWindow(BackendServerId serverId, Duration periodLength) : server(std::move(serverId)), period(periodLength)
{
}

void EvidenceWindow::observe(const OrganisationId &organisation, Observation observation, Duration latency, MonotonicTime now)
{
    this->rotate(now);
    const std::size_t bucket = evidenceBucket(organisation);
    if (observation == Observation::Failure) {
        ++this->current.failures[bucket];
        ++this->failureRun;
        this->current.failuresInRow = std::max(this->current.failuresInRow, this->failureRun);
        return;
    }
    this->failureRun = 0;
    ++this->current.successes[bucket];
    if (this->latencies.size() < MostLatencies) {
        this->latencies.push_back(latency);
    }
    if (this->previousMedians.size() >= LeastMedians && latency > this->usualLatency * SlowFactor) {
        ++this->current.slowAnswers;
    }
}

std::vector<ServerSample> EvidenceWindow::takeSamples(MonotonicTime now)
{
    this->rotate(now);
    std::vector<ServerSample> samples(this->complete.begin(), this->complete.end());
    this->complete.clear();
    return samples;
}

void EvidenceWindow::rotate(MonotonicTime now)
{
    if (!this->hasStarted) {
        this->hasStarted = true;
        this->periodStart = now;
        this->current.server = this->server;
        return;
    }
    if (now < this->periodStart + this->period) {
        return;
    }
    const ServerSample empty{.server = this->server};
    if (this->current != empty) {
        this->current.medianLatency = medianOf(this->latencies);
        if (!this->latencies.empty()) {
            this->previousMedians.push_back(this->current.medianLatency);
        }
        if (this->previousMedians.size() > KeptMedians) {
            this->previousMedians.pop_front();
        }
        this->usualLatency = medianOf({this->previousMedians.begin(), this->previousMedians.end()});
        this->complete.push_back(this->current);
        if (this->complete.size() > KeptSamples) {
            this->complete.pop_front();
        }
    }
    this->current = empty;
    this->latencies.clear();
    this->periodStart += (now - this->periodStart) / this->period * this->period;
}

} // namespace rhubarbtiller::health
