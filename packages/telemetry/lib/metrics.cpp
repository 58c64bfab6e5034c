#include <rhubarbtiller/telemetry/metrics.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <iterator>
#include <vector>

namespace rhubarbtiller::telemetry {

namespace {

struct GaugeFacts
{
    Gauge gauge;
    const char *name;
    const char *help;
};

} // namespace

/// All gauges, in the order of Gauge.
static constexpr GaugeFacts GaugeTable[] = {
    {Gauge::FreshForSeconds,
     "rhubarbtiller_fresh_for_seconds",
     "Time until this host refuses requests unless it gets new evidence of the version in force"},
    {Gauge::AppliedVersion, "rhubarbtiller_config_applied_version", "Version of the configuration that this host has applied"},
    {Gauge::SettledVersion, "rhubarbtiller_config_settled_version", "Newest version that is in force on every host that serves"},
    {Gauge::StoreReachable, "rhubarbtiller_store_reachable", "1 if the last read of the store succeeded"},
    {Gauge::ShardsOwned, "rhubarbtiller_shards_owned", "Shards that this host owns"},
    {Gauge::VotesHeld, "rhubarbtiller_votes_held", "Votes that this host holds over all shards"},
    {Gauge::ServersOwned, "rhubarbtiller_backend_servers_owned", "Backend servers that this host owns"},
    {Gauge::ServersEjected,
     "rhubarbtiller_backend_servers_ejected",
     "Backend servers that may be ejected in the pools that this host owns"},
    {Gauge::RequestsInProgress, "rhubarbtiller_requests_in_progress", "Requests of callers that are not answered yet"},
    {Gauge::RateEntries, "rhubarbtiller_rate_entries", "Organisation slices with a token bucket on this host"},
    {Gauge::ControlCpuSeconds, "rhubarbtiller_control_cpu_seconds", "Processor time that the control strand has used"},
};

/// Bounds in seconds; the target is 2.8 ms for 99 in 100.
static const prometheus::Histogram::BucketBoundaries AddedTimeBounds
    = {0.0002, 0.0005, 0.001, 0.0015, 0.002, 0.0028, 0.004, 0.008, 0.02, 0.1};

struct Metrics::Families
{
    Families()
        : requests(prometheus::BuildCounter()
                       .Name("rhubarbtiller_requests_total")
                       .Help("Requests of callers by reason of refusal and by what is known of their execution")
                       .Register(this->registry))
        , attempts(prometheus::BuildCounter()
                       .Name("rhubarbtiller_attempts_total")
                       .Help("Attempts at backend servers by outcome")
                       .Register(this->registry))
        , controlBytes(prometheus::BuildCounter()
                           .Name("rhubarbtiller_control_bytes_total")
                           .Help("Bytes of messages between hosts other than forwarded requests, sent and received")
                           .Register(this->registry)
                           .Add({}))
        , addedTime(prometheus::BuildHistogram()
                        .Name("rhubarbtiller_added_seconds")
                        .Help("Time that this host added to requests")
                        .Register(this->registry)
                        .Add({}, AddedTimeBounds))
    {
        for (const auto &facts : GaugeTable) {
            this->gauges.push_back(&prometheus::BuildGauge().Name(facts.name).Help(facts.help).Register(this->registry).Add({}));
        }
    }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests;
    prometheus::Family<prometheus::Counter> &attempts;
    prometheus::Counter &controlBytes;
    prometheus::Histogram &addedTime;
    std::vector<prometheus::Gauge *> gauges;
};

Metrics::Metrics() : families(std::make_unique<Families>())
{
}

Metrics::~Metrics() = default;

void Metrics::countRequest(std::string_view reason, std::string_view execution)
{
    this->families->requests.Add({{"reason", std::string(reason)}, {"execution", std::string(execution)}}).Increment();
}

void Metrics::countAttempt(std::string_view outcome)
{
    this->families->attempts.Add({{"outcome", std::string(outcome)}}).Increment();
}

void Metrics::observeAddedTime(Duration time)
{
    this->families->addedTime.Observe(std::chrono::duration<double>(time).count());
}

void Metrics::countControlBytes(std::uint64_t bytes)
{
    this->families->controlBytes.Increment(static_cast<double>(bytes));
}

void Metrics::set(Gauge gauge, double value)
{
    this->families->gauges[static_cast<std::size_t>(gauge)]->Set(value);
}

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(this->families->registry.Collect());
}

} // namespace rhubarbtiller::telemetry
