#include <rhubarbtiller/balance/domainreach.h>

#include <algorithm>
#include <cassert>

namespace rhubarbtiller::balance {

/// A host that was lost without notice counts as cut off for this long; regions lose each other for minutes.
static constexpr Duration LostHostRetention = std::chrono::minutes(10);

/// A host whose first heartbeat arrives while others are lost does not count for this long. Hosts replaced by others with new names, one
/// after the other, would otherwise not count for ten minutes.
static constexpr Duration NewHostDelay = std::chrono::minutes(1);

/// Short, since both sides of a partition use the whole limits until the loss is noticed.
static constexpr Duration MinPresenceInterval = std::chrono::milliseconds(250);

/// Bounds the presence heartbeats that an entry host receives per second; larger failure domains send less often.
static constexpr std::size_t MaxPresencePerSecond = 400;

/// Heartbeats of a standby host to the other standby hosts may have this interval at most before a former entry host counts it as lost.
static constexpr Duration FormerEntryTolerance = std::chrono::seconds(12);

/// Returns until when a heartbeat at the presence interval that arrived at \p now is fresh: two intervals and a quarter.
static MonotonicTime presenceEnd(Duration interval, MonotonicTime now)
{
    return now + interval * 9 / 4;
}

DomainReach::DomainReach(Incarnation ownIncarnation, Duration limitWindow) : own(ownIncarnation), window(limitWindow)
{
    assert(limitWindow > Duration(0) && "limits are counted over a window");
}

Duration DomainReach::presenceInterval() const
{
    const Duration forRate = Duration(std::chrono::seconds(1)) * (this->peers.size() + 1) / MaxPresencePerSecond;
    return std::max(MinPresenceInterval, forRate);
}

bool DomainReach::isCounted(const Peer &peer, MonotonicTime now) const
{
    return !peer.isLeaving && now < peer.aliveUntil + LostHostRetention && now >= peer.countsFrom;
}

bool DomainReach::hasLosses(MonotonicTime now) const
{
    return std::any_of(this->peers.begin(), this->peers.end(), [this, now](const auto &each) {
        return this->isCounted(each.second, now) && now >= each.second.aliveUntil;
    });
}

void DomainReach::onHeartbeat(const HostRecord &record, MonotonicTime now)
{
    const auto found = this->peers.find(record.id);
    const bool isNew = found == this->peers.end();
    const bool isDelayed = isNew && this->hasLosses(now);
    auto &peer = isNew ? this->peers[record.id] : found->second;
    const bool isNewProcess = isNew || record.incarnation != peer.incarnation;
    if (isNewProcess) {
        const auto countsFrom = isDelayed ? now + NewHostDelay : peer.countsFrom;
        peer = Peer();
        peer.incarnation = record.incarnation;
        peer.countsFrom = countsFrom;
    } else if (now >= peer.aliveUntil) {
        peer.unreportedUntil = now + this->window;
    }
    const auto interval = this->presenceInterval();
    peer.isEntry = record.isEntry;
    peer.isLeaving = record.isLeaving;
    peer.countedHosts = record.domainHosts;
    peer.announcedReach = record.reachPermille / 1000.0;
    // A host that does not receive the heartbeats of this entry host sends its own rarely and must not count as present in between.
    peer.isFrequent = record.heartbeatInterval <= interval || (this->isEntry && !isNewProcess);
    peer.aliveUntil = now + (peer.isFrequent ? interval : record.heartbeatInterval) * MissedHeartbeatLimit;
    if (peer.isFrequent) {
        peer.presentUntil = presenceEnd(interval, now);
    } else if (isNewProcess && this->isEntry) {
        // Its frequent heartbeats begin once it has received one of this host.
        peer.presentUntil = peer.aliveUntil;
    }
    if (isNew) {
        std::erase_if(this->peers, [now](const auto &each) {
            return now >= each.second.aliveUntil + LostHostRetention;
        });
    }
}

void DomainReach::setOwnRole(bool isEntryHost, MonotonicTime now)
{
    if (this->isEntry == isEntryHost) {
        return;
    }
    this->isEntry = isEntryHost;
    this->countsAt = presenceEnd(this->presenceInterval(), now);
    for (auto &[id, peer] : this->peers) {
        if (isEntryHost) {
            peer.aliveUntil = std::min(peer.aliveUntil, now + this->presenceInterval() * MissedHeartbeatLimit);
            continue;
        }
        peer.isFrequent = peer.isFrequent && peer.isEntry;
        if (!peer.isFrequent && now < peer.aliveUntil) {
            peer.aliveUntil = now + FormerEntryTolerance;
        }
    }
}

double DomainReach::share(MonotonicTime now) const
{
    return this->isEntry && now >= this->countsAt ? this->countedShare(now) : this->announcedShare(now);
}

std::size_t DomainReach::countedHosts(MonotonicTime now) const
{
    const auto others = std::count_if(this->peers.begin(), this->peers.end(), [this, now](const auto &each) {
        return this->isCounted(each.second, now);
    });
    return static_cast<std::size_t>(others) + 1;
}

double DomainReach::countedShare(MonotonicTime now) const
{
    // A process that started after a loss does not know the lost hosts, but others may.
    std::size_t counted = this->countedHosts(now);
    // This host counts as well.
    double present = 1;
    double announced = 1;
    for (const auto &[id, peer] : this->peers) {
        if (!this->isCounted(peer, now)) {
            continue;
        }
        present += now < peer.presentUntil && now >= peer.unreportedUntil ? 1 : 0;
        if (now < peer.aliveUntil) {
            counted = std::max(counted, peer.countedHosts);
        }
        // Only an older process is asked, so that two entry hosts do not keep each other's figure low.
        if (peer.isEntry && now < peer.presentUntil && peer.incarnation < this->own && peer.announcedReach > 0) {
            announced = std::min(announced, peer.announcedReach);
        }
    }
    return std::min(present / static_cast<double>(counted), announced);
}

double DomainReach::announcedShare(MonotonicTime now) const
{
    double announced = 1;
    bool hasAnnouncement = false;
    bool hasLostEntryHost = false;
    double counted = 1;
    double alive = 1;
    for (const auto &[id, peer] : this->peers) {
        if (!this->isCounted(peer, now)) {
            continue;
        }
        counted += 1;
        alive += now < peer.aliveUntil ? 1 : 0;
        const bool isPresent = now < peer.presentUntil;
        hasLostEntryHost = hasLostEntryHost || (peer.isEntry && !isPresent);
        if (peer.isEntry && isPresent && peer.announcedReach > 0) {
            announced = std::min(announced, peer.announcedReach);
            hasAnnouncement = true;
        }
    }
    if (hasAnnouncement) {
        return announced;
    }
    // While a fleet starts, no host has the role yet.
    return hasLostEntryHost ? 0 : alive / counted;
}

} // namespace rhubarbtiller::balance
