#include <rhubarbtiller/limits/retrybudget.h>

#include <algorithm>
#include <cassert>

namespace rhubarbtiller::limits {

static constexpr std::size_t PoolSlotCount = 256;
static constexpr unsigned CountBits = 32;
static constexpr std::uint64_t CountMask = 0xffffffff;
static constexpr std::uint64_t Retired = ~std::uint64_t{0};
static constexpr std::uint64_t UserMask = 0xffff;
static constexpr std::uint64_t OneUse = UserMask + 1;

static std::uint64_t packed(std::int64_t period, std::uint64_t count)
{
    return (static_cast<std::uint64_t>(period) << CountBits) | count;
}

static std::int64_t periodOf(std::uint64_t slot)
{
    return static_cast<std::int64_t>(slot >> CountBits);
}

SlidingCount::SlidingCount(Duration window) : slotTime(window / SlotCount)
{
    assert(window >= std::chrono::seconds(1) && "period numbers of short windows do not fit into 32 bits");
}

std::int64_t SlidingCount::add(MonotonicTime now)
{
    const std::int64_t period = now.time_since_epoch() / this->slotTime;
    auto &slot = this->slots[static_cast<std::size_t>(period) % SlotCount];
    std::uint64_t current = slot.load();
    while (true) {
        // An event with an outdated time counts in the newer period, so that it is not lost.
        const bool isCurrent = periodOf(current) >= period;
        if (isCurrent && (current & CountMask) == CountMask) {
            return periodOf(current);
        }
        if (const std::uint64_t next = isCurrent ? current + 1 : packed(period, 1); slot.compare_exchange_weak(current, next)) {
            return periodOf(next);
        }
    }
}

void SlidingCount::subtract(std::int64_t period)
{
    auto &slot = this->slots[static_cast<std::size_t>(period) % SlotCount];
    std::uint64_t current = slot.load();
    while (periodOf(current) == period && (current & CountMask) != 0 && !slot.compare_exchange_weak(current, current - 1)) { }
}

std::uint64_t SlidingCount::sum(MonotonicTime now) const
{
    const std::int64_t period = now.time_since_epoch() / this->slotTime;
    std::uint64_t total = 0;
    for (const auto &slot : this->slots) {
        const std::uint64_t current = slot.load();
        if (periodOf(current) + static_cast<std::int64_t>(SlotCount) > period) {
            total += current & CountMask;
        }
    }
    return total;
}

RetryBudget::RetryBudget(const RetryBudgetSettings &budgetSettings)
    : settings(budgetSettings), requests(budgetSettings.window), retries(budgetSettings.window)
{
}

void RetryBudget::onRequest(MonotonicTime now)
{
    this->requests.add(now);
}

bool RetryBudget::tryRetry(MonotonicTime now)
{
    // Counted before the check, so that threads that race see each other's retries.
    const std::int64_t period = this->retries.add(now);
    const double allowed = std::max(static_cast<double>(this->settings.minRetries),
                                    this->settings.share.count() / 100 * static_cast<double>(this->requests.sum(now)));
    if (static_cast<double>(this->retries.sum(now)) <= allowed) {
        return true;
    }
    this->retries.subtract(period);
    return false;
}

bool RetryBudget::isIdle(MonotonicTime now) const
{
    return this->requests.sum(now) == 0 && this->retries.sum(now) == 0;
}

RetryBudgets::RetryBudgets(const RetryBudgetSettings &budgetSettings) : settings(budgetSettings), budgets(PoolSlotCount)
{
}

template<class Use>
bool RetryBudgets::withBudget(const PoolName &pool, Use use)
{
    const RcuReadGuard guard;
    const std::size_t hash = std::hash<PoolName>{}(pool);
    while (true) {
        Entry &entry = *this->budgets.findOrInsert(
            pool,
            hash,
            [](const Entry &present) {
                return present.uses.load() != Retired;
            },
            [this] {
                return std::make_unique<Entry>(this->settings);
            });
        std::uint64_t uses = entry.uses.load();
        while (uses != Retired) {
            if (entry.uses.compare_exchange_weak(uses, uses + OneUse + 1)) {
                const bool isAllowed = use(entry.budget);
                entry.uses.fetch_sub(1);
                return isAllowed;
            }
        }
    }
}

void RetryBudgets::onRequest(const PoolName &pool, MonotonicTime now)
{
    this->withBudget(pool, [now](RetryBudget &budget) {
        budget.onRequest(now);
        return true;
    });
}

bool RetryBudgets::tryRetry(const PoolName &pool, MonotonicTime now)
{
    return this->withBudget(pool, [now](RetryBudget &budget) {
        return budget.tryRetry(now);
    });
}

std::size_t RetryBudgets::dropIdle(MonotonicTime now)
{
    return this->budgets.removeIf([now](std::size_t, Entry &entry) {
        std::uint64_t uses = entry.uses.load();
        if (uses == Retired || (uses & UserMask) != 0 || !entry.budget.isIdle(now)) {
            return false;
        }
        return entry.uses.compare_exchange_strong(uses, Retired);
    });
}

std::size_t RetryBudgets::entryCount() const
{
    return this->budgets.size();
}

} // namespace rhubarbtiller::limits
