#include <rhubarbtiller/balance/serviceoutcomes.h>

#include <algorithm>

namespace rhubarbtiller::balance {

/// Eight slices cover 4 s: twice the time over which the platform evaluates the floor of used servers.
static constexpr Duration SliceLength = std::chrono::milliseconds(500);

/// Below the tenth of unserved requests from which the platform evaluates the floor, since one host handles only a part of them.
static constexpr double FailingShare = 0.08;

/// Fewer failures are not significant.
static constexpr std::uint32_t MinUnserved = 3;

/// From this share of retryable requests on, these reach each server within seconds, so that no trials are needed.
static constexpr double MinRetryableShare = 0.1;

/// Half of the share from which the platform evaluates the floor: servers have to be in use before the share is reached.
static constexpr double EarlyFailingShare = 0.05;
static constexpr std::uint32_t MinEarlyUnserved = 2;

/// A route counts as failing for this long after the last request that showed it.
static constexpr Duration RouteFailureValidity = std::chrono::seconds(1);

/// Share of the requests sent to unused servers while the service is healthy; such a request fails several times as often as others.
static constexpr double TrialsPerRequest = 0.1;
static constexpr double MaxTrialTokens = 3;

static std::int64_t sliceNumber(MonotonicTime now)
{
    return now.time_since_epoch() / SliceLength;
}

double OutcomeCount::unservedShare() const
{
    const auto requests = this->served + this->unserved;
    return requests == 0 ? 0 : static_cast<double>(this->unserved) / requests;
}

ServiceOutcomes::Slice &ServiceOutcomes::currentSlice(Counts &counts, MonotonicTime now)
{
    const auto number = sliceNumber(now);
    auto &slice = counts.slices[static_cast<std::size_t>(number) % SliceCount];
    if (slice.number != number) {
        slice = {number, 0, 0, 0};
    }
    return slice;
}

void ServiceOutcomes::recordOutcome(const catalog::ServiceName &service, bool isServed, bool isRetryable, MonotonicTime now)
{
    auto &counts = this->services[service];
    auto &slice = currentSlice(counts, now);
    ++(isServed ? slice.served : slice.unserved);
    slice.retryable += isRetryable ? 1 : 0;
    counts.trialTokens = std::min(MaxTrialTokens, counts.trialTokens + TrialsPerRequest);
}

static bool exceeds(std::uint32_t served, std::uint32_t unserved, double share, std::uint32_t least)
{
    return unserved >= least && unserved > share * (served + unserved);
}

void ServiceOutcomes::recordRouteOutcome(const RouteName &route, bool isServed, MonotonicTime now)
{
    const auto [entry, isNew] = this->routes.try_emplace(route);
    if (isNew) {
        // Routes that were removed leave no counts behind.
        std::erase_if(this->routes, [&route, now](const auto &each) {
            const auto total = sum(each.second, now);
            return each.first != route && total.served + total.unserved == 0;
        });
    }
    auto &counts = this->routes[route];
    auto &slice = currentSlice(counts, now);
    ++(isServed ? slice.served : slice.unserved);
    const auto total = sum(counts, now);
    if (exceeds(total.served, total.unserved, EarlyFailingShare, MinEarlyUnserved)) {
        this->routeFailsUntil = now + RouteFailureValidity;
    }
}

ServiceOutcomes::Slice ServiceOutcomes::sum(const Counts &counts, MonotonicTime now)
{
    const auto oldest = sliceNumber(now) - static_cast<std::int64_t>(SliceCount);
    Slice total;
    for (const auto &slice : counts.slices) {
        if (slice.number > oldest) {
            total.served += slice.served;
            total.unserved += slice.unserved;
            total.retryable += slice.retryable;
        }
    }
    return total;
}

TrialPolicy ServiceOutcomes::trialPolicy(const catalog::ServiceName &service, bool fleetFails, MonotonicTime now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return TrialPolicy::BelowFloor;
    }
    const auto total = sum(found->second, now);
    const auto requests = total.served + total.unserved;
    if (requests == 0) {
        return TrialPolicy::BelowFloor;
    }
    if (total.retryable >= MinRetryableShare * requests) {
        return TrialPolicy::None;
    }
    if (fleetFails || exceeds(total.served, total.unserved, FailingShare, MinUnserved)) {
        return TrialPolicy::All;
    }
    if (found->second.trialTokens >= 1) {
        return TrialPolicy::Few;
    }
    return now < this->routeFailsUntil ? TrialPolicy::BelowFloor : TrialPolicy::None;
}

void ServiceOutcomes::onTrialSent(const catalog::ServiceName &service)
{
    if (const auto found = this->services.find(service); found != this->services.end()) {
        found->second.trialTokens = std::max(0.0, found->second.trialTokens - 1);
    }
}

std::map<catalog::ServiceName, OutcomeCount> ServiceOutcomes::recentCounts(MonotonicTime now) const
{
    std::map<catalog::ServiceName, OutcomeCount> result;
    for (const auto &[service, counts] : this->services) {
        const auto total = sum(counts, now);
        if (total.served + total.unserved > 0) {
            result.emplace(service, OutcomeCount{total.served, total.unserved});
        }
    }
    return result;
}

} // namespace rhubarbtiller::balance
