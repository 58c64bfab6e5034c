#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/gateway/statesource.h>

#include <map>
#include <optional>

namespace rhubarbtiller::gateway {

/// The version of a table that a peer announced in a heartbeat.
struct VersionAnnouncement
{
    HostId host;
    FailureDomainId failureDomain;
    Endpoint controlAddress;
    StoreVersion version;
    /// Longest time until the peer's next heartbeat.
    Duration heartbeatInterval{};
};

/// A request for the newer rows of a table to one peer.
struct Pull
{
    HostId host;
    Endpoint address;
    MonotonicTime deadline{};
};

enum class PullOutcome {
    Received,
    TimedOut,
    Failed,
};

/// Chooses the peers from which a host pulls one table of the store while its replica is behind.
///
/// A pull that waits for a peer whose heartbeats arrive delays other pulls until it ends, so that copies do not compete for a slow
/// link; one that waits for a silent peer delays none. Peers of the own failure domain come first, and peers whose pulls failed last.
/// Thread safety: one thread.
class PullSchedule
{
public:
    /// Precondition: none.
    explicit PullSchedule(FailureDomainId ownFailureDomain);

    /// Records a heartbeat of a peer. Precondition: \p now does not go back.
    void onAnnouncement(const VersionAnnouncement &announcement, StoreVersion ownVersion, MonotonicTime now);

    /// Records progress of the own replica. Precondition: \p now does not go back.
    void onOwnVersion(StoreVersion ownVersion, MonotonicTime now);

    /// Returns the pull to start now, if any. Precondition: \p now does not go back; the caller reports its outcome.
    std::optional<Pull> next(StoreVersion ownVersion, MonotonicTime now);

    /// Records the end of a pull. Precondition: next() returned one from \p host that has not ended.
    void onEnd(const HostId &host, PullOutcome outcome, MonotonicTime now);

    /// Returns whether a pull is in progress that may soon succeed: its peer sends heartbeats and has not failed since the replica is
    /// behind. Precondition: none.
    bool isPullPromising(MonotonicTime now) const;

    /// Returns the newest version that a peer announced; number 0 if none did. Precondition: none.
    StoreVersion announcedVersion() const
    {
        return this->newestAnnouncement;
    }

    /// Returns since when peers announce a newer version than that of the own replica, which has not progressed; nothing if none does.
    ///
    /// Precondition: none.
    std::optional<MonotonicTime> behindSince() const
    {
        return this->behindFrom;
    }

    /// Returns the number of consecutive pulls that timed out. Precondition: none.
    unsigned consecutiveTimeouts() const
    {
        return this->timeouts;
    }

private:
    struct PeerState
    {
        VersionAnnouncement announcement;
        MonotonicTime receivedAt{};
        bool hasPendingPull = false;
        /// Whether a heartbeat arrived since the last pull that failed at once; a host that has ended sends none.
        bool hasAnnounced = false;
        /// Whether a pull from the peer failed since the replica is behind.
        bool hasFailed = false;
        MonotonicTime failedAt{};
    };

    bool isSilent(const PeerState &peer, MonotonicTime now) const;
    bool isPreferred(const PeerState &left, const PeerState &right, MonotonicTime now) const;

    FailureDomainId ownDomain;
    std::map<HostId, PeerState> peers;
    StoreVersion newestAnnouncement;
    std::optional<MonotonicTime> behindFrom;
    unsigned pendingPulls = 0;
    unsigned timeouts = 0;
};

} // namespace rhubarbtiller::gateway
