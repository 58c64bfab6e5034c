#include "fleet.h"
#include "suites.h"

#include <rhubarbtiller/blackboard/leaseview.h>
#include <rhubarbtiller/membership/votes.h>

#include <algorithm>
#include <memory>

namespace rhubarbtiller::bench {

static constexpr MonotonicTime Start{std::chrono::hours(1)};

/// Returns the host that guards the most shards: every host must bear what the busiest one bears.
static HostId busiestHost(const membership::Placement &placement, std::size_t hosts)
{
    HostId busiest = hostName(0);
    for (std::size_t i = 1; i < hosts; ++i) {
        if (placement.shardsOf(hostName(i)).size() > placement.shardsOf(busiest).size()) {
            busiest = hostName(i);
        }
    }
    return busiest;
}

/// The lease state of the busiest host and its guardian and holder, whose peers grant everything.
struct LeaseHost
{
    explicit LeaseHost(std::shared_ptr<const config::Snapshot> itsSnapshot)
        : snapshot(std::move(itsSnapshot))
        , placement(membership::Placement::build(*this->snapshot))
        , self(busiestHost(*this->placement, this->snapshot->hosts().size()))
        , peers(this->placement->peersOf(this->self))
    {
        this->freshness = membership::Freshness{FleetVersion, Start + std::chrono::seconds(30), FleetVersion};
        this->guardian.onPlacement(FleetVersion, this->placement);
        this->holder.onPlacement(FleetVersion, this->placement);
        this->lease.onApplied(FleetVersion, this->snapshot->fleetParameters(), Start);
    }

    /// One round of the peers' requests to this guardian.
    void serveAll()
    {
        this->now += std::chrono::milliseconds(1);
        for (auto &[peer, request] : this->peerRequests) {
            ++request.sequence;
            (void)this->guardian.onVoteRequest(request, this->freshness, this->now);
        }
    }

    void prepareRequests()
    {
        for (const auto &peer : this->peers) {
            membership::VoteHolder peerHolder(peer, Incarnation(1));
            peerHolder.onPlacement(FleetVersion, this->placement);
            this->peerRequests.emplace_back(peer, peerHolder.requestFor(this->self, this->freshness, Start));
        }
    }

    /// One round of this host's requests, all granted.
    void askAll()
    {
        this->now += std::chrono::milliseconds(1);
        for (const auto &peer : this->peers) {
            const auto request = this->holder.requestFor(peer, this->freshness, this->now);
            this->holder.onVoteReply(peer, request, this->now, {FleetVersion, request.wanted});
        }
    }

    /// The evidence of a peer: a store read and the reports of all witnesses.
    membership::EvidenceVector evidence() const
    {
        membership::EvidenceVector vector;
        vector.storeVersion = FleetVersion;
        vector.storeAge = std::chrono::milliseconds(480);
        vector.settledVersion = FleetVersion;
        for (const auto &witness : this->snapshot->fleetParameters().witnesses) {
            vector.witnesses.push_back({witness, FleetVersion, std::chrono::milliseconds(950)});
        }
        return vector;
    }

    /// The same calls as LeaseController::publish().
    std::shared_ptr<blackboard::LeaseView> publish() const
    {
        auto view = std::make_shared<blackboard::LeaseView>();
        view->freshness = this->lease.state(this->now);
        view->shards.resize(this->placement->shardCount());
        for (const auto shard : this->placement->shardsOf(this->self)) {
            auto &entry = view->shards[shard.count()];
            entry.ownedUntil = this->holder.ownedUntil(shard, this->freshness, this->now);
            for (const auto &[voter, deadline] : this->holder.heldVotes(shard, this->freshness, this->now)) {
                entry.shares.push_back({this->now, deadline});
            }
        }
        return view;
    }

    std::shared_ptr<const config::Snapshot> snapshot;
    std::shared_ptr<const membership::Placement> placement;
    HostId self;
    std::vector<HostId> peers;
    membership::Freshness freshness;
    MonotonicTime now = Start;
    membership::FreshnessLease lease{this->self, Start - std::chrono::minutes(1)};
    membership::VoteGuardian guardian{this->self, Start - std::chrono::minutes(1)};
    membership::VoteHolder holder{this->self, Incarnation(1)};
    std::vector<std::pair<HostId, membership::VoteRequest>> peerRequests;
};

/// Keeps the hosts at 30, so that the shards of one host grow with the shards of the fleet.
static FleetSize sizeOfShards(std::size_t shards)
{
    return {.hosts = 30, .shards = shards};
}

static std::size_t guardedShards(const FleetSize &size)
{
    const LeaseHost host(makeSnapshot(size));
    return host.placement->shardsOf(host.self).size();
}

static double guardianBytes(const FleetSize &size)
{
    LeaseHost host(makeSnapshot(size));
    host.prepareRequests();
    const double before = allocatedBytes();
    auto guardian = std::make_unique<membership::VoteGuardian>(host.self, Start - std::chrono::minutes(1));
    guardian->onPlacement(FleetVersion, host.placement);
    for (const auto &[peer, request] : host.peerRequests) {
        (void)guardian->onVoteRequest(request, host.freshness, Start);
    }
    return allocatedBytes() - before;
}

static double holderBytes(const FleetSize &size)
{
    LeaseHost host(makeSnapshot(size));
    host.askAll();
    return bytesHeldBy([&host] {
        return std::make_unique<membership::VoteHolder>(host.holder);
    });
}

static double guardianMicros(const FleetSize &size)
{
    LeaseHost host(makeSnapshot(size));
    host.prepareRequests();
    return medianMicros(101, [&] {
        host.serveAll();
    });
}

static double holderMicros(const FleetSize &size)
{
    LeaseHost host(makeSnapshot(size));
    return medianMicros(101, [&] {
        host.askAll();
    });
}

static double publishMicros(const FleetSize &size)
{
    LeaseHost host(makeSnapshot(size));
    host.askAll();
    return medianMicrosOfBatch(21, 20, [&] {
        (void)host.publish();
    });
}

static double freshnessMicros(const FleetSize &size)
{
    LeaseHost host(makeSnapshot(size));
    const auto evidence = host.evidence();
    return medianMicros(101, [&] {
        host.now += std::chrono::milliseconds(60);
        host.lease.onReplyEvidence(evidence, host.now, host.now);
        (void)host.lease.state(host.now);
        (void)host.lease.evidenceVector(host.now);
    });
}

static double freshnessBytes(const FleetSize &size)
{
    const LeaseHost host(makeSnapshot(size));
    const auto evidence = host.evidence();
    return bytesHeldBy([&] {
        auto lease = std::make_unique<membership::FreshnessLease>(host.self, Start);
        lease->onApplied(FleetVersion, host.snapshot->fleetParameters(), Start);
        for (int i = 0; i < 100; ++i) {
            lease->onReplyEvidence(evidence, Start + std::chrono::milliseconds(i * 60), Start + std::chrono::milliseconds(i * 60));
        }
        return lease;
    });
}

void measureLeases(Report &report)
{
    const std::vector<std::size_t> shards{64, 128, 256, 512};
    const std::vector<std::size_t> hosts{15, 30, 60, 120};
    const auto byShards = [&](const char *name, const char *unit, double (*measure)(const FleetSize &)) {
        std::vector<Point> points;
        for (const auto count : shards) {
            const auto size = sizeOfShards(count);
            points.push_back({static_cast<double>(guardedShards(size)), measure(size)});
        }
        report.add(name, "shard guarded by the host", unit, std::move(points));
    };
    byShards("voteGuardian.memory.shards", "B", guardianBytes);
    byShards("voteGuardian.round.shards", "us", guardianMicros);
    byShards("voteHolder.memory.shards", "B", holderBytes);
    byShards("voteHolder.round.shards", "us", holderMicros);
    report.add("leaseView.publish.shards", "shard of the fleet at 30 hosts", "us", measureSizes(shards, [](std::size_t n) {
                   return publishMicros(sizeOfShards(n));
               }));
    report.add("freshnessLease.reply.hosts", "host", "us", measureSizes(hosts, [](std::size_t n) {
                   return freshnessMicros({.hosts = n});
               }));
    report.add("freshnessLease.memory.hosts", "host", "B", measureSizes(hosts, [](std::size_t n) {
                   return freshnessBytes({.hosts = n});
               }));

    const auto single = [](double value) {
        return std::vector<Point>{{1, value}};
    };
    const FleetSize target{.hosts = TargetSize.hosts, .shards = TargetSize.shards};
    const auto snapshot = makeSnapshot(target);
    const auto placement = membership::Placement::build(*snapshot);
    double peers = 0;
    double guarded = 0;
    std::size_t mostPeers = 0;
    std::size_t mostGuarded = 0;
    for (std::size_t i = 0; i < target.hosts; ++i) {
        const auto count = placement->peersOf(hostName(i)).size();
        const auto shardCount = placement->shardsOf(hostName(i)).size();
        peers += static_cast<double>(count);
        guarded += static_cast<double>(shardCount);
        mostPeers = std::max(mostPeers, count);
        mostGuarded = std::max(mostGuarded, shardCount);
    }
    report.add("target.peers.mean", "host", "peers", single(peers / static_cast<double>(target.hosts)));
    report.add("target.peers.most", "host", "peers", single(static_cast<double>(mostPeers)));
    report.add("target.guardedShards.mean", "host", "shards", single(guarded / static_cast<double>(target.hosts)));
    report.add("target.guardedShards.most", "host", "shards", single(static_cast<double>(mostGuarded)));
    report.add("target.voteGuardian.memory", "host", "B", single(guardianBytes(target)));
    report.add("target.voteGuardian.round", "round", "us", single(guardianMicros(target)));
    report.add("target.voteHolder.memory", "host", "B", single(holderBytes(target)));
    report.add("target.voteHolder.round", "round", "us", single(holderMicros(target)));
    report.add("target.leaseView.publish", "publication", "us", single(publishMicros(target)));
}

} // namespace rhubarbtiller::bench
