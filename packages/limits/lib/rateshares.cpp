#include <rhubarbtiller/limits/rateshares.h>

#include <algorithm>

namespace rhubarbtiller::limits {

// A host serves some hundreds of slices in normal operation; 22,000 in one process still give short chains.
static constexpr std::size_t SlotCount = 4096;

// Slices of one organisation share a slot, so that onLimitChanged() reaches all of them.
static std::size_t hashOf(const OrganisationId &organisation)
{
    return std::hash<OrganisationId>{}(organisation);
}

static bool isOpen(const TokenBucket &bucket)
{
    return !bucket.isClosed();
}

static bool allowsNothing(const TokenLimit &limit)
{
    // Written so that a limit that is not a number allows nothing either.
    return !(limit.rate.count() > 0 && limit.burst.count() > 0);
}

RateShares::RateShares(const ShareSource &shareSource, MonotonicTime start) : source(shareSource), buckets(SlotCount), floors(SlotCount)
{
    for (auto &floor : this->floors) {
        floor.emptyTime.store(start.time_since_epoch().count());
        floor.lastUse.store(start.time_since_epoch().count());
    }
}

static void raiseTo(std::atomic<std::int64_t> &value, MonotonicTime bound)
{
    std::int64_t current = value.load();
    const std::int64_t wanted = bound.time_since_epoch().count();
    while (current < wanted && !value.compare_exchange_weak(current, wanted)) { }
}

void RateShares::raiseFloor(std::size_t slot, MonotonicTime emptyTime, MonotonicTime lastUse)
{
    raiseTo(this->floors[slot].emptyTime, emptyTime);
    raiseTo(this->floors[slot].lastUse, lastUse);
}

// Calls use(bucket) with the open bucket of the slice under this limit, in a read-side critical section. It returns whether it
// had an effect; if not, and the bucket was closed meanwhile, it is called again with the next bucket.
template<class Use>
void RateShares::withBucket(const RateSlice &slice, const TokenLimit &sliceLimit, MonotonicTime now, Use use)
{
    const std::size_t hash = hashOf(slice.organisation);
    const std::size_t slot = this->buckets.slotOf(hash);
    const RcuReadGuard guard;
    while (true) {
        TokenBucket &bucket = *this->buckets.findOrInsert(slice, hash, isOpen, [&] {
            const Floor &floor = this->floors[slot];
            return std::make_unique<TokenBucket>(
                sliceLimit, MonotonicTime(Duration(floor.emptyTime.load())), MonotonicTime(Duration(floor.lastUse.load())));
        });
        if (bucket.limit() == sliceLimit) {
            if (use(bucket) || !bucket.isClosed()) {
                return;
            }
            continue;
        }
        const MonotonicTime emptyTime = bucket.emptyTime();
        if (emptyTime == MonotonicTime::max()) {
            continue;
        }
        // Raised before the bucket closes: whoever finds it closed makes the next one with this floor, under any limit.
        // Another thread may have used the bucket at a later time than this thread's `now`.
        const MonotonicTime at = std::max(now, bucket.lastUse());
        this->raiseFloor(slot, at, at);
        bucket.closeIf(emptyTime);
    }
}

Admission RateShares::admit(const RateSlice &slice, const TokenLimit &sliceLimit, MonotonicTime now)
{
    const CarriedShares shares = this->source.shares(slice.shard, now);
    Admission admission;
    if (shares.count == 0 || now >= shares.until) {
        return admission;
    }
    admission.verdict = AdmissionVerdict::RateExceeded;
    if (allowsNothing(sliceLimit)) {
        admission.retryAfter = Duration::max();
        return admission;
    }
    this->withBucket(slice, sliceLimit, now, [&](TokenBucket &bucket) {
        if (const auto receipt = bucket.take(shares, now)) {
            admission.verdict = AdmissionVerdict::Admitted;
            admission.receipt = *receipt;
            return true;
        }
        admission.retryAfter = bucket.timeUntilToken(shares, now);
        return false;
    });
    return admission;
}

bool RateShares::giveBack(const RateSlice &slice, const Admission &admission, MonotonicTime now)
{
    if (admission.verdict != AdmissionVerdict::Admitted) {
        return false;
    }
    const RcuReadGuard guard;
    TokenBucket *bucket = this->buckets.find(slice, hashOf(slice.organisation), isOpen);
    return bucket && bucket->giveBack(admission.receipt, now);
}

RequestCount
RateShares::lend(const RateSlice &slice, const TokenLimit &sliceLimit, RequestCount wanted, Duration loanTime, MonotonicTime now)
{
    const CarriedShares shares = this->source.shares(slice.shard, now);
    RequestCount lent{0};
    if (shares.count == 0 || now >= shares.until || allowsNothing(sliceLimit)) {
        return lent;
    }
    this->withBucket(slice, sliceLimit, now, [&](TokenBucket &bucket) {
        lent = bucket.takeMany(wanted, shares, loanTime, now);
        return lent.count() > 0;
    });
    return lent;
}

void RateShares::credit(const RateSlice &slice, const TokenLimit &sliceLimit, RequestCount tokens, MonotonicTime now)
{
    const CarriedShares shares = this->source.shares(slice.shard, now);
    if (shares.count == 0 || now >= shares.until || allowsNothing(sliceLimit)) {
        return;
    }
    this->withBucket(slice, sliceLimit, now, [&](TokenBucket &bucket) {
        bucket.credit(tokens, shares, now);
        return true;
    });
}

void RateShares::onLimitChanged(const OrganisationId &organisation, MonotonicTime now)
{
    this->raiseFloor(this->buckets.slotOf(hashOf(organisation)), now, now);
}

std::size_t RateShares::dropIdle(Duration idleTime, MonotonicTime now)
{
    return this->buckets.removeIf([&](std::size_t slot, TokenBucket &bucket) {
        if (bucket.isClosed()) {
            return true;
        }
        const MonotonicTime emptyTime = bucket.emptyTime();
        if (emptyTime == MonotonicTime::max() || !bucket.isIdle(idleTime, now)) {
            return false;
        }
        this->raiseFloor(slot, emptyTime, bucket.lastUse());
        return bucket.closeIf(emptyTime);
    });
}

std::size_t RateShares::entryCount() const
{
    return this->buckets.size();
}

} // namespace rhubarbtiller::limits
