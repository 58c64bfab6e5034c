#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/limits/shares.h>

#include <atomic>
#include <cstdint>
#include <optional>

namespace rhubarbtiller::limits {

/// A rate and burst over all hosts together.
struct TokenLimit
{
    RequestRate rate{0};
    RequestCount burst{0};

    bool operator==(const TokenLimit &) const = default;

    /// Returns the limit of each of \p slices equal slices. Precondition: \p slices is not 0.
    TokenLimit dividedBy(std::uint32_t slices) const;
};

/// Describes a token that was taken, so that it can be given back.
struct TokenReceipt
{
    MonotonicTime takenAt;
    /// How far the take moved the bucket's empty time.
    Duration moved{0};
};

/// A lock-free token bucket over the shares that this host carries (generic cell rate algorithm).
///
/// The only state that decides is the empty time: a share that is carried since s holds
/// min(burst / 3, (now - max(emptyTime, s)) * rate / 3) tokens. A take moves the empty time forward. It follows that
/// a share starts empty on each host that receives it, that the tokens shrink in proportion when shares leave, that only
/// the accrual grows when shares arrive, and that an outdated `now` never yields tokens. The sum over all hosts never
/// exceeds the burst and grows at most at the rate as long as each share is on one host at a time.
class TokenBucket
{
public:
    /// Makes a bucket that is empty at \p emptyTime, accrues from then on, and accepts no token back that was taken before \p madeAt.
    ///
    /// Precondition: none.
    TokenBucket(const TokenLimit &limit, MonotonicTime emptyTime, MonotonicTime madeAt);

    TokenBucket(const TokenBucket &) = delete;
    TokenBucket &operator=(const TokenBucket &) = delete;

    /// Returns the limit that the bucket was made with. Precondition: none. Thread safety: any thread.
    const TokenLimit &limit() const
    {
        return this->tokenLimit;
    }

    /// Takes one token, or nothing if there is none or the bucket is closed. Precondition: none. Thread safety: any thread, lock-free.
    std::optional<TokenReceipt> take(const CarriedShares &shares, MonotonicTime now);

    /// Takes whole tokens, at most \p wanted and half of those present, for another slice of the organisation.
    ///
    /// The tokens count against the capacity until \p loanTime has passed: a bucket that is nearly full also drops what
    /// it would otherwise accrue again before the loan arrives. Precondition: the receiver does not use the tokens after
    /// \p now + \p loanTime. Thread safety: any thread, lock-free.
    RequestCount takeMany(RequestCount wanted, const CarriedShares &shares, Duration loanTime, MonotonicTime now);

    /// Gives back a token; returns whether the bucket accepted it.
    ///
    /// Refused if the bucket may have been full since the take: the token has then accrued again, and to accept it
    /// would exceed the burst. Precondition: the request is known not to have run, and this is the only call for this
    /// receipt. Thread safety: any thread, lock-free.
    bool giveBack(const TokenReceipt &receipt, MonotonicTime now);

    /// Adds tokens that another slice gave up, bounded by the capacity. Precondition: none. Thread safety: any thread, lock-free.
    void credit(RequestCount tokens, const CarriedShares &shares, MonotonicTime now);

    /// Returns the tokens present. Precondition: none. Thread safety: any thread, lock-free.
    RequestCount tokens(const CarriedShares &shares, MonotonicTime now) const;

    /// Returns the time until a token is there if no other request takes it; Duration::max() if these shares never hold a whole token.
    ///
    /// Precondition: none. Thread safety: any thread, lock-free.
    Duration timeUntilToken(const CarriedShares &shares, MonotonicTime now) const;

    /// Returns whether the bucket is full and was not used for \p idleTime. Precondition: none. Thread safety: any thread.
    bool isIdle(Duration idleTime, MonotonicTime now) const;

    /// Returns the empty time; MonotonicTime::max() for a closed bucket. Precondition: none. Thread safety: any thread.
    MonotonicTime emptyTime() const;

    /// Ends the bucket if its empty time still is \p expected and returns whether it did. Precondition: none. Thread safety: any thread,
    /// lock-free.
    bool closeIf(MonotonicTime expected);

    /// Returns whether the bucket was closed; a closed bucket has no tokens. Precondition: none. Thread safety: any thread.
    bool isClosed() const;

    /// Returns the empty time of a bucket with the limit \p next that holds the tokens of one with \p previous, or fewer.
    ///
    /// It holds fewer where the shares arrived too recently to have accrued as much at the limit \p next.
    /// This is how rate and capacity change: convert the empty time, closeIf(), and make a new bucket. Precondition: none. Thread safety:
    /// any thread.
    static MonotonicTime emptyTimeAfterChange(const TokenLimit &previous,
                                              MonotonicTime emptyTime,
                                              const TokenLimit &next,
                                              const CarriedShares &shares,
                                              MonotonicTime now);

private:
    const TokenLimit tokenLimit;
    std::atomic<std::int64_t> emptyAt;
    /// The last take that found the bucket more than half full; a token taken before is not accepted back.
    std::atomic<std::int64_t> lastMoreThanHalfFull;
    /// How far tokens given back moved the empty time since then.
    std::atomic<std::int64_t> givenBack{0};
    /// Tokens that this bucket lent may arrive elsewhere until this time; a credit before is dropped.
    std::atomic<std::int64_t> lentUntil;
};

} // namespace rhubarbtiller::limits
