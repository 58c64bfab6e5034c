#include <rhubarbtiller/balance/rolloutevidence.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <functional>
#include <numeric>
#include <vector>

namespace rhubarbtiller::balance {

using std::chrono::milliseconds;

static constexpr Duration FirstBucketEnd = milliseconds(10);
static constexpr double BucketFactor = 1.2;

/// The responses of the other servers that the target is compared with.
static constexpr Duration WindowLength = std::chrono::seconds(3);
static constexpr Duration SliceLength = milliseconds(300);

/// Responses of the other servers are kept for this long.
static constexpr Duration HistoryLength = std::chrono::seconds(60);

/// The first latencies after the order are those of the fast requests only.
static constexpr Duration FirstLatencies = milliseconds(1000);

/// The measure of slowness is taken from the slice at this part of all slices, from the fastest on.
static constexpr double UsualQuantile = 0.35;

/// The window is longer while it has fewer responses than this.
static constexpr std::uint64_t MinWindowResponses = 200;

/// A sum of the log likelihood ratio above this is a fault; a target like the others passes it with a probability of at most e^-14
/// for each response.
static constexpr double Threshold = 14;

/// For slowness, since hosts measure the share of slow responses with an error, and may differ by a bucket in what is slow.
static constexpr double SlowThreshold = 18;

/// Least share of failures that is assumed of a sound version, and by how much more a bad one has at least.
static constexpr double MinFailureShare = 0.005;
static constexpr double MinFailureExcess = 0.045;

/// Responses without failure that are assumed of the other servers, in addition to those of the window.
static constexpr double PriorResponses = 50;

/// Least share of slow responses that is assumed of a sound version, and by how much more a bad one has.
static constexpr double MinSlowShare = 0.05;
static constexpr double SlowExcess = 0.13;

/// A response is slow if it is in a bucket beyond the one that contains this part of the responses of the other servers, by SlowMargin
/// buckets; by more during the switch, when each server of the target gets more requests than before.
static constexpr double SlowQuantile = 0.9;
static constexpr std::size_t SlowMargin = 1;
static constexpr std::size_t SwitchingSlowMargin = 2;

/// Responses of the other servers on a route below which there is no test of latencies.
static constexpr std::uint64_t MinLatencies = 60;

static constexpr double MaxShare = 0.95;

/// Faults on fewer servers may be faults of these servers, unless the target has no more.
static constexpr unsigned MinFaultyServers = 3;

std::size_t latencyBucket(Duration latency)
{
    std::size_t bucket = 0;
    while (bucket + 1 < LatencyBuckets && latency > latencyBucketEnd(bucket)) {
        ++bucket;
    }
    return bucket;
}

/// Returns the ends of all buckets.
static std::array<Duration, LatencyBuckets> makeBucketEnds()
{
    std::array<Duration, LatencyBuckets> ends{};
    std::chrono::duration<double> end = FirstBucketEnd;
    for (auto &each : ends) {
        each = std::chrono::duration_cast<Duration>(end);
        end *= BucketFactor;
    }
    ends.back() = Duration::max();
    return ends;
}

Duration latencyBucketEnd(std::size_t bucket)
{
    static const auto ends = makeBucketEnds();
    return ends.at(bucket);
}

void ServerSketch::add(const BackendServerId &server)
{
    static constexpr std::uint64_t Bits = 64;
    this->bits |= std::uint64_t(1) << (std::hash<std::string>{}(server.text()) % Bits);
}

unsigned ServerSketch::count() const
{
    return static_cast<unsigned>(std::popcount(this->bits));
}

std::string_view rolloutFaultName(RolloutFault fault)
{
    switch (fault) {
    case RolloutFault::None:
        return "none";
    case RolloutFault::Failures:
        return "failures";
    case RolloutFault::Slowness:
        return "slowness";
    }
    return "unknown";
}

/// Returns the log likelihood ratio of the responses \p bad and \p good, for shares of bad ones of \p faulty against \p sound.
static double logRatio(std::uint64_t bad, std::uint64_t good, double sound, double faulty)
{
    return static_cast<double>(bad) * std::log(faulty / sound) + static_cast<double>(good) * std::log((1 - faulty) / (1 - sound));
}

static std::uint64_t totalLatencies(const VersionCounts &counts)
{
    return std::accumulate(counts.latencies.begin(), counts.latencies.end(), std::uint64_t(0));
}

/// Returns how many latencies are in \p firstBucket or beyond.
static std::uint64_t latenciesFrom(const VersionCounts &counts, std::size_t firstBucket)
{
    if (firstBucket >= LatencyBuckets) {
        return 0;
    }
    return std::accumulate(counts.latencies.begin() + static_cast<std::ptrdiff_t>(firstBucket), counts.latencies.end(), std::uint64_t(0));
}

/// Returns the bucket that contains SlowQuantile of the latencies. Precondition: there are latencies.
static std::size_t quantileBucket(const VersionCounts &counts)
{
    const double wanted = SlowQuantile * static_cast<double>(totalLatencies(counts));
    std::uint64_t sum = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < LatencyBuckets; ++bucket) {
        sum += counts.latencies[bucket];
        if (static_cast<double>(sum) >= wanted) {
            break;
        }
    }
    return bucket;
}

static void add(VersionCounts &sum, const VersionCounts &counts)
{
    sum.successes += counts.successes;
    sum.failures += counts.failures;
    sum.broken += counts.broken;
    sum.judged += counts.judged;
    sum.slow += counts.slow;
    for (std::size_t i = 0; i < LatencyBuckets; ++i) {
        sum.latencies[i] += counts.latencies[i];
    }
}

/// Returns the part of \p counts that \p before does not contain; datagrams may arrive in another order than they were sent.
static VersionCounts difference(const VersionCounts &counts, const VersionCounts &before)
{
    const auto rest = [](auto total, auto known) {
        return total > known ? total - known : decltype(total)(0);
    };
    VersionCounts added;
    added.successes = rest(counts.successes, before.successes);
    added.failures = rest(counts.failures, before.failures);
    added.broken = rest(counts.broken, before.broken);
    added.judged = rest(counts.judged, before.judged);
    added.slow = rest(counts.slow, before.slow);
    for (std::size_t i = 0; i < LatencyBuckets; ++i) {
        added.latencies[i] = rest(counts.latencies[i], before.latencies[i]);
    }
    return added;
}

void RolloutEvidence::merge(const HostId &host, Incarnation incarnation, const RolloutCounts &counts, MonotonicTime now)
{
    auto &last = this->lastReports[host];
    if (incarnation < last.incarnation) {
        return;
    }
    if (incarnation > last.incarnation) {
        last = {incarnation, {}};
    }
    if (this->window.empty() || now - this->window.back().beganAt >= SliceLength) {
        this->window.push_back({now, {}});
    }
    for (const auto &[cell, current] : counts) {
        auto &before = last.counts[cell];
        const auto added = difference(current, before);
        add(before, added);
        if (cell.isTarget) {
            add(this->pending[cell.route], added);
            this->responses += added.successes + added.failures;
            this->targetBroken += added.broken;
            this->judged += added.judged;
            continue;
        }
        if (this->hasSwitched) {
            continue;
        }
        auto counted = added;
        if (now - this->window.front().beganAt < FirstLatencies) {
            counted.latencies = {};
        }
        add(this->window.back().others[cell.route], counted);
        this->otherResponses += added.successes + added.failures;
        this->otherBroken += added.broken;
    }
}

void RolloutEvidence::mergeServers(const ServerSketch &failing, const ServerSketch &slow)
{
    this->failingServers.merge(failing);
    this->slowServers.merge(slow);
}

void RolloutEvidence::discardOldSlices(MonotonicTime now)
{
    while (!this->window.empty() && now - this->window.front().beganAt > HistoryLength) {
        this->window.pop_front();
    }
}

/// Returns the counts of the other servers on a route in groups of at least MinLatencies, the oldest first.
std::vector<VersionCounts> RolloutEvidence::groupsOfOthers(const RouteName &route) const
{
    std::vector<VersionCounts> groups;
    VersionCounts group;
    for (const auto &slice : this->window) {
        if (const auto found = slice.others.find(route); found != slice.others.end()) {
            add(group, found->second);
        }
        if (totalLatencies(group) >= MinLatencies) {
            groups.push_back(std::exchange(group, {}));
        }
    }
    return groups;
}

/// Returns the element at UsualQuantile of the sorted \p values. Precondition: there are values.
template<class Value>
static Value usual(std::vector<Value> values)
{
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(values.size() - 1) * UsualQuantile);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

/// Returns the bucket that usually contains SlowQuantile of the latencies of the other servers: a low one, so that a fault of these
/// servers does not raise it.
static std::optional<std::size_t> usualBucket(const std::vector<VersionCounts> &groups)
{
    std::vector<std::size_t> buckets;
    buckets.reserve(groups.size());
    for (const auto &group : groups) {
        buckets.push_back(quantileBucket(group));
    }
    return buckets.empty() ? std::nullopt : std::optional(usual(std::move(buckets)));
}

/// Returns the share of latencies from \p bucket on that is usual for the other servers. Precondition: there are groups.
static double usualSlowShare(const std::vector<VersionCounts> &groups, std::size_t bucket)
{
    std::vector<double> shares;
    shares.reserve(groups.size());
    for (const auto &group : groups) {
        shares.push_back(static_cast<double>(latenciesFrom(group, bucket)) / static_cast<double>(totalLatencies(group)));
    }
    return usual(std::move(shares));
}

/// Returns the counts of the other servers that the target is compared with: those of the last seconds, or, if they are too few or the
/// switch is over, all.
VersionCounts RolloutEvidence::othersInWindow(const RouteName &route, MonotonicTime now) const
{
    VersionCounts sum;
    for (auto slice = this->window.rbegin(); slice != this->window.rend(); ++slice) {
        const bool isEnough = !this->hasSwitched && sum.successes + sum.failures >= MinWindowResponses;
        if (isEnough && now - slice->beganAt > WindowLength) {
            break;
        }
        if (const auto found = slice->others.find(route); found != slice->others.end()) {
            add(sum, found->second);
        }
    }
    return sum;
}

/// Updates the measure of slowness of a route, and returns the ratios of the responses that the target has added on it.
RolloutEvidence::Sums RolloutEvidence::ratiosOf(const RouteName &route, const VersionCounts &added, MonotonicTime now)
{
    Sums ratios;
    auto &state = this->routes[route];
    const auto others = this->othersInWindow(route, now);
    const double failures = static_cast<double>(others.failures);
    const double soundFailures = std::clamp(
        failures / (static_cast<double>(others.successes) + failures + PriorResponses), MinFailureShare, MaxShare - MinFailureExcess);
    const double faultyFailures = std::min(MaxShare, soundFailures + std::max(MinFailureExcess, soundFailures));
    ratios.failures = logRatio(added.failures, added.successes, soundFailures, faultyFailures);
    this->bad += added.failures;

    const auto latencies = totalLatencies(others);
    const auto groups = this->groupsOfOthers(route);
    if (const auto bucket = usualBucket(groups)) {
        state.slowBucket = *bucket + (this->hasSwitched ? SwitchingSlowMargin : SlowMargin);
    }
    if (state.slowBucket && !groups.empty()) {
        const double current
            = latencies == 0 ? 0.0 : static_cast<double>(latenciesFrom(others, *state.slowBucket)) / static_cast<double>(latencies);
        const double measured = this->hasSwitched ? usualSlowShare(groups, *state.slowBucket) : current;
        const double deviation = std::sqrt(measured * (1 - measured) / static_cast<double>(std::max(latencies, MinLatencies)));
        const double soundSlow = std::clamp(measured + deviation, MinSlowShare, MaxShare - SlowExcess);
        const auto slow = std::min(added.slow, added.judged);
        ratios.slow = logRatio(slow, added.judged - slow, soundSlow, soundSlow + SlowExcess);
        this->bad += slow;
    }
    return ratios;
}

void RolloutEvidence::decide(const RouteName &route, const Sums &sums, std::size_t targetServers)
{
    if (this->foundFault != RolloutFault::None) {
        return;
    }
    const auto needed = static_cast<unsigned>(std::min<std::size_t>(MinFaultyServers, std::max<std::size_t>(1, targetServers)));
    if (sums.failures > Threshold && this->failingServers.count() >= needed) {
        this->foundFault = RolloutFault::Failures;
        this->foundRoute = route;
    } else if (sums.slow > SlowThreshold && this->slowServers.count() >= needed) {
        this->foundFault = RolloutFault::Slowness;
        this->foundRoute = route;
    }
}

void RolloutEvidence::update(std::size_t targetServers, bool isSwitching, MonotonicTime now)
{
    this->hasSwitched = isSwitching;
    this->discardOldSlices(now);
    std::map<RouteName, VersionCounts> added;
    added.swap(this->pending);
    for (auto slice = this->window.rbegin(); slice != this->window.rend() && now - slice->beganAt < WindowLength; ++slice) {
        for (const auto &[route, counts] : slice->others) {
            // Requests in progress need to know from when on they are slow before the first response of the target.
            added.try_emplace(route);
        }
    }
    Sums all;
    for (const auto &[route, counts] : added) {
        const auto ratios = this->ratiosOf(route, counts, now);
        auto &sums = this->routes[route].sums;
        sums = {std::max(0.0, sums.failures + ratios.failures), std::max(0.0, sums.slow + ratios.slow)};
        this->decide(route, sums, targetServers);
        all = {all.failures + ratios.failures, all.slow + ratios.slow};
    }
    this->pooled = {std::max(0.0, this->pooled.failures + all.failures), std::max(0.0, this->pooled.slow + all.slow)};
    this->decide({}, this->pooled, targetServers);
}

double RolloutEvidence::suspicion() const
{
    double largest = std::max(this->pooled.failures / Threshold, this->pooled.slow / SlowThreshold);
    for (const auto &[route, state] : this->routes) {
        largest = std::max({largest, state.sums.failures / Threshold, state.sums.slow / SlowThreshold});
    }
    return largest;
}

std::optional<Duration> RolloutEvidence::slowFrom(const RouteName &route) const
{
    const auto found = this->routes.find(route);
    if (found == this->routes.end() || !found->second.slowBucket || *found->second.slowBucket >= LatencyBuckets) {
        return std::nullopt;
    }
    return latencyBucketEnd(*found->second.slowBucket - 1);
}

double RolloutEvidence::brokenExcess() const
{
    const auto share = [](std::uint64_t broken, std::uint64_t valid) {
        return broken == 0 ? 0.0 : static_cast<double>(broken) / static_cast<double>(broken + valid);
    };
    return share(this->targetBroken, this->responses) - share(this->otherBroken, this->otherResponses);
}

} // namespace rhubarbtiller::balance
