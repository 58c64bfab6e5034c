#include <rhubarbtiller/balance/servicetimes.h>

#include <algorithm>
#include <cmath>

namespace rhubarbtiller::balance {

using Seconds = std::chrono::duration<double>;

/// The work of a route changes slowly.
static constexpr Duration WorkDecayTime = std::chrono::seconds(20);

/// Waiting at servers changes within a burst.
static constexpr Duration ResponseDecayTime = std::chrono::milliseconds(1500);

/// Weight of DefaultServiceTime against one measured response.
static constexpr double DefaultWeight = 2;

/// With fewer samples that did not wait, samples that waited are used as well, with their estimated wait removed.
static constexpr double EnoughDirectSamples = 10;
static constexpr double WaitedSampleWeight = 0.25;

/// Below this decayed number of responses, the response time counts as unknown.
static constexpr double MinResponses = 0.5;

/// A route that had no response for this long is removed when another one is added.
static constexpr Duration RetentionTime = std::chrono::minutes(10);

static constexpr double FirstBucketSeconds = 0.002;
static constexpr double BucketsPerDoubling = 2;
static constexpr double HighShare = 0.8;

static double decayFactor(Duration elapsed, Duration decay)
{
    return std::exp(-Seconds(std::max(Duration(0), elapsed)) / Seconds(decay));
}

static Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

void DecayingSum::add(double amount, MonotonicTime now)
{
    this->sum = this->value(now) + amount;
    this->updatedAt = now;
}

double DecayingSum::value(MonotonicTime now) const
{
    return this->sum == 0 ? 0 : this->sum * decayFactor(now - this->updatedAt, this->decay);
}

double DecayingSum::perSecond(MonotonicTime now) const
{
    return this->value(now) / Seconds(this->decay).count();
}

ServiceTimes::Times::Times() : responseSeconds(ResponseDecayTime), responses(ResponseDecayTime)
{
}

void ServiceTimes::observe(const RouteName &route, const catalog::ServiceName &service, const ServiceTimeSample &sample, MonotonicTime now)
{
    auto &routes = this->services[service];
    if (!routes.contains(route)) {
        std::erase_if(routes, [now](const auto &entry) {
            return now - entry.second.updatedAt > RetentionTime;
        });
    }
    auto &times = routes[route];
    const double factor = decayFactor(now - times.updatedAt, WorkDecayTime);
    for (auto &bucket : times.buckets) {
        bucket *= factor;
    }
    times.work *= factor;
    times.weight *= factor;
    times.directWeight *= factor;
    times.updatedAt = now;
    const double seconds = Seconds(sample.duration).count();
    times.responseSeconds.add(seconds, now);
    times.responses.add(1, now);
    const bool hasWaited = sample.outstanding >= sample.slots;
    if (hasWaited && times.directWeight >= EnoughDirectSamples) {
        return;
    }
    // A server that serves in order with `outstanding` requests ahead takes (outstanding + 1) / slots times the work.
    const double work = hasWaited ? seconds * std::max(1U, sample.slots) / (static_cast<double>(sample.outstanding) + 1) : seconds;
    const double weight = hasWaited ? WaitedSampleWeight : 1;
    times.work += work * weight;
    times.weight += weight;
    times.directWeight += hasWaited ? 0 : 1;
    const double position = std::log2(std::max(work, FirstBucketSeconds) / FirstBucketSeconds) * BucketsPerDoubling;
    times.buckets[std::min(BucketCount - 1, static_cast<std::size_t>(position))] += weight;
}

Duration ServiceTimes::meanWork(const Times &times)
{
    const double assumed = Seconds(DefaultServiceTime).count() * DefaultWeight;
    return fromSeconds((times.work + assumed) / (times.weight + DefaultWeight));
}

Duration ServiceTimes::quantile(const Times &times, double share)
{
    double left = times.weight * share;
    for (std::size_t i = 0; i < BucketCount; ++i) {
        left -= times.buckets[i];
        if (left <= 0) {
            return fromSeconds(FirstBucketSeconds * std::exp2((static_cast<double>(i) + 1) / BucketsPerDoubling));
        }
    }
    return meanWork(times);
}

const ServiceTimes::Times *ServiceTimes::find(const RouteName &route, const catalog::ServiceName &service) const
{
    const auto routes = this->services.find(service);
    if (routes == this->services.end()) {
        return nullptr;
    }
    const auto found = routes->second.find(route);
    return found == routes->second.end() ? nullptr : &found->second;
}

Duration ServiceTimes::expected(const RouteName &route, const catalog::ServiceName &service, MonotonicTime) const
{
    const auto *const times = this->find(route, service);
    return times == nullptr ? DefaultServiceTime : meanWork(*times);
}

Duration ServiceTimes::expectedResponse(const RouteName &route, const catalog::ServiceName &service, MonotonicTime now) const
{
    const auto *const times = this->find(route, service);
    if (times == nullptr) {
        return DefaultServiceTime;
    }
    const double responses = times->responses.value(now);
    const auto work = meanWork(*times);
    return responses < MinResponses ? work : std::max(work, fromSeconds(times->responseSeconds.value(now) / responses));
}

std::vector<MeasuredTimes> ServiceTimes::measurements(MonotonicTime now) const
{
    std::vector<MeasuredTimes> result;
    for (const auto &[service, routes] : this->services) {
        for (const auto &[route, times] : routes) {
            result.push_back({route,
                              service,
                              meanWork(times),
                              quantile(times, HighShare),
                              this->expectedResponse(route, service, now),
                              times.weight * decayFactor(now - times.updatedAt, WorkDecayTime),
                              now - times.updatedAt});
        }
    }
    return result;
}

} // namespace rhubarbtiller::balance
