#pragma once

#include <rhubarbtiller/balance/organisationquota.h>
#include <rhubarbtiller/balance/scoreboard.h>

#include "fleet_types.h"

#include <optional>

namespace rhubarbtiller::gateway {

/// Makes the reports on servers and admissions that hosts send each other, each failure domain what it needs.
///
/// Hosts of the own failure domain use the same servers and hear everything, as do those of a domain that uses these servers
/// now, and all hosts of a fleet with few servers. The others hear of failures at once, of full servers, and of admissions. Thread safety:
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

    /// Returns the report for the hosts of a failure domain, without a sender; nothing if there is nothing to say.
    ///
    /// Precondition: called at most once for each domain after collect().
    std::optional<wire::Datagram> compose(const FailureDomainId &audience, MonotonicTime now);

private:
    balance::Scoreboard &board;
    balance::OrganisationQuota &quota;
    FailureDomainId ownDomain;
    std::vector<balance::EvidenceReport> evidence;
    std::vector<balance::AdmissionCount> admissions;
    MonotonicTime nextAdmissionsAt{};
    /// Until when each other failure domain counts as one that uses servers of this one.
    std::map<FailureDomainId, MonotonicTime> usersUntil;
};

} // namespace rhubarbtiller::gateway
