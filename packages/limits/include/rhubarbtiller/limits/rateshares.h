#pragma once

#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/limits/expiringindex.h>
#include <rhubarbtiller/limits/shares.h>
#include <rhubarbtiller/limits/tokenbucket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace rhubarbtiller::limits {

/// A slice of an organisation's rate and the shard that it belongs to.
struct RateSlice
{
    OrganisationId organisation;
    std::uint32_t slice = 0;
    ShardId shard;

    bool operator==(const RateSlice &) const = default;
};

enum class AdmissionVerdict {
    Admitted,
    RateExceeded,
    /// This host carries no share of the slice's shard.
    NotResponsible,
};

/// The answer to a request for admission.
struct Admission
{
    AdmissionVerdict verdict = AdmissionVerdict::NotResponsible;
    /// With RateExceeded: the time until the next token; Duration::max() if the limit never allows one.
    Duration retryAfter{0};
    /// With Admitted: needed to give the token back.
    TokenReceipt receipt;
};

/// Admits requests of a slice, independent of how the rate is divided among hosts.
class RateLimiter
{
public:
    RateLimiter() = default;
    RateLimiter(const RateLimiter &) = delete;
    RateLimiter &operator=(const RateLimiter &) = delete;
    virtual ~RateLimiter() = default;

    /// Decides about one request at \p now under the limit of the whole slice over all hosts.
    ///
    /// Precondition: \p now was read from the clock for this call. Thread safety: any thread, lock-free.
    virtual Admission admit(const RateSlice &slice, const TokenLimit &sliceLimit, MonotonicTime now) = 0;
};

/// The token buckets of the slices whose shards this host carries shares of.
///
/// An entry exists only while it is used. When dropIdle() removes an entry, its hash slot keeps the empty time of the
/// bucket as a floor, and a later entry of the slot starts with that empty time. The later entry therefore holds at most
/// the tokens that the removed one would hold, and since only full, idle buckets are removed, it is normally full at
/// once. Share intervals limit the accrual as always, so nothing accrues for times at which another host carried a share.
class RateShares : public RateLimiter
{
public:
    /// Precondition: \p source outlives this object; no entry accrues before \p start. Thread safety: any thread.
    RateShares(const ShareSource &source, MonotonicTime start);

    Admission admit(const RateSlice &slice, const TokenLimit &sliceLimit, MonotonicTime now) override;

    /// Gives back the token of an admitted request; returns whether it was accepted.
    ///
    /// Precondition: the request is known not to have run, and this is the only call for \p admission.
    /// Thread safety: any thread, lock-free.
    bool giveBack(const RateSlice &slice, const Admission &admission, MonotonicTime now);

    /// Takes tokens for a sibling slice of the same organisation and returns their number.
    ///
    /// Precondition: the borrower uses them only within \p loanTime after it asked. Thread safety: any thread, lock-free.
    RequestCount lend(const RateSlice &slice, const TokenLimit &sliceLimit, RequestCount wanted, Duration loanTime, MonotonicTime now);

    /// Adds tokens that a sibling slice lent. Precondition: called once for each loan. Thread safety: any thread, lock-free.
    void credit(const RateSlice &slice, const TokenLimit &sliceLimit, RequestCount tokens, MonotonicTime now);

    /// Tells that the limit or the slices of an organisation changed, so that slices without an entry accrue from \p now on.
    ///
    /// Precondition: called just before the changed configuration is published on this host. Thread safety: any thread, lock-free.
    void onLimitChanged(const OrganisationId &organisation, MonotonicTime now);

    /// Removes the buckets that are full and were not used for \p idleTime; returns the number of removed entries.
    ///
    /// Precondition: not called on the request path; call it every few seconds. Thread safety: any thread; waits for a grace period.
    std::size_t dropIdle(Duration idleTime, MonotonicTime now);

    /// Returns the number of entries. Precondition: none. Thread safety: any thread.
    std::size_t entryCount() const;

private:
    template<class Use>
    void withBucket(const RateSlice &slice, const TokenLimit &sliceLimit, const CarriedShares &shares, MonotonicTime now, Use use);
    void raiseFloor(std::size_t slot, MonotonicTime emptyTime);

    const ShareSource &source;
    ExpiringIndex<RateSlice, TokenBucket> buckets;
    /// For each hash slot, the empty time that a new entry starts with.
    std::vector<std::atomic<std::int64_t>> floors;
};

} // namespace rhubarbtiller::limits
