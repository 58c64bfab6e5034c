#include <rhubarbtiller/health/outlierdetector.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace rhubarbtiller::health {

// In periods. Short windows find hard failures fast, long ones find rare failures.
constexpr std::array<std::int64_t, 3> WindowLengths = {3, 10, 30};
// Three windows, two kinds of test and two ways to combine buckets are tried for each server.
constexpr double LogTries = 1.08;
// A bucket in which the server fails beyond the pool's rate; two of them occur together by chance once in 10,000.
constexpr double LogBucketFails = -2.0;
// Requests in a bucket on the rest of the pool that show whether the bucket itself is sound.
constexpr std::uint64_t LeastRestRequests = 20;
constexpr double MostRestFailures = 0.2;
constexpr std::size_t LeastSoundServers = 2;
constexpr double LeastSlowRate = 0.02;
constexpr double MostRate = 0.98;
constexpr double LeastWeight = 0.1;

/// Returns the common logarithm of the probability of \p hits or more out of \p tries, each with \p rate.
static double logBinomialTail(std::uint64_t hits, std::uint64_t tries, double rate)
{
    if (hits == 0 || static_cast<double>(hits) <= rate * static_cast<double>(tries)) {
        return 0;
    }
    const double total = static_cast<double>(tries);
    const double first = static_cast<double>(hits);
    double term = std::lgamma(total + 1) - std::lgamma(first + 1) - std::lgamma(total - first + 1) + first * std::log(rate)
        + (total - first) * std::log1p(-rate);
    const double largest = term;
    double sum = 1;
    for (std::uint64_t count = hits; count < tries; ++count) {
        const double step = static_cast<double>(count);
        term += std::log(total - step) - std::log(step + 1) + std::log(rate) - std::log1p(-rate);
        const double share = std::exp(term - largest);
        sum += share;
        if (share < 1e-6) {
            break;
        }
    }
    return std::min(0.0, (largest + std::log(sum)) / std::log(10.0));
}

/// Returns the common logarithm of Fisher's combined probability of independent tests with the given sum of logarithms.
static double logCombined(double sumOfLogs, std::size_t tests)
{
    const double half = -sumOfLogs * std::log(10.0);
    double term = 1;
    double sum = 1;
    for (std::size_t index = 1; index < tests; ++index) {
        term *= half / static_cast<double>(index);
        sum += term;
    }
    return std::min(0.0, (std::log(sum) - half) / std::log(10.0));
}

/// Returns the rate against which a server is tested, given the events on the rest of the pool.
static double testedRate(std::uint64_t events, std::uint64_t requests, double least, double inflation)
{
    // One standard deviation above the observed rate, since a small rest of the pool says little.
    const double count = static_cast<double>(events);
    const double upper = (count + std::sqrt(count) + 1.0) / (static_cast<double>(requests) + 2.0);
    return std::clamp(upper * inflation, least, MostRate);
}

void OutlierDetector::Counts::add(const Counts &other)
{
    for (std::size_t bucket = 0; bucket < EvidenceBuckets; ++bucket) {
        this->requests[bucket] += other.requests[bucket];
        this->failures[bucket] += other.failures[bucket];
    }
    this->answers += other.answers;
    this->slow += other.slow;
    this->latencySum += other.latencySum;
}

OutlierDetector::OutlierDetector(double initialSensitivity, OutlierSettings outlierSettings)
    : sensitivity(std::clamp(initialSensitivity, 0.0, 1.0)), settings(outlierSettings)
{
}

void OutlierDetector::setSensitivity(double newSensitivity)
{
    this->sensitivity = std::clamp(newSensitivity, 0.0, 1.0);
}

void OutlierDetector::observe(const ServerSample &sample, MonotonicTime now)
{
    Counts counts;
    for (std::size_t bucket = 0; bucket < EvidenceBuckets; ++bucket) {
        counts.failures[bucket] = sample.failures[bucket];
        counts.requests[bucket] = std::uint64_t{sample.failures[bucket]} + sample.successes[bucket];
        counts.answers += sample.successes[bucket];
    }
    counts.slow = std::min<std::uint64_t>(sample.slowAnswers, counts.answers);
    counts.latencySum = static_cast<double>(sample.medianLatency.count()) * static_cast<double>(counts.answers);

    auto &periods = this->servers[sample.server].periods;
    const std::int64_t index = this->periodIndex(now);
    if (periods.empty() || periods.back().index < index) {
        periods.push_back(Period{index, {}});
    }
    periods.back().counts.add(counts);
    // The rest of the pool is summed over one period more at each end.
    while (periods.front().index < index - WindowLengths.back() - 2) {
        periods.pop_front();
    }
}

void OutlierDetector::onEjected(const BackendServerId &server, MonotonicTime now)
{
    this->servers[server].hold.start(this->settings.hold, now);
}

void OutlierDetector::forget(const BackendServerId &server)
{
    this->servers.erase(server);
}

std::int64_t OutlierDetector::periodIndex(MonotonicTime now) const
{
    return now.time_since_epoch() / this->settings.period;
}

OutlierDetector::Counts OutlierDetector::sum(const Server &server, std::int64_t first, std::int64_t last) const
{
    Counts counts;
    for (const Period &period : server.periods) {
        if (period.index >= first && period.index <= last) {
            counts.add(period.counts);
        }
    }
    return counts;
}

OutlierDetector::Finding OutlierDetector::testFailures(const Counts &subject, const PoolCounts &rest) const
{
    double sumOfLogs = 0;
    double bestSingle = 0;
    std::size_t tested = 0;
    std::size_t failing = 0;
    for (std::size_t bucket = 0; bucket < EvidenceBuckets; ++bucket) {
        const std::uint64_t requests = subject.requests[bucket];
        if (requests == 0) {
            continue;
        }
        ++tested;
        const std::uint64_t restRequests = rest.counts.requests[bucket];
        const std::uint64_t restFailures = rest.counts.failures[bucket];
        const double rate = testedRate(restFailures, restRequests, this->settings.leastFailureRate, this->settings.rateInflation);
        const double log = logBinomialTail(subject.failures[bucket], requests, rate);
        sumOfLogs += log;
        failing += log < LogBucketFails ? 1 : 0;
        const bool isSoundElsewhere = restRequests >= LeastRestRequests && rest.soundServers[bucket] >= LeastSoundServers
            && static_cast<double>(restFailures) <= MostRestFailures * static_cast<double>(restRequests);
        if (isSoundElsewhere) {
            bestSingle = std::min(bestSingle, log);
        }
    }
    if (tested == 0) {
        return {};
    }
    const double single = std::min(0.0, bestSingle + std::log10(static_cast<double>(tested)));
    const double combined = failing >= 2 ? logCombined(sumOfLogs, tested) : 0;
    return Finding{std::min(single, combined), "failures buckets=" + std::to_string(failing)};
}

OutlierDetector::Finding OutlierDetector::testLatency(const Counts &subject, const PoolCounts &rest) const
{
    if (subject.answers == 0 || rest.counts.answers == 0) {
        return {};
    }
    const double rate = testedRate(rest.slowAnswers, rest.counts.answers, LeastSlowRate, this->settings.rateInflation);
    const double log = logBinomialTail(this->slowAnswers(subject, rest.latency), subject.answers, rate);
    return Finding{log, "slow"};
}

/// Returns the answers that count as slow: those slow for the server itself, or half of all if its median is slow for the pool.
std::uint64_t OutlierDetector::slowAnswers(const Counts &counts, double poolLatency) const
{
    if (counts.answers == 0) {
        return 0;
    }
    const double factor = 4.5 - 3.0 * this->sensitivity;
    const double latency = counts.latencySum / static_cast<double>(counts.answers);
    const std::uint64_t half = (counts.answers + 1) / 2;
    return poolLatency > 0 && latency > factor * poolLatency ? std::max(counts.slow, half) : counts.slow;
}

OutlierDetector::PoolCounts OutlierDetector::poolCounts(std::int64_t first, std::int64_t last) const
{
    PoolCounts pool;
    std::vector<Counts> all;
    std::vector<double> latencies;
    for (const auto &[id, server] : this->servers) {
        all.push_back(this->sum(server, first, last));
        if (all.back().answers > 0) {
            latencies.push_back(all.back().latencySum / static_cast<double>(all.back().answers));
        }
    }
    if (!latencies.empty()) {
        const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
        std::nth_element(latencies.begin(), middle, latencies.end());
        pool.latency = *middle;
    }
    for (const Counts &counts : all) {
        this->include(counts, pool, 1);
    }
    return pool;
}

/// Adds (\p sign 1) or removes (\p sign -1) the counts of one server.
void OutlierDetector::include(const Counts &counts, PoolCounts &pool, int sign) const
{
    const auto apply = [sign](auto &total, auto value) {
        total = sign > 0 ? total + value : total - value;
    };
    for (std::size_t bucket = 0; bucket < EvidenceBuckets; ++bucket) {
        apply(pool.counts.requests[bucket], counts.requests[bucket]);
        apply(pool.counts.failures[bucket], counts.failures[bucket]);
        const bool isSound = counts.requests[bucket] > 0
            && static_cast<double>(counts.failures[bucket]) <= MostRestFailures * static_cast<double>(counts.requests[bucket]);
        apply(pool.soundServers[bucket], std::size_t{isSound});
    }
    apply(pool.counts.answers, counts.answers);
    apply(pool.slowAnswers, this->slowAnswers(counts, pool.latency));
}

std::vector<Verdict> OutlierDetector::judge(MonotonicTime now)
{
    const std::int64_t current = this->periodIndex(now);
    for (auto &[id, server] : this->servers) {
        if (server.hold.finish(now)) {
            // The evidence before the ejection says nothing about the server after its return.
            server.periods.clear();
        }
    }

    std::map<BackendServerId, Finding> worst;
    for (const std::int64_t length : WindowLengths) {
        // Reports of the same moment arrive up to one period apart. The newest period is judged when the reports of all
        // servers can be here, and the rest of the pool is summed over one more period at each end.
        const std::int64_t last = current - 1;
        const std::int64_t first = last - length + 1;
        const PoolCounts pool = this->poolCounts(first - 1, current);
        for (const auto &[id, server] : this->servers) {
            const Counts subject = this->sum(server, first, last);
            PoolCounts rest = pool;
            this->include(this->sum(server, first - 1, current), rest, -1);
            for (const Finding &finding : {this->testFailures(subject, rest), this->testLatency(subject, rest)}) {
                if (finding.logProbability < worst[id].logProbability) {
                    worst[id] = finding;
                }
            }
        }
    }

    const double needed = 13.0 - 10.0 * this->sensitivity;
    std::vector<std::pair<double, Verdict>> ranked;
    for (const auto &[id, server] : this->servers) {
        const Finding &finding = worst[id];
        const double strength = std::max(0.0, -finding.logProbability - LogTries) / needed;
        const bool isHeld = server.hold.holds(now);
        if (!isHeld && strength <= 0.5) {
            continue;
        }
        const double weight = isHeld ? LeastWeight : std::clamp(1.0 - (strength - 0.5) * 2.0 * (1.0 - LeastWeight), LeastWeight, 1.0);
        std::string evidence = isHeld ? "held" : finding.evidence + " log_probability=" + std::to_string(finding.logProbability);
        // Servers that are already out keep their leases before others get one.
        const double rank = isHeld ? HUGE_VAL : strength;
        ranked.emplace_back(rank, Verdict{id, isHeld || strength >= 1.0, ServerWeight(weight), std::move(evidence)});
    }
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return left.first > right.first;
    });
    std::vector<Verdict> verdicts;
    verdicts.reserve(ranked.size());
    for (auto &[rank, verdict] : ranked) {
        verdicts.push_back(std::move(verdict));
    }
    return verdicts;
}

} // namespace rhubarbtiller::health
