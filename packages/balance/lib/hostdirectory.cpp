#include <rhubarbtiller/balance/hostdirectory.h>

#include <algorithm>
#include <cassert>
#include <set>
#include <tuple>

namespace rhubarbtiller::balance {

/// Beats that may be lost before a host counts as dead.
static constexpr int MissedBeats = 4;

/// Each older standby host has this long to become an entry host first: two beats of a host that has just changed.
static constexpr Duration ClaimSpacing = std::chrono::milliseconds(120);

/// A mention stands for this long.
static constexpr Duration MentionValidity = std::chrono::seconds(3);

/// A host of the list that lives is heard within this time, also while a whole fleet starts.
static constexpr Duration ListedValidity = std::chrono::seconds(3);

/// Only the beats of many hosts that start at once are too many: one host is waited for of so many in the list, and at most
/// so many, since they may be gone.
static constexpr std::size_t ListedHostsPerWait = 8;
static constexpr std::size_t MaxAwaitedHosts = 4;

/// A host that cannot read the list becomes an entry host after this time.
static constexpr Duration ListWait = std::chrono::milliseconds(600);

/// A host that was not heard for this long is no longer sent anything.
static constexpr Duration ForgetTime = std::chrono::seconds(60);

/// Returns whether a host becomes an entry host before another one.
static bool goesBefore(const HostRecord &left, const HostRecord &right)
{
    return std::tuple(right.milliCores, left.incarnation, left.id) < std::tuple(left.milliCores, right.incarnation, right.id);
}

HostDirectory::HostDirectory(HostRecord own, unsigned entryHostsPerDomain, bool knowsOthers)
    : self(std::move(own)), knowsAll(knowsOthers), perDomain(entryHostsPerDomain)
{
    assert(entryHostsPerDomain > 0 && "callers need an entry host in each failure domain");
}

void HostDirectory::onBeat(const HostRecord &record, MonotonicTime now)
{
    if (record.id == this->self.id) {
        return;
    }
    auto &known = this->hosts[record.id];
    if (known.isHeard && record.incarnation < known.record.incarnation) {
        return;
    }
    known.record = record;
    known.livesUntil = now + record.beatInterval * MissedBeats;
    known.forgottenAt = now + ForgetTime;
    known.isHeard = true;
}

const HostRecord *HostDirectory::findHeard(const HostId &id, Incarnation incarnation) const
{
    const auto found = this->hosts.find(id);
    const bool isKnown = found != this->hosts.end() && found->second.isHeard && found->second.record.incarnation == incarnation;
    return isKnown ? &found->second.record : nullptr;
}

bool HostDirectory::onMentioned(const HostRecord &record, MonotonicTime now)
{
    if (record.id == this->self.id) {
        return false;
    }
    const auto [entry, isNew] = this->hosts.try_emplace(record.id);
    auto &known = entry->second;
    const bool lives = known.isHeard && now < known.livesUntil;
    const bool servesNews = record.isServing && record.incarnation == known.record.incarnation && !known.record.isServing;
    const bool isNews = servesNews || (!lives && (now >= known.mentionedUntil || !known.record.isServing));
    // What a host says itself is better than what others say of it, but it may have begun to serve since.
    if (!lives) {
        known.record = record;
        known.isHeard = false;
        known.forgottenAt = now + ForgetTime;
    } else if (servesNews) {
        known.record.isServing = true;
    }
    known.mentionedUntil = now + MentionValidity;
    return isNews;
}

void HostDirectory::onListed(const HostRecord &record, MonotonicTime now)
{
    this->onMentioned(record, now);
    if (const auto found = this->hosts.find(record.id); found != this->hosts.end()) {
        found->second.listedUntil = now + ListedValidity;
    }
}

void HostDirectory::setOthersKnown()
{
    this->knowsAll = true;
}

void HostDirectory::beginLeaving()
{
    this->self.isLeaving = true;
}

std::vector<const HostRecord *> HostDirectory::livingHosts(const FailureDomainId &domain, MonotonicTime now) const
{
    std::vector<const HostRecord *> living;
    if (this->self.failureDomain == domain && !this->self.isLeaving) {
        living.push_back(&this->self);
    }
    for (const auto &[id, known] : this->hosts) {
        if (known.record.failureDomain == domain && known.isHeard && now < known.livesUntil && !known.record.isLeaving) {
            living.push_back(&known.record);
        }
    }
    std::sort(living.begin(), living.end(), [](const HostRecord *left, const HostRecord *right) {
        return goesBefore(*left, *right);
    });
    return living;
}

std::vector<const HostRecord *> HostDirectory::entryHostsFor(const FailureDomainId &domain, MonotonicTime now) const
{
    auto entryHosts = this->entryHostsIn(domain, now);
    if (entryHosts.empty()) {
        // Standby hosts serve as well, until some of them have noticed.
        entryHosts = this->livingHosts(domain, now);
        entryHosts.resize(std::min<std::size_t>(entryHosts.size(), this->perDomain));
    }
    return entryHosts.empty() ? this->allEntryHosts(now) : entryHosts;
}

std::vector<const HostRecord *> HostDirectory::entryHostsIn(const FailureDomainId &domain, MonotonicTime now) const
{
    auto entryHosts = this->livingHosts(domain, now);
    std::erase_if(entryHosts, [](const HostRecord *host) {
        return !host->isEntry;
    });
    entryHosts.resize(std::min<std::size_t>(entryHosts.size(), this->perDomain));
    return entryHosts;
}

/// Returns how many hosts of the own failure domain are still to be heard that would go before this one.
std::size_t HostDirectory::unheardBefore(MonotonicTime now) const
{
    const auto count = std::count_if(this->hosts.begin(), this->hosts.end(), [this, now](const auto &entry) {
        const auto &known = entry.second;
        return !known.isHeard && now < known.listedUntil && known.record.failureDomain == this->self.failureDomain
            && goesBefore(known.record, this->self);
    });
    return std::min(static_cast<std::size_t>(count) / ListedHostsPerWait, MaxAwaitedHosts);
}

void HostDirectory::updateClaim(MonotonicTime now)
{
    this->decideClaim(now);
    this->rankAtClaim = this->ownRank(now);
}

void HostDirectory::decideClaim(MonotonicTime now)
{
    if (this->self.isLeaving) {
        return;
    }
    // Without knowing the others, all hosts of a starting fleet would become entry hosts at once.
    this->mayClaimAt = std::min(this->mayClaimAt, now + ListWait);
    if (!this->knowsAll && now < this->mayClaimAt) {
        return;
    }
    std::size_t entryHostsBefore = 0;
    std::size_t standbyHostsBefore = this->unheardBefore(now);
    for (const auto *const host : this->livingHosts(this->self.failureDomain, now)) {
        if (host == &this->self) {
            break;
        }
        (host->isEntry ? entryHostsBefore : standbyHostsBefore) += 1;
    }
    if (this->self.isEntry || entryHostsBefore >= this->perDomain) {
        this->self.isEntry = this->self.isEntry && entryHostsBefore < this->perDomain;
        this->lackSince = MonotonicTime::max();
        return;
    }
    this->lackSince = std::min(this->lackSince, now);
    // The hosts before this one go first, one after the other.
    this->self.isEntry = now - this->lackSince >= ClaimSpacing * standbyHostsBefore;
}

std::vector<const HostRecord *> HostDirectory::allEntryHosts(MonotonicTime now) const
{
    std::set<FailureDomainId> domains{this->self.failureDomain};
    for (const auto &[id, known] : this->hosts) {
        domains.insert(known.record.failureDomain);
    }
    std::vector<const HostRecord *> entryHosts;
    for (const auto &domain : domains) {
        const auto inDomain = this->entryHostsIn(domain, now);
        entryHosts.insert(entryHosts.end(), inDomain.begin(), inDomain.end());
    }
    return entryHosts;
}

std::size_t HostDirectory::livingPeers(MonotonicTime now) const
{
    return static_cast<std::size_t>(std::count_if(this->hosts.begin(), this->hosts.end(), [now](const auto &entry) {
        return entry.second.isHeard && now < entry.second.livesUntil;
    }));
}

std::vector<const HostRecord *> HostDirectory::servingPeers(MonotonicTime now) const
{
    auto peers = this->allEntryHosts(now);
    std::erase(peers, &this->self);
    for (const auto &[id, known] : this->hosts) {
        const bool isCurrent = (known.isHeard && now < known.livesUntil) || now < known.mentionedUntil;
        if (isCurrent && known.record.isServing && std::find(peers.begin(), peers.end(), &known.record) == peers.end()) {
            peers.push_back(&known.record);
        }
    }
    return peers;
}

std::size_t HostDirectory::ownRank(MonotonicTime now) const
{
    auto living = this->livingHosts(this->self.failureDomain, now);
    std::stable_partition(living.begin(), living.end(), [](const HostRecord *host) {
        return host->isEntry;
    });
    const auto found = std::find(living.begin(), living.end(), &this->self);
    return static_cast<std::size_t>(found - living.begin()) + (this->self.isLeaving ? this->perDomain : 0);
}

std::vector<const HostRecord *> HostDirectory::knownHosts(MonotonicTime now) const
{
    std::vector<const HostRecord *> known;
    for (const auto &[id, entry] : this->hosts) {
        if (now < entry.forgottenAt) {
            known.push_back(&entry.record);
        }
    }
    return known;
}

} // namespace rhubarbtiller::balance
