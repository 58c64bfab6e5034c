#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbtiller::gateway {

/// What happens to a host during a fault.
enum class HostFault {
    /// Its process does not run.
    Frozen,
    /// Its work takes several times as long.
    Slow,
    /// Its connections to the store carry nothing.
    CutFromStore,
    /// The store refuses its calls.
    RefusedByStore,
    /// The store refuses its calls for the configuration and serves those for the servers.
    RefusedConfiguration,
    /// No other host reaches it; the store does.
    CutFromPeers,
    /// Its messages are lost or arrive late.
    LosesPackets,
    /// Its process ends and starts again.
    Killed,
};

/// Which hosts a fault affects.
enum class FaultTarget {
    /// The hosts that read the store.
    Readers,
    EntryHosts,
    AnyHosts,
};

struct HostFaultPlan
{
    HostFault kind = HostFault::Frozen;
    FaultTarget target = FaultTarget::Readers;
    /// The share of these hosts that is affected, 0 to 1; at least one host.
    double share = 0;
    Duration from{};
    Duration to{};
};

enum class StoreChange {
    Configuration,
    /// Withdraws a failure domain, or ends that.
    Evacuation,
    AddServer,
    DrainServer,
    /// Discards the history of changes.
    DropHistory,
    /// The store comes back from a copy that is LostTime old; what it lost is written again.
    ReturnFromCopy,
};

struct StoreChangePlan
{
    StoreChange kind = StoreChange::Configuration;
    Duration at{};
};

/// A simulated run of the hosts of a fleet and of the store that they follow.
struct ReplicationPlan
{
    std::uint64_t seed = 0;
    unsigned domains = 3;
    unsigned hostsPerDomain = 14;
    Duration length = std::chrono::seconds(16);
    /// Multiplies the processing times of all hosts, such as for a large configuration.
    unsigned costFactor = 1;
    std::vector<HostFaultPlan> faults;
    std::vector<StoreChangePlan> changes;
};

/// A change that a host in contact with the store did not follow.
struct ReplicationViolation
{
    Duration at{};
    HostId host;
    std::string description;
};

struct ReplicationResult
{
    std::vector<ReplicationViolation> violations;
    /// The longest time from the acknowledgement of a configuration until a host without a fault applied it.
    Duration slowestChange{};
    /// Calls of the store: whole tables, and changes.
    unsigned reads = 0;
    unsigned watches = 0;
};

/// Returns a random plan of faults, with changes around their beginnings. Precondition: none.
ReplicationPlan randomReplicationPlan(std::uint64_t seed);

/// Returns a random plan in which the store returns from an older copy beside the other faults. Precondition: none.
ReplicationPlan randomReturnPlan(std::uint64_t seed);

/// Returns the faults of a plan in words. Precondition: none.
std::string describeFaults(const ReplicationPlan &plan);

/// Plays StateSync and PeerLink of all hosts on a virtual clock, and checks on every host that is itself without a fault that
///
/// - a change is in force 2 s after the store acknowledged it, or 7 s after it while the store refused this host or lost its history;
/// - the configuration never reverts while the process runs;
/// - the rows are those that the store had at the host's version, except for some seconds after its return from a copy;
/// - a process does not start with a configuration that was replaced more than 1.5 s before.
///
/// Precondition: none. Thread safety: any thread.
ReplicationResult simulateReplication(const ReplicationPlan &plan);

} // namespace rhubarbtiller::gateway
