#include <rhubarbtiller/membership/placement.h>

#include "hash.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <set>
#include <utility>

namespace rhubarbtiller::membership {

// With four failure domains a probe misses with a chance of 3/4, so all 64 miss with a chance of about 1e-8.
static constexpr std::uint64_t DomainProbes = 64;

std::uint32_t sliceCount(RequestRate rate)
{
    const double slices = std::ceil(rate.count() / SliceRate.count());
    if (!(slices > 1)) {
        return 1;
    }
    return slices < MaxSlices ? static_cast<std::uint32_t>(slices) : MaxSlices;
}

std::vector<HostId> chooseWitnesses(const std::vector<config::Host> &hosts, std::size_t count)
{
    std::map<FailureDomainId, std::vector<HostId>> byDomain;
    for (const auto &host : hosts) {
        if (host.state == config::HostState::Active) {
            byDomain[host.failureDomain].push_back(host.id);
        }
    }
    for (auto &[domain, members] : byDomain) {
        std::ranges::sort(members, std::greater(), [](const HostId &host) {
            return std::pair(hashOf(HashKind::Witness, host.text()), host);
        });
    }
    std::vector<FailureDomainId> domains;
    domains.reserve(byDomain.size());
    for (const auto &[domain, members] : byDomain) {
        domains.push_back(domain);
    }
    std::ranges::sort(domains, std::greater(), [](const FailureDomainId &domain) {
        return std::pair(hashOf(HashKind::WitnessDomain, domain.text()), domain);
    });

    std::vector<HostId> witnesses;
    for (std::size_t round = 0; witnesses.size() < count; ++round) {
        const std::size_t before = witnesses.size();
        for (const auto &domain : domains) {
            if (const auto &members = byDomain[domain]; round < members.size() && witnesses.size() < count) {
                witnesses.push_back(members[round]);
            }
        }
        if (witnesses.size() == before) {
            break;
        }
    }
    std::ranges::sort(witnesses);
    return witnesses;
}

static bool keepsMajority(const std::vector<HostId> &witnesses, const config::Snapshot &snapshot, const HostId &leaving)
{
    const auto staying = static_cast<std::size_t>(std::ranges::count_if(witnesses, [&](const HostId &witness) {
        return witness != leaving && snapshot.hosts().contains(witness);
    }));
    return witnesses.empty() || staying > witnesses.size() / 2;
}

bool keepsWitnessMajority(const config::Snapshot &snapshot, const HostId &leaving)
{
    const auto &fleet = snapshot.fleetParameters();
    return keepsMajority(fleet.witnesses, snapshot, leaving) && keepsMajority(fleet.previousWitnesses, snapshot, leaving);
}

static std::pair<std::uint64_t, HostId> ringPosition(const HostId &host)
{
    return {hashOf(HashKind::Ring, host.text()), host};
}

static std::map<HostId, FailureDomainId> guardianHosts(const config::Snapshot &snapshot)
{
    std::map<HostId, FailureDomainId> hosts;
    for (const auto &[id, host] : snapshot.hosts()) {
        hosts.emplace(id, host.failureDomain);
    }
    return hosts;
}

/// Takes the best host of each failure domain first, then fills up with the best of the others.
static std::vector<HostId> chooseGuardians(std::uint32_t shard, const std::map<HostId, FailureDomainId> &hosts)
{
    using Score = std::pair<std::uint64_t, const HostId *>;
    const auto better = [](const Score &left, const Score &right) {
        return left.first != right.first ? left.first > right.first : *left.second > *right.second;
    };
    std::map<std::string_view, Score> best;
    std::vector<Score> others;
    for (const auto &[id, domain] : hosts) {
        Score score(hashOf(HashKind::Guardian, id.text(), shard), &id);
        const auto [entry, isFirst] = best.try_emplace(domain.text(), score);
        if (isFirst) {
            continue;
        }
        if (better(score, entry->second)) {
            std::swap(score, entry->second);
        }
        others.push_back(score);
    }

    std::vector<Score> chosen;
    chosen.reserve(best.size() + GuardianCount);
    for (const auto &[domain, score] : best) {
        chosen.push_back(score);
    }
    std::ranges::sort(chosen, better);
    if (chosen.size() < GuardianCount) {
        const std::size_t missing = std::min(GuardianCount - chosen.size(), others.size());
        std::ranges::partial_sort(others, others.begin() + static_cast<std::ptrdiff_t>(missing), better);
        chosen.insert(chosen.end(), others.begin(), others.begin() + static_cast<std::ptrdiff_t>(missing));
    }
    chosen.resize(std::min(chosen.size(), GuardianCount));

    std::vector<HostId> guardians;
    guardians.reserve(chosen.size());
    for (const auto &[score, id] : chosen) {
        guardians.push_back(*id);
    }
    return guardians;
}

std::shared_ptr<const Placement> Placement::build(const config::Snapshot &snapshot, const std::shared_ptr<const Placement> &previous)
{
    auto hosts = guardianHosts(snapshot);
    const std::uint32_t shards = std::max<std::uint32_t>(snapshot.fleetParameters().shardCount, 1);
    if (previous && previous->shardCount() == shards && previous->hosts == hosts) {
        return previous;
    }
    const std::shared_ptr<Placement> placement(new Placement());
    placement->hosts = std::move(hosts);
    placement->guardianTable.reserve(shards);
    placement->firstDomains.reserve(shards);
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        auto guardians = chooseGuardians(shard, placement->hosts);
        placement->firstDomains.push_back(guardians.empty() ? FailureDomainId() : placement->hosts.at(guardians.front()));
        for (const auto &guardian : guardians) {
            placement->guardedShards[guardian].emplace_back(shard);
        }
        placement->guardianTable.push_back(std::move(guardians));
    }
    for (const auto &[id, domain] : placement->hosts) {
        placement->ring.push_back(id);
    }
    std::ranges::sort(placement->ring, {}, ringPosition);
    return placement;
}

const std::vector<HostId> &Placement::guardians(ShardId shard) const
{
    assert(shard.count() < this->shardCount() && "the shard must be one of this placement");
    return this->guardianTable[shard.count()];
}

bool Placement::isGuardian(ShardId shard, const HostId &host) const
{
    return std::ranges::find(this->guardians(shard), host) != this->guardians(shard).end();
}

const std::vector<ShardId> &Placement::shardsOf(const HostId &host) const
{
    static const std::vector<ShardId> none;
    const auto found = this->guardedShards.find(host);
    return found == this->guardedShards.end() ? none : found->second;
}

std::vector<HostId> Placement::peersOf(const HostId &host) const
{
    std::set<HostId> peers;
    for (const auto shard : this->shardsOf(host)) {
        peers.insert(this->guardians(shard).begin(), this->guardians(shard).end());
    }
    if (const auto position = std::ranges::lower_bound(this->ring, ringPosition(host), {}, ringPosition);
        position != this->ring.end() && *position == host) {
        peers.insert(position + 1 == this->ring.end() ? this->ring.front() : *(position + 1));
        peers.insert(position == this->ring.begin() ? this->ring.back() : *(position - 1));
    }
    peers.erase(host);
    return {peers.begin(), peers.end()};
}

ShardId Placement::shardOf(const OrganisationId &organisation, std::uint32_t slice) const
{
    return ShardId(static_cast<std::uint32_t>(hashOf(HashKind::Organisation, organisation.text(), slice) % this->shardCount()));
}

ShardId Placement::shardOf(const PoolName &pool) const
{
    return ShardId(static_cast<std::uint32_t>(hashOf(HashKind::Pool, pool.text()) % this->shardCount()));
}

ShardId Placement::shardOf(const BackendServerId &server, const FailureDomainId &failureDomain) const
{
    // A sequence of probes that depends only on the server keeps it in place when other shards change.
    for (std::uint64_t probe = 0; probe < DomainProbes; ++probe) {
        const std::uint64_t shard = hashOf(HashKind::BackendServer, server.text(), probe) % this->shardCount();
        if (this->firstDomains[shard] == failureDomain) {
            return ShardId(static_cast<std::uint32_t>(shard));
        }
    }
    return ShardId(static_cast<std::uint32_t>(hashOf(HashKind::BackendServer, server.text()) % this->shardCount()));
}

} // namespace rhubarbtiller::membership
