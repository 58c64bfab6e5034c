#include <rhubarbtiller/balance/hostdirectory.h>

#include <algorithm>
#include <cassert>
#include <set>
#include <tuple>

namespace rhubarbtiller::balance {

/// Delay for each standby host that ranks before this one, so that it becomes an entry host first: two heartbeats of a host that
/// has just changed.
static constexpr Duration EntryRoleDelayPerHost = std::chrono::milliseconds(120);

/// Validity of an indirect announcement.
static constexpr Duration IndirectValidity = std::chrono::seconds(3);

/// The first heartbeat of a listed host that is alive arrives within this time, also while a whole fleet starts.
static constexpr Duration ListedValidity = std::chrono::seconds(3);

/// Heartbeats overload the fleet only if many hosts start at once: this host waits for one of every ListedHostsPerWait listed
/// hosts, and for at most MaxAwaitedHosts, since the listed hosts may have stopped.
static constexpr std::size_t ListedHostsPerWait = 8;
static constexpr std::size_t MaxAwaitedHosts = 4;

/// A host that cannot read the host list may become an entry host after this time.
static constexpr Duration ListWait = std::chrono::milliseconds(600);

/// Nothing is sent to a host without an announcement for this long.
static constexpr Duration HostRetention = std::chrono::seconds(60);

/// Returns whether \p left becomes an entry host before \p right.
static bool ranksBefore(const HostRecord &left, const HostRecord &right)
{
    return std::tuple(right.milliCores, left.incarnation, left.id) < std::tuple(left.milliCores, right.incarnation, right.id);
}

HostDirectory::HostDirectory(HostRecord own, unsigned entryHostsPerDomain, bool membershipKnown, Duration limitWindow)
    : self(std::move(own)), reach(this->self.incarnation, limitWindow), isMembershipKnown(membershipKnown), perDomain(entryHostsPerDomain)
{
    assert(entryHostsPerDomain > 0 && "callers need an entry host in each failure domain");
}

void HostDirectory::onHeartbeat(const HostRecord &record, MonotonicTime now)
{
    if (record.id == this->self.id) {
        return;
    }
    auto &peer = this->hosts[record.id];
    // A late heartbeat of an earlier process; once the later one is silent, the wall clock of the host has gone back before a start.
    if (peer.hasHeartbeat && record.incarnation < peer.record.incarnation && now < peer.aliveUntil) {
        return;
    }
    peer.record = record;
    peer.aliveUntil = now + record.heartbeatInterval * MissedHeartbeatLimit;
    peer.freshUntil = balance::freshUntil(record, now);
    peer.expiresAt = now + HostRetention;
    peer.hasHeartbeat = true;
    if (record.failureDomain == this->self.failureDomain) {
        this->reach.onHeartbeat(record, now);
    }
}

const HostRecord *HostDirectory::findByHeartbeat(const HostId &id, Incarnation incarnation) const
{
    const auto found = this->hosts.find(id);
    const bool isMatch = found != this->hosts.end() && found->second.hasHeartbeat && found->second.record.incarnation == incarnation;
    return isMatch ? &found->second.record : nullptr;
}

bool HostDirectory::isLost(const HostId &id, Incarnation incarnation, MonotonicTime now) const
{
    const auto found = this->hosts.find(id);
    if (found == this->hosts.end() || found->second.record.incarnation != incarnation) {
        return false;
    }
    const auto &peer = found->second;
    // Standby hosts of other domains send heartbeats only while they serve.
    const bool isExpected = peer.record.isEntry || peer.record.failureDomain == this->self.failureDomain;
    return isExpected && peer.aliveUntil > MonotonicTime() && now >= peer.aliveUntil;
}

bool HostDirectory::onIndirectAnnouncement(const HostRecord &record, MonotonicTime now)
{
    if (record.id == this->self.id) {
        return false;
    }
    const auto [entry, isNew] = this->hosts.try_emplace(record.id);
    auto &peer = entry->second;
    const bool isAlive = peer.hasHeartbeat && now < peer.aliveUntil;
    const bool beginsToServe = record.isServing && record.incarnation == peer.record.incarnation && !peer.record.isServing;
    const bool isUpdate = beginsToServe || (!isAlive && (now >= peer.indirectUntil || !peer.record.isServing));
    // A host's own heartbeat takes precedence over indirect announcements, but the host may have begun to serve since.
    if (!isAlive) {
        peer.record = record;
        peer.hasHeartbeat = false;
        peer.expiresAt = now + HostRetention;
    } else if (beginsToServe) {
        peer.record.isServing = true;
    }
    peer.indirectUntil = now + IndirectValidity;
    return isUpdate;
}

void HostDirectory::onListed(const HostRecord &record, MonotonicTime now)
{
    this->onIndirectAnnouncement(record, now);
    if (const auto found = this->hosts.find(record.id); found != this->hosts.end()) {
        found->second.listedUntil = now + ListedValidity;
    }
}

void HostDirectory::setMembershipKnown()
{
    this->isMembershipKnown = true;
}

void HostDirectory::beginLeaving()
{
    this->self.isLeaving = true;
}

std::vector<const HostRecord *> HostDirectory::liveHosts(const FailureDomainId &domain, MonotonicTime now) const
{
    std::vector<const HostRecord *> live;
    if (this->self.failureDomain == domain && !this->self.isLeaving) {
        live.push_back(&this->self);
    }
    for (const auto &[id, peer] : this->hosts) {
        if (peer.record.failureDomain == domain && peer.hasHeartbeat && now < peer.aliveUntil && !peer.record.isLeaving) {
            live.push_back(&peer.record);
        }
    }
    std::sort(live.begin(), live.end(), [](const HostRecord *left, const HostRecord *right) {
        return ranksBefore(*left, *right);
    });
    return live;
}

std::vector<const HostRecord *> HostDirectory::entryHostsFor(const FailureDomainId &domain, MonotonicTime now) const
{
    auto entryHosts = this->entryHostsIn(domain, now);
    if (entryHosts.empty()) {
        // Standby hosts can serve too, until some of them have become entry hosts.
        entryHosts = this->liveHosts(domain, now);
        entryHosts.resize(std::min<std::size_t>(entryHosts.size(), this->perDomain));
    }
    return entryHosts.empty() ? this->allEntryHosts(now) : entryHosts;
}

std::vector<const HostRecord *> HostDirectory::entryHostsIn(const FailureDomainId &domain, MonotonicTime now) const
{
    auto entryHosts = this->liveHosts(domain, now);
    std::erase_if(entryHosts, [](const HostRecord *host) {
        return !host->isEntry;
    });
    entryHosts.resize(std::min<std::size_t>(entryHosts.size(), this->perDomain));
    return entryHosts;
}

/// Returns for how many hosts this one waits: one of every ListedHostsPerWait listed hosts of the own failure domain that rank before it
/// and have not sent a heartbeat yet, at most MaxAwaitedHosts.
std::size_t HostDirectory::awaitedHostsBefore(MonotonicTime now) const
{
    const auto count = std::count_if(this->hosts.begin(), this->hosts.end(), [this, now](const auto &entry) {
        const auto &peer = entry.second;
        return !peer.hasHeartbeat && now < peer.listedUntil && peer.record.failureDomain == this->self.failureDomain
            && ranksBefore(peer.record, this->self);
    });
    return std::min(static_cast<std::size_t>(count) / ListedHostsPerWait, MaxAwaitedHosts);
}

void HostDirectory::updateEntryRole(MonotonicTime now)
{
    this->decideEntryRole(now);
    this->rankAtUpdate = this->ownRank(now);
    this->reach.setOwnRole(this->isEntryHost(), now);
    this->reachAtUpdate = this->reach.share(now);
    this->countedAtUpdate = this->reach.countedHosts(now);
}

Duration HostDirectory::presenceInterval() const
{
    return this->reach.presenceInterval();
}

double HostDirectory::domainReach(const FailureDomainId &domain, MonotonicTime now) const
{
    auto entryHosts = this->entryHostsIn(domain, now);
    std::erase_if(entryHosts, [this, now](const HostRecord *host) {
        return host != &this->self && now >= this->hosts.at(host->id).freshUntil;
    });
    const double present = static_cast<double>(entryHosts.size()) / this->perDomain;
    if (domain == this->self.failureDomain) {
        return std::min(present, this->reachAtUpdate);
    }
    std::uint32_t permille = 0;
    for (const auto *const host : entryHosts) {
        permille = std::max(permille, host->reachPermille);
    }
    return std::min(present, permille / 1000.0);
}

void HostDirectory::decideEntryRole(MonotonicTime now)
{
    if (this->self.isLeaving) {
        return;
    }
    // Without waiting for the host list, all hosts of a starting fleet would become entry hosts at once.
    this->entryRoleAllowedAt = std::min(this->entryRoleAllowedAt, now + ListWait);
    if (!this->isMembershipKnown && now < this->entryRoleAllowedAt) {
        return;
    }
    std::size_t entryHostsBefore = 0;
    std::size_t standbyHostsBefore = this->awaitedHostsBefore(now);
    for (const auto *const host : this->liveHosts(this->self.failureDomain, now)) {
        if (host == &this->self) {
            break;
        }
        (host->isEntry ? entryHostsBefore : standbyHostsBefore) += 1;
    }
    if (this->self.isEntry || entryHostsBefore >= this->perDomain) {
        this->self.isEntry = this->self.isEntry && entryHostsBefore < this->perDomain;
        this->shortageSince = MonotonicTime::max();
        return;
    }
    this->shortageSince = std::min(this->shortageSince, now);
    // Standby hosts that rank before this one become entry hosts first, one after the other.
    this->self.isEntry = now - this->shortageSince >= EntryRoleDelayPerHost * standbyHostsBefore;
}

std::vector<const HostRecord *> HostDirectory::allEntryHosts(MonotonicTime now) const
{
    std::set<FailureDomainId> domains{this->self.failureDomain};
    for (const auto &[id, peer] : this->hosts) {
        domains.insert(peer.record.failureDomain);
    }
    std::vector<const HostRecord *> entryHosts;
    for (const auto &domain : domains) {
        const auto inDomain = this->entryHostsIn(domain, now);
        entryHosts.insert(entryHosts.end(), inDomain.begin(), inDomain.end());
    }
    return entryHosts;
}

std::size_t HostDirectory::livePeerCount(MonotonicTime now) const
{
    return static_cast<std::size_t>(std::count_if(this->hosts.begin(), this->hosts.end(), [now](const auto &entry) {
        return entry.second.hasHeartbeat && now < entry.second.aliveUntil;
    }));
}

std::vector<const HostRecord *> HostDirectory::servingPeers(MonotonicTime now) const
{
    auto peers = this->allEntryHosts(now);
    std::erase(peers, &this->self);
    for (const auto &[id, peer] : this->hosts) {
        const bool isCurrent = (peer.hasHeartbeat && now < peer.aliveUntil) || now < peer.indirectUntil;
        if (isCurrent && peer.record.isServing && std::find(peers.begin(), peers.end(), &peer.record) == peers.end()) {
            peers.push_back(&peer.record);
        }
    }
    return peers;
}

std::vector<const HostRecord *> HostDirectory::reportReceivers(MonotonicTime now) const
{
    auto receivers = this->servingPeers(now);
    for (const auto &[id, peer] : this->hosts) {
        const bool wasServing = peer.hasHeartbeat && !peer.record.isLeaving && (peer.record.isEntry || peer.record.isServing);
        if (wasServing && now >= peer.aliveUntil && now < peer.expiresAt
            && std::find(receivers.begin(), receivers.end(), &peer.record) == receivers.end()) {
            receivers.push_back(&peer.record);
        }
    }
    return receivers;
}

std::size_t HostDirectory::ownRank(MonotonicTime now) const
{
    auto live = this->liveHosts(this->self.failureDomain, now);
    std::stable_partition(live.begin(), live.end(), [](const HostRecord *host) {
        return host->isEntry;
    });
    const auto found = std::find(live.begin(), live.end(), &this->self);
    return static_cast<std::size_t>(found - live.begin()) + (this->self.isLeaving ? this->perDomain : 0);
}

std::vector<const HostRecord *> HostDirectory::knownHosts(MonotonicTime now) const
{
    std::vector<const HostRecord *> known;
    for (const auto &[id, entry] : this->hosts) {
        if (now < entry.expiresAt) {
            known.push_back(&entry.record);
        }
    }
    return known;
}

} // namespace rhubarbtiller::balance
