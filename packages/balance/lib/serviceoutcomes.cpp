#include <rhubarbtiller/balance/serviceoutcomes.h>

namespace rhubarbtiller::balance {

/// Eight slices cover 4 s: twice the time over which the platform judges the floor of used servers.
static constexpr Duration SliceLength = std::chrono::milliseconds(500);

/// Half of the unserved share from which the platform judges the floor, since one host sees only a part of the requests.
static constexpr double FailingShare = 0.05;

/// A single failure says nothing about a service.
static constexpr std::uint32_t LeastUnserved = 2;

static std::int64_t sliceNumber(MonotonicTime now)
{
    return now.time_since_epoch() / SliceLength;
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

bool ServiceOutcomes::isFailing(const catalog::ServiceName &service, MonotonicTime now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return false;
    }
    const auto oldest = sliceNumber(now) - static_cast<std::int64_t>(SliceCount);
    std::uint32_t served = 0;
    std::uint32_t unserved = 0;
    for (const auto &slice : found->second) {
        if (slice.number > oldest) {
            served += slice.served;
            unserved += slice.unserved;
        }
    }
    return unserved >= LeastUnserved && unserved > FailingShare * (served + unserved);
}

} // namespace rhubarbtiller::balance
