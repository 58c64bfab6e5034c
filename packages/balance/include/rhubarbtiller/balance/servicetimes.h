#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/catalog/catalog.h>

#include <array>
#include <unordered_map>
#include <vector>

namespace rhubarbtiller::balance {

/// The assumed time that a server takes to process a request, until it is measured; the mean over the known workloads.
inline constexpr Duration DefaultServiceTime = std::chrono::milliseconds(270);

/// A sum that decays exponentially, to measure a rate over the last seconds.
class DecayingSum
{
public:
    explicit DecayingSum(Duration decayTime) : decay(decayTime)
    {
    }

    /// Adds an amount. Precondition: \p now does not go back.
    void add(double amount, MonotonicTime now);

    /// Returns the sum. Precondition: \p now does not go back.
    double value(MonotonicTime now) const;

    /// Returns the amount added per second. Precondition: \p now does not go back.
    double perSecond(MonotonicTime now) const;

private:
    Duration decay;
    double sum = 0;
    MonotonicTime updatedAt{};
};

/// A response to an attempt.
struct ServiceTimeSample
{
    /// From sending the request to its response.
    Duration duration{};
    /// Requests that the server had when this one was sent.
    std::uint32_t outstanding = 0;
    std::uint32_t slots = 1;
};

/// The measured times of one route at one service.
struct MeasuredTimes
{
    RouteName route;
    catalog::ServiceName service;
    /// Processing time without waiting at the server, mean and 80th percentile.
    Duration work{};
    Duration highWork{};
    /// Time from sending to the response, waiting at the server included.
    Duration response{};
    /// Responses that the work is measured from, by decayed count.
    double samples = 0;
    Duration age{};
};

/// Measures how long servers take for the requests of each route and service, as decayed histograms.
///
/// Work and waiting at the server are measured separately: the work determines how fast slots become free, the response time determines
/// whether a request that starts now is answered in time.
/// Thread safety: one thread.
class ServiceTimes
{
public:
    /// Records a response. Precondition: \p now does not go back.
    void observe(const RouteName &route, const catalog::ServiceName &service, const ServiceTimeSample &sample, MonotonicTime now);

    /// Returns the mean processing time, DefaultServiceTime until it is measured. Precondition: \p now does not go back.
    Duration expected(const RouteName &route, const catalog::ServiceName &service, MonotonicTime now) const;

    /// Returns the recent time from sending a request to its response; not less than expected(). Precondition: \p now does not go back.
    Duration expectedResponse(const RouteName &route, const catalog::ServiceName &service, MonotonicTime now) const;

    /// Returns all measurements. Precondition: \p now does not go back.
    std::vector<MeasuredTimes> measurements(MonotonicTime now) const;

private:
    /// Two buckets for each doubling, from 2 ms to 30 s.
    static constexpr std::size_t BucketCount = 28;

    struct Times
    {
        std::array<double, BucketCount> buckets{};
        /// Weighted sum of the work in seconds, and sum of the weights.
        double work = 0;
        double weight = 0;
        /// Weight of the samples that did not wait at their server.
        double directWeight = 0;
        MonotonicTime updatedAt{};
        DecayingSum responseSeconds;
        DecayingSum responses;

        Times();
    };

    static Duration meanWork(const Times &times);
    static Duration quantile(const Times &times, double share);
    const Times *find(const RouteName &route, const catalog::ServiceName &service) const;

    std::unordered_map<catalog::ServiceName, std::unordered_map<RouteName, Times>> services;
};

} // namespace rhubarbtiller::balance
