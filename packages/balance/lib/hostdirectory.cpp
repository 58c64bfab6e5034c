#include <rhubarbtiller/balance/hostdirectory.h>

#include <algorithm>
#include <cassert>
#include <set>

namespace rhubarbtiller::balance {

/// Beats that may be lost before a host counts as dead.
static constexpr int MissedBeats = 4;

/// A host that was not heard for this long is no longer sent anything.
static constexpr Duration ForgetTime = std::chrono::seconds(60);

HostDirectory::HostDirectory(HostRecord own, unsigned entryHostsPerDomain) : self(std::move(own)), perDomain(entryHostsPerDomain)
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

void HostDirectory::onMentioned(const HostRecord &record)
{
    if (record.id == this->self.id) {
        return;
    }
    this->hosts.try_emplace(record.id, Known{record, {}, {}, false});
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
        return std::pair(left->incarnation, left->id) < std::pair(right->incarnation, right->id);
    });
    return living;
}

std::vector<const HostRecord *> HostDirectory::entryHostsFor(const FailureDomainId &domain, MonotonicTime now) const
{
    auto living = this->livingHosts(domain, now);
    if (living.empty()) {
        return this->allEntryHosts(now);
    }
    if (living.size() > this->perDomain) {
        living.resize(this->perDomain);
    }
    return living;
}

std::vector<const HostRecord *> HostDirectory::allEntryHosts(MonotonicTime now) const
{
    std::set<FailureDomainId> domains{this->self.failureDomain};
    for (const auto &[id, known] : this->hosts) {
        domains.insert(known.record.failureDomain);
    }
    std::vector<const HostRecord *> entryHosts;
    for (const auto &domain : domains) {
        const auto living = this->livingHosts(domain, now);
        const auto count = std::min<std::size_t>(living.size(), this->perDomain);
        entryHosts.insert(entryHosts.end(), living.begin(), living.begin() + static_cast<std::ptrdiff_t>(count));
    }
    return entryHosts;
}

std::size_t HostDirectory::ownRank(MonotonicTime now) const
{
    const auto living = this->livingHosts(this->self.failureDomain, now);
    const auto found = std::find(living.begin(), living.end(), &this->self);
    return static_cast<std::size_t>(found - living.begin()) + (this->self.isLeaving ? this->perDomain : 0);
}

bool HostDirectory::isEntryHost(MonotonicTime now) const
{
    return this->ownRank(now) < this->perDomain;
}

std::vector<const HostRecord *> HostDirectory::knownHosts(MonotonicTime now) const
{
    std::vector<const HostRecord *> known;
    for (const auto &[id, entry] : this->hosts) {
        if (!entry.isHeard || now < entry.forgottenAt) {
            known.push_back(&entry.record);
        }
    }
    return known;
}

std::vector<const HostRecord *> HostDirectory::unheardHosts() const
{
    std::vector<const HostRecord *> unheard;
    for (const auto &[id, entry] : this->hosts) {
        if (!entry.isHeard) {
            unheard.push_back(&entry.record);
        }
    }
    return unheard;
}

} // namespace rhubarbtiller::balance
