#include <rhubarbtiller/membership/votes.h>

#include <algorithm>
#include <cassert>
#include <functional>
#include <tuple>

namespace rhubarbtiller::membership {

static bool isSameSet(std::vector<HostId> left, std::vector<HostId> right)
{
    std::ranges::sort(left);
    std::ranges::sort(right);
    return left == right;
}

/// Returns whether what was known of shards under \p before still says something about them under \p after.
static bool isSuccessor(ConfigVersion versionBefore, const Placement *before, ConfigVersion versionAfter, const Placement &after)
{
    return before && versionAfter.count() == versionBefore.count() + 1 && before->shardCount() == after.shardCount();
}

VoteGuardian::VoteGuardian(HostId ownId, MonotonicTime startedAt)
    : self(std::move(ownId)), grantsFrom(startedAt + withClockDrift(VoteLeaseDuration))
{
}

void VoteGuardian::onPlacement(ConfigVersion next, std::shared_ptr<const Placement> nextPlacement)
{
    assert(nextPlacement && "a guardian needs a placement");
    assert(next > this->version && "versions must rise");
    const bool isContinued = isSuccessor(this->version, this->placement.get(), next, *nextPlacement);
    if (isContinued && nextPlacement == this->placement) {
        this->version = next;
        return;
    }
    std::map<ShardId, Duty> nextDuties;
    for (const auto shard : nextPlacement->shardsOf(this->self)) {
        const auto known = isContinued ? this->duties.find(shard) : this->duties.end();
        if (known == this->duties.end()) {
            nextDuties.emplace(shard, Duty{next, next, {}});
            continue;
        }
        Duty duty = std::move(known->second);
        const auto &before = this->placement->guardians(shard);
        const auto &after = nextPlacement->guardians(shard);
        if (!isSameSet(before, after)) {
            duty.unchangedSince = next;
        }
        if (after.size() < before.size()) {
            // A majority of the smaller set need not share a member with a majority of the larger one.
            duty.newSince = next;
        }
        nextDuties.emplace(shard, std::move(duty));
    }
    this->duties = std::move(nextDuties);
    this->version = next;
    this->placement = std::move(nextPlacement);
}

bool VoteGuardian::mayAct(const Duty &duty, const Freshness &freshness, MonotonicTime now) const
{
    return now >= this->grantsFrom && freshness.version == this->version && freshness.holds(now) && freshness.settled >= duty.newSince;
}

bool VoteGuardian::isPreferredAsking(const Duty &duty, ShardId shard, const HostId &holder, MonotonicTime now) const
{
    const auto &guardians = this->placement->guardians(shard);
    const auto rank = [&guardians](const HostId &host, const Candidate &candidate) {
        return std::pair(!candidate.hearsReplies, std::ranges::find(guardians, host) - guardians.begin());
    };
    const auto own = rank(holder, duty.candidates.at(holder));
    return std::ranges::any_of(duty.candidates, [&](const auto &entry) {
        return now < entry.second.askedAt + CandidateMemory && rank(entry.first, entry.second) < own;
    });
}

bool VoteGuardian::grant(const VoteRequest &request, ShardId shard, const Freshness &freshness, MonotonicTime now)
{
    const auto found = this->duties.find(shard);
    if (found == this->duties.end() || !this->placement->isGuardian(shard, request.holder)) {
        return false;
    }
    Duty &duty = found->second;
    // A vote granted across a change of the guardians could join a majority of another set.
    if (request.configVersion < duty.unchangedSince || request.configVersion > this->version) {
        return false;
    }
    duty.candidates[request.holder] = Candidate{now, request.hearsReplies};
    if (!this->mayAct(duty, freshness, now) || this->isPreferredAsking(duty, shard, request.holder, now)) {
        return false;
    }
    const MonotonicTime deadline = now + withClockDrift(VoteLeaseDuration);
    const auto current = this->grants.find(shard);
    if (current == this->grants.end() || current->second.deadline <= now) {
        this->grants.insert_or_assign(shard, Grant{request.holder, request.incarnation, request.sequence, deadline});
        return true;
    }
    Grant &held = current->second;
    if (held.holder != request.holder || held.incarnation != request.incarnation) {
        return false;
    }
    held.deadline = deadline;
    held.sequence = std::max(held.sequence, request.sequence);
    return true;
}

void VoteGuardian::endReleased(const VoteRequest &request, ShardId shard)
{
    if (const auto duty = this->duties.find(shard); duty != this->duties.end()) {
        duty->second.candidates.erase(request.holder);
    }
    const auto held = this->grants.find(shard);
    // A late or repeated release must not end a vote that was granted again after it.
    if (held != this->grants.end() && held->second.holder == request.holder && held->second.incarnation == request.incarnation
        && held->second.sequence < request.sequence) {
        this->grants.erase(held);
    }
}

VoteReply VoteGuardian::onVoteRequest(const VoteRequest &request, const Freshness &freshness, MonotonicTime now)
{
    std::erase_if(this->grants, [now](const auto &entry) {
        return entry.second.deadline <= now;
    });
    for (const auto shard : request.released) {
        this->endReleased(request, shard);
    }
    VoteReply reply;
    reply.configVersion = this->version;
    for (const auto shard : request.wanted) {
        if (this->grant(request, shard, freshness, now)) {
            reply.granted.push_back(shard);
        }
    }
    return reply;
}

bool VoteGuardian::ownShareAvailable(ShardId shard, const Freshness &freshness, MonotonicTime now) const
{
    const auto duty = this->duties.find(shard);
    return duty != this->duties.end() && this->mayAct(duty->second, freshness, now) && !this->lentTo(shard, now);
}

std::optional<HostId> VoteGuardian::lentTo(ShardId shard, MonotonicTime now) const
{
    const auto held = this->grants.find(shard);
    if (held == this->grants.end() || held->second.deadline <= now) {
        return std::nullopt;
    }
    return held->second.holder;
}

VoteHolder::VoteHolder(HostId ownId, Incarnation ownIncarnation) : self(std::move(ownId)), incarnation(ownIncarnation)
{
}

void VoteHolder::drop(Claim &claim) const
{
    claim.deadlines.clear();
    claim.releasedSequence = this->lastSequence;
}

void VoteHolder::onPlacement(ConfigVersion next, std::shared_ptr<const Placement> nextPlacement)
{
    assert(nextPlacement && "a holder needs a placement");
    assert(next > this->version && "versions must rise");
    const bool isContinued = isSuccessor(this->version, this->placement.get(), next, *nextPlacement);
    if (isContinued && nextPlacement == this->placement) {
        this->version = next;
        return;
    }
    std::map<ShardId, Claim> nextClaims;
    for (const auto shard : nextPlacement->shardsOf(this->self)) {
        const auto &guardians = nextPlacement->guardians(shard);
        const auto known = isContinued ? this->claims.find(shard) : this->claims.end();
        if (known == this->claims.end()) {
            Claim claim;
            claim.guardians = guardians;
            claim.unchangedSince = next;
            this->drop(claim);
            nextClaims.emplace(shard, std::move(claim));
            continue;
        }
        Claim claim = std::move(known->second);
        if (!isSameSet(claim.guardians, guardians)) {
            claim.unchangedSince = next;
            this->drop(claim);
        }
        claim.guardians = guardians;
        nextClaims.emplace(shard, std::move(claim));
    }
    this->claims = std::move(nextClaims);
    this->version = next;
    this->placement = std::move(nextPlacement);
}

std::vector<HostId> VoteHolder::peersToAsk() const
{
    if (!this->placement) {
        return {};
    }
    auto peers = this->placement->peersOf(this->self);
    if (!this->claims.empty()) {
        peers.push_back(this->self);
    }
    return peers;
}

bool VoteHolder::isCurrent(const Freshness &freshness, MonotonicTime now) const
{
    return freshness.version == this->version && freshness.holds(now);
}

VoteRequest VoteHolder::requestFor(const HostId &peer, const Freshness &freshness, MonotonicTime now)
{
    VoteRequest request;
    const bool mayAsk = !this->isReleasing && this->isCurrent(freshness, now);
    for (const auto &[shard, claim] : this->claims) {
        if (std::ranges::find(claim.toTell, peer) != claim.toTell.end()) {
            request.released.push_back(shard);
        } else if (mayAsk && std::ranges::find(claim.guardians, peer) != claim.guardians.end()) {
            request.wanted.push_back(shard);
        }
    }
    request.holder = this->self;
    request.incarnation = this->incarnation;
    request.configVersion = this->version;
    request.sequence = ++this->lastSequence;
    const auto heard = this->lastHeard.find(peer);
    request.hearsReplies = heard != this->lastHeard.end() && now < heard->second + VoteLeaseDuration;
    return request;
}

void VoteHolder::onVoteReply(const HostId &guardian, const VoteRequest &request, MonotonicTime sentAt, const VoteReply &reply)
{
    auto &heard = this->lastHeard.try_emplace(guardian, sentAt).first->second;
    heard = std::max(heard, sentAt);
    for (const auto shard : request.released) {
        if (const auto claim = this->claims.find(shard); claim != this->claims.end() && request.sequence > claim->second.releasedSequence) {
            std::erase(claim->second.toTell, guardian);
        }
    }
    for (const auto shard : reply.granted) {
        const auto claim = this->claims.find(shard);
        if (claim == this->claims.end() || request.sequence <= claim->second.releasedSequence
            || request.configVersion < claim->second.unchangedSince || std::ranges::find(request.wanted, shard) == request.wanted.end()) {
            continue;
        }
        auto &deadline = claim->second.deadlines.try_emplace(guardian, sentAt + VoteLeaseDuration).first->second;
        deadline = std::max(deadline, sentAt + VoteLeaseDuration);
    }
}

std::vector<std::pair<HostId, MonotonicTime>> VoteHolder::heldVotes(ShardId shard, const Freshness &freshness, MonotonicTime now) const
{
    const auto claim = this->claims.find(shard);
    if (claim == this->claims.end() || !this->isCurrent(freshness, now)) {
        return {};
    }
    std::vector<std::pair<HostId, MonotonicTime>> held;
    std::ranges::copy_if(claim->second.deadlines, std::back_inserter(held), [now](const auto &entry) {
        return now < entry.second;
    });
    return held;
}

int VoteHolder::votes(ShardId shard, const Freshness &freshness, MonotonicTime now) const
{
    return static_cast<int>(this->heldVotes(shard, freshness, now).size());
}

double VoteHolder::share(ShardId shard, const Freshness &freshness, MonotonicTime now) const
{
    const int held = this->votes(shard, freshness, now);
    return held == 0 ? 0 : static_cast<double>(held) / static_cast<double>(this->claims.at(shard).guardians.size());
}

MonotonicTime VoteHolder::ownedUntil(ShardId shard, const Freshness &freshness, MonotonicTime now) const
{
    const auto claim = this->claims.find(shard);
    if (claim == this->claims.end() || !this->isCurrent(freshness, now)) {
        return MonotonicTime::min();
    }
    std::vector<MonotonicTime> deadlines;
    for (const auto &[guardian, deadline] : claim->second.deadlines) {
        deadlines.push_back(deadline);
    }
    const std::size_t needed = claim->second.guardians.size() / 2 + 1;
    if (deadlines.size() < needed) {
        return MonotonicTime::min();
    }
    std::ranges::sort(deadlines, std::greater());
    return std::min(deadlines[needed - 1], freshness.deadline);
}

void VoteHolder::release(ShardId shard)
{
    const auto claim = this->claims.find(shard);
    if (claim == this->claims.end()) {
        return;
    }
    this->drop(claim->second);
    claim->second.toTell = claim->second.guardians;
}

void VoteHolder::releaseAll()
{
    this->isReleasing = true;
    for (auto &[shard, claim] : this->claims) {
        this->drop(claim);
        claim.toTell = claim.guardians;
    }
}

} // namespace rhubarbtiller::membership
