#include <rhubarbtiller/balance/organisationquota.h>

#include <algorithm>
#include <cassert>

namespace rhubarbtiller::balance {

/// The share that a host keeps to which hears no other.
static constexpr double LeastShare = 0.01;

/// A process needs this long from the end of an earlier one, which admits nothing meanwhile.
static constexpr Duration StartTime = std::chrono::milliseconds(500);

/// Other hosts hear at once of admissions when less than this part of the limit is left.
static constexpr double UrgentPart = 0.3;

/// Admissions beyond the limit that the hosts together may make between two reports.
static constexpr double ReportTolerance = 10;

OrganisationQuota::OrganisationQuota(Duration windowLength) : window(windowLength)
{
    assert(windowLength > Duration(0) && "a rate is counted over a window");
}

void OrganisationQuota::configure(const catalog::Catalog &catalog, MonotonicTime now)
{
    const double seconds = std::chrono::duration<double>(this->window).count();
    for (const auto &organisation : catalog.organisations()) {
        const auto [entry, isNew] = this->accounts.try_emplace(organisation.id);
        auto &account = entry->second;
        account.ratePerSecond = organisation.rate.count();
        account.limit = organisation.rate.count() > 0 ? organisation.rate.count() * seconds + organisation.burst.count() : 0;
        if (isNew) {
            account.assumed = account.limit;
            account.assumedAt = now - StartTime;
        }
    }
}

void OrganisationQuota::setHeard(double share, std::size_t servingHosts)
{
    assert(servingHosts > 0 && "this host serves");
    this->heardShare = std::clamp(share, LeastShare, 1.0);
    this->hosts = static_cast<double>(servingHosts);
}

void OrganisationQuota::assumeUnknown(MonotonicTime now)
{
    this->remotes.clear();
    for (auto &[id, account] : this->accounts) {
        account.slices = {};
        account.assumed = account.limit;
        account.assumedAt = now;
    }
}

OrganisationQuota::Slice &OrganisationQuota::currentSlice(Account &account, MonotonicTime now) const
{
    const std::int64_t number = now.time_since_epoch() / (this->window / WindowSlices);
    auto &slice = account.slices[static_cast<std::size_t>(number) % SliceCount];
    if (slice.number != number) {
        slice = {number, 0};
    }
    return slice;
}

double OrganisationQuota::admittedInWindow(const Account &account, MonotonicTime now) const
{
    const std::int64_t number = now.time_since_epoch() / (this->window / WindowSlices);
    const auto sinceAssumed = now - account.assumedAt;
    const double faded = account.ratePerSecond * std::chrono::duration<double>(sinceAssumed).count();
    // The other parts of the fleet assume the rest.
    double sum = sinceAssumed < this->window ? std::max(0.0, account.assumed - faded) * this->heardShare : 0;
    for (const auto &slice : account.slices) {
        sum += slice.number > number - static_cast<std::int64_t>(SliceCount) ? slice.admitted : 0;
    }
    return sum;
}

QuotaDecision OrganisationQuota::admit(const OrganisationId &organisation, MonotonicTime now)
{
    auto &account = this->accounts[organisation];
    QuotaDecision decision;
    if (account.limit > 0) {
        decision.limit = account.limit * this->heardShare;
        decision.used = this->admittedInWindow(account, now);
        const double left = decision.limit - decision.used;
        this->isUrgent = this->isUrgent || left < decision.limit * UrgentPart;
        // Between two reports the hosts share what is left, so that they do not all use it at once.
        const double ownPart = std::max(1.0, (left + account.unreported + ReportTolerance) / this->hosts);
        if (left < 1 || account.unreported + 1 > ownPart) {
            // On average, the window frees one admission in this time.
            decision.retryAfter = std::chrono::duration_cast<Duration>(this->window / std::max(1.0, decision.limit));
            return decision;
        }
    }
    this->currentSlice(account, now).admitted += 1;
    ++account.admitted;
    account.unreported += 1;
    return decision;
}

void OrganisationQuota::takeBack(const OrganisationId &organisation, MonotonicTime now)
{
    this->currentSlice(this->accounts[organisation], now).admitted -= 1;
}

std::vector<AdmissionCount> OrganisationQuota::takeReport()
{
    std::vector<AdmissionCount> counts;
    this->isUrgent = false;
    for (auto &[id, account] : this->accounts) {
        if (std::exchange(account.unreported, 0) > 0) {
            counts.push_back({id, account.admitted});
        }
    }
    return counts;
}

std::vector<QuotaStanding> OrganisationQuota::standings(MonotonicTime now) const
{
    std::vector<QuotaStanding> standings;
    for (const auto &[id, account] : this->accounts) {
        const double used = account.limit > 0 ? this->admittedInWindow(account, now) : 0;
        if (used > 0) {
            standings.push_back({id, used, account.limit * this->heardShare});
        }
    }
    return standings;
}

void OrganisationQuota::onReport(const HostId &host, Incarnation incarnation, const std::vector<AdmissionCount> &counts, MonotonicTime now)
{
    auto &remote = this->remotes[host];
    if (remote.incarnation != incarnation) {
        remote = {incarnation, {}};
    }
    for (const auto &[id, admitted] : counts) {
        const auto [known, isFirst] = remote.admitted.try_emplace(id, admitted);
        // The first count may go back long before the window; reports may arrive out of order.
        if (isFirst || admitted <= known->second) {
            continue;
        }
        this->currentSlice(this->accounts[id], now).admitted += static_cast<double>(admitted - known->second);
        known->second = admitted;
    }
}

} // namespace rhubarbtiller::balance
