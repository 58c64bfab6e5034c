#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace rhubarbtiller::balance {

/// Buckets of a latency histogram; see latencyBucket().
inline constexpr std::size_t LatencyBuckets = 36;

/// Returns the bucket of a latency: the first ends at 10 ms, each further one at 1.2 times the end of the one before.
///
/// Precondition: none. Thread safety: any thread.
std::size_t latencyBucket(Duration latency);

/// Returns the upper end of a bucket; max() for the last. Precondition: \p bucket is below LatencyBuckets. Thread safety: any thread.
Duration latencyBucketEnd(std::size_t bucket);

/// Numbers of responses of the servers of a version on one route, counted by one host since it started.
struct VersionCounts
{
    /// Responses that ran without failure.
    std::uint64_t successes = 0;
    /// Failures that the server declared in its response.
    std::uint64_t failures = 0;
    /// Requests that were sent and got no valid response.
    std::uint64_t broken = 0;
    /// Of the target: requests whose latency was judged, and those of them that were slow, by the measure of the host that counts. A
    /// request in progress counts as soon as it is slow.
    std::uint64_t judged = 0;
    std::uint64_t slow = 0;
    /// Latencies of the responses of the other servers.
    std::array<std::uint32_t, LatencyBuckets> latencies{};
};

/// Identifies the counts of one route for the target or for the other versions.
struct RolloutCell
{
    RouteName route;
    bool isTarget = false;

    auto operator<=>(const RolloutCell &) const = default;
};

using RolloutCounts = std::map<RolloutCell, VersionCounts>;

/// Servers, as a set of their ids' hash values modulo 64, so that hosts can merge their sets by reports of fixed size.
class ServerSketch
{
public:
    ServerSketch() = default;

    explicit ServerSketch(std::uint64_t hashes) : bits(hashes)
    {
    }

    /// Adds a server. Precondition: none.
    void add(const BackendServerId &server);

    /// Adds the servers of another set. Precondition: none.
    void merge(const ServerSketch &other)
    {
        this->bits |= other.bits;
    }

    /// Returns a lower bound of the number of servers. Precondition: none.
    unsigned count() const;

    /// Returns the hash values as bits. Precondition: none.
    std::uint64_t value() const
    {
        return this->bits;
    }

private:
    std::uint64_t bits = 0;
};

/// Why a version is judged bad.
enum class RolloutFault {
    None,
    Failures,
    Slowness,
};

/// Returns the name of a fault in logs. Precondition: none. Thread safety: any thread.
std::string_view rolloutFaultName(RolloutFault fault);

/// Compares the responses of the target of a roll-out with those of the other servers in the same seconds, by route.
///
/// For each route, for all together, and for each kind of fault, a CUSUM sum (Page's test) of the log likelihood ratio decides between the
/// share of bad responses that the other servers show and a clearly higher one. For a target like the others it passes the threshold with a
/// probability of at most e^-14 for each response. Thread safety: one thread.
class RolloutEvidence
{
public:
    /// Adds the counts of one host; only what its last report did not contain counts.
    ///
    /// Precondition: the counts of one incarnation never decrease.
    void merge(const HostId &host, Incarnation incarnation, const RolloutCounts &counts, MonotonicTime now);

    /// Adds servers of the target whose responses were failures or slow. Precondition: none.
    void mergeServers(const ServerSketch &failing, const ServerSketch &slow);

    /// Counts what has been merged since the last call; to be called several times a second.
    ///
    /// \p targetServers is the number of servers of the target, \p isSwitching whether it gets all requests.
    /// Precondition: \p now does not go back.
    void update(std::size_t targetServers, bool isSwitching, MonotonicTime now);

    /// Returns the fault that was found, if any; never withdrawn. Precondition: none.
    RolloutFault fault() const
    {
        return this->foundFault;
    }

    /// Returns the route of the fault; empty if only all routes together show it. Precondition: there is a fault.
    const RouteName &faultyRoute() const
    {
        return this->foundRoute;
    }

    /// Returns the largest sum, as a share of the threshold. Precondition: none.
    double suspicion() const;

    /// Returns from which latency a response on a route counts as slow, or nothing while that is not known. Precondition: none.
    std::optional<Duration> slowFrom(const RouteName &route) const;

    /// Returns the responses of the target. Precondition: none.
    std::uint64_t targetResponses() const
    {
        return this->responses;
    }

    /// Returns the requests to the target whose latency was judged. Precondition: none.
    std::uint64_t judgedRequests() const
    {
        return this->judged;
    }

    /// Returns the bad responses of the target. Precondition: none.
    std::uint64_t badResponses() const
    {
        return this->bad;
    }

    /// Returns by how much the share of broken responses of the target exceeds that of the others. Precondition: none.
    double brokenExcess() const;

private:
    /// Counts of one slice of the window.
    struct Slice
    {
        MonotonicTime beganAt{};
        std::map<RouteName, VersionCounts> others;
    };

    /// Log likelihood ratios, summed up.
    struct Sums
    {
        double failures = 0;
        double slow = 0;
    };

    struct RouteState
    {
        Sums sums;
        /// The first bucket that counts as slow; unset while the other servers have too few responses.
        std::optional<std::size_t> slowBucket;
    };

    struct LastReport
    {
        Incarnation incarnation;
        RolloutCounts counts;
    };

    void discardOldSlices(MonotonicTime now);
    Sums ratiosOf(const RouteName &route, const VersionCounts &added, MonotonicTime now);
    void decide(const RouteName &route, const Sums &sums, std::size_t targetServers);
    std::vector<VersionCounts> groupsOfOthers(const RouteName &route) const;
    VersionCounts othersInWindow(const RouteName &route, MonotonicTime now) const;

    std::map<HostId, LastReport> lastReports;
    std::deque<Slice> window;
    /// Counts of the target that update() has not processed yet.
    std::map<RouteName, VersionCounts> pending;
    std::map<RouteName, RouteState> routes;
    /// Of all routes together, each compared with the other servers on the same route.
    Sums pooled;
    ServerSketch failingServers;
    ServerSketch slowServers;
    RolloutFault foundFault = RolloutFault::None;
    RouteName foundRoute;
    std::uint64_t responses = 0;
    std::uint64_t judged = 0;
    std::uint64_t bad = 0;
    /// Whether the target gets all requests; what the others still answer is not representative then.
    bool hasSwitched = false;
    std::uint64_t targetBroken = 0;
    std::uint64_t otherResponses = 0;
    std::uint64_t otherBroken = 0;
};

} // namespace rhubarbtiller::balance
