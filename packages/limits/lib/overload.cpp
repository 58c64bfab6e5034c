#include <rhubarbtiller/limits/overload.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace rhubarbtiller::limits {

static constexpr std::size_t SlotCount = 1024;
static constexpr std::int64_t Retired = std::numeric_limits<std::int64_t>::min();
static constexpr std::int64_t NoDelay = std::numeric_limits<std::int64_t>::max();

OverloadPermit::OverloadPermit(OverloadControl &owner, std::atomic<std::int64_t> &count) : control(&owner), inFlight(&count)
{
}

OverloadPermit::OverloadPermit(OverloadPermit &&other) noexcept
    : control(std::exchange(other.control, nullptr)), inFlight(std::exchange(other.inFlight, nullptr))
{
}

OverloadPermit &OverloadPermit::operator=(OverloadPermit &&other) noexcept
{
    if (this != &other) {
        this->release();
        this->control = std::exchange(other.control, nullptr);
        this->inFlight = std::exchange(other.inFlight, nullptr);
    }
    return *this;
}

OverloadPermit::~OverloadPermit()
{
    this->release();
}

void OverloadPermit::release()
{
    if (this->control) {
        std::exchange(this->control, nullptr)->leave(*this->inFlight);
    }
}

OverloadControl::OverloadControl(const OverloadSettings &overloadSettings)
    : settings(overloadSettings), organisations(SlotCount), concurrencyLimit(overloadSettings.maxConcurrent), shortestDelay(NoDelay)
{
}

std::optional<OverloadPermit> OverloadControl::enter(const OrganisationId &organisation)
{
    const std::int64_t bound = this->concurrencyLimit.load();
    const auto busyFrom = static_cast<std::int64_t>(this->settings.busyShare * static_cast<double>(bound));
    const std::int64_t before = this->total.fetch_add(1);
    if (before >= bound) {
        this->total.fetch_sub(1);
        return std::nullopt;
    }
    const RcuReadGuard guard;
    const std::size_t hash = std::hash<OrganisationId>{}(organisation);
    while (true) {
        std::atomic<std::int64_t> &count = *this->organisations.findOrInsert(
            organisation,
            hash,
            [](const std::atomic<std::int64_t> &present) {
                return present.load() >= 0;
            },
            [] {
                return std::make_unique<std::atomic<std::int64_t>>(0);
            });
        std::int64_t own = count.load();
        while (own >= 0) {
            const std::int64_t active = this->activeOrganisations.load() + (own == 0 ? 1 : 0);
            // An organisation with nothing in flight is never above its fair part.
            if (before >= busyFrom && own > 0 && own >= bound / std::max<std::int64_t>(active, 1)) {
                this->total.fetch_sub(1);
                return std::nullopt;
            }
            if (count.compare_exchange_weak(own, own + 1)) {
                if (own == 0) {
                    this->activeOrganisations.fetch_add(1);
                }
                return OverloadPermit(*this, count);
            }
        }
    }
}

void OverloadControl::leave(std::atomic<std::int64_t> &count)
{
    // The entry may be removed as soon as its count is 0, so it is not used after that.
    if (count.fetch_sub(1) == 1) {
        this->activeOrganisations.fetch_sub(1);
    }
    this->total.fetch_sub(1);
}

void OverloadControl::onHostDelay(Duration delay, MonotonicTime now)
{
    std::int64_t shortest = this->shortestDelay.load();
    while (delay.count() < shortest && !this->shortestDelay.compare_exchange_weak(shortest, delay.count())) { }
    std::int64_t due = this->nextAdaptation.load();
    const std::int64_t nowCount = now.time_since_epoch().count();
    // The thread that moves the due time on is the only one that changes the limit in this interval.
    if (nowCount < due || !this->nextAdaptation.compare_exchange_strong(due, nowCount + this->settings.adaptationInterval.count())) {
        return;
    }
    if (due == 0) {
        return;
    }
    shortest = this->shortestDelay.exchange(NoDelay);
    const std::uint32_t current = this->concurrencyLimit.load();
    if (shortest > this->settings.delayTarget.count()) {
        // A limit above the requests that are really there would have to fall for seconds before it has an effect.
        const std::uint32_t used = std::min(current, std::max(this->inFlight(), 1U));
        this->concurrencyLimit.store(std::max(this->settings.minConcurrent, used - used / 10));
        return;
    }
    this->concurrencyLimit.store(std::min(this->settings.maxConcurrent, current + std::max(current / 16, 1U)));
}

std::uint32_t OverloadControl::limit() const
{
    return this->concurrencyLimit.load();
}

std::uint32_t OverloadControl::inFlight() const
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(this->total.load(), 0));
}

std::size_t OverloadControl::dropIdle()
{
    return this->organisations.removeIf([](std::size_t, std::atomic<std::int64_t> &count) {
        std::int64_t expected = 0;
        return count.compare_exchange_strong(expected, Retired);
    });
}

std::size_t OverloadControl::entryCount() const
{
    return this->organisations.size();
}

} // namespace rhubarbtiller::limits
