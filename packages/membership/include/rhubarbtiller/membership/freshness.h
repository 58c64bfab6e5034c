#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/config/rows.h>
#include <rhubarbtiller/membership/leasetimes.h>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace rhubarbtiller::membership {

/// What one witness reported, and an upper bound of the time since then.
struct WitnessEvidence
{
    HostId host;
    ConfigVersion version;
    Duration age{0};

    bool operator==(const WitnessEvidence &) const = default;
};

/// The newest evidence that a host has of the version in force.
struct EvidenceVector
{
    ConfigVersion storeVersion;
    /// Upper bound of the time since the store was read; unset when no read is known.
    std::optional<Duration> storeAge;
    std::vector<WitnessEvidence> witnesses;
    /// The newest version that the sender knows to be settled. A settled version stays settled, so this needs no age.
    ConfigVersion settledVersion;

    bool operator==(const EvidenceVector &) const = default;
};

/// The state of a host's freshness lease, in the form in which other decisions use it.
///
/// Thread safety: a plain value.
struct Freshness
{
    /// The version that this host has applied, for which the lease holds.
    ConfigVersion version;
    MonotonicTime deadline{MonotonicTime::min()};
    /// The newest version that is known to be settled; never above version.
    ConfigVersion settled;

    /// Returns whether this host may act on version. Precondition: none.
    bool holds(MonotonicTime now) const
    {
        return now < this->deadline;
    }
};

/// Decides how long one host may act on the version of the configuration that it has applied.
///
/// A host acts on a version while it has evidence, no older than FreshnessLeaseDuration, that this version is the newest:
/// a read of the store, or reports of exactly this version by a majority of its witnesses. Evidence of any other version
/// does not count; evidence of a newer version is kept and counts once that version is applied.
///
/// The proof needs two rules from the writer of changes. A change of the witnesses may be written as version v+1 only when v
/// is settled, and must then set previousWitnesses to the witnesses of v. The previous witnesses may be cleared as v+1 only
/// when v is settled; they should be, because their majority is needed until then.
///
/// Thread safety: one thread.
class FreshnessLease
{
public:
    /// Creates the lease of a host that has just started and knows nothing. Precondition: none.
    FreshnessLease(HostId ownId, MonotonicTime startTime);

    /// Takes a consistent read of the head of the change log, made by this host itself.
    ///
    /// \p sentAt is when this host sent the read. Precondition: \p sentAt is not after \p now.
    void onStoreRead(ConfigVersion version, MonotonicTime sentAt, MonotonicTime now);

    /// Takes the evidence in a peer's reply to a request that this host sent at \p requestSentAt.
    ///
    /// The peer computed the ages after the request was sent, so each piece of evidence is at least as new as
    /// \p requestSentAt minus its age. Precondition: \p requestSentAt is not after \p now.
    void onReplyEvidence(const EvidenceVector &evidence, MonotonicTime requestSentAt, MonotonicTime now);

    /// Takes the evidence in a request that a peer sent of its own accord.
    ///
    /// The request may have been under way for any time, so its ages are no upper bounds. Only what stays true is used: which
    /// versions exist and which one the peer knows to be settled. It renews no lease. Precondition: none.
    void onRequestEvidence(const EvidenceVector &evidence);

    /// Says that this host has applied \p version, with the fleet parameters of that version.
    ///
    /// Versions that are not newer are ignored. Precondition: none.
    void onApplied(ConfigVersion version, const config::FleetParameters &parameters, MonotonicTime now);

    /// Returns whether this host may act on appliedVersion(). Precondition: none.
    bool holds(MonotonicTime now) const
    {
        return now < this->deadline(now);
    }

    /// Returns the moment up to which this host may act on appliedVersion() without new evidence.
    ///
    /// It is in the past when no lease holds. Precondition: none.
    MonotonicTime deadline(MonotonicTime now) const;

    /// Returns the version that this host has applied; 0 for none. Precondition: none.
    ConfigVersion appliedVersion() const
    {
        return this->applied;
    }

    /// Returns the newest version that is known to exist. Precondition: none.
    ConfigVersion highestKnownVersion() const
    {
        return this->highestKnown;
    }

    /// Returns the newest version, up to appliedVersion(), for which no host acts on an older one any more.
    ///
    /// A version is settled when a majority of the witnesses and of the previous witnesses have reported it or a newer one,
    /// all within one FreshnessLeaseDuration, and FreshnessLeaseDuration plus clock drift has passed since a host learned it.
    /// That host tells the others. Precondition: none.
    ConfigVersion settledVersion(MonotonicTime now) const;

    /// Returns the evidence to send to peers, including the own report of a witness. Precondition: none.
    EvidenceVector evidenceVector(MonotonicTime now) const;

    /// Returns whether this host may report its version as a witness.
    ///
    /// A witness that restarts has forgotten which version it reported. It stays silent until it has applied at least the
    /// version that a store read after its start showed, or the newest version that enough other witnesses reported after
    /// its start plus one lease. Precondition: none.
    bool mayReport() const;

    /// Returns the state of the lease for other decisions. Precondition: none.
    Freshness state(MonotonicTime now) const
    {
        return Freshness{this->applied, this->deadline(now), this->settledVersion(now)};
    }

private:
    /// For each version the latest moment at which the evidence for it may be counted.
    using TimeOfVersion = std::map<ConfigVersion, MonotonicTime>;

    struct Majority
    {
        ConfigVersion version;
        MonotonicTime learnedAt;
    };

    static void addEvidence(TimeOfVersion &known, ConfigVersion version, MonotonicTime at);
    void learnFromWitnesses();
    void updateMajority(MonotonicTime now);
    ConfigVersion majorityVersion(const std::vector<HostId> &witnesses, MonotonicTime now) const;
    std::optional<MonotonicTime> witnessMajorityTime(MonotonicTime now) const;

    HostId self;
    MonotonicTime startedAt;
    ConfigVersion applied;
    ConfigVersion highestKnown;
    config::FleetParameters parameters;
    TimeOfVersion storeReads;
    std::map<HostId, TimeOfVersion> reports;
    /// The least version that this host may report as a witness; unset until it is known.
    std::optional<ConfigVersion> reportFloor;
    std::deque<Majority> majorities;
    /// The newest version that a peer knew to be settled.
    ConfigVersion settledElsewhere;
};

} // namespace rhubarbtiller::membership
