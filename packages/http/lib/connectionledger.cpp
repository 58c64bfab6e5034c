#include <rhubarbtiller/http/connectionledger.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace rhubarbtiller::http {

static double secondsBetween(MonotonicTime from, MonotonicTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Time constant of the transfer rate that counts as progress.
static constexpr double RateSeconds = 1;

/// Connections end until the memory is this share below its limit, so that not every further byte needs a decision.
static constexpr std::uint64_t HeadroomDivisor = 8;

/// Large requests leave this part of the memory to small ones, which are ordinary in all deployments.
static constexpr std::uint64_t SmallReserveDivisor = 4;

ConnectionLedger::ConnectionLedger(const CallerMemoryLimits &memoryLimits) : limits(memoryLimits)
{
}

void ConnectionLedger::open(LedgerNumber number, std::uint32_t group, MonotonicTime now)
{
    Entry entry;
    entry.group = group;
    entry.readingSince = now;
    entry.progressAt = now;
    const bool isNew = this->entries.emplace(number, entry).second;
    assert(isNew && "a number was used twice");
    static_cast<void>(isNew);
}

void ConnectionLedger::close(LedgerNumber number)
{
    const auto found = this->entries.find(number);
    if (found == this->entries.end()) {
        return;
    }
    this->sumsOf(found->second.held).reading -= found->second.held;
    this->entries.erase(found);
}

ConnectionLedger::Sums &ConnectionLedger::sumsOf(std::uint64_t bytes)
{
    return bytes > MaxSmallRequest.count() ? this->large : this->small;
}

void ConnectionLedger::setHeld(Entry &entry, std::uint64_t held)
{
    if (entry.isEnding) {
        return;
    }
    this->sumsOf(entry.held).reading -= entry.held;
    this->sumsOf(held).reading += held;
    entry.held = held;
}

void ConnectionLedger::onRead(LedgerNumber number, ByteCount held, ByteCount received, MonotonicTime now)
{
    const auto found = this->entries.find(number);
    if (found == this->entries.end()) {
        return;
    }
    auto &entry = found->second;
    if (entry.held == 0) {
        entry.readingSince = now;
        entry.rate = 0;
    }
    entry.rate
        = entry.rate * std::exp(-secondsBetween(entry.progressAt, now) / RateSeconds) + static_cast<double>(received.count()) / RateSeconds;
    entry.progressAt = now;
    this->setHeld(entry, held.count());
}

void ConnectionLedger::onRequestRead(LedgerNumber number, ByteCount held, MonotonicTime now)
{
    const auto found = this->entries.find(number);
    if (found == this->entries.end()) {
        return;
    }
    found->second.hasSentRequest = true;
    found->second.progressAt = now;
    found->second.readingSince = now;
    found->second.rate = 0;
    this->setHeld(found->second, held.count());
}

void ConnectionLedger::onRequest(LedgerNumber number, ByteCount bytes)
{
    this->sumsOf(bytes.count()).whole += bytes.count();
    if (const auto found = this->entries.find(number); found != this->entries.end()) {
        ++found->second.wholeRequests;
    }
}

void ConnectionLedger::onReleased(ByteCount bytes)
{
    auto &sums = this->sumsOf(bytes.count());
    assert(sums.whole >= bytes.count() && "a request was removed twice");
    sums.whole -= bytes.count();
}

void ConnectionLedger::onResponse(LedgerNumber number, MonotonicTime now)
{
    if (const auto found = this->entries.find(number); found != this->entries.end()) {
        --found->second.wholeRequests;
        found->second.progressAt = now;
    }
}

void ConnectionLedger::chargeUnread(ByteCount bytes)
{
    this->unread += bytes.count();
}

void ConnectionLedger::removeUnread(ByteCount bytes)
{
    assert(this->unread >= bytes.count() && "bytes were removed twice");
    this->unread -= bytes.count();
}

ConnectionLedger::Excess ConnectionLedger::excessOver(std::uint64_t requestLimit, std::uint64_t totalLimit) const
{
    const auto above = [](std::uint64_t used, std::uint64_t limit) {
        return used > limit ? used - limit : 0;
    };
    const auto requests = this->small.total() + this->large.total();
    const auto aboveTotal = above(requests + this->unread, totalLimit);
    const auto largeShare = this->limits.maxRequests.count() - this->limits.maxRequests.count() / SmallReserveDivisor;
    const auto requestsWithShare = this->small.total() + std::min(this->large.total(), largeShare);
    return {std::max(above(requests, requestLimit), aboveTotal), std::max(above(requestsWithShare, requestLimit), aboveTotal)};
}

ConnectionLedger::Excess ConnectionLedger::currentExcess() const
{
    return this->excessOver(this->limits.maxRequests.count(), this->limits.maxTotal.count());
}

bool ConnectionLedger::isExhausted() const
{
    const auto excess = this->currentExcess();
    return (this->large.reading > 0 && excess.all > 0) || (this->small.reading > 0 && excess.small > 0);
}

/// Returns whether a single large request may exceed the limit: it is within the limits of the configuration and is served while there is
/// no other load, and the little load beside it is not refused instead.
bool ConnectionLedger::isAloneAllowed(const Entry &entry) const
{
    const auto others = this->small.total() + this->large.total() - entry.held;
    return entry.wholeRequests == 0 && others <= this->limits.maxRequests.count() / HeadroomDivisor
        && this->excessOver(UINT64_MAX, this->limits.maxTotal.count()).all == 0;
}

/// Grows with the memory and the time that a request has taken, up to twofold with the lack of progress.
double ConnectionLedger::costOf(const Entry &entry, MonotonicTime now)
{
    const double age = secondsBetween(entry.readingSince, now);
    const double currentRate = entry.rate * std::exp(-secondsBetween(entry.progressAt, now) / RateSeconds);
    const double meanRate = static_cast<double>(entry.held) / std::max(age, RateSeconds);
    const double progress = std::clamp(currentRate / std::max(meanRate, 1.0), 0.0, 1.0);
    return static_cast<double>(entry.held) * (1 + age) * (2 - progress);
}

std::vector<ConnectionLedger::Victim> ConnectionLedger::takeVictims(MonotonicTime now)
{
    std::vector<Victim> victims;
    if (!this->isExhausted()) {
        return victims;
    }
    struct Candidate
    {
        double cost = 0;
        LedgerNumber number = 0;
        Entry *entry = nullptr;
    };
    std::vector<Candidate> candidates;
    for (auto &[number, entry] : this->entries) {
        if (entry.held > 0 && !entry.isEnding) {
            candidates.push_back({costOf(entry, now), number, &entry});
        }
    }
    // Ending a connection with earlier requests frees its memory only after their responses.
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        const bool leftWaits = left.entry->wholeRequests > 0;
        const bool rightWaits = right.entry->wholeRequests > 0;
        if (leftWaits != rightWaits) {
            return rightWaits;
        }
        return left.cost != right.cost ? left.cost > right.cost : left.number < right.number;
    });
    const auto excessWithHeadroom = [this](std::uint64_t divisor) {
        return this->excessOver(this->limits.maxRequests.count() - this->limits.maxRequests.count() / divisor,
                                this->limits.maxTotal.count() - this->limits.maxTotal.count() / divisor);
    };
    const auto before = this->currentExcess();
    for (const auto &candidate : candidates) {
        if (this->isAloneAllowed(*candidate.entry)) {
            break;
        }
        const bool isSmall = candidate.entry->held <= MaxSmallRequest.count();
        // The headroom of small requests is a part of their share.
        const bool shouldEnd = isSmall ? before.small > 0 && excessWithHeadroom(HeadroomDivisor * SmallReserveDivisor).small > 0
                                       : excessWithHeadroom(HeadroomDivisor).all > 0;
        if (!shouldEnd) {
            continue;
        }
        victims.push_back({candidate.number,
                           candidate.entry->wholeRequests > 0,
                           ByteCount(candidate.entry->held),
                           std::chrono::duration_cast<Duration>(now - candidate.entry->readingSince)});
        if (candidate.entry->wholeRequests == 0) {
            this->setHeld(*candidate.entry, 0);
        }
        candidate.entry->isEnding = true;
    }
    return victims;
}

std::optional<LedgerNumber> ConnectionLedger::takeReplaceable(std::uint32_t group, MonotonicTime now)
{
    auto best = this->entries.end();
    for (auto each = this->entries.begin(); each != this->entries.end(); ++each) {
        const auto &entry = each->second;
        if (entry.group != group || entry.isEnding || entry.wholeRequests > 0 || now - entry.progressAt < MinReplacedIdleTime) {
            continue;
        }
        const auto rank = [](const Entry &of) {
            return std::pair(of.hasSentRequest, of.progressAt);
        };
        if (best == this->entries.end() || rank(entry) < rank(best->second)) {
            best = each;
        }
    }
    if (best == this->entries.end()) {
        return std::nullopt;
    }
    this->setHeld(best->second, 0);
    best->second.isEnding = true;
    return best->first;
}

} // namespace rhubarbtiller::http
