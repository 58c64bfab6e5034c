#pragma once

#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/config/snapshot.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rhubarbtiller::membership {

/// How many guardians a shard has if the roster is large enough.
inline constexpr std::size_t GuardianCount = 3;

/// How many witnesses a fleet has if the roster is large enough.
inline constexpr std::size_t WitnessCount = 9;

/// The rate that one slice of an organisation carries; a larger organisation is cut into slices.
inline constexpr RequestRate SliceRate{500};

/// Upper bound of the slices of one organisation; bounds the number of sibling slices that may be asked for tokens.
inline constexpr std::uint32_t MaxSlices = 64;

/// Returns the number of slices of an organisation with this rate. Precondition: none. Thread safety: any thread.
std::uint32_t sliceCount(RequestRate rate);

/// Chooses the witnesses among the active hosts, spread evenly over the failure domains.
///
/// The result depends only on the set of hosts. A host that leaves is replaced in its own failure domain if it can be,
/// and the others stay. Precondition: host ids are unique. Thread safety: any thread.
std::vector<HostId> chooseWitnesses(const std::vector<config::Host> &hosts, std::size_t count = WitnessCount);

/// Returns whether a majority of the witnesses, and one of the previous witnesses, stays in the roster without \p leaving.
///
/// Evidence comes only from hosts of the roster. A change that takes a majority of the witnesses out of it could never be
/// settled, and neither could the change that replaces the witnesses. Precondition: none. Thread safety: any thread.
bool keepsWitnessMajority(const config::Snapshot &snapshot, const HostId &leaving);

/// Assigns shards to guardian hosts, and organisations, pools and backend servers to shards.
///
/// Guardians are chosen by rendezvous hashing, in different failure domains where there are enough of them. Only the
/// ids and failure domains of the hosts count, so a restart moves nothing.
/// Thread safety: immutable, so any thread may read it.
class Placement
{
public:
    /// Builds the placement of \p snapshot.
    ///
    /// Returns \p previous itself if it was built from the same hosts and shard count, as for most changes.
    /// Precondition: \p previous may be nullptr.
    static std::shared_ptr<const Placement> build(const config::Snapshot &snapshot,
                                                  const std::shared_ptr<const Placement> &previous = nullptr);

    /// Returns the number of shards, at least 1. Precondition: none.
    std::uint32_t shardCount() const
    {
        return static_cast<std::uint32_t>(this->guardianTable.size());
    }

    /// Returns the guardians of a shard, the most preferred first; empty only without hosts.
    ///
    /// Precondition: \p shard is below shardCount().
    const std::vector<HostId> &guardians(ShardId shard) const;

    /// Returns whether \p host guards \p shard. Precondition: \p shard is below shardCount().
    bool isGuardian(ShardId shard, const HostId &host) const;

    /// Returns the shards that \p host guards, in rising order. Precondition: none.
    const std::vector<ShardId> &shardsOf(const HostId &host) const;

    /// Returns the hosts that \p host exchanges evidence with, without itself, sorted; empty if it is not in the roster.
    ///
    /// These are the hosts that guard some shard together with it, and its two neighbours on a ring of all hosts. The ring
    /// connects hosts that guard nothing; the relation is symmetric, so every host is asked as well. Precondition: none.
    std::vector<HostId> peersOf(const HostId &host) const;

    /// Returns the shard of a slice of an organisation. Precondition: \p slice is below its slice count.
    ShardId shardOf(const OrganisationId &organisation, std::uint32_t slice) const;

    /// Returns the shard of a pool. Precondition: none.
    ShardId shardOf(const PoolName &pool) const;

    /// Returns the shard of a backend server, by preference one whose first guardian is in the server's failure domain.
    ///
    /// A change of the roster can move a server to another shard. The host that owns the new shard must not act for the
    /// server before the version that moved it is settled, because the owner of the old shard may act until then.
    /// Precondition: none.
    ShardId shardOf(const BackendServerId &server, const FailureDomainId &failureDomain) const;

private:
    Placement() = default;

    std::map<HostId, FailureDomainId> hosts;
    std::vector<std::vector<HostId>> guardianTable;
    /// For each shard the failure domain of the first guardian.
    std::vector<FailureDomainId> firstDomains;
    std::map<HostId, std::vector<ShardId>> guardedShards;
    /// All hosts in the order of a hash.
    std::vector<HostId> ring;
};

} // namespace rhubarbtiller::membership
