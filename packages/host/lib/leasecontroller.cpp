#include <rhubarbtiller/host/leasecontroller.h>

#include "wirecodec.h"

#include <asio/post.hpp>

#include <algorithm>

namespace rhubarbtiller::host {

/// A reply that is older than this no longer helps, since the next request is under way.
static constexpr Duration AskTimeout = std::chrono::milliseconds(900);

/// After a peer's notice that it leaves, its guardians hear of the release at different moments.
static constexpr Duration EagerTime = std::chrono::milliseconds(600);
static constexpr std::chrono::milliseconds EagerAskInterval{100};

LeaseController::LeaseController(asio::any_io_executor controlStrand,
                                 const Clock &systemClock,
                                 peer::PeerNetwork &peerNetwork,
                                 blackboard::Blackboard &blackboard,
                                 HostId ownId,
                                 Incarnation incarnation)
    : strand(std::move(controlStrand))
    , clock(systemClock)
    , network(peerNetwork)
    , board(blackboard)
    , self(std::move(ownId))
    , timer(this->strand)
    , lease(this->self, systemClock.now())
    , guardian(this->self, systemClock.now())
    , holder(this->self, incarnation)
{
}

void LeaseController::start()
{
    this->tick();
}

void LeaseController::stop()
{
    this->isStopped = true;
    this->timer.cancel();
}

membership::Freshness LeaseController::freshness() const
{
    return this->lease.state(this->clock.now());
}

MonotonicTime LeaseController::lastHeard(const HostId &peer) const
{
    const auto found = this->heardAt.find(peer);
    return found == this->heardAt.end() ? MonotonicTime::min() : found->second;
}

void LeaseController::onStoreRead(ConfigVersion version, MonotonicTime sentAt)
{
    this->lease.onStoreRead(version, sentAt, this->clock.now());
    this->publish();
}

void LeaseController::onApplied(const config::Snapshot &snapshot, const std::shared_ptr<const membership::Placement> &nextPlacement)
{
    this->lease.onApplied(snapshot.version(), snapshot.fleetParameters(), this->clock.now());
    this->guardian.onPlacement(snapshot.version(), nextPlacement);
    this->holder.onPlacement(snapshot.version(), nextPlacement);
    this->placement = nextPlacement;
    this->peerAddresses.clear();
    for (const auto &[id, host] : snapshot.hosts()) {
        this->peerAddresses.emplace(id, host.peerAddress);
        this->incarnations.insert_or_assign(id, host.incarnation);
    }
    std::erase_if(this->leavingPeers, [this](const HostId &peer) {
        return !this->peerAddresses.contains(peer);
    });
    this->publish();
}

void LeaseController::tick()
{
    if (this->isStopped) {
        return;
    }
    const auto now = this->clock.now();
    for (const auto &peer : this->holder.peersToAsk()) {
        if (peer == this->self) {
            this->askSelf(now);
            continue;
        }
        this->askPeer(peer, now);
    }
    this->publish();
    this->timer.expires_after(now < this->askOftenUntil ? EagerAskInterval : AskInterval);
    this->timer.async_wait([this](const std::error_code &error) {
        if (!error) {
            this->tick();
        }
    });
}

void LeaseController::askSelf(MonotonicTime now)
{
    const auto state = this->lease.state(now);
    const auto request = this->holder.requestFor(this->self, state, now);
    const auto reply = this->guardian.onVoteRequest(request, state, now);
    this->takeVotes(this->self, request, now, reply);
}

void LeaseController::askPeer(const HostId &peer, MonotonicTime now)
{
    const auto address = this->peerAddresses.find(peer);
    if (address == this->peerAddresses.end()) {
        return;
    }
    const auto request = this->holder.requestFor(peer, this->lease.state(now), now);
    peer::wire::Envelope message;
    auto body = toWire(request);
    body.evidence = toWire(this->lease.evidenceVector(now));
    body.leaving = this->isLeaving;
    message.__set_voteRequest(body);
    this->network.call(address->second, std::move(message), now + AskTimeout, [this, peer, request, now](const peer::PeerOutcome &outcome) {
        if (!outcome.reply || !(*outcome.reply)->__isset.voteReply) {
            return;
        }
        asio::post(this->strand, [this, peer, request, now, reply = *outcome.reply] {
            this->onReply(peer, request, now, *reply);
        });
    });
}

void LeaseController::onReply(const HostId &peer,
                              const membership::VoteRequest &request,
                              MonotonicTime sentAt,
                              const peer::wire::Envelope &envelope)
{
    const auto &reply = envelope.voteReply;
    const auto now = this->clock.now();
    this->heardAt[peer] = now;
    this->lease.onReplyEvidence(fromWire(reply.evidence), sentAt, now);
    if (reply.leaving) {
        this->noteLeaving(peer, true);
    }
    this->takeVotes(peer, request, sentAt, fromWire(reply));
    this->publish();
}

void LeaseController::takeVotes(const HostId &guardianId,
                                const membership::VoteRequest &request,
                                MonotonicTime sentAt,
                                const membership::VoteReply &reply)
{
    const auto now = this->clock.now();
    const auto state = this->lease.state(now);
    const auto holds = [&](ShardId shard) {
        return std::ranges::any_of(this->holder.heldVotes(shard, state, now), [&guardianId](const auto &vote) {
            return vote.first == guardianId;
        });
    };
    std::set<ShardId> heldBefore;
    std::ranges::copy_if(reply.granted, std::inserter(heldBefore, heldBefore.end()), holds);
    this->holder.onVoteReply(guardianId, request, sentAt, reply);
    for (const auto shard : reply.granted) {
        // A share accrues from the receipt of the reply: the guardian had stopped using it by then.
        if (holds(shard) && !heldBefore.contains(shard)) {
            this->heldSince[{shard, guardianId}] = now;
        }
    }
}

void LeaseController::onVoteRequest(const HostId &sender, const peer::wire::VoteRequest &message, const peer::PeerReplyFunction &reply)
{
    const auto now = this->clock.now();
    const auto request = fromWire(message);
    // A host may only ask in its own name.
    if (request.holder != sender) {
        return;
    }
    this->lease.onRequestEvidence(fromWire(message.evidence));
    // A process that the roster does not show yet may listen elsewhere; callers are not sent to it until it has joined.
    const auto known = this->incarnations.find(sender);
    const bool isListed = known != this->incarnations.end() && known->second == request.incarnation;
    this->noteLeaving(sender, message.leaving || !isListed);
    auto body = toWire(this->guardian.onVoteRequest(request, this->lease.state(now), now));
    body.evidence = toWire(this->lease.evidenceVector(now));
    body.leaving = this->isLeaving;
    peer::wire::Envelope envelope;
    envelope.__set_voteReply(body);
    reply(std::move(envelope));
}

void LeaseController::noteLeaving(const HostId &peer, bool peerIsLeaving)
{
    const bool changed = peerIsLeaving ? this->leavingPeers.insert(peer).second : this->leavingPeers.erase(peer) > 0;
    if (!changed) {
        return;
    }
    auto next = std::make_shared<blackboard::LeavingHosts>();
    next->hosts = this->leavingPeers;
    if (this->isLeaving) {
        next->hosts.insert(this->self);
    }
    this->board.leaving.publish(std::move(next));
    if (peerIsLeaving) {
        // The votes that the peer gives up are free now; waiting for the next round would leave its shards without an owner.
        this->askOften();
    }
}

void LeaseController::askOften()
{
    this->askOftenUntil = this->clock.now() + EagerTime;
    asio::post(this->strand, [this] {
        this->timer.cancel();
        this->tick();
    });
}

void LeaseController::beginLeaving()
{
    this->isLeaving = true;
    this->holder.releaseAll();
    auto next = std::make_shared<blackboard::LeavingHosts>();
    next->hosts = this->leavingPeers;
    next->hosts.insert(this->self);
    this->board.leaving.publish(std::move(next));
    this->publish();
    this->timer.cancel();
    this->tick();
}

void LeaseController::publish()
{
    if (!this->placement) {
        return;
    }
    const auto now = this->clock.now();
    auto view = std::make_shared<blackboard::LeaseView>();
    view->freshness = this->lease.state(now);
    view->shards.resize(this->placement->shardCount());
    for (const auto shard : this->placement->shardsOf(this->self)) {
        auto &entry = view->shards[shard.count()];
        entry.ownedUntil = this->holder.ownedUntil(shard, view->freshness, now);
        for (const auto &[voter, deadline] : this->holder.heldVotes(shard, view->freshness, now)) {
            const auto since = this->heldSince.find({shard, voter});
            if (since != this->heldSince.end()) {
                entry.shares.push_back({since->second, std::min(deadline, view->freshness.deadline)});
            }
        }
    }
    this->board.leases.publish(std::move(view));
    if (this->changeHandler) {
        this->changeHandler();
    }
}

} // namespace rhubarbtiller::host
