#include <rhubarbtiller/limits/rateshares.h>

#include <limits>

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
        floor.store(start.time_since_epoch().count());
    }
}

void RateShares::raiseFloor(std::size_t slot, MonotonicTime emptyTime)
{
    std::int64_t current = this->floors[slot].load();
    const std::int64_t wanted = emptyTime.time_since_epoch().count();
    while (current < wanted && !this->floors[slot].compare_exchange_weak(current, wanted)) { }
}

// Calls use(bucket) with the open bucket of the slice under this limit, in a read-side critical section.
template<class Use>
void RateShares::withBucket(const RateSlice &slice, const TokenLimit &sliceLimit, const CarriedShares &shares, MonotonicTime now, Use use)
{
    const std::size_t hash = hashOf(slice.organisation);
    const std::size_t slot = this->buckets.slotOf(hash);
    const RcuReadGuard guard;
    while (true) {
        TokenBucket &bucket = *this->buckets.findOrInsert(slice, hash, isOpen, [&] {
            return std::make_unique<TokenBucket>(sliceLimit, MonotonicTime(Duration(this->floors[slot].load())), now);
        });
        if (bucket.limit() == sliceLimit) {
            use(bucket);
            return;
        }
        const MonotonicTime emptyTime = bucket.emptyTime();
        if (emptyTime == MonotonicTime::max()) {
            continue;
        }
        // Raised before the bucket closes: whoever finds it closed makes the next one with this floor.
        this->raiseFloor(slot, TokenBucket::emptyTimeAfterChange(bucket.limit(), emptyTime, sliceLimit, shares, now));
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
    this->withBucket(slice, sliceLimit, shares, now, [&](TokenBucket &bucket) {
        if (const auto receipt = bucket.take(shares, now)) {
            admission.verdict = AdmissionVerdict::Admitted;
            admission.receipt = *receipt;
            return;
        }
        admission.retryAfter = bucket.timeUntilToken(shares, now);
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
    this->withBucket(slice, sliceLimit, shares, now, [&](TokenBucket &bucket) {
        lent = bucket.takeMany(wanted, shares, loanTime, now);
    });
    return lent;
}

void RateShares::credit(const RateSlice &slice, const TokenLimit &sliceLimit, RequestCount tokens, MonotonicTime now)
{
    const CarriedShares shares = this->source.shares(slice.shard, now);
    if (shares.count == 0 || now >= shares.until || allowsNothing(sliceLimit)) {
        return;
    }
    this->withBucket(slice, sliceLimit, shares, now, [&](TokenBucket &bucket) {
        bucket.credit(tokens, shares, now);
    });
}

void RateShares::onLimitChanged(const OrganisationId &organisation, MonotonicTime now)
{
    this->raiseFloor(this->buckets.slotOf(hashOf(organisation)), now);
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
        this->raiseFloor(slot, emptyTime);
        return bucket.closeIf(emptyTime);
    });
}

std::size_t RateShares::entryCount() const
{
    return this->buckets.size();
}

} // namespace rhubarbtiller::limits
