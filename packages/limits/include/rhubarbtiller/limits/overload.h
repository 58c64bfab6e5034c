#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/limits/expiringindex.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace rhubarbtiller::limits {

/// Bounds of the concurrency of a host.
struct OverloadSettings
{
    std::uint32_t maxConcurrent = 512;
    /// The adaptive limit never falls below this.
    std::uint32_t minConcurrent = 32;
    /// Share of the limit above which organisations are held to their fair part.
    double busyShare = 0.75;
    /// Delay of the host itself (not of backend servers) above which the limit falls.
    Duration delayTarget = std::chrono::milliseconds(2);
    /// Time between two changes of the limit.
    Duration adaptationInterval = std::chrono::milliseconds(100);
};

class OverloadControl;

/// The right to process one request; given back by the destructor.
///
/// Thread safety: one thread at a time. Must not outlive the OverloadControl.
class OverloadPermit
{
public:
    OverloadPermit(OverloadPermit &&other) noexcept;
    OverloadPermit &operator=(OverloadPermit &&other) noexcept;
    ~OverloadPermit();

private:
    friend class OverloadControl;
    OverloadPermit(OverloadControl &owner, std::atomic<std::int64_t> &count);
    void release();

    OverloadControl *control;
    std::atomic<std::int64_t> *inFlight;
};

/// Limits the requests that the host processes at once, fairly by organisation.
///
/// Below the busy share of the limit every request passes. Above it, an organisation passes only while it has less than
/// limit / active organisations requests in flight, so the one above its fair part is refused first.
class OverloadControl
{
public:
    explicit OverloadControl(const OverloadSettings &settings);

    /// Returns a permit, or nothing if the request must be refused. Precondition: none. Thread safety: any thread, lock-free, O(1).
    std::optional<OverloadPermit> enter(const OrganisationId &organisation);

    /// Reports a delay that the host itself caused, for example the wait for its event loop.
    ///
    /// The limit falls when even the shortest delay of an interval is above the target: then there is a standing queue.
    /// Precondition: none. Thread safety: any thread, lock-free.
    void onHostDelay(Duration delay, MonotonicTime now);

    /// Returns the concurrency limit in force. Precondition: none. Thread safety: any thread.
    std::uint32_t limit() const;

    /// Returns the requests in flight. Precondition: none. Thread safety: any thread.
    std::uint32_t inFlight() const;

    /// Removes organisations without requests in flight and returns their number.
    ///
    /// Precondition: not called on the request path. Thread safety: any thread; waits for a grace period.
    std::size_t dropIdle();

    /// Returns the number of organisations with an entry. Precondition: none. Thread safety: any thread.
    std::size_t entryCount() const;

private:
    friend class OverloadPermit;
    void leave(std::atomic<std::int64_t> &count);

    const OverloadSettings settings;
    /// Requests in flight for each organisation; negative once the entry is retired.
    ExpiringIndex<OrganisationId, std::atomic<std::int64_t>> organisations;
    std::atomic<std::int64_t> total{0};
    std::atomic<std::int64_t> activeOrganisations{0};
    std::atomic<std::uint32_t> concurrencyLimit;
    /// The shortest delay since the last change of the limit.
    std::atomic<std::int64_t> shortestDelay;
    std::atomic<std::int64_t> nextAdaptation{0};
};

} // namespace rhubarbtiller::limits
