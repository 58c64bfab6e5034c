#include <rhubarbtiller/limits/borrowing.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace rhubarbtiller::limits {

TokenBorrower::TokenBorrower(const BorrowSettings &borrowSettings, RandomSource &randomSource)
    : settings(borrowSettings), random(randomSource)
{
}

// A token bucket over the calls of this host; a second's worth of calls may come at once.
bool TokenBorrower::allowsCall(MonotonicTime now)
{
    if (this->settings.maxCallsPerSecond == 0) {
        return false;
    }
    const Duration second = std::chrono::seconds(1);
    const Duration interval = second / this->settings.maxCallsPerSecond;
    const MonotonicTime next = std::max(this->nextCallAt, now - second) + interval;
    if (next > now) {
        return false;
    }
    this->nextCallAt = next;
    return true;
}

std::optional<LoanCall> TokenBorrower::onRefused(const OrganisationId &organisation,
                                                 std::uint32_t slice,
                                                 std::uint32_t sliceCount,
                                                 const TokenLimit &sliceLimit,
                                                 MonotonicTime now)
{
    assert(slice < sliceCount && "a slice is numbered below the number of slices");
    // A lender gives at most half of its tokens.
    const double mostLent = std::floor(sliceLimit.burst.count() / 2);
    if (sliceCount < 2 || mostLent < 1) {
        return std::nullopt;
    }
    const std::lock_guard lock(this->mutex);
    const auto [entry, isNew] = this->slices.try_emplace({organisation, slice});
    SliceState &state = entry->second;
    if (isNew) {
        state.windowStart = now;
        state.lastLender = slice;
    }
    if (now - state.windowStart > this->settings.refusalWindow) {
        state.windowStart = now;
        state.refusals = 0;
    }
    ++state.refusals;
    if (state.pendingCall) {
        if (now <= state.pendingUntil) {
            return std::nullopt;
        }
        // A sibling whose home does not answer is paused like one that has nothing.
        state.pausedSiblings[state.lastLender] = state.pendingUntil + this->settings.emptySiblingPause;
        this->pending.erase(*state.pendingCall);
        state.pendingCall.reset();
    }
    if (state.refusals < this->settings.minRefusals) {
        return std::nullopt;
    }
    std::optional<std::uint32_t> lender;
    for (std::uint32_t i = 1; i <= sliceCount && !lender; ++i) {
        const std::uint32_t candidate = (state.lastLender + i) % sliceCount;
        const auto paused = state.pausedSiblings.find(candidate);
        if (candidate != slice && (paused == state.pausedSiblings.end() || paused->second <= now)) {
            lender = candidate;
        }
    }
    if (!lender || !this->allowsCall(now)) {
        return std::nullopt;
    }
    state.pausedSiblings.erase(*lender);
    LoanCall call;
    call.id = LoanCallId(this->random.next());
    call.organisation = organisation;
    call.borrowerSlice = slice;
    call.lenderSlice = *lender;
    // The refusals of the window measure what the slice lacks until the next call.
    call.wanted = RequestCount(std::min(static_cast<double>(state.refusals), mostLent));
    call.deadline = now + this->settings.loanTime;
    state.lastLender = *lender;
    state.pendingCall = call.id;
    state.pendingUntil = call.deadline;
    state.windowStart = now;
    state.refusals = 0;
    this->pending.emplace(call.id, call);
    return call;
}

std::optional<Loan> TokenBorrower::onReply(LoanCallId id, RequestCount tokens, MonotonicTime now)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
        return std::nullopt;
    }
    const LoanCall call = found->second;
    this->pending.erase(found);
    const auto entry = this->slices.find({call.organisation, call.borrowerSlice});
    if (entry != this->slices.end() && entry->second.pendingCall == id) {
        entry->second.pendingCall.reset();
        if (!(tokens.count() > 0)) {
            entry->second.pausedSiblings[call.lenderSlice] = now + this->settings.emptySiblingPause;
        }
    }
    if (now > call.deadline || !(tokens.count() > 0)) {
        return std::nullopt;
    }
    // A reply with more than was asked for is a fault of the lender; the surplus is not used.
    return Loan{call.organisation, call.borrowerSlice, std::min(tokens, call.wanted)};
}

void TokenBorrower::dropIdle(MonotonicTime now)
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->pending, [now](const auto &item) {
        return now > item.second.deadline;
    });
    std::erase_if(this->slices, [&](const auto &item) {
        const SliceState &state = item.second;
        return now - state.windowStart > this->settings.refusalWindow + this->settings.emptySiblingPause
            && (!state.pendingCall || now > state.pendingUntil);
    });
}

std::size_t TokenBorrower::entryCount() const
{
    const std::lock_guard lock(this->mutex);
    return this->slices.size();
}

} // namespace rhubarbtiller::limits
