#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace rhubarbtiller::health {

/// Number of groups that organisations are divided into for evidence.
constexpr std::size_t EvidenceBuckets = 8;

/// Returns the bucket of an organisation; the same on all hosts. Precondition: none. Thread safety: any thread.
std::size_t evidenceBucket(const OrganisationId &organisation);

/// What a real request says about the server that ran it.
enum class Observation {
    Success,
    Failure,
};

/// Counters of the requests of one server in one reporting period.
struct ServerSample
{
    BackendServerId server;
    std::array<std::uint32_t, EvidenceBuckets> successes{};
    std::array<std::uint32_t, EvidenceBuckets> failures{};
    /// Median over the answers of the period; 0 without answers.
    Duration medianLatency{};
    /// Answers slower than three times the server's own median of the previous periods.
    std::uint32_t slowAnswers = 0;
    /// The longest run of failures without a success in between, up to the end of the period.
    std::uint32_t failuresInRow = 0;

    bool operator==(const ServerSample &) const = default;
};

/// Counts the real requests of one server at its owner host, by organisation bucket, in rotating periods.
///
/// Thread safety: none; the owner guards it together with the rest of the server's state.
class EvidenceWindow
{
public:
    explicit EvidenceWindow(BackendServerId serverId, Duration periodLength = std::chrono::seconds(1));

    /// Counts one request that ended. Shed answers and requests that were not sent are not evidence.
    /// Precondition: \p now does not go back.
    void observe(const OrganisationId &organisation, Observation observation, Duration latency, MonotonicTime now);

    /// Returns the samples of the complete periods since the last call, oldest first; periods without requests are left out.
    ///
    /// At most the last four are kept, so that a host that was paused does not report old evidence.
    /// Precondition: \p now does not go back.
    std::vector<ServerSample> takeSamples(MonotonicTime now);

private:
    void rotate(MonotonicTime now);

    BackendServerId server;
    Duration period;
    MonotonicTime periodStart;
    bool hasStarted = false;
    ServerSample current;
    std::vector<Duration> latencies;
    std::deque<Duration> previousMedians;
    Duration usualLatency{};
    std::deque<ServerSample> complete;
    std::uint32_t failureRun = 0;
};

} // namespace rhubarbtiller::health
