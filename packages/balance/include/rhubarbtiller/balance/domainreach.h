#pragma once

#include <rhubarbtiller/balance/hostrecord.h>

#include <map>

namespace rhubarbtiller::balance {

/// The part of a failure domain's limits that this host and the hosts whose heartbeats it receives may use.
///
/// Each part of a partitioned fleet elects a full set of entry hosts, so their number does not tell how much of a limit is left to the
/// others. A host that is lost without notice may therefore be on the other side of a partition:
///
/// - an entry host keeps its portion of the limit until the failure domain has counted its standby hosts, whose heartbeats are slower;
/// - from then on each lost host counts as one of the hosts of the domain, for as long as partitions usually last;
/// - a host that returns counts as lost for one more window, since its admissions meanwhile were not reported.
///
/// A new process of the host ends this at once: the one before it admits nothing any more. Thread safety: one thread.
class DomainReach
{
public:
    /// Precondition: \p limitWindow, over which limits are counted, and \p entryHostsPerDomain are above 0.
    DomainReach(Duration limitWindow, unsigned entryHostsPerDomain);

    /// Records a heartbeat of another host of the failure domain. Precondition: \p now does not go back.
    void onHeartbeat(const HostRecord &record, MonotonicTime now);

    /// Records the interval of this host's own heartbeats. Precondition: \p interval is above 0.
    void onOwnInterval(Duration interval);

    /// Returns the part of the limits, 0 to 1. Precondition: \p now does not go back.
    double share(MonotonicTime now) const;

private:
    struct Peer
    {
        Incarnation incarnation;
        /// End of its last heartbeat's validity.
        MonotonicTime aliveUntil{};
        /// An entry host may be out of reach from then on.
        MonotonicTime freshUntil{};
        /// From then on a lost entry host counts like a standby host.
        MonotonicTime settledAt{};
        /// Until then the window may contain admissions that it did not report.
        MonotonicTime unreportedUntil{};
        /// Whether its portion of the limit is that of an entry host.
        bool isEntry = false;
        bool isLeaving = false;
    };

    const Duration window;
    const unsigned perDomain;
    Duration longestInterval{};
    std::map<HostId, Peer> peers;
};

} // namespace rhubarbtiller::balance
