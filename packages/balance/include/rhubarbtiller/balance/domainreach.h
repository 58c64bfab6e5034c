#pragma once

#include <rhubarbtiller/balance/hostrecord.h>

#include <map>

namespace rhubarbtiller::balance {

/// The part of a failure domain's limits that this host and the hosts whose heartbeats it receives may use.
///
/// A host that is lost without notice may be on the other side of a partition, and each part of a partitioned fleet elects a full set of
/// entry hosts, so neither a role nor a replacement tells how much of a limit is left to the others. The part is therefore that of the
/// hosts: n of the N hosts known before the loss may use n/N of the limits. Both sides count the same N, so their parts do not exceed the
/// whole.
///
/// - Entry hosts count: the other hosts of the domain send them heartbeats at presenceInterval(), and a host that has missed two is
/// withheld.
/// - The other hosts use what the entry hosts announce, and nothing while these are out of reach and not yet replaced.
/// - A new entry host counts after two heartbeat intervals, when the hosts of its part have sent theirs.
/// - A lost host is counted in N for as long as partitions usually last; a host that returns is withheld for one more window, since its
///   admissions meanwhile were not reported. A new process of the host ends this at once: the one before it admits nothing any more.
/// - A host whose first heartbeat arrives while others are lost does not count for a minute, so that starts inside one part do not raise
///   its portion.
/// - A process that started after a loss takes the larger N that another host has counted, and the lower figure of an older entry host.
///
/// Thread safety: one thread.
class DomainReach
{
public:
    /// Precondition: \p limitWindow, over which limits are counted, is above 0.
    DomainReach(Incarnation ownIncarnation, Duration limitWindow);

    /// Returns the interval of the heartbeats that entry hosts of the failure domain receive from each of its hosts. Precondition: none.
    Duration presenceInterval() const;

    /// Records a heartbeat of another host of the failure domain. Precondition: \p now does not go back.
    void onHeartbeat(const HostRecord &record, MonotonicTime now);

    /// Records whether this host is an entry host. Precondition: \p now does not go back.
    void setOwnRole(bool isEntryHost, MonotonicTime now);

    /// Returns the part of the limits, 0 to 1. Precondition: \p now does not go back.
    double share(MonotonicTime now) const;

    /// Returns how many hosts of the domain, this one and lost ones included, this host has counted itself. Precondition: \p now does not
    /// go back.
    std::size_t countedHosts(MonotonicTime now) const;

private:
    struct Peer
    {
        Incarnation incarnation;
        /// The portion of the host is withheld from then on.
        MonotonicTime presentUntil{};
        /// The host counts as lost from then on.
        MonotonicTime aliveUntil{};
        /// Until then the window may contain admissions that it did not report.
        MonotonicTime unreportedUntil{};
        /// Until then it does not count: its first heartbeat arrived while others were lost.
        MonotonicTime countsFrom{};
        /// Announced part of the limits; 0 means that it has none to announce.
        double announcedReach = 0;
        /// How many hosts it has counted itself.
        std::size_t countedHosts = 0;
        bool isEntry = false;
        bool isLeaving = false;
        /// Whether it sends heartbeats at the presence interval.
        bool isFrequent = false;
    };

    bool isCounted(const Peer &peer, MonotonicTime now) const;
    bool hasLosses(MonotonicTime now) const;
    double countedShare(MonotonicTime now) const;
    double announcedShare(MonotonicTime now) const;

    const Incarnation own;
    const Duration window;
    bool isEntry = false;
    /// A new entry host does not count before.
    MonotonicTime countsAt{};
    std::map<HostId, Peer> peers;
};

} // namespace rhubarbtiller::balance
