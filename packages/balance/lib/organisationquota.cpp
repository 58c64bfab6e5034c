#include <rhubarbtiller/balance/organisationquota.h>

namespace rhubarbtiller::balance {

/// Tokens of a new bucket, as time at the full rate: a host that has just started does not know what was used before.
static constexpr double InitialSeconds = 1;

void OrganisationQuota::configure(const catalog::Catalog &catalog, MonotonicTime now)
{
    for (const auto &organisation : catalog.organisations()) {
        auto &account = this->accounts[organisation.id];
        const bool wasLimited = account.isLimited;
        account.isLimited = organisation.rate.count() > 0;
        if (!account.isLimited) {
            continue;
        }
        const RequestCount capacity(std::max(1.0, organisation.burst.count()));
        if (wasLimited) {
            account.bucket.reconfigure(organisation.rate, capacity);
            continue;
        }
        const RequestCount initial(std::min(capacity.count(), organisation.rate.count() * InitialSeconds));
        account.bucket = TokenBucket(organisation.rate, capacity, initial, now);
    }
}

void OrganisationQuota::setHeardShare(double share)
{
    this->heardShare = std::clamp(share, 0.01, 1.0);
}

std::optional<Duration> OrganisationQuota::admit(const OrganisationId &organisation, MonotonicTime now)
{
    auto &account = this->accounts[organisation];
    if (account.isLimited && !account.bucket.tryTake(now, this->heardShare)) {
        return account.bucket.timeToToken(this->heardShare);
    }
    ++account.admitted;
    account.hasNews = true;
    return std::nullopt;
}

void OrganisationQuota::takeBack(const OrganisationId &organisation)
{
    auto &account = this->accounts[organisation];
    if (account.isLimited) {
        account.bucket.giveBack();
    }
}

std::vector<AdmissionCount> OrganisationQuota::takeReport()
{
    std::vector<AdmissionCount> counts;
    for (auto &[id, account] : this->accounts) {
        if (std::exchange(account.hasNews, false)) {
            counts.push_back({id, account.admitted});
        }
    }
    return counts;
}

void OrganisationQuota::onReport(const HostId &host, Incarnation incarnation, const std::vector<AdmissionCount> &counts)
{
    auto &remote = this->remotes[host];
    if (remote.incarnation != incarnation) {
        remote = {incarnation, {}};
    }
    for (const auto &[id, admitted] : counts) {
        auto &known = remote.admitted[id];
        // Reports may arrive out of order.
        if (admitted <= known) {
            continue;
        }
        if (auto &account = this->accounts[id]; account.isLimited) {
            account.bucket.debit(static_cast<double>(admitted - known));
        }
        known = admitted;
    }
}

} // namespace rhubarbtiller::balance
