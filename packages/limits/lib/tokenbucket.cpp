#include <rhubarbtiller/limits/tokenbucket.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <limits>

namespace rhubarbtiller::limits {

// Above this the share times of three shares could overflow; a bucket that takes longer to fill holds fewer tokens than its burst.
static constexpr std::int64_t MaxFillTime = 10'000'000'000'000'000;
static constexpr std::int64_t MaxTokenTime = 1'000'000'000'000'000'000;
static constexpr std::int64_t Closed = std::numeric_limits<std::int64_t>::max();

namespace {

/// A limit in nanoseconds: the unit of account is the time for which one share accrues ("share time").
struct LimitTimes
{
    explicit LimitTimes(const TokenLimit &limit)
    {
        // The time of a token is rounded up and the fill time is a multiple of it, so that an integral burst is reached
        // exactly and the accrual is at most the rate.
        const double exact = limit.rate.count() > 0 ? std::ceil(1e9 / limit.rate.count()) : static_cast<double>(MaxTokenTime);
        const double tokenTime = std::min(exact, static_cast<double>(MaxTokenTime));
        this->tokenCost = static_cast<std::int64_t>(tokenTime) * static_cast<std::int64_t>(ShareCount);
        const double fill = std::floor(tokenTime * std::max(0.0, limit.burst.count()));
        this->fillTime = static_cast<std::int64_t>(std::min(fill, static_cast<double>(MaxFillTime)));
    }

    /// Share time that one token costs.
    std::int64_t tokenCost;
    /// Time in which a share fills from empty.
    std::int64_t fillTime;
};

/// The largest share times that the carried shares may hold now, ascending.
struct ShareAges
{
    ShareAges(const CarriedShares &shares, std::int64_t fillTime, std::int64_t now) : count(shares.count)
    {
        assert(shares.count <= ShareCount && "a shard has three shares");
        for (unsigned i = 0; i < this->count; ++i) {
            const std::int64_t since = shares.since[this->count - 1 - i].time_since_epoch().count();
            this->age[i] = std::clamp(now - since, std::int64_t{0}, fillTime);
        }
    }

    /// Returns the share time held when the bucket has accrued for \p x since its empty time.
    std::int64_t held(std::int64_t x) const
    {
        std::int64_t sum = 0;
        for (unsigned i = 0; i < this->count; ++i) {
            sum += std::min(this->age[i], x);
        }
        return sum;
    }

    /// Returns the largest accrual time that holds at most \p shareTime; at most the largest age.
    std::int64_t accrualFor(std::int64_t shareTime) const
    {
        std::int64_t reached = 0;
        for (unsigned i = 0; i < this->count; ++i) {
            const std::int64_t active = this->count - i;
            const std::int64_t step = this->age[i] - reached;
            if (shareTime <= step * active) {
                return reached + shareTime / active;
            }
            shareTime -= step * active;
            reached = this->age[i];
        }
        return reached;
    }

    unsigned count;
    std::array<std::int64_t, ShareCount> age{};
};

} // namespace

static std::int64_t nanoseconds(MonotonicTime time)
{
    return time.time_since_epoch().count();
}

static void raiseTo(std::atomic<std::int64_t> &value, std::int64_t bound)
{
    std::int64_t current = value.load();
    while (current < bound && !value.compare_exchange_weak(current, bound)) { }
}

// Returns for how long the bucket has accrued since its empty time, up to the fill time. A closed bucket is empty in the far future.
static std::int64_t accrued(std::int64_t emptyAt, std::int64_t fillTime, std::int64_t now)
{
    return emptyAt >= now ? 0 : std::min(now - emptyAt, fillTime);
}

TokenLimit TokenLimit::dividedBy(std::uint32_t slices) const
{
    assert(slices != 0 && "a limit has at least one slice");
    return TokenLimit{RequestRate(this->rate.count() / slices), RequestCount(this->burst.count() / slices)};
}

TokenBucket::TokenBucket(const TokenLimit &limit, MonotonicTime emptyTime, MonotonicTime madeAt)
    : tokenLimit(limit)
    , emptyAt(nanoseconds(emptyTime))
    , lastMoreThanHalfFull(nanoseconds(madeAt))
    , lentUntil(std::numeric_limits<std::int64_t>::min())
{
}

std::optional<TokenReceipt> TokenBucket::take(const CarriedShares &shares, MonotonicTime now)
{
    const LimitTimes times(this->tokenLimit);
    const std::int64_t nowCount = nanoseconds(now);
    const ShareAges ages(shares, times.fillTime, nowCount);
    std::int64_t current = this->emptyAt.load();
    while (true) {
        const std::int64_t before = accrued(current, times.fillTime, nowCount);
        const std::int64_t held = ages.held(before);
        if (held < times.tokenCost) {
            return std::nullopt;
        }
        if (before > times.fillTime / 2) {
            // Stored before the empty time changes, so that giveBack() either sees it or fails to exchange the empty time.
            raiseTo(this->lastMoreThanHalfFull, nowCount);
            this->givenBack.store(0);
        }
        const std::int64_t after = ages.accrualFor(held - times.tokenCost);
        if (this->emptyAt.compare_exchange_weak(current, nowCount - after)) {
            return TokenReceipt{now, Duration(before - after)};
        }
    }
}

RequestCount TokenBucket::takeMany(RequestCount wanted, const CarriedShares &shares, Duration loanTime, MonotonicTime now)
{
    const LimitTimes times(this->tokenLimit);
    const std::int64_t nowCount = nanoseconds(now);
    const ShareAges ages(shares, times.fillTime, nowCount);
    const std::int64_t lendable = times.fillTime - loanTime.count();
    std::int64_t current = this->emptyAt.load();
    while (true) {
        const std::int64_t before = accrued(current, times.fillTime, nowCount);
        if (lendable <= 0) {
            return RequestCount(0);
        }
        const std::int64_t held = ages.held(before);
        const std::int64_t least = std::max(before / 2, before - lendable);
        const std::int64_t present = (held - ages.held(least)) / times.tokenCost;
        if (present < 1 || !(wanted.count() >= 1)) {
            return RequestCount(0);
        }
        const std::int64_t count = wanted.count() < static_cast<double>(present) ? static_cast<std::int64_t>(wanted.count()) : present;
        const std::int64_t kept = ages.accrualFor(held - count * times.tokenCost);
        // While the loan is under way, what is kept plus what accrues plus the loan must not exceed the capacity.
        const std::int64_t after = std::min(kept, lendable - (before - kept));
        raiseTo(this->lastMoreThanHalfFull, nowCount);
        raiseTo(this->lentUntil, nowCount + loanTime.count());
        if (this->emptyAt.compare_exchange_weak(current, nowCount - after)) {
            return RequestCount(static_cast<double>(count));
        }
    }
}

bool TokenBucket::giveBack(const TokenReceipt &receipt, MonotonicTime now)
{
    const LimitTimes times(this->tokenLimit);
    const std::int64_t moved = receipt.moved.count();
    std::int64_t current = this->emptyAt.load();
    bool isCounted = false;
    while (true) {
        if (current == Closed || nanoseconds(receipt.takenAt) <= this->lastMoreThanHalfFull.load()) {
            return false;
        }
        // Since the last take above half, takes saw at most half of the capacity. As long as at most the other half was
        // given back, the bucket would never have been full if those tokens had not been taken; so none was lost there.
        if (!isCounted && this->givenBack.fetch_add(moved) + moved > times.fillTime / 2) {
            return false;
        }
        isCounted = true;
        if (accrued(current, times.fillTime, nanoseconds(now)) + moved > times.fillTime) {
            return false;
        }
        if (this->emptyAt.compare_exchange_weak(current, current - moved)) {
            return true;
        }
    }
}

void TokenBucket::credit(RequestCount tokens, const CarriedShares &shares, MonotonicTime now)
{
    const LimitTimes times(this->tokenLimit);
    const std::int64_t nowCount = nanoseconds(now);
    const ShareAges ages(shares, times.fillTime, nowCount);
    const std::int64_t capacity = ages.held(times.fillTime);
    const double wanted = std::floor(std::max(0.0, tokens.count()) * static_cast<double>(times.tokenCost));
    std::int64_t current = this->emptyAt.load();
    while (true) {
        if (current == Closed || nowCount < this->lentUntil.load()) {
            return;
        }
        const std::int64_t before = accrued(current, times.fillTime, nowCount);
        const std::int64_t held = ages.held(before);
        const auto added = static_cast<std::int64_t>(std::min(wanted, static_cast<double>(capacity - held)));
        const std::int64_t after = ages.accrualFor(held + added);
        if (after <= before || this->emptyAt.compare_exchange_weak(current, nowCount - after)) {
            return;
        }
    }
}

RequestCount TokenBucket::tokens(const CarriedShares &shares, MonotonicTime now) const
{
    const LimitTimes times(this->tokenLimit);
    const ShareAges ages(shares, times.fillTime, nanoseconds(now));
    const std::int64_t held = ages.held(accrued(this->emptyAt.load(), times.fillTime, nanoseconds(now)));
    return RequestCount(static_cast<double>(held) / static_cast<double>(times.tokenCost));
}

Duration TokenBucket::timeUntilToken(const CarriedShares &shares, MonotonicTime now) const
{
    const LimitTimes times(this->tokenLimit);
    const ShareAges ages(shares, times.fillTime, nanoseconds(now));
    const std::int64_t before = accrued(this->emptyAt.load(), times.fillTime, nanoseconds(now));
    std::int64_t missing = times.tokenCost - ages.held(before);
    if (missing <= 0) {
        return Duration(0);
    }
    if (times.fillTime * static_cast<std::int64_t>(shares.count) < times.tokenCost) {
        return Duration::max();
    }
    // The shares grow together; the one that holds most fills first and stops.
    std::int64_t waited = 0;
    for (unsigned active = ages.count; active > 0; --active) {
        const std::int64_t untilFull = times.fillTime - std::min(ages.age[active - 1], before) - waited;
        if (missing <= untilFull * active) {
            return Duration(waited + (missing + active - 1) / active);
        }
        missing -= untilFull * active;
        waited += untilFull;
    }
    return Duration::max();
}

bool TokenBucket::isIdle(Duration idleTime, MonotonicTime now) const
{
    const std::int64_t current = this->emptyAt.load();
    return current < nanoseconds(now) && nanoseconds(now) - current >= LimitTimes(this->tokenLimit).fillTime + idleTime.count();
}

MonotonicTime TokenBucket::emptyTime() const
{
    return MonotonicTime(Duration(this->emptyAt.load()));
}

bool TokenBucket::closeIf(MonotonicTime expected)
{
    std::int64_t current = nanoseconds(expected);
    return current != Closed && this->emptyAt.compare_exchange_strong(current, Closed);
}

bool TokenBucket::isClosed() const
{
    return this->emptyAt.load() == Closed;
}

MonotonicTime TokenBucket::emptyTimeAfterChange(const TokenLimit &previous,
                                                MonotonicTime emptyTime,
                                                const TokenLimit &next,
                                                const CarriedShares &shares,
                                                MonotonicTime now)
{
    const std::int64_t nowCount = nanoseconds(now);
    const LimitTimes previousTimes(previous);
    const std::int64_t held
        = ShareAges(shares, previousTimes.fillTime, nowCount).held(accrued(nanoseconds(emptyTime), previousTimes.fillTime, nowCount));
    if (held == 0) {
        return std::max(emptyTime, now);
    }
    const LimitTimes nextTimes(next);
    const ShareAges nextAges(shares, nextTimes.fillTime, nowCount);
    const double converted
        = std::floor(static_cast<double>(held) / static_cast<double>(previousTimes.tokenCost) * static_cast<double>(nextTimes.tokenCost));
    const double bounded = std::min(converted, static_cast<double>(nextAges.held(nextTimes.fillTime)));
    return MonotonicTime(Duration(nowCount - nextAges.accrualFor(static_cast<std::int64_t>(bounded))));
}

} // namespace rhubarbtiller::limits
