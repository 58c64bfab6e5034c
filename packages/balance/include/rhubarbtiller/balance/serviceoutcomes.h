#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/catalog/catalog.h>

#include <array>
#include <map>

namespace rhubarbtiller::balance {

/// How the requests for one service ended lately.
struct OutcomeCount
{
    std::uint32_t served = 0;
    /// Ended without an answer that the caller was waiting for; refusals among them.
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
    /// Notes the end of a request; one that is refused over a rate, or whose caller has left, is not served either.
    ///
    /// Precondition: \p now does not go back.
    void note(const catalog::ServiceName &service, bool isServed, MonotonicTime now);

    /// Returns the counts of the last 4 s by service; services without requests are left out.
    ///
    /// Precondition: \p now does not go back.
    std::map<catalog::ServiceName, OutcomeCount> recent(MonotonicTime now) const;

private:
    static constexpr std::size_t SliceCount = 8;

    struct Slice
    {
        std::int64_t number = -1;
        std::uint32_t served = 0;
        std::uint32_t unserved = 0;
    };

    std::unordered_map<catalog::ServiceName, std::array<Slice, SliceCount>> services;
};

} // namespace rhubarbtiller::balance
