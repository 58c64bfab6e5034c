#include <rhubarbtiller/balance/serviceoutcomes.h>

namespace rhubarbtiller::balance {

/// Eight slices cover 4 s: twice the time over which the use of servers is counted.
static constexpr Duration SliceLength = std::chrono::milliseconds(500);

static std::int64_t sliceNumber(MonotonicTime now)
{
    return now.time_since_epoch() / SliceLength;
}

double OutcomeCount::unservedShare() const
{
    const auto requests = this->served + this->unserved;
    return requests == 0 ? 0 : static_cast<double>(this->unserved) / requests;
}

void ServiceOutcomes::note(const catalog::ServiceName &service, bool isServed, MonotonicTime now)
{
    const auto number = sliceNumber(now);
    auto &slice = this->services[service][static_cast<std::size_t>(number) % SliceCount];
    if (slice.number != number) {
        slice = {number, 0, 0};
    }
    ++(isServed ? slice.served : slice.unserved);
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
