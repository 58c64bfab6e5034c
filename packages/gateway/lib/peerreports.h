#pragma once

#include <rhubarbtiller/balance/hostdirectory.h>
#include <rhubarbtiller/balance/organisationquota.h>
#include <rhubarbtiller/balance/scoreboard.h>

#include "fleet_types.h"

#include <optional>

namespace rhubarbtiller::gateway {

/// Returns whether a datagram identifies its sender. Precondition: none. Thread safety: any thread.
bool hasSender(const wire::Datagram &datagram);

/// Encodes and decodes the reports on servers and admissions between hosts, filtered by the failure domain of the receiver.
///
/// Hosts of the own failure domain use the same servers and receive all reports, as do those of a domain that uses these servers
/// now, and all hosts of a fleet with few servers. The others receive failures at once, full servers, and admissions. Thread safety:
/// one thread.
class PeerReports
{
public:
    /// Precondition: the references outlive this object.
    PeerReports(balance::Scoreboard &scoreboard, balance::OrganisationQuota &organisationQuota, FailureDomainId ownFailureDomain);

    /// Takes what is new since the last call; admissions only at \p now beyond their interval, or when they are urgent.
    ///
    /// Precondition: \p now does not go back.
    void collect(MonotonicTime now);

    /// Takes loads that a host of another failure domain reported, which tell whether that domain uses servers of this one.
    ///
    /// Precondition: \p now does not go back.
    void onLoads(const FailureDomainId &reporter, const std::vector<balance::OutstandingReport> &loads, MonotonicTime now);

    /// Returns the report for the hosts of a failure domain, without a sender; nothing if there is nothing to report.
    ///
    /// Precondition: called at most once for each domain after collect().
    std::optional<wire::Datagram> compose(const FailureDomainId &audience, MonotonicTime now);

    /// Counts what the sender of \p datagram admitted, also if it is known by its name only.
    ///
    /// Precondition: \p now does not go back.
    void onAdmissions(const wire::Datagram &datagram, MonotonicTime now);

    /// Returns the admissions of the last window for a host that begins to serve, without a sender; nothing before the first catalog.
    ///
    /// Precondition: \p now does not go back.
    std::vector<wire::Datagram> composeWindowUses(MonotonicTime now) const;

    /// Takes the answer of \p sender to the question for its window uses, if \p datagram has one.
    ///
    /// Precondition: \p now does not go back.
    void onWindowUses(const wire::Datagram &datagram, const balance::HostRecord &sender, MonotonicTime now);

private:
    balance::Scoreboard &board;
    balance::OrganisationQuota &quota;
    FailureDomainId ownDomain;
    std::vector<balance::EvidenceReport> evidence;
    std::vector<balance::AdmissionCount> admissions;
    MonotonicTime nextAdmissionsAt{};
    /// Until when each other failure domain counts as one that uses servers of this one.
    std::map<FailureDomainId, MonotonicTime> interestedUntil;
};

} // namespace rhubarbtiller::gateway
