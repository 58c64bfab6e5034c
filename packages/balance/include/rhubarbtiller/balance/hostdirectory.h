#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>

#include <map>
#include <vector>

namespace rhubarbtiller::balance {

/// What a host says of itself.
struct HostRecord
{
    HostId id;
    FailureDomainId failureDomain;
    Endpoint callerAddress;
    Endpoint peerAddress;
    Endpoint controlAddress;
    /// Later runs of a process have larger numbers; of equal hosts those that have run longest come first.
    Incarnation incarnation;
    /// Thousandths of a processor core that the host may use; larger hosts come first.
    std::uint32_t milliCores = 1000;
    bool isLeaving = false;
    /// Whether it counts itself among the entry hosts of its failure domain.
    bool isEntry = false;
    /// Whether it handles requests of organisations, as an entry host or for callers with an old answer.
    bool isServing = false;
    /// Within this time the host says something again.
    Duration beatInterval = std::chrono::milliseconds(250);

    bool operator==(const HostRecord &) const = default;
};

/// The hosts that live, as this host hears, and which of them callers are told to use.
///
/// In each failure domain the largest hosts, and among equals those that have run longest, are entry hosts; the others stand by. A host
/// says itself that it is one, once it hears too few others that do, so that a standby host that died unnoticed is never counted on. Few
/// entry hosts see enough requests each to find a failing backend server after one or two failures. Thread safety: one thread.
class HostDirectory
{
public:
    /// With \p knowsOthers false, the host waits a moment before it becomes an entry host, or for setOthersKnown().
    ///
    /// Precondition: \p own names this host; \p entryHostsPerDomain is above 0.
    HostDirectory(HostRecord own, unsigned entryHostsPerDomain, bool knowsOthers = true);

    /// Notes a host that stands in the list of started hosts and may live. Precondition: \p now does not go back.
    void onListed(const HostRecord &record, MonotonicTime now);

    /// Notes that the whole list was read. Precondition: none.
    void setOthersKnown();

    /// Takes what a host said of itself, directly. Precondition: \p now does not go back.
    void onBeat(const HostRecord &record, MonotonicTime now);

    /// Returns the record of a host that was heard in this incarnation, or nullptr. Precondition: none.
    const HostRecord *findHeard(const HostId &id, Incarnation incarnation) const;

    /// Notes a host that another source named; it counts as living only once it is heard.
    ///
    /// Returns whether it was neither heard nor named lately. Precondition: \p now does not go back.
    bool onMentioned(const HostRecord &record, MonotonicTime now);

    /// Decides whether this host is an entry host; to be called a few times a second. Precondition: \p now does not go back.
    void updateClaim(MonotonicTime now);

    /// Marks this host as leaving. Precondition: none.
    void beginLeaving();

    /// Returns the living hosts of a failure domain that are not leaving, the largest first, then those that have run longest.
    ///
    /// Precondition: none.
    std::vector<const HostRecord *> livingHosts(const FailureDomainId &domain, MonotonicTime now) const;

    /// Returns the hosts that callers of a failure domain use; those of other domains if it has none. Precondition: none.
    std::vector<const HostRecord *> entryHostsFor(const FailureDomainId &domain, MonotonicTime now) const;

    /// Returns the entry hosts of all failure domains. Precondition: none.
    std::vector<const HostRecord *> allEntryHosts(MonotonicTime now) const;

    /// Returns how many other hosts live. Precondition: none.
    std::size_t livingPeers(MonotonicTime now) const;

    /// Returns the other hosts that handle requests and need reports. Precondition: none.
    std::vector<const HostRecord *> servingPeers(MonotonicTime now) const;

    /// Returns the position of this host in its domain: the entry hosts first, then the others; beyond all if it is leaving.
    ///
    /// Precondition: none.
    std::size_t ownRank(MonotonicTime now) const;

    /// Returns ownRank() as of the last updateClaim(), without counting again. Precondition: none.
    std::size_t lastRank() const
    {
        return this->rankAtClaim;
    }

    /// Returns whether callers are sent to this host. Precondition: none.
    bool isEntryHost() const
    {
        return this->self.isEntry && !this->self.isLeaving;
    }

    /// Returns every host that was heard or mentioned, except those that are silent for long. Precondition: none.
    std::vector<const HostRecord *> knownHosts(MonotonicTime now) const;

    const HostRecord &own() const
    {
        return this->self;
    }

    unsigned entryHostsPerDomain() const
    {
        return this->perDomain;
    }

private:
    struct Known
    {
        HostRecord record;
        /// Unset until the host was heard itself.
        MonotonicTime livesUntil{};
        MonotonicTime mentionedUntil{};
        /// Until then a host that stands in the list may still be heard for the first time.
        MonotonicTime listedUntil{};
        MonotonicTime forgottenAt{};
        bool isHeard = false;
    };

    std::vector<const HostRecord *> entryHostsIn(const FailureDomainId &domain, MonotonicTime now) const;

    std::size_t unheardBefore(MonotonicTime now) const;

    void decideClaim(MonotonicTime now);

    HostRecord self;
    /// Since when the failure domain has too few entry hosts; the end of time while it has enough.
    MonotonicTime lackSince = MonotonicTime::max();
    /// When this host may become an entry host at the earliest; the end of time until the first decision.
    MonotonicTime mayClaimAt = MonotonicTime::max();
    std::size_t rankAtClaim = 0;
    bool knowsAll;
    const unsigned perDomain;
    std::map<HostId, Known> hosts;
};

} // namespace rhubarbtiller::balance
