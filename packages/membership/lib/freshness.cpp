#include <rhubarbtiller/membership/freshness.h>

#include <algorithm>
#include <cassert>
#include <functional>

namespace rhubarbtiller::membership {

// Versions kept for each source of evidence; a source passes through more than these only in a burst of changes.
static constexpr std::size_t MaxKnownVersions = 8;

// Versions that wait for their settling time; when more come in a burst, the newest ones are settled together.
static constexpr std::size_t MaxMajorities = 256;

// Evidence of this age can renew no lease.
static constexpr Duration UselessAge = 2 * FreshnessLeaseDuration;

// How long the reports of the other witnesses must come after the own start. A settling host counts a report that this
// host made before its start for at most one lease; the ages of the other reports may be off by the clock drift as well.
static constexpr Duration SilenceAfterStart = withClockDrift(withClockDrift(FreshnessLeaseDuration));

static std::size_t majorityOf(std::size_t members)
{
    return members / 2 + 1;
}

static bool contains(const std::vector<HostId> &hosts, const HostId &host)
{
    return std::ranges::find(hosts, host) != hosts.end();
}

FreshnessLease::FreshnessLease(HostId ownId, MonotonicTime startTime) : self(std::move(ownId)), startedAt(startTime)
{
}

void FreshnessLease::addEvidence(TimeOfVersion &known, ConfigVersion version, MonotonicTime at)
{
    if (const auto [entry, isNew] = known.try_emplace(version, at); !isNew) {
        entry->second = std::max(entry->second, at);
    }
    if (known.size() > MaxKnownVersions) {
        known.erase(std::ranges::min_element(known, {}, &TimeOfVersion::value_type::second));
    }
}

void FreshnessLease::onStoreRead(ConfigVersion version, MonotonicTime sentAt, MonotonicTime now)
{
    assert(sentAt <= now && "a read cannot be sent after its answer");
    this->highestKnown = std::max(this->highestKnown, version);
    addEvidence(this->storeReads, version, sentAt);
    if (!this->reportFloor) {
        this->reportFloor = version;
    }
    this->updateMajority(now);
}

void FreshnessLease::onRequestEvidence(const EvidenceVector &evidence)
{
    this->settledElsewhere = std::max(this->settledElsewhere, evidence.settledVersion);
    this->highestKnown = std::max({this->highestKnown, evidence.storeVersion, evidence.settledVersion});
    for (const auto &report : evidence.witnesses) {
        this->highestKnown = std::max(this->highestKnown, report.version);
    }
}

void FreshnessLease::onReplyEvidence(const EvidenceVector &evidence, MonotonicTime requestSentAt, MonotonicTime now)
{
    assert(requestSentAt <= now && "a request cannot be sent after its reply");
    this->onRequestEvidence(evidence);
    if (evidence.storeAge && *evidence.storeAge >= Duration::zero() && *evidence.storeAge < UselessAge) {
        addEvidence(this->storeReads, evidence.storeVersion, requestSentAt - *evidence.storeAge);
    }
    for (const auto &report : evidence.witnesses) {
        if (report.host != this->self && report.age >= Duration::zero() && report.age < UselessAge) {
            addEvidence(this->reports[report.host], report.version, requestSentAt - report.age);
        }
    }
    this->learnFromWitnesses();
    this->updateMajority(now);
}

void FreshnessLease::onApplied(ConfigVersion version, const config::FleetParameters &fleet, MonotonicTime now)
{
    if (version <= this->applied) {
        return;
    }
    this->applied = version;
    this->highestKnown = std::max(this->highestKnown, version);
    this->parameters = fleet;
    std::erase_if(this->reports, [this](const auto &entry) {
        return !contains(this->parameters.witnesses, entry.first) && !contains(this->parameters.previousWitnesses, entry.first);
    });
    this->learnFromWitnesses();
    this->updateMajority(now);
}

void FreshnessLease::learnFromWitnesses()
{
    const auto &witnesses = this->parameters.witnesses;
    if (this->reportFloor || !contains(witnesses, this->self)) {
        return;
    }
    // Any majority that counted a report of this host from before its start has one of this many others in it.
    const std::size_t needed = witnesses.size() - majorityOf(witnesses.size()) + 1;
    std::size_t heard = 0;
    ConfigVersion newest;
    for (const auto &witness : witnesses) {
        const auto known = this->reports.find(witness);
        if (witness == this->self || known == this->reports.end()) {
            continue;
        }
        bool isHeard = false;
        for (const auto &[version, at] : known->second) {
            isHeard = isHeard || at >= this->startedAt + SilenceAfterStart;
            newest = std::max(newest, version);
        }
        heard += isHeard ? 1 : 0;
    }
    if (heard >= needed) {
        this->reportFloor = newest;
    }
}

bool FreshnessLease::mayReport() const
{
    const bool isWitness = contains(this->parameters.witnesses, this->self) || contains(this->parameters.previousWitnesses, this->self);
    return isWitness && this->reportFloor && this->applied >= *this->reportFloor;
}

ConfigVersion FreshnessLease::majorityVersion(const std::vector<HostId> &witnesses, MonotonicTime now) const
{
    if (witnesses.empty()) {
        return this->applied;
    }
    std::vector<ConfigVersion> versions;
    for (const auto &witness : witnesses) {
        if (witness == this->self) {
            versions.push_back(this->mayReport() ? this->applied : ConfigVersion());
            continue;
        }
        ConfigVersion newest;
        if (const auto known = this->reports.find(witness); known != this->reports.end()) {
            for (const auto &[version, at] : known->second) {
                // An older report may come from a process that has restarted and no longer knows what it reported.
                if (at >= now - FreshnessLeaseDuration) {
                    newest = std::max(newest, version);
                }
            }
        }
        versions.push_back(newest);
    }
    std::ranges::sort(versions, std::greater());
    return versions[majorityOf(versions.size()) - 1];
}

void FreshnessLease::updateMajority(MonotonicTime now)
{
    while (this->majorities.size() > 1 && this->majorities[1].learnedAt + withClockDrift(FreshnessLeaseDuration) <= now) {
        this->majorities.pop_front();
    }
    // Only the parameters of the applied version are known, so nothing can be said about newer versions.
    const ConfigVersion version = std::min({this->applied,
                                            this->majorityVersion(this->parameters.witnesses, now),
                                            this->majorityVersion(this->parameters.previousWitnesses, now)});
    if (version.count() == 0 || (!this->majorities.empty() && version <= this->majorities.back().version)) {
        return;
    }
    if (this->majorities.size() >= MaxMajorities) {
        this->majorities.pop_back();
    }
    this->majorities.push_back(Majority{version, now});
}

ConfigVersion FreshnessLease::settledVersion(MonotonicTime now) const
{
    ConfigVersion settled = std::min(this->settledElsewhere, this->applied);
    for (const auto &majority : this->majorities) {
        if (majority.learnedAt + withClockDrift(FreshnessLeaseDuration) > now) {
            break;
        }
        settled = std::max(settled, majority.version);
    }
    return settled;
}

std::optional<MonotonicTime> FreshnessLease::witnessMajorityTime(MonotonicTime now) const
{
    std::vector<MonotonicTime> times;
    for (const auto &witness : this->parameters.witnesses) {
        if (witness == this->self) {
            if (this->mayReport()) {
                times.push_back(now);
            }
            continue;
        }
        if (const auto known = this->reports.find(witness); known != this->reports.end()) {
            if (const auto report = known->second.find(this->applied); report != known->second.end()) {
                times.push_back(report->second);
            }
        }
    }
    const std::size_t needed = majorityOf(this->parameters.witnesses.size());
    if (times.size() < needed) {
        return std::nullopt;
    }
    std::ranges::sort(times, std::greater());
    return times[needed - 1];
}

MonotonicTime FreshnessLease::deadline(MonotonicTime now) const
{
    if (this->applied.count() == 0) {
        return MonotonicTime::min();
    }
    std::optional<MonotonicTime> newest = this->witnessMajorityTime(now);
    if (const auto read = this->storeReads.find(this->applied); read != this->storeReads.end()) {
        newest = newest ? std::max(*newest, read->second) : read->second;
    }
    return newest ? *newest + FreshnessLeaseDuration : MonotonicTime::min();
}

EvidenceVector FreshnessLease::evidenceVector(MonotonicTime now) const
{
    EvidenceVector evidence;
    evidence.settledVersion = this->settledVersion(now);
    if (!this->storeReads.empty()) {
        const auto &[version, at] = *this->storeReads.rbegin();
        evidence.storeVersion = version;
        evidence.storeAge = now - at;
    }
    for (const auto &[witness, known] : this->reports) {
        if (!known.empty()) {
            const auto &[version, at] = *std::ranges::max_element(known, {}, &TimeOfVersion::value_type::second);
            evidence.witnesses.push_back(WitnessEvidence{witness, version, now - at});
        }
    }
    if (this->mayReport()) {
        evidence.witnesses.push_back(WitnessEvidence{this->self, this->applied, Duration::zero()});
    }
    return evidence;
}

} // namespace rhubarbtiller::membership
