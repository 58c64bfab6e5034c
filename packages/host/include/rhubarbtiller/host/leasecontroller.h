#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/blackboard/blackboard.h>
#include <rhubarbtiller/membership/freshness.h>
#include <rhubarbtiller/membership/votes.h>
#include <rhubarbtiller/peer/peernetwork.h>

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <set>

namespace rhubarbtiller::peer::wire {
class VoteRequest;
} // namespace rhubarbtiller::peer::wire

namespace rhubarbtiller::host {

/// Keeps the freshness lease and the votes of this host and publishes them on the blackboard.
///
/// Thread safety: all methods on the control strand.
class LeaseController
{
public:
    /// How often this host asks the guardians of its shards; a vote lease outlasts two lost messages.
    static constexpr std::chrono::milliseconds AskInterval{1000};

    /// Precondition: \p controlStrand serialises all controllers; the references outlive this object.
    LeaseController(asio::any_io_executor controlStrand,
                    const Clock &systemClock,
                    peer::PeerNetwork &peerNetwork,
                    blackboard::Blackboard &blackboard,
                    HostId ownId,
                    Incarnation incarnation);

    /// Begins to ask for votes. Precondition: called once.
    void start();

    /// Stops the timers. Precondition: none.
    void stop();

    /// Takes a consistent read of the head that this host sent at \p sentAt. Precondition: none.
    void onStoreRead(ConfigVersion version, MonotonicTime sentAt);

    /// Takes a version that this host has applied; each version must be passed, in order.
    ///
    /// Precondition: \p snapshot is of that version and \p placement is built from it.
    void onApplied(const config::Snapshot &snapshot, const std::shared_ptr<const membership::Placement> &placement);

    /// Answers a peer's request for votes. Precondition: none.
    void onVoteRequest(const HostId &sender, const peer::wire::VoteRequest &message, const peer::PeerReplyFunction &reply);

    /// Gives up all votes and tells the peers that this host leaves. Precondition: none.
    void beginLeaving();

    /// Returns the state of the freshness lease. Precondition: none.
    membership::Freshness freshness() const;

    /// Returns the newest version that is known to exist. Precondition: none.
    ConfigVersion highestKnownVersion() const
    {
        return this->lease.highestKnownVersion();
    }

    /// Returns the placement of the applied version, or nullptr. Precondition: none.
    const std::shared_ptr<const membership::Placement> &currentPlacement() const
    {
        return this->placement;
    }

    /// Has \p handler called whenever the published leases may have changed. Precondition: called before start().
    void onChanged(std::function<void()> handler)
    {
        this->changeHandler = std::move(handler);
    }

    /// Returns when \p peer last answered, or the beginning of time. Precondition: none.
    MonotonicTime lastHeard(const HostId &peer) const;

private:
    void tick();
    void askPeer(const HostId &peer, MonotonicTime now);
    void askSelf(MonotonicTime now);
    void onReply(const HostId &peer, const membership::VoteRequest &request, MonotonicTime sentAt, const peer::wire::Envelope &envelope);
    void
    takeVotes(const HostId &guardian, const membership::VoteRequest &request, MonotonicTime sentAt, const membership::VoteReply &reply);
    void noteLeaving(const HostId &peer, bool isLeaving);
    void askOften();
    void publish();

    asio::any_io_executor strand;
    const Clock &clock;
    peer::PeerNetwork &network;
    blackboard::Blackboard &board;
    HostId self;
    asio::steady_timer timer;
    membership::FreshnessLease lease;
    membership::VoteGuardian guardian;
    membership::VoteHolder holder;
    std::map<HostId, Endpoint> peerAddresses;
    /// The run of each host that the roster shows.
    std::map<HostId, Incarnation> incarnations;
    std::map<HostId, MonotonicTime> heardAt;
    /// Since when each vote has been held without interruption.
    std::map<std::pair<ShardId, HostId>, MonotonicTime> heldSince;
    std::set<HostId> leavingPeers;
    std::shared_ptr<const membership::Placement> placement;
    /// Up to when this host asks for votes at short intervals.
    MonotonicTime askOftenUntil{MonotonicTime::min()};
    bool isLeaving = false;
    bool isStopped = false;
    std::function<void()> changeHandler;
};

} // namespace rhubarbtiller::host
