#include <rhubarbtiller/balance/organisationquota.h>

#include <algorithm>
#include <cassert>
#include <unordered_set>
#include <utility>

namespace rhubarbtiller::balance {

/// The least share of the rate that a host uses, also if it receives no other host's reports.
static constexpr double MinimumShare = 0.01;

/// Shortest time from the end of one process until the next one has a catalog; nothing is admitted meanwhile.
static constexpr Duration RestartTime = std::chrono::milliseconds(500);

/// The other part of a partitioned fleet uses the whole limits for this long after the loss, until its entry hosts have noticed it.
static constexpr Duration LossNoticeTime = std::chrono::seconds(1);

/// While a fleet starts, the roles of its hosts change a few times within this time.
static constexpr Duration StartPhase = std::chrono::seconds(1);

/// Admissions are reported at once when less than this fraction of the limit is left.
static constexpr double UrgentFraction = 0.3;

/// Admissions above the limit that all hosts together may make between two reports.
static constexpr double ReportTolerance = 10;

/// A host without an answer after this time keeps its assumed use; three reports of each other host have arrived by then.
static constexpr Duration QueryTimeout = std::chrono::milliseconds(500);

OrganisationQuota::OrganisationQuota(Duration windowLength) : window(windowLength)
{
    assert(windowLength > Duration(0) && "a rate is counted over a window");
}

void OrganisationQuota::configure(const catalog::Catalog &catalog, MonotonicTime now)
{
    const double seconds = std::chrono::duration<double>(this->window).count();
    const bool isFirst = !std::exchange(this->hasCatalog, true);
    if (isFirst) {
        this->startPhaseEnd = now + StartPhase;
    }
    // Until its first catalog arrives, this host admits nothing.
    const auto assumedAt = (isFirst ? std::min(now, this->startedAt) : now) - RestartTime;
    for (const auto &organisation : catalog.organisations()) {
        auto &account = this->accounts[organisation.id];
        account.ratePerSecond = organisation.rate.count();
        account.limit = organisation.rate.count() > 0 ? organisation.rate.count() * seconds + organisation.burst.count() : 0;
        // Reports may contain an organisation before the catalog does.
        if (!std::exchange(account.isConfigured, true)) {
            assume(account, account.limit, 0, assumedAt);
            this->queriesUntil = now + QueryTimeout;
        }
    }
}

void OrganisationQuota::setStart(MonotonicTime now)
{
    this->startedAt = now;
}

void OrganisationQuota::setRateShare(double share, std::size_t servingHosts)
{
    assert(servingHosts > 0 && "the number of serving hosts includes this host");
    this->rateShare = std::clamp(share, MinimumShare, 1.0);
    this->hosts = static_cast<double>(servingHosts);
}

void OrganisationQuota::setDomainReach(double reach)
{
    this->domainReach = reach;
}

void OrganisationQuota::assumeFullUse(MonotonicTime now)
{
    this->queriesUntil = now + QueryTimeout;
    // The use assumed at the start stays valid; the answers of other hosts add what they admitted since.
    if (now < this->startPhaseEnd) {
        return;
    }
    this->remotes.clear();
    for (auto &[id, account] : this->accounts) {
        account.slices = {};
        assume(account, account.limit, 1, now);
    }
}

void OrganisationQuota::assume(Account &account, double admissions, double heldBelowReach, MonotonicTime now)
{
    account.heldBelowReach = heldBelowReach;
    account.assumed = admissions;
    account.assumedAt = now;
}

std::int64_t OrganisationQuota::sliceNumber(MonotonicTime now) const
{
    return now.time_since_epoch() / (this->window / WindowSlices);
}

OrganisationQuota::Slice &OrganisationQuota::sliceAt(std::array<Slice, SliceCount> &slices, std::int64_t number)
{
    auto &slice = slices[static_cast<std::size_t>(number) % SliceCount];
    if (slice.number != number) {
        slice = {number, 0};
    }
    return slice;
}

OrganisationQuota::Slice &OrganisationQuota::currentSlice(Account &account, MonotonicTime now) const
{
    return sliceAt(account.slices, this->sliceNumber(now));
}

double OrganisationQuota::assumedInWindow(const Account &account, MonotonicTime now) const
{
    const auto sinceAssumed = now - account.assumedAt;
    if (this->domainReach < account.heldBelowReach) {
        return sinceAssumed < this->window + LossNoticeTime ? account.assumed : 0;
    }
    const double expired = account.ratePerSecond * std::chrono::duration<double>(sinceAssumed).count();
    return sinceAssumed < this->window ? std::max(0.0, account.assumed - expired) : 0;
}

double OrganisationQuota::admittedInWindow(const Account &account, MonotonicTime now) const
{
    // The other parts of the fleet account for the rest.
    return this->assumedInWindow(account, now) * this->rateShare + sumOf(account.slices, this->sliceNumber(now));
}

/// Returns the admissions of the window that ends in slice \p number.
double OrganisationQuota::sumOf(const std::array<Slice, SliceCount> &slices, std::int64_t number)
{
    double sum = 0;
    for (const auto &slice : slices) {
        sum += slice.number > number - static_cast<std::int64_t>(SliceCount) ? slice.admitted : 0;
    }
    return sum;
}

QuotaDecision OrganisationQuota::admit(const OrganisationId &organisation, MonotonicTime now)
{
    auto &account = this->accounts[organisation];
    QuotaDecision decision;
    if (account.limit > 0) {
        decision.limit = account.limit * this->rateShare;
        decision.used = this->admittedInWindow(account, now);
        const double left = decision.limit - decision.used;
        this->isUrgent = this->isUrgent || left < decision.limit * UrgentFraction;
        // Between two reports the hosts share what is left, so that they do not all use it at once.
        const double ownShare = std::max(1.0, (left + account.unreported + ReportTolerance) / this->hosts);
        if (left < 1 || account.unreported + 1 > ownShare) {
            // On average, the window frees one admission in this time.
            decision.retryAfter = std::chrono::duration_cast<Duration>(this->window / std::max(1.0, decision.limit));
            return decision;
        }
    }
    this->currentSlice(account, now).admitted += 1;
    sliceAt(account.ownSlices, this->sliceNumber(now)).admitted += 1;
    ++account.admitted;
    account.lastAdmittedAt = now;
    account.unreported += 1;
    return decision;
}

void OrganisationQuota::cancelAdmission(const OrganisationId &organisation, MonotonicTime now)
{
    this->currentSlice(this->accounts[organisation], now).admitted -= 1;
}

std::vector<AdmissionCount> OrganisationQuota::takeReport()
{
    std::vector<AdmissionCount> counts;
    this->isUrgent = false;
    for (auto &[id, account] : this->accounts) {
        if (const double unreported = std::exchange(account.unreported, 0); unreported > 0) {
            counts.push_back({id, account.admitted, static_cast<std::uint64_t>(unreported)});
        }
    }
    return counts;
}

std::vector<AdmissionCount> OrganisationQuota::takeFullReport(MonotonicTime now)
{
    std::vector<AdmissionCount> counts;
    this->isUrgent = false;
    for (auto &[id, account] : this->accounts) {
        const double unreported = std::exchange(account.unreported, 0);
        if (account.admitted > 0 && now - account.lastAdmittedAt < this->window) {
            // A host that has never received a report of this one cannot tell from the sum since the start how much is in the window.
            const double recent = std::max(unreported, sumOf(account.ownSlices, this->sliceNumber(now)));
            counts.push_back({id, account.admitted, static_cast<std::uint64_t>(recent)});
        }
    }
    return counts;
}

std::vector<QuotaUsage> OrganisationQuota::usages(MonotonicTime now) const
{
    std::vector<QuotaUsage> usages;
    for (const auto &[id, account] : this->accounts) {
        const double used = account.limit > 0 ? this->admittedInWindow(account, now) : 0;
        if (used > 0) {
            usages.push_back({id, used, account.limit * this->rateShare});
        }
    }
    return usages;
}

OrganisationQuota::RemoteCounts &OrganisationQuota::remoteCounts(const HostId &host, Incarnation incarnation)
{
    auto &remote = this->remotes[host];
    if (remote.incarnation != incarnation) {
        remote = {incarnation, {}, {}};
    }
    return remote;
}

void OrganisationQuota::onReport(const HostId &host, Incarnation incarnation, const std::vector<AdmissionCount> &counts, MonotonicTime now)
{
    auto &remote = this->remoteCounts(host, incarnation);
    // What the host admitted in reports that did not arrive, such as during a partition, is spread over the time since the last one.
    const Duration gap = now - std::exchange(remote.lastReportAt, now);
    const double inWindow = gap > this->window ? static_cast<double>(this->window.count()) / static_cast<double>(gap.count()) : 1;
    for (const auto &[id, admitted, sinceLastReport] : counts) {
        // The first count may go back long before the window, except for what is new in it.
        auto &reported = remote.admitted.try_emplace(id, admitted - std::min(admitted, sinceLastReport)).first->second;
        // Reports may arrive out of order.
        if (admitted <= reported) {
            continue;
        }
        const std::uint64_t recent = std::min(admitted - reported, sinceLastReport);
        const auto missed = static_cast<double>(admitted - reported - recent);
        this->currentSlice(this->accounts[id], now).admitted += static_cast<double>(recent) + missed * inWindow;
        reported = admitted;
    }
}

std::optional<std::vector<WindowUse>> OrganisationQuota::windowUses(MonotonicTime now) const
{
    if (!this->hasCatalog) {
        return std::nullopt;
    }
    const std::int64_t number = this->sliceNumber(now);
    std::vector<WindowUse> uses;
    uses.reserve(this->accounts.size());
    for (const auto &[id, account] : this->accounts) {
        if (account.limit <= 0 || this->admittedInWindow(account, now) <= 0) {
            continue;
        }
        WindowUse use{id, account.admitted, this->assumedInWindow(account, now), {}};
        for (std::int64_t age = 0; age < static_cast<std::int64_t>(SliceCount); ++age) {
            const auto &slice = account.slices[static_cast<std::size_t>(number - age) % SliceCount];
            const double admitted = slice.number == number - age ? std::max(0.0, slice.admitted) : 0;
            use.bySlice.push_back(static_cast<std::uint32_t>(admitted));
        }
        while (!use.bySlice.empty() && use.bySlice.back() == 0) {
            use.bySlice.pop_back();
        }
        uses.push_back(std::move(use));
    }
    return uses;
}

bool OrganisationQuota::needsWindowUses(MonotonicTime now) const
{
    return now < this->queriesUntil;
}

void OrganisationQuota::onWindowUses(const HostId &host,
                                     Incarnation incarnation,
                                     const std::vector<WindowUse> &uses,
                                     bool isComplete,
                                     MonotonicTime now)
{
    const std::int64_t number = this->sliceNumber(now);
    auto &remote = this->remoteCounts(host, incarnation);
    std::unordered_set<OrganisationId> listed;
    bool isAuthoritative = true;
    for (const auto &use : uses) {
        const auto found = this->accounts.find(use.organisation);
        if (found == this->accounts.end()) {
            continue;
        }
        auto &account = found->second;
        auto &reported = remote.admitted[use.organisation];
        reported = std::max(reported, use.admitted);
        isAuthoritative = isAuthoritative && use.assumed <= 0;
        if (use.assumed < this->assumedInWindow(account, now)) {
            assume(account, use.assumed, account.heldBelowReach, now);
        }
        // The other host's counts do not contain what this host has not reported yet.
        double missing = account.unreported;
        for (std::size_t age = 0; age < std::min(use.bySlice.size(), SliceCount); ++age) {
            auto &admitted = sliceAt(account.slices, number - static_cast<std::int64_t>(age)).admitted;
            admitted = std::max(admitted, static_cast<double>(use.bySlice[age]) + std::exchange(missing, 0));
        }
        listed.insert(use.organisation);
    }
    if (!isComplete) {
        return;
    }
    for (auto &[id, account] : this->accounts) {
        if (!listed.contains(id)) {
            assume(account, 0, 0, now);
        }
    }
    // The answer is not authoritative if the other host assumes some of the use itself.
    if (isAuthoritative) {
        this->queriesUntil = now;
    }
}

} // namespace rhubarbtiller::balance
