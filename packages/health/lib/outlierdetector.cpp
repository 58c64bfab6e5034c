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

    auto &reports = this->servers[sample.server].reports;
    reports.push_back(Report{now, counts});
    // The rest of the pool is summed over a longer time at both ends.
    while (reports.front().at <= now - this->settings.period * WindowLengths.back() - this->settings.reportSkew * 2) {
        reports.pop_front();
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

/// Sums the reports that arrived later than \p after and until \p last.
OutlierDetector::Counts OutlierDetector::sum(const Server &server, MonotonicTime after, MonotonicTime last) const
{
    Counts counts;
    for (auto report = server.reports.rbegin(); report != server.reports.rend() && report->at > after; ++report) {
        if (report->at <= last) {
            counts.add(report->counts);
        }
    }
    return counts;
}

OutlierDetector::Finding OutlierDetector::testFailures(const Counts &subject, const PoolCounts &rest) const
{
    if (std::all_of(subject.failures.begin(), subject.failures.end(), [](std::uint64_t count) {
            return count == 0;
        })) {
        return {};
    }
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

/// Returns the sums of all servers, in the order of the table.
std::vector<OutlierDetector::Counts> OutlierDetector::sums(MonotonicTime after, MonotonicTime last) const
{
    std::vector<Counts> all;
    all.reserve(this->servers.size());
    for (const auto &[id, server] : this->servers) {
        all.push_back(this->sum(server, after, last));
    }
    return all;
}

OutlierDetector::PoolCounts OutlierDetector::poolCounts(const std::vector<Counts> &all) const
{
    PoolCounts pool;
    std::vector<double> latencies;
    for (const Counts &counts : all) {
        if (counts.answers > 0) {
            latencies.push_back(counts.latencySum / static_cast<double>(counts.answers));
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

/// Returns the strongest finding on each server in one window, in the order of the table.
std::vector<OutlierDetector::Finding> OutlierDetector::findings(std::int64_t windowLength, MonotonicTime now) const
{
    // A report is judged when the reports of all servers on the same moment can be here. The rest of the pool is taken
    // at three shifts and the weakest evidence counts, so that the start or end of a common fault is nobody's fault.
    const Duration skew = this->settings.reportSkew;
    const MonotonicTime last = now - skew;
    const MonotonicTime after = last - this->settings.period * windowLength;
    const std::array<std::vector<Counts>, 3> shifted{
        this->sums(after - skew, last - skew), this->sums(after, last), this->sums(after + skew, now)};
    const std::vector<Counts> &subjects = shifted[1];
    std::vector<Finding> failures(subjects.size());
    std::vector<Finding> latencies(subjects.size());
    for (std::size_t shift = 0; shift < shifted.size(); ++shift) {
        const PoolCounts pool = this->poolCounts(shifted[shift]);
        for (std::size_t server = 0; server < subjects.size(); ++server) {
            PoolCounts rest = pool;
            this->include(shifted[shift][server], rest, -1);
            const Finding failure = this->testFailures(subjects[server], rest);
            if (shift == 0 || failure.logProbability > failures[server].logProbability) {
                failures[server] = failure;
            }
            const Finding latency = this->testLatency(subjects[server], rest);
            if (shift == 0 || latency.logProbability > latencies[server].logProbability) {
                latencies[server] = latency;
            }
        }
    }
    for (std::size_t server = 0; server < subjects.size(); ++server) {
        if (latencies[server].logProbability < failures[server].logProbability) {
            failures[server] = latencies[server];
        }
    }
    return failures;
}

std::vector<Verdict> OutlierDetector::judge(MonotonicTime now)
{
    for (auto &[id, server] : this->servers) {
        if (server.hold.finish(now)) {
            // The evidence before the ejection says nothing about the server after its return.
            server.reports.clear();
        }
    }

    std::vector<Finding> worst(this->servers.size());
    for (const std::int64_t length : WindowLengths) {
        const std::vector<Finding> found = this->findings(length, now);
        for (std::size_t server = 0; server < found.size(); ++server) {
            if (found[server].logProbability < worst[server].logProbability) {
                worst[server] = found[server];
            }
        }
    }

    const double needed = 13.0 - 10.0 * this->sensitivity;
    std::vector<std::pair<double, Verdict>> ranked;
    std::size_t position = 0;
    for (const auto &[id, server] : this->servers) {
        const Finding &finding = worst[position++];
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
