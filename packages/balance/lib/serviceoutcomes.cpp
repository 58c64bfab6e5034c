#include <rhubarbtiller/balance/serviceoutcomes.h>

namespace rhubarbtiller::balance {

/// Eight slices cover 4 s: twice the time over which the platform judges the floor of used servers.
static constexpr Duration SliceLength = std::chrono::milliseconds(500);

/// Below the tenth of unserved requests from which the platform judges the floor, since one host sees only a part of them.
static constexpr double FailingShare = 0.08;

/// Fewer failures say nothing about a service.
static constexpr std::uint32_t LeastUnserved = 3;

/// With this share of requests that can be repeated, each server is tried within seconds.
static constexpr double TryingShare = 0.1;

static std::int64_t sliceNumber(MonotonicTime now)
{
    return now.time_since_epoch() / SliceLength;
}

double OutcomeCount::unservedShare() const
{
    const auto requests = this->served + this->unserved;
    return requests == 0 ? 0 : static_cast<double>(this->unserved) / requests;
}

void ServiceOutcomes::note(const catalog::ServiceName &service, bool isServed, bool isRepeatable, MonotonicTime now)
{
    const auto number = sliceNumber(now);
    auto &slice = this->services[service][static_cast<std::size_t>(number) % SliceCount];
    if (slice.number != number) {
        slice = {number, 0, 0, 0};
    }
    ++(isServed ? slice.served : slice.unserved);
    slice.repeatable += isRepeatable ? 1 : 0;
}

bool ServiceOutcomes::needsTrials(const catalog::ServiceName &service, MonotonicTime now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return false;
    }
    const auto oldest = sliceNumber(now) - static_cast<std::int64_t>(SliceCount);
    std::uint32_t served = 0;
    std::uint32_t unserved = 0;
    std::uint32_t repeatable = 0;
    for (const auto &slice : found->second) {
        if (slice.number > oldest) {
            served += slice.served;
            unserved += slice.unserved;
            repeatable += slice.repeatable;
        }
    }
    const auto requests = served + unserved;
    return unserved >= LeastUnserved && unserved > FailingShare * requests && repeatable < TryingShare * requests;
}

std::map<catalog::ServiceName, OutcomeCount> ServiceOutcomes::recent(MonotonicTime now) const
{
    const auto oldest = sliceNumber(now) - static_cast<std::int64_t>(SliceCount);
    std::map<catalog::ServiceName, OutcomeCount> counts;
    for (const auto &[service, slices] : this->services) {
        OutcomeCount count;
        for (const auto &slice : slices) {
            if (slice.number > oldest) {
                count.served += slice.served;
                count.unserved += slice.unserved;
            }
        }
        if (count.served + count.unserved > 0) {
            counts.emplace(service, count);
        }
    }
    return counts;
}

} // namespace rhubarbtiller::balance
