#include <rhubarbtiller/balance/domainreach.h>

#include <algorithm>
#include <cassert>

namespace rhubarbtiller::balance {

/// A host that was lost without notice counts as cut off for this long; regions lose each other for minutes.
static constexpr Duration LostHostRetention = std::chrono::minutes(10);

DomainReach::DomainReach(Duration limitWindow, unsigned entryHostsPerDomain) : window(limitWindow), perDomain(entryHostsPerDomain)
{
    assert(limitWindow > Duration(0) && "limits are counted over a window");
    assert(entryHostsPerDomain > 0 && "limits are divided among the entry hosts");
}

void DomainReach::onHeartbeat(const HostRecord &record, MonotonicTime now)
{
    const auto [entry, isNew] = this->peers.try_emplace(record.id);
    auto &peer = entry->second;
    if (isNew || record.incarnation > peer.incarnation) {
        peer = Peer();
        peer.incarnation = record.incarnation;
    } else if (now >= peer.aliveUntil) {
        peer.unreportedUntil = now + this->window;
        peer.isEntry = peer.isEntry && now < peer.settledAt;
    }
    // Meanwhile it keeps the portion of the role in which it was lost.
    if (now >= peer.unreportedUntil) {
        peer.isEntry = record.isEntry;
    }
    this->longestInterval = std::max(this->longestInterval, record.heartbeatInterval);
    peer.isLeaving = record.isLeaving;
    peer.aliveUntil = now + record.heartbeatInterval * MissedHeartbeatLimit;
    peer.freshUntil = freshUntil(record, now);
    // The hosts on the other side use less from the loss of the last standby host on; their window ends a window later.
    peer.settledAt = peer.aliveUntil + this->longestInterval * MissedHeartbeatLimit + this->window;
    if (isNew) {
        std::erase_if(this->peers, [now](const auto &each) {
            return now >= each.second.aliveUntil + LostHostRetention;
        });
    }
}

void DomainReach::onOwnInterval(Duration interval)
{
    this->longestInterval = std::max(this->longestInterval, interval);
}

double DomainReach::share(MonotonicTime now) const
{
    // This host counts as well.
    double counted = 1;
    double reachable = 1;
    unsigned withheldRoles = 0;
    for (const auto &[id, peer] : this->peers) {
        if (peer.isLeaving || now >= peer.aliveUntil + LostHostRetention) {
            continue;
        }
        counted += 1;
        const bool isAlive = now < peer.aliveUntil;
        if (isAlive && now >= peer.unreportedUntil) {
            reachable += 1;
            withheldRoles += peer.isEntry && now >= peer.freshUntil ? 1 : 0;
            continue;
        }
        withheldRoles += peer.isEntry && (isAlive || now < peer.settledAt) ? 1 : 0;
    }
    const double heldRoles = static_cast<double>(this->perDomain - std::min(this->perDomain, withheldRoles)) / this->perDomain;
    return std::min(heldRoles, reachable / counted);
}

} // namespace rhubarbtiller::balance
