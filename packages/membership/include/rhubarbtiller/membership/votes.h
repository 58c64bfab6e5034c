#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/membership/freshness.h>
#include <rhubarbtiller/membership/leasetimes.h>
#include <rhubarbtiller/membership/placement.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace rhubarbtiller::membership {

/// How long after a request its sender counts as a candidate for the shard; holders ask once a second.
inline constexpr Duration CandidateMemory = std::chrono::milliseconds(2500);

/// A holder's request for votes; one message for all shards that it shares with a guardian.
struct VoteRequest
{
    HostId holder;
    Incarnation incarnation;
    ConfigVersion configVersion;
    /// Rises with each request of this incarnation, over all guardians, so that late and repeated messages are recognised.
    std::uint64_t sequence = 0;
    /// The holder received a reply of this guardian within the last vote lease. A holder that hears no replies must not
    /// keep the shard from the others.
    bool hearsReplies = false;
    std::vector<ShardId> wanted;
    std::vector<ShardId> released;

    bool operator==(const VoteRequest &) const = default;
};

/// A guardian's answer to a VoteRequest.
struct VoteReply
{
    ConfigVersion configVersion;
    std::vector<ShardId> granted;

    bool operator==(const VoteReply &) const = default;
};

/// Leases the votes of one guardian host, the vote of each shard to one holder at a time.
///
/// Holders are preferred if they hear the replies, then by their place in the guardian list. While a preferred holder is
/// asking, the vote of another one is not renewed, so it moves after it has run out.
/// Thread safety: one thread.
class VoteGuardian
{
public:
    /// Creates the guardian of a host that has just started. Precondition: none.
    VoteGuardian(HostId ownId, MonotonicTime startedAt);

    /// Takes the placement of a version that this host has applied.
    ///
    /// Each version must be passed, even if it shares the placement of the one before; a gap makes the guardian wait until
    /// the version is settled. Precondition: \p placement is not nullptr, \p version rises.
    void onPlacement(ConfigVersion version, std::shared_ptr<const Placement> placement);

    /// Ends released votes and grants or renews the wanted ones where that is allowed.
    ///
    /// Precondition: \p freshness is the state of this host's lease at \p now.
    VoteReply onVoteRequest(const VoteRequest &request, const Freshness &freshness, MonotonicTime now);

    /// Returns whether this guardian may use its own share of a shard's rate, 1 / guardian count.
    ///
    /// Precondition: as onVoteRequest().
    bool ownShareAvailable(ShardId shard, const Freshness &freshness, MonotonicTime now) const;

    /// Returns the host that the vote of a shard is lent to, if any; for logs and metrics. Precondition: none.
    std::optional<HostId> lentTo(ShardId shard, MonotonicTime now) const;

private:
    struct Grant
    {
        HostId holder;
        Incarnation incarnation;
        std::uint64_t sequence = 0;
        MonotonicTime deadline;
    };

    struct Candidate
    {
        MonotonicTime askedAt;
        bool hearsReplies = false;
    };

    struct Duty
    {
        /// The set of guardians has been the same since this version.
        ConfigVersion unchangedSince;
        /// Nothing may be granted or used before this version is settled.
        ConfigVersion newSince;
        std::map<HostId, Candidate> candidates;
    };

    void endReleased(const VoteRequest &request, ShardId shard);
    bool mayAct(const Duty &duty, const Freshness &freshness, MonotonicTime now) const;
    bool grant(const VoteRequest &request, ShardId shard, const Freshness &freshness, MonotonicTime now);
    bool isPreferredAsking(const Duty &duty, ShardId shard, const HostId &holder, MonotonicTime now) const;

    HostId self;
    MonotonicTime grantsFrom;
    ConfigVersion version;
    std::shared_ptr<const Placement> placement;
    std::map<ShardId, Duty> duties;
    /// Kept until their deadline even if this host is no guardian of the shard any more.
    std::map<ShardId, Grant> grants;
};

/// Collects the votes of guardians for one host and says which shards it owns.
///
/// Thread safety: one thread.
class VoteHolder
{
public:
    /// Creates the holder of a host that has just started. Precondition: none.
    VoteHolder(HostId ownId, Incarnation ownIncarnation);

    /// Takes the placement of a version that this host has applied; drops the votes of shards whose guardians change.
    ///
    /// Each version must be passed; a gap drops all votes. Precondition: as VoteGuardian::onPlacement().
    void onPlacement(ConfigVersion version, std::shared_ptr<const Placement> placement);

    /// Returns the hosts to send a request to once a second: Placement::peersOf(), and this host itself as a guardian.
    ///
    /// Precondition: none.
    std::vector<HostId> peersToAsk() const;

    /// Makes the next request to \p peer, for all shards that both guard.
    ///
    /// A request without shards is still to be sent, because evidence travels with it. Nothing is asked for while this host
    /// holds no freshness lease or after releaseAll(). Each call makes a new request; send it once.
    /// Precondition: \p freshness is the state of this host's lease at \p now.
    VoteRequest requestFor(const HostId &peer, const Freshness &freshness, MonotonicTime now);

    /// Takes the reply to \p request, which was sent to \p guardian at \p sentAt.
    ///
    /// Precondition: \p sentAt is the moment passed to requestFor().
    void onVoteReply(const HostId &guardian, const VoteRequest &request, MonotonicTime sentAt, const VoteReply &reply);

    /// Returns the number of votes held for a shard. Precondition: as requestFor().
    int votes(ShardId shard, const Freshness &freshness, MonotonicTime now) const;

    /// Returns the guardians whose votes are held for a shard, with the deadline of each vote. Precondition: as requestFor().
    std::vector<std::pair<HostId, MonotonicTime>> heldVotes(ShardId shard, const Freshness &freshness, MonotonicTime now) const;

    /// Returns the share of the shard's rate that the votes carry, from 0 to 1. Precondition: as requestFor().
    double share(ShardId shard, const Freshness &freshness, MonotonicTime now) const;

    /// Returns whether this host may act for the shard: it holds the votes of a majority of the guardians.
    ///
    /// Precondition: as requestFor().
    bool owns(ShardId shard, const Freshness &freshness, MonotonicTime now) const
    {
        return now < this->ownedUntil(shard, freshness, now);
    }

    /// Returns the moment up to which this host owns the shard without another reply; in the past if it does not own it.
    ///
    /// Precondition: as requestFor().
    MonotonicTime ownedUntil(ShardId shard, const Freshness &freshness, MonotonicTime now) const;

    /// Drops the votes of a shard at once and tells the guardians with the next requests.
    ///
    /// The shard is asked for again after that unless releaseAll() was called. Precondition: this host has stopped to act for the shard.
    void release(ShardId shard);

    /// Drops all votes and asks for none any more, for a shutdown. Precondition: as release().
    void releaseAll();

private:
    struct Claim
    {
        std::vector<HostId> guardians;
        /// Votes asked for under an older version count no more.
        ConfigVersion unchangedSince;
        /// Votes asked for by this request or an older one were released.
        std::uint64_t releasedSequence = 0;
        std::map<HostId, MonotonicTime> deadlines;
        /// Guardians that have not been told of a release.
        std::vector<HostId> toTell;
    };

    bool isCurrent(const Freshness &freshness, MonotonicTime now) const;
    void drop(Claim &claim) const;

    HostId self;
    Incarnation incarnation;
    ConfigVersion version;
    std::shared_ptr<const Placement> placement;
    std::uint64_t lastSequence = 0;
    bool isReleasing = false;
    std::map<ShardId, Claim> claims;
    std::map<HostId, MonotonicTime> lastHeard;
};

} // namespace rhubarbtiller::membership
