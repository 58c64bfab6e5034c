#include "pullschedule.h"

#include <algorithm>
#include <tuple>

namespace rhubarbtiller::gateway {

/// A peer responds at once; a longer wait means that it is unreachable or that a link is busy. The timeout doubles with each pull that
/// timed out, so that a large replica also arrives over a slow link.
static constexpr Duration InitialPullTimeout = std::chrono::milliseconds(500);
static constexpr unsigned MaxPullTimeoutDoublings = 3;

/// Bounds the copies of a table that are on their way to this host.
static constexpr unsigned MaxPendingPulls = 3;

/// Traffic between failure domains is billed: a peer of another domain is asked only if the change has not arrived after this time.
static constexpr Duration RemotePullDelay = std::chrono::milliseconds(250);

/// A heartbeat that is overdue by this much is missing.
static constexpr Duration HeartbeatTolerance = std::chrono::milliseconds(150);

/// A peer without a heartbeat for this long counts as lost.
static constexpr Duration PeerRetention = std::chrono::seconds(5);

PullSchedule::PullSchedule(FailureDomainId ownFailureDomain) : ownDomain(std::move(ownFailureDomain))
{
}

void PullSchedule::onAnnouncement(const VersionAnnouncement &announcement, StoreVersion ownVersion, MonotonicTime now)
{
    auto &peer = this->peers[announcement.host];
    peer.announcement = announcement;
    peer.receivedAt = now;
    peer.hasAnnounced = true;
    this->newestAnnouncement = std::max(this->newestAnnouncement, announcement.version);
    if (announcement.version > ownVersion && !this->behindFrom) {
        this->behindFrom = now;
    }
}

void PullSchedule::onOwnVersion(StoreVersion ownVersion, MonotonicTime now)
{
    if (this->newestAnnouncement > ownVersion) {
        this->behindFrom = now;
        return;
    }
    this->behindFrom.reset();
    for (auto &[host, peer] : this->peers) {
        peer.hasFailed = false;
    }
}

bool PullSchedule::isSilent(const PeerState &peer, MonotonicTime now) const
{
    return now - peer.receivedAt > peer.announcement.heartbeatInterval + HeartbeatTolerance;
}

bool PullSchedule::isPreferred(const PeerState &left, const PeerState &right, MonotonicTime now) const
{
    const auto order = [this, now](const PeerState &peer) {
        return std::tuple(peer.hasFailed,
                          this->isSilent(peer, now),
                          peer.announcement.failureDomain != this->ownDomain,
                          peer.failedAt,
                          now - peer.receivedAt);
    };
    return order(left) < order(right);
}

bool PullSchedule::isPullPromising(MonotonicTime now) const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [this, now](const auto &entry) {
        const auto &peer = entry.second;
        return peer.hasPendingPull && !peer.hasFailed && !this->isSilent(peer, now);
    });
}

std::optional<Pull> PullSchedule::next(StoreVersion ownVersion, MonotonicTime now)
{
    if (!this->behindFrom || this->pendingPulls >= MaxPendingPulls) {
        return std::nullopt;
    }
    const bool allowsRemote = now - *this->behindFrom >= RemotePullDelay;
    PeerState *best = nullptr;
    for (auto &[host, peer] : this->peers) {
        if (peer.hasPendingPull && !this->isSilent(peer, now)) {
            return std::nullopt;
        }
        const bool isRemote = peer.announcement.failureDomain != this->ownDomain;
        const bool isLost = !peer.hasAnnounced || now - peer.receivedAt > PeerRetention;
        if (isLost || peer.hasPendingPull || peer.announcement.version <= ownVersion || (isRemote && !allowsRemote)) {
            continue;
        }
        if (best == nullptr || this->isPreferred(peer, *best, now)) {
            best = &peer;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    best->hasPendingPull = true;
    ++this->pendingPulls;
    const auto timeout = InitialPullTimeout * (1U << std::min(this->timeouts, MaxPullTimeoutDoublings));
    return Pull{best->announcement.host, best->announcement.controlAddress, now + timeout};
}

void PullSchedule::onEnd(const HostId &host, PullOutcome outcome, MonotonicTime now)
{
    auto &peer = this->peers[host];
    peer.hasPendingPull = false;
    --this->pendingPulls;
    if (outcome == PullOutcome::Received) {
        this->timeouts = 0;
        return;
    }
    peer.hasFailed = true;
    if (outcome == PullOutcome::Failed) {
        peer.hasAnnounced = false;
        return;
    }
    peer.failedAt = now;
    ++this->timeouts;
}

} // namespace rhubarbtiller::gateway
