#include <rhubarbtiller/telemetry/metrics.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>

namespace rhubarbtiller::telemetry {

namespace {

struct MetricText
{
    const char *name;
    const char *help;
};

} // namespace

// Every metric with its help text.
static constexpr MetricText Requests{"rhubarbtiller_requests_total", "Requests by execution state and reason of refusal."};
static constexpr MetricText QueueRefusals{"rhubarbtiller_queue_refusals_total", "Requests that the queue refused, by priority and cause."};
static constexpr MetricText AddedLatency{"rhubarbtiller_added_latency_seconds", "Time that the system added to requests."};
static constexpr MetricText Admissions{"rhubarbtiller_admissions_total", "Requests admitted at the home of their organisation."};
static constexpr MetricText AdmissionRefusals{"rhubarbtiller_admission_refusals_total",
                                              "Requests refused at the home of their organisation."};
static constexpr MetricText Ejections{"rhubarbtiller_ejections_total", "Backend servers ejected, by the evidence."};
static constexpr MetricText FreshnessAge{"rhubarbtiller_freshness_age_seconds",
                                         "Age of the newest evidence that the configuration is current."};
static constexpr MetricText AppliedVersion{"rhubarbtiller_config_version_applied", "Configuration version that this host has applied."};
static constexpr MetricText SettledVersion{"rhubarbtiller_config_version_settled", "Newest configuration version known to be settled."};
static constexpr MetricText VotesHeld{"rhubarbtiller_votes_held", "Votes held over all shards."};
static constexpr MetricText ShardsOwned{"rhubarbtiller_shards_owned", "Shards owned by this host."};
static constexpr MetricText PeersConnected{"rhubarbtiller_peers_connected", "Authenticated connections to peers."};
static constexpr MetricText LeastUsedServers{"rhubarbtiller_least_used_servers_ratio",
                                             "Least share, over services with requests, of the own domain's servers that got requests."};
static constexpr MetricText MostUnserved{"rhubarbtiller_most_unserved_ratio",
                                         "Largest share, over services with requests, of requests that were not served."};
static constexpr MetricText StoreErrors{"rhubarbtiller_store_errors_total", "Failed calls to the platform's services, by operation."};
static constexpr MetricText RolloutPhases{"rhubarbtiller_rollout_phases_total", "Phases that roll-outs of service versions have reached."};
static constexpr MetricText StoreCalls{"rhubarbtiller_store_calls_total", "Calls to the platform's store, by operation and result."};
static constexpr MetricText CallerClosures{"rhubarbtiller_caller_closures_total", "Connections of callers that the host ended, by reason."};
static constexpr MetricText ControlBytes{"rhubarbtiller_control_bytes_total", "Bytes of control messages sent and received."};
static constexpr MetricText ControlCpu{"rhubarbtiller_control_cpu_seconds_total", "Processor time of controllers."};

// Bounds the time series of one metric even if a caller passes text that is not a constant word.
static constexpr std::size_t MaxLabelValues = 32;

static double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

static prometheus::Histogram::BucketBoundaries latencyBuckets()
{
    // The target of 2.8 ms at the 99th percentile lies on a bound, so that it can be read without interpolation.
    return {0.0001, 0.00025, 0.0005, 0.001, 0.0015, 0.002, 0.0028, 0.004, 0.006, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0};
}

namespace {

/// Counters of one metric by one or two label values.
class LabelledCounters
{
public:
    LabelledCounters(prometheus::Registry &registry, const MetricText &text, std::string firstLabel, std::string secondLabel = {})
        : family(prometheus::BuildCounter().Name(text.name).Help(text.help).Register(registry))
        , first(std::move(firstLabel))
        , second(std::move(secondLabel))
    {
    }

    void increment(std::string_view firstValue, std::string_view secondValue = {})
    {
        this->counter(firstValue, secondValue).Increment();
    }

private:
    prometheus::Counter &counter(std::string_view firstValue, std::string_view secondValue)
    {
        const std::lock_guard lock(this->mutex);
        std::pair<std::string, std::string> key(firstValue, secondValue);
        if (const auto found = this->counters.find(key); found != this->counters.end()) {
            return *found->second;
        }
        if (this->counters.size() >= MaxLabelValues) {
            key = {"other", this->second.empty() ? "" : "other"};
        }
        prometheus::Labels labels{{this->first, key.first}};
        if (!this->second.empty()) {
            labels.emplace(this->second, key.second);
        }
        auto &counter = this->family.Add(labels);
        this->counters.emplace(key, &counter);
        return counter;
    }

    prometheus::Family<prometheus::Counter> &family;
    const std::string first;
    const std::string second;
    std::mutex mutex;
    std::map<std::pair<std::string, std::string>, prometheus::Counter *> counters;
};

} // namespace

static prometheus::Counter &makeCounter(prometheus::Registry &registry, const MetricText &text)
{
    return prometheus::BuildCounter().Name(text.name).Help(text.help).Register(registry).Add({});
}

static prometheus::Gauge &makeGauge(prometheus::Registry &registry, const MetricText &text)
{
    return prometheus::BuildGauge().Name(text.name).Help(text.help).Register(registry).Add({});
}

class Metrics::State
{
public:
    prometheus::Registry registry;
    LabelledCounters requests{registry, Requests, "outcome", "reason"};
    LabelledCounters queueRefusals{registry, QueueRefusals, "priority", "cause"};
    prometheus::Histogram &addedLatency
        = prometheus::BuildHistogram().Name(AddedLatency.name).Help(AddedLatency.help).Register(registry).Add({}, latencyBuckets());
    prometheus::Counter &admissions = makeCounter(registry, Admissions);
    LabelledCounters admissionRefusals{registry, AdmissionRefusals, "reason"};
    LabelledCounters ejections{registry, Ejections, "evidence"};
    prometheus::Gauge &freshnessAge = makeGauge(registry, FreshnessAge);
    prometheus::Gauge &appliedVersion = makeGauge(registry, AppliedVersion);
    prometheus::Gauge &settledVersion = makeGauge(registry, SettledVersion);
    prometheus::Gauge &votesHeld = makeGauge(registry, VotesHeld);
    prometheus::Gauge &shardsOwned = makeGauge(registry, ShardsOwned);
    prometheus::Gauge &peersConnected = makeGauge(registry, PeersConnected);
    prometheus::Gauge &leastUsedServers = makeGauge(registry, LeastUsedServers);
    prometheus::Gauge &mostUnserved = makeGauge(registry, MostUnserved);
    LabelledCounters storeErrors{registry, StoreErrors, "operation"};
    LabelledCounters storeCalls{registry, StoreCalls, "operation", "result"};
    LabelledCounters rolloutPhases{registry, RolloutPhases, "phase"};
    LabelledCounters callerClosures{registry, CallerClosures, "reason"};
    prometheus::Counter &controlBytes = makeCounter(registry, ControlBytes);
    prometheus::Counter &controlCpu = makeCounter(registry, ControlCpu);
};

Metrics::Metrics() : state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::countRequest(std::string_view outcome, std::string_view reason)
{
    this->state->requests.increment(outcome, reason);
}

void Metrics::countQueueRefusal(int priority, std::string_view cause)
{
    static constexpr std::array<std::string_view, 4> Priorities{"0", "1", "2", "3"};
    const auto index = std::clamp<std::size_t>(static_cast<std::size_t>(std::max(0, priority)), 0, Priorities.size() - 1);
    this->state->queueRefusals.increment(Priorities[index], cause);
}

void Metrics::observeAddedLatency(Duration added)
{
    this->state->addedLatency.Observe(seconds(added));
}

void Metrics::countAdmission()
{
    this->state->admissions.Increment();
}

void Metrics::countAdmissionRefusal(std::string_view reason)
{
    this->state->admissionRefusals.increment(reason);
}

void Metrics::countEjection(std::string_view evidence)
{
    this->state->ejections.increment(evidence);
}

void Metrics::setFreshnessAge(Duration age)
{
    this->state->freshnessAge.Set(seconds(age));
}

void Metrics::setAppliedVersion(ConfigVersion version)
{
    this->state->appliedVersion.Set(static_cast<double>(version.count()));
}

void Metrics::setSettledVersion(ConfigVersion version)
{
    this->state->settledVersion.Set(static_cast<double>(version.count()));
}

void Metrics::setVotesHeld(std::uint64_t votes)
{
    this->state->votesHeld.Set(static_cast<double>(votes));
}

void Metrics::setShardsOwned(std::uint64_t shards)
{
    this->state->shardsOwned.Set(static_cast<double>(shards));
}

void Metrics::setPeersConnected(std::uint64_t peers)
{
    this->state->peersConnected.Set(static_cast<double>(peers));
}

void Metrics::setLeastUsedServers(double share)
{
    this->state->leastUsedServers.Set(share);
}

void Metrics::setMostUnserved(double share)
{
    this->state->mostUnserved.Set(share);
}

void Metrics::countStoreError(std::string_view operation)
{
    this->state->storeErrors.increment(operation);
}

void Metrics::countCallerClosure(std::string_view reason)
{
    this->state->callerClosures.increment(reason);
}

void Metrics::countStoreCall(std::string_view operation, std::string_view result)
{
    this->state->storeCalls.increment(operation, result);
}

void Metrics::countRolloutPhase(std::string_view phase)
{
    this->state->rolloutPhases.increment(phase);
}

void Metrics::countControlBytes(ByteCount bytes)
{
    this->state->controlBytes.Increment(static_cast<double>(bytes.count()));
}

void Metrics::countControlCpu(Duration used)
{
    this->state->controlCpu.Increment(std::max(0.0, seconds(used)));
}

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(this->state->registry.Collect());
}

} // namespace rhubarbtiller::telemetry
