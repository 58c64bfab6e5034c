#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/catalog/catalog.h>

#include <array>
#include <map>

namespace rhubarbtiller::balance {

/// Which requests are sent to servers that received none for a while, regardless of their placement cost.
enum class TrialPolicy {
    /// No trial: retryable requests reach all servers anyway, or the trial tokens are used up.
    None,
    /// A request while too few servers are in use: after a pause of the requests, or while a route of any service fails its callers.
    BelowFloor,
    /// A part of the requests, so that use does not narrow to a few servers.
    Few,
    /// All requests while there are such servers, since the service fails its callers.
    All,
};

/// How the requests for one service ended recently.
struct OutcomeCount
{
    std::uint32_t served = 0;
    /// Ended without an answer to a waiting caller, refusals included.
    std::uint32_t unserved = 0;

    /// Returns the share of requests that were not served; 0 without requests. Precondition: none.
    double unservedShare() const;
};

/// Counts how the requests for each service end, over a few seconds.
///
/// Thread safety: one thread.
class ServiceOutcomes
{
public:
    /// Records the end of a request; one that a rate limit refuses, or whose caller disconnected, is not served either.
    ///
    /// Precondition: \p now does not go back.
    void recordOutcome(const catalog::ServiceName &service, bool isServed, bool isRetryable, MonotonicTime now);

    /// Records the end of a request for its route, which a change of the configuration may move between services.
    ///
    /// Precondition: \p now does not go back.
    void recordRouteOutcome(const RouteName &route, bool isServed, MonotonicTime now);

    /// Returns which trials the next request may be used for; \p fleetFails: the evidence of all hosts shows that the service fails.
    ///
    /// Precondition: \p now does not go back.
    TrialPolicy trialPolicy(const catalog::ServiceName &service, bool fleetFails, MonotonicTime now) const;

    /// Records that a request was used for a trial. Precondition: none.
    void onTrialSent(const catalog::ServiceName &service);

    /// Returns the counts of the last 4 s by service; services without requests are left out.
    ///
    /// Precondition: \p now does not go back.
    std::map<catalog::ServiceName, OutcomeCount> recentCounts(MonotonicTime now) const;

private:
    static constexpr std::size_t SliceCount = 8;

    struct Slice
    {
        std::int64_t number = -1;
        std::uint32_t served = 0;
        std::uint32_t unserved = 0;
        std::uint32_t retryable = 0;
    };

    struct Counts
    {
        std::array<Slice, SliceCount> slices;
        /// Requests that may be used for trials.
        double trialTokens = 0;
    };

    static Slice sum(const Counts &counts, MonotonicTime now);
    static Slice &currentSlice(Counts &counts, MonotonicTime now);

    std::unordered_map<catalog::ServiceName, Counts> services;
    std::unordered_map<RouteName, Counts> routes;
    /// Until then some route counts as failing its callers.
    MonotonicTime routeFailsUntil{};
};

} // namespace rhubarbtiller::balance
