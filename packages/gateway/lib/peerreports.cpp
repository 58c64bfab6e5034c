#include "peerreports.h"

#include <rhubarbtiller/telemetry/log.h>

#include <algorithm>

namespace rhubarbtiller::gateway {

/// Interval of admission reports; between two reports each host admits only its share of an organisation's remaining rate.
static constexpr Duration AdmissionInterval = std::chrono::milliseconds(150);

/// After a host has returned, reports hold all admissions for this long, since single datagrams may be lost.
static constexpr Duration FullReportTime = std::chrono::seconds(1);

/// Up to this number of servers, hosts gain more from the servers of other domains than the reports on them cost.
static constexpr std::size_t MaxServersForFullReports = 400;

/// A failure domain that sent requests to servers of this one receives full reports for this long.
static constexpr Duration InterestTimeout = std::chrono::seconds(2);

/// Organisations in one datagram; each takes up to a hundred bytes of the 64 KiB.
static constexpr std::size_t MaxWindowUsesPerDatagram = 500;

/// Converts a count of the wire format, which has no unsigned numbers.
static std::uint64_t toUnsigned(std::int64_t count)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

bool hasSender(const wire::Datagram &datagram)
{
    return (datagram.__isset.sender && !datagram.sender.host.empty()) || (datagram.__isset.brief && !datagram.brief.host.empty());
}

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
        this->admissions = now < this->fullReportsUntil ? this->quota.takeFullReport(now) : this->quota.takeReport();
    }
}

void PeerReports::sendFullReports(MonotonicTime now)
{
    this->fullReportsUntil = now + FullReportTime;
    this->nextAdmissionsAt = now;
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
        this->interestedUntil[reporter] = now + InterestTimeout;
    }
}

std::optional<wire::Datagram> PeerReports::compose(const FailureDomainId &audience, MonotonicTime now)
{
    wire::Datagram datagram;
    const auto user = this->interestedUntil.find(audience);
    const bool receivesAll = audience == this->ownDomain || this->board.size() <= MaxServersForFullReports
        || (user != this->interestedUntil.end() && now < user->second);
    for (const auto &report : this->evidence) {
        const auto *const state = this->board.find(report.server);
        const bool receivesEvidence = receivesAll || (state != nullptr && state->failureDomain == audience);
        if (!receivesEvidence && !balance::isFailure(report.evidence)) {
            continue;
        }
        wire::ServerEvidence entry;
        entry.server = report.server.text();
        entry.evidence = static_cast<std::int8_t>(report.evidence);
        datagram.evidence.push_back(std::move(entry));
    }
    for (const auto &report : this->board.takeOutstanding(audience, receivesAll, now)) {
        wire::ServerLoad entry;
        entry.server = report.server.text();
        entry.outstanding = static_cast<std::int32_t>(report.requests);
        datagram.loads.push_back(std::move(entry));
    }
    for (const auto &count : this->admissions) {
        wire::Admissions entry;
        entry.organisation = count.organisation.text();
        entry.admitted = static_cast<std::int64_t>(count.admitted);
        entry.sinceLastReport = static_cast<std::int64_t>(count.sinceLastReport);
        datagram.admissions.push_back(std::move(entry));
    }
    datagram.__isset.evidence = !datagram.evidence.empty();
    datagram.__isset.loads = !datagram.loads.empty();
    datagram.__isset.admissions = !datagram.admissions.empty();
    const bool isEmpty = datagram.evidence.empty() && datagram.loads.empty() && datagram.admissions.empty();
    return isEmpty ? std::nullopt : std::optional(std::move(datagram));
}

void PeerReports::onAdmissions(const wire::Datagram &datagram, MonotonicTime now)
{
    if (!datagram.__isset.admissions) {
        return;
    }
    const bool isBrief = !datagram.__isset.sender;
    const HostId host(isBrief ? datagram.brief.host : datagram.sender.host);
    const Incarnation incarnation(toUnsigned(isBrief ? datagram.brief.incarnation : datagram.sender.incarnation));
    std::vector<balance::AdmissionCount> counts;
    counts.reserve(datagram.admissions.size());
    for (const auto &entry : datagram.admissions) {
        counts.push_back({OrganisationId(entry.organisation), toUnsigned(entry.admitted), toUnsigned(entry.sinceLastReport)});
    }
    this->quota.onReport(host, incarnation, counts, now);
}

std::vector<wire::Datagram> PeerReports::composeWindowUses(MonotonicTime now) const
{
    std::vector<wire::Datagram> responses;
    const auto uses = this->quota.windowUses(now);
    if (!uses) {
        return responses;
    }
    const std::size_t count = std::max<std::size_t>(1, (uses->size() + MaxWindowUsesPerDatagram - 1) / MaxWindowUsesPerDatagram);
    responses.resize(count);
    for (auto &response : responses) {
        response.__isset.windowUses = true;
        response.__set_namesAllUses(count == 1);
    }
    for (std::size_t i = 0; i < uses->size(); ++i) {
        const auto &use = (*uses)[i];
        wire::WindowUse entry;
        entry.organisation = use.organisation.text();
        entry.admitted = static_cast<std::int64_t>(use.admitted);
        entry.assumed = use.assumed;
        entry.bySlice.assign(use.bySlice.begin(), use.bySlice.end());
        responses[i / MaxWindowUsesPerDatagram].windowUses.push_back(std::move(entry));
    }
    return responses;
}

void PeerReports::onWindowUses(const wire::Datagram &datagram, const balance::HostRecord &sender, MonotonicTime now)
{
    if (!datagram.__isset.windowUses) {
        return;
    }
    std::vector<balance::WindowUse> uses;
    uses.reserve(datagram.windowUses.size());
    for (const auto &entry : datagram.windowUses) {
        balance::WindowUse use{OrganisationId(entry.organisation), toUnsigned(entry.admitted), std::max(0.0, entry.assumed), {}};
        for (const auto admitted : entry.bySlice) {
            use.bySlice.push_back(static_cast<std::uint32_t>(std::max(0, admitted)));
        }
        uses.push_back(std::move(use));
    }
    this->quota.onWindowUses(sender.id, sender.incarnation, uses, datagram.namesAllUses, now);
    telemetry::logEvent(
        telemetry::LogLevel::Info,
        "window_uses_learned",
        {{"host", sender.id.text()}, {"organisations", static_cast<std::uint64_t>(uses.size())}, {"complete", datagram.namesAllUses}});
}

} // namespace rhubarbtiller::gateway
