#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/random.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/limits/tokenbucket.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace rhubarbtiller::limits {

/// Identifies one loan call; random, so that it is not repeated after a restart.
using LoanCallId = StrongNumber<struct LoanCallIdTag, std::uint64_t>;

/// When and how much to borrow.
struct BorrowSettings
{
    /// A reply is used only this long after the call was made; lenders pass this time plus the clock drift to RateShares::lend().
    Duration loanTime = std::chrono::milliseconds(50);
    /// Bounds the loan calls of this host.
    std::uint32_t maxCallsPerSecond = 20;
    /// Refusals within refusalWindow that make a slice ask.
    std::uint32_t minRefusals = 1;
    Duration refusalWindow = std::chrono::seconds(1);
    /// A sibling that lent nothing is not asked again for this time.
    Duration emptySiblingPause = std::chrono::milliseconds(500);
};

/// A call to the home of a sibling slice.
struct LoanCall
{
    LoanCallId id;
    OrganisationId organisation;
    std::uint32_t borrowerSlice = 0;
    std::uint32_t lenderSlice = 0;
    RequestCount wanted{0};
    /// A reply after this time is of no use.
    MonotonicTime deadline;
};

/// Tokens to credit to a slice of this host.
struct Loan
{
    OrganisationId organisation;
    std::uint32_t slice = 0;
    RequestCount tokens{0};
};

/// Decides when a slice with an empty bucket borrows tokens from a sibling slice, and accepts each reply at most once.
///
/// The lender deducts before it replies (RateShares::lend()) and keeps no record of the loan; a duplicated call or a lost reply
/// therefore loses tokens, and a duplicated or late reply is ignored here. Nothing is minted.
class TokenBorrower
{
public:
    /// Precondition: \p random outlives this object. Its numbers make the call ids, so that a reply to a call of an earlier
    /// run of the process is not taken for one of this run.
    TokenBorrower(const BorrowSettings &settings, RandomSource &random);

    /// Counts a refusal of a slice and returns the call to make, if any.
    ///
    /// Precondition: the slice's bucket was found empty at \p now. Thread safety: any thread; takes a mutex, but not for
    /// an organisation with a single slice.
    std::optional<LoanCall> onRefused(const OrganisationId &organisation,
                                      std::uint32_t slice,
                                      std::uint32_t sliceCount,
                                      const TokenLimit &sliceLimit,
                                      MonotonicTime now);

    /// Accepts a reply and returns what to credit, or nothing if the call is unknown, was answered before, or has expired.
    ///
    /// Precondition: none. Thread safety: any thread.
    std::optional<Loan> onReply(LoanCallId id, RequestCount tokens, MonotonicTime now);

    /// Forgets expired calls and slices without recent refusals. Precondition: none; call it every few seconds. Thread safety: any thread.
    void dropIdle(MonotonicTime now);

    /// Returns the number of slices that are remembered. Precondition: none. Thread safety: any thread.
    std::size_t entryCount() const;

private:
    struct SliceState
    {
        MonotonicTime windowStart;
        std::uint32_t refusals = 0;
        std::optional<LoanCallId> pendingCall;
        MonotonicTime pendingUntil;
        std::uint32_t lastLender = 0;
        std::map<std::uint32_t, MonotonicTime> pausedSiblings;
    };

    bool allowsCall(MonotonicTime now);

    const BorrowSettings settings;
    RandomSource &random;
    mutable std::mutex mutex;
    std::map<std::pair<OrganisationId, std::uint32_t>, SliceState> slices;
    std::unordered_map<LoanCallId, LoanCall> pending;
    /// Empty time of the bucket that bounds the calls.
    MonotonicTime nextCallAt{};
};

} // namespace rhubarbtiller::limits
