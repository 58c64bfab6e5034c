#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/catalog/catalog.h>

#include <array>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rhubarbtiller::balance {

/// Whether a request is admitted, and the figures behind the decision.
struct QuotaDecision
{
    /// Delay until the caller should retry; unset if the request is admitted.
    std::optional<Duration> retryAfter;
    /// Admissions of the fleet in the window, as far as they are reported to this host.
    double used = 0;
    /// Largest number of admissions that this host may count in the window: the limit times its rate share; 0 means unlimited.
    double limit = 0;
};

/// What one host admitted for an organisation since it started.
struct AdmissionCount
{
    OrganisationId organisation;
    std::uint64_t admitted = 0;
    /// The part of it that no earlier report contained; in a full report the part that it admitted in the last window.
    std::uint64_t sinceLastReport = 0;
};

/// What the fleet admitted for an organisation in the last window, as recorded by one host.
struct WindowUse
{
    OrganisationId organisation;
    /// What the host itself admitted since it started.
    std::uint64_t admitted = 0;
    /// Upper bound of the admissions that may not have been reported to the host.
    double assumed = 0;
    /// Admissions by age in slices of the window, the newest first.
    std::vector<std::uint32_t> bySlice;
};

/// How much of its limit an organisation has used, as recorded by one host.
struct QuotaUsage
{
    OrganisationId organisation;
    double used = 0;
    double limit = 0;
};

/// Limits each organisation to its rate and burst over all hosts: in any window no more than rate x window + burst.
///
/// Each host counts the admissions of the whole fleet: its own, and those that the other hosts report. A host that does
/// not receive the reports of all others uses the share of the hosts that it receives reports from, so that the parts of a partitioned
/// fleet together stay within the rate. Thread safety: one thread.
class OrganisationQuota
{
public:
    /// Precondition: \p windowLength is above 0.
    explicit OrganisationQuota(Duration windowLength);

    /// Sets when the process started; without a call, the arrival of the first catalog takes its place.
    ///
    /// Admissions that are assumed to precede the start expire from then on. Precondition: called before configure().
    void setStart(MonotonicTime now);

    /// Applies the rates of a new catalog. Precondition: \p now does not go back.
    void configure(const catalog::Catalog &catalog, MonotonicTime now);

    /// Sets the share of the rate that this host and the hosts that it receives reports from may use, 0 to 1, and their number.
    ///
    /// Precondition: \p servingHosts is above 0.
    void setRateShare(double share, std::size_t servingHosts);

    /// Discards the admissions counted in the window, this host's own included, and assumes full use, since no reports arrived until now.
    ///
    /// Makes needsWindowUses() return true for a while; just after the start it does only that.
    ///
    /// Precondition: \p now does not go back.
    void assumeFullUse(MonotonicTime now);

    /// Sets the part of its failure domain's limits, 0 to 1, that this host and the hosts whose heartbeats it receives may use.
    ///
    /// While it is below 1, the use assumed by assumeFullUse() keeps its size until the window has passed, since the lost hosts may have
    /// used the limit just before the loss. Precondition: none.
    void setDomainReach(double reach);

    /// Admits a request or returns the delay until the next attempt. Precondition: \p now does not go back.
    QuotaDecision admit(const OrganisationId &organisation, MonotonicTime now);

    /// Cancels an admission whose request did not run. Precondition: it was admitted here.
    void cancelAdmission(const OrganisationId &organisation, MonotonicTime now);

    /// Returns whether an organisation is so close to its limit that admissions should be reported at once.
    ///
    /// Precondition: none.
    bool hasUrgentReport() const
    {
        return this->isUrgent;
    }

    /// Returns what this host admitted for each organisation that was admitted since the last call. Precondition: none.
    std::vector<AdmissionCount> takeReport();

    /// Returns the same, and what this host admitted for each organisation that it admitted in the last window, for a host that may have
    /// received no reports for a while. Precondition: \p now does not go back.
    std::vector<AdmissionCount> takeFullReport(MonotonicTime now);

    /// Returns the organisations with a rate that used some of it in the last window. Precondition: \p now does not go back.
    std::vector<QuotaUsage> usages(MonotonicTime now) const;

    /// Counts what another host admitted since its last report; if that was longer ago than a window, the part of it that fits into one.
    ///
    /// Precondition: \p now does not go back.
    void onReport(const HostId &host, Incarnation incarnation, const std::vector<AdmissionCount> &counts, MonotonicTime now);

    /// Returns what a host that begins to serve queries: the use of each organisation with a rate in the last window.
    ///
    /// Unset before the first catalog. Precondition: \p now does not go back.
    std::optional<std::vector<WindowUse>> windowUses(MonotonicTime now) const;

    /// Returns whether this host should query a serving host for its window uses. Precondition: \p now does not go back.
    bool needsWindowUses(MonotonicTime now) const;

    /// Replaces the assumed maximum by what a serving host reports as admitted before this one served.
    ///
    /// If \p isComplete, organisations that are not listed used nothing. Precondition: \p now does not go back.
    void onWindowUses(const HostId &host, Incarnation incarnation, const std::vector<WindowUse> &uses, bool isComplete, MonotonicTime now);

private:
    /// Slices of one window, and one more for the slice that has begun to leave it.
    static constexpr std::size_t WindowSlices = 25;
    static constexpr std::size_t SliceCount = WindowSlices + 1;

    struct Slice
    {
        std::int64_t number = -1;
        double admitted = 0;
    };

    struct Account
    {
        std::array<Slice, SliceCount> slices;
        /// What this host itself admitted.
        std::array<Slice, SliceCount> ownSlices;
        /// Admissions of the fleet in one window; 0 means unlimited.
        double limit = 0;
        double ratePerSecond = 0;
        /// Admissions that others may have made before their reports came here; they leave the window at the rate without the burst.
        double assumed = 0;
        MonotonicTime assumedAt{};
        /// While the part of the domain's limits is below this, the assumed admissions do not leave the window at the rate.
        double heldBelowReach = 0;
        bool isConfigured = false;
        std::uint64_t admitted = 0;
        MonotonicTime lastAdmittedAt{};
        /// Admissions not yet reported to the other hosts.
        double unreported = 0;
    };

    struct RemoteCounts
    {
        Incarnation incarnation;
        std::unordered_map<OrganisationId, std::uint64_t> admitted;
        MonotonicTime lastReportAt{};
    };

    static void assume(Account &account, double admissions, double heldBelowReach, MonotonicTime now);
    RemoteCounts &remoteCounts(const HostId &host, Incarnation incarnation);
    std::int64_t sliceNumber(MonotonicTime now) const;
    static Slice &sliceAt(std::array<Slice, SliceCount> &slices, std::int64_t number);
    static double sumOf(const std::array<Slice, SliceCount> &slices, std::int64_t number);
    Slice &currentSlice(Account &account, MonotonicTime now) const;
    double assumedInWindow(const Account &account, MonotonicTime now) const;
    double admittedInWindow(const Account &account, MonotonicTime now) const;

    Duration window;
    std::unordered_map<OrganisationId, Account> accounts;
    std::map<HostId, RemoteCounts> remotes;
    double rateShare = 1;
    double hosts = 1;
    bool isUrgent = false;
    bool hasCatalog = false;
    double domainReach = 1;
    /// Until then a change of role discards no counts.
    MonotonicTime startPhaseEnd{};
    MonotonicTime startedAt = MonotonicTime::max();
    /// Until then other hosts are queried for their window uses.
    MonotonicTime queriesUntil{};
};

} // namespace rhubarbtiller::balance
