#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>

namespace rhubarbtiller::balance {

/// The record that a host announces.
struct HostRecord
{
    HostId id;
    FailureDomainId failureDomain;
    Endpoint callerAddress;
    Endpoint peerAddress;
    Endpoint controlAddress;
    /// Later runs of a process have larger numbers; of equal hosts those that have run longest come first.
    Incarnation incarnation;
    /// Thousandths of a processor core that the host may use; larger hosts come first.
    std::uint32_t milliCores = 1000;
    bool isLeaving = false;
    /// Whether it has taken the role of an entry host of its failure domain.
    bool isEntry = false;
    /// Whether it handles requests of organisations, as an entry host or for callers with an outdated address.
    bool isServing = false;
    /// Longest time until the host's next heartbeat.
    Duration heartbeatInterval = std::chrono::milliseconds(250);
    /// Part of its failure domain's limits, in thousandths, that it and the hosts whose heartbeats it receives may use.
    std::uint32_t reachPermille = 1000;
    /// Hosts of its failure domain among which it divides the limits, lost ones included; 0 if unknown.
    std::uint32_t domainHosts = 0;

    bool operator==(const HostRecord &) const = default;
};

/// Heartbeat intervals without a heartbeat after which a host counts as unreachable.
inline constexpr int MissedHeartbeatLimit = 4;

/// Returns until when the heartbeat of an entry host that arrived at \p heardAt is fresh: two intervals and a quarter.
///
/// From then on its portion of the limits is left to it, well before it counts as unreachable and is replaced. Precondition: none.
inline MonotonicTime freshUntil(const HostRecord &record, MonotonicTime heardAt)
{
    return heardAt + record.heartbeatInterval * 9 / 4;
}

} // namespace rhubarbtiller::balance
