#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/catalog/catalog.h>

#include <array>

namespace rhubarbtiller::balance {

/// The bounds of a retry budget, for all hosts together.
struct RetryBudgetBounds
{
    /// Retries for each request.
    double ratio = 0.2;
    /// Retries in a window that are allowed independently of the number of requests.
    double slack = 0;
    Duration window = std::chrono::seconds(10);

    bool operator==(const RetryBudgetBounds &) const = default;
};

/// Bounds the retries that one host sends to each service, within its share of the budget of the fleet.
///
/// Thread safety: one thread.
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetBounds &bounds);

    /// Changes the bounds; the counts are kept if the window is unchanged. Precondition: none.
    void reconfigure(const RetryBudgetBounds &bounds);

    /// Sets the part of the fleet's slack that this host may use, 0 to 1. Precondition: none.
    void setSlackShare(double share);

    /// Counts a request of a caller. Precondition: \p now does not go back.
    void onRequest(const catalog::ServiceName &service, MonotonicTime now);

    /// Consumes a retry and returns true if more than the fraction \p reserve, 0 to 1, of the budget is left.
    ///
    /// Precondition: \p now does not go back.
    bool tryRetry(const catalog::ServiceName &service, double reserve, MonotonicTime now);

private:
    static constexpr std::size_t SliceCount = 20;

    struct Slice
    {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    using Slices = std::array<Slice, SliceCount>;

    Slice &currentSlice(Slices &slices, MonotonicTime now) const;

    double ratio = 0;
    double slack = 0;
    double slackShare = 0;
    Duration sliceLength{};
    std::unordered_map<catalog::ServiceName, Slices> services;
};

} // namespace rhubarbtiller::balance
