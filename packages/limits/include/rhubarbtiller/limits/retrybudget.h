#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/limits/expiringindex.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace rhubarbtiller::limits {

/// Bounds of the retries of a pool.
struct RetryBudgetSettings
{
    /// Retries allowed for each hundred first attempts in the window.
    Percent share{10};
    /// Retries in the window that are always allowed, so that a pool with little traffic can retry at all.
    std::uint32_t minRetries = 3;
    Duration window = std::chrono::seconds(10);
};

/// A count of events over a sliding window, in slots of a tenth of the window; lock-free.
class SlidingCount
{
public:
    /// Precondition: \p window is at least 1 s, so that the period numbers fit into 32 bits for years.
    explicit SlidingCount(Duration window);

    /// Counts an event and returns the slot period that it was counted in. Precondition: none. Thread safety: any thread.
    std::int64_t add(MonotonicTime now);

    /// Takes back an event of the slot period \p period, if that period is still counted. Precondition: it was added. Thread safety: any
    /// thread.
    void subtract(std::int64_t period);

    /// Returns the number of events in the window before \p now. Precondition: none. Thread safety: any thread.
    std::uint64_t sum(MonotonicTime now) const;

private:
    static constexpr std::size_t SlotCount = 10;

    const Duration slotTime;
    /// Period number in the upper and count in the lower 32 bits.
    std::array<std::atomic<std::uint64_t>, SlotCount> slots{};
};

/// Allows retries of a pool up to a share of its requests; never more, also when threads race.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings);

    /// Counts a first attempt. Precondition: none. Thread safety: any thread, lock-free.
    void onRequest(MonotonicTime now);

    /// Returns whether a retry may be made, and counts it if so. Precondition: none. Thread safety: any thread, lock-free.
    bool tryRetry(MonotonicTime now);

    /// Returns whether the window holds no event. Precondition: none. Thread safety: any thread.
    bool isIdle(MonotonicTime now) const;

private:
    const RetryBudgetSettings settings;
    SlidingCount requests;
    SlidingCount retries;
};

/// The retry budgets of all pools.
class RetryBudgets
{
public:
    explicit RetryBudgets(const RetryBudgetSettings &settings);

    /// Counts a first attempt at a pool. Precondition: none. Thread safety: any thread, lock-free.
    void onRequest(const PoolName &pool, MonotonicTime now);

    /// Returns whether a retry at a pool may be made, and counts it if so. Precondition: none. Thread safety: any thread, lock-free.
    bool tryRetry(const PoolName &pool, MonotonicTime now);

    /// Removes the budgets of pools without requests in the window; returns their number.
    ///
    /// Precondition: not called on the request path. Thread safety: any thread; waits for a grace period.
    std::size_t dropIdle(MonotonicTime now);

    /// Returns the number of pools with a budget. Precondition: none. Thread safety: any thread.
    std::size_t entryCount() const;

private:
    struct Entry
    {
        explicit Entry(const RetryBudgetSettings &settings) : budget(settings)
        {
        }

        RetryBudget budget;
        /// The users of the entry in the lower 16 bits and the uses so far above them; all bits set once the entry is retired.
        ///
        /// The removal exchanges the value it read before it found the budget idle, so no count is lost in between.
        std::atomic<std::uint64_t> uses{0};
    };

    template<class Use>
    bool withBudget(const PoolName &pool, Use use);

    const RetryBudgetSettings settings;
    ExpiringIndex<PoolName, Entry> budgets;
};

} // namespace rhubarbtiller::limits
