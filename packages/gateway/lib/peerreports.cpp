#include "peerreports.h"

#include <algorithm>

namespace rhubarbtiller::gateway {

/// How often admissions go out; between two reports each host keeps to its part of what an organisation has left.
static constexpr Duration AdmissionInterval = std::chrono::milliseconds(300);

/// With so few servers, hosts gain more from the servers of other domains than the reports on them cost.
static constexpr std::size_t MaxServersForAll = 400;

/// A failure domain that sent requests to servers of this one is kept informed for this long.
static constexpr Duration UseMemory = std::chrono::seconds(2);

PeerReports::PeerReports(balance::Scoreboard &scoreboard, balance::OrganisationQuota &organisationQuota, FailureDomainId ownFailureDomain)
    : board(scoreboard), quota(organisationQuota), ownDomain(std::move(ownFailureDomain))
{
}

void PeerReports::collect(MonotonicTime now)
{
    this->evidence = this->board.takeEvidence();
    this->admissions.clear();
    if (now >= this->nextAdmissionsAt || this->quota.hasUrgentReport()) {
        this->nextAdmissionsAt = now + AdmissionInterval;
        this->admissions = this->quota.takeReport();
    }
}

void PeerReports::onLoads(const FailureDomainId &reporter, const std::vector<balance::OutstandingReport> &loads, MonotonicTime now)
{
    if (reporter == this->ownDomain) {
        return;
    }
    const bool usesOurs = std::any_of(loads.begin(), loads.end(), [this](const balance::OutstandingReport &load) {
        const auto *const state = this->board.find(load.server);
        return load.requests > 0 && state != nullptr && state->failureDomain == this->ownDomain;
    });
    if (usesOurs) {
        this->usersUntil[reporter] = now + UseMemory;
    }
}

std::optional<wire::Datagram> PeerReports::compose(const FailureDomainId &audience, MonotonicTime now)
{
    wire::Datagram datagram;
    const auto user = this->usersUntil.find(audience);
    const bool hearsAll
        = audience == this->ownDomain || this->board.size() <= MaxServersForAll || (user != this->usersUntil.end() && now < user->second);
    for (const auto &report : this->evidence) {
        const auto *const state = this->board.find(report.server);
        const bool isTheirs = hearsAll || (state != nullptr && state->failureDomain == audience);
        if (!isTheirs && !balance::isFailure(report.evidence)) {
            continue;
        }
        wire::ServerEvidence entry;
        entry.server = report.server.text();
        entry.evidence = static_cast<std::int8_t>(report.evidence);
        datagram.evidence.push_back(std::move(entry));
    }
    for (const auto &report : this->board.takeOutstanding(audience, hearsAll, now)) {
        wire::ServerLoad entry;
        entry.server = report.server.text();
        entry.outstanding = static_cast<std::int32_t>(report.requests);
        datagram.loads.push_back(std::move(entry));
    }
    for (const auto &count : this->admissions) {
        wire::Admissions entry;
        entry.organisation = count.organisation.text();
        entry.admitted = static_cast<std::int64_t>(count.admitted);
        datagram.admissions.push_back(std::move(entry));
    }
    datagram.__isset.evidence = !datagram.evidence.empty();
    datagram.__isset.loads = !datagram.loads.empty();
    datagram.__isset.admissions = !datagram.admissions.empty();
    const bool isEmpty = datagram.evidence.empty() && datagram.loads.empty() && datagram.admissions.empty();
    return isEmpty ? std::nullopt : std::optional(std::move(datagram));
}

} // namespace rhubarbtiller::gateway
