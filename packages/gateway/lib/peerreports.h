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
/// now, and all hosts of a fleet with few servers. The others receive reports on failures, of which server errors and broken
/// answers are sent without delay, on their own servers, on full servers, and on admissions.
/// Thread safety: one thread.
class PeerReports
{
public:
    /// Precondition: the references outlive this object.
    PeerReports(balance::Scoreboard &scoreboard, balance::OrganisationQuota &organisationQuota, FailureDomainId ownFailureDomain);

    /// Collects the reports that are new since the last call; admissions only once per interval, or when they are urgent.
    ///
    /// Precondition: \p now does not go back.
    void collect(MonotonicTime now);

    /// Has the reports of the next second contain the admissions of all organisations, for a host that has missed earlier ones.
    ///
    /// Precondition: none.
    void sendFullReports(MonotonicTime now);

    /// Processes loads reported by a host of another failure domain, which show whether that domain uses servers of this one.
    ///
    /// Precondition: \p now does not go back.
    void onLoads(const FailureDomainId &reporter, const std::vector<balance::OutstandingReport> &loads, MonotonicTime now);

    /// Returns the report for the hosts of a failure domain, without a sender; nothing if there is nothing to report.
    ///
    /// Precondition: called at most once for each domain after collect().
    std::optional<wire::Datagram> compose(const FailureDomainId &audience, MonotonicTime now);

    /// Counts the admissions that the sender of \p datagram reports, also if only its id is known.
    ///
    /// Precondition: \p now does not go back.
    void onAdmissions(const wire::Datagram &datagram, MonotonicTime now);

    /// Returns the admissions of the last window for a host that starts serving, without a sender; empty before the first catalog.
    ///
    /// Precondition: \p now does not go back.
    std::vector<wire::Datagram> composeWindowUses(MonotonicTime now) const;

    /// Processes the window uses that \p sender returned on request, if \p datagram contains any.
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
    MonotonicTime fullReportsUntil{};
    /// Time until which each other failure domain counts as using servers of this one.
    std::map<FailureDomainId, MonotonicTime> interestedUntil;
};

} // namespace rhubarbtiller::gateway
