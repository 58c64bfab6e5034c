#pragma once

#include <rhubarbtiller/health/holdtime.h>
#include <rhubarbtiller/health/outlierpolicy.h>

#include <deque>
#include <map>

namespace rhubarbtiller::health {

/// Tuning of OutlierDetector beside the sensitivity.
struct OutlierSettings
{
    Duration period = std::chrono::seconds(1);
    /// Failure rates of the rest of the pool below this are treated as this, so that rare single failures are no evidence.
    double leastFailureRate = 0.01;
    /// Servers of one pool differ without being ill; the pool's rate is raised by this factor before the test.
    double rateInflation = 1.5;
    HoldTimeSettings hold;
};

/// Compares each server with the rest of its pool over the same time and inside the same organisation buckets.
///
/// In each bucket the failures of the server are tested against the failure rate of the rest of the pool (binomial
/// tail). The buckets are combined by Fisher's method. A server is an outlier when the combined tail
/// probability is below 10^-(13 - 10 * sensitivity) and either two buckets show failures beyond the pool's rate or
/// the one bucket that does mostly succeeds on at least two other servers. Slow answers are tested in the same way over
/// all buckets. A failing organisation raises the rate of its bucket on all servers and a bad hour raises all rates,
/// so neither makes an outlier. Three window lengths are tested: short ones find hard failures fast, long ones find
/// rare failures.
class OutlierDetector : public OutlierPolicy
{
public:
    explicit OutlierDetector(double initialSensitivity, OutlierSettings outlierSettings = {});

    void setSensitivity(double sensitivity) override;
    void observe(const ServerSample &sample, MonotonicTime now) override;
    void onEjected(const BackendServerId &server, MonotonicTime now) override;
    void forget(const BackendServerId &server) override;
    std::vector<Verdict> judge(MonotonicTime now) override;

private:
    struct Counts
    {
        std::array<std::uint64_t, EvidenceBuckets> requests{};
        std::array<std::uint64_t, EvidenceBuckets> failures{};
        std::uint64_t answers = 0;
        std::uint64_t slow = 0;
        /// Sum of the medians of the samples, weighted by their answers, in nanoseconds.
        double latencySum = 0;

        void add(const Counts &other);
    };

    struct Period
    {
        std::int64_t index = 0;
        Counts counts;
    };

    struct Server
    {
        std::deque<Period> periods;
        HoldTime hold;
    };

    /// The result of one test.
    struct Finding
    {
        /// Common logarithm of the tail probability; 0 is no evidence.
        double logProbability = 0;
        std::string evidence;
    };

    /// Sums over several servers.
    struct PoolCounts
    {
        Counts counts;
        std::uint64_t slowAnswers = 0;
        /// Servers that mostly succeed, for each bucket.
        std::array<std::size_t, EvidenceBuckets> soundServers{};
        /// Median of the servers' latencies in nanoseconds.
        double latency = 0;
    };

    std::int64_t periodIndex(MonotonicTime now) const;
    Counts sum(const Server &server, std::int64_t first, std::int64_t last) const;
    PoolCounts poolCounts(std::int64_t first, std::int64_t last) const;
    void include(const Counts &counts, PoolCounts &pool, int sign) const;
    std::uint64_t slowAnswers(const Counts &counts, double poolLatency) const;
    Finding testFailures(const Counts &subject, const PoolCounts &rest) const;
    Finding testLatency(const Counts &subject, const PoolCounts &rest) const;

    double sensitivity;
    OutlierSettings settings;
    std::map<BackendServerId, Server> servers;
};

} // namespace rhubarbtiller::health
