#pragma once

#include <rhubarbtiller/balance/tokenbucket.h>
#include <rhubarbtiller/catalog/catalog.h>

#include <map>
#include <unordered_map>

namespace rhubarbtiller::balance {

/// What one host admitted for an organisation since it started.
struct AdmissionCount
{
    OrganisationId organisation;
    std::uint64_t admitted = 0;
};

/// Keeps each organisation to its rate and burst over all hosts.
///
/// Each host holds a copy of the whole bucket, and debits what the other hosts report. A host that does not hear all
/// others fills its copy only at the share of the hosts that it hears, so that the parts of a partitioned fleet together
/// stay within the rate. Thread safety: one thread.
class OrganisationQuota
{
public:
    /// Takes the rates of a new catalog. Precondition: \p now does not go back.
    void configure(const catalog::Catalog &catalog, MonotonicTime now);

    /// Sets the share of the entry hosts that are heard, 0 to 1, this host included. Precondition: none.
    void setHeardShare(double share);

    /// Admits a request or says after which time to come again. Precondition: \p now does not go back.
    std::optional<Duration> admit(const OrganisationId &organisation, MonotonicTime now);

    /// Takes an admission back whose request did not run. Precondition: it was admitted here.
    void takeBack(const OrganisationId &organisation);

    /// Returns what this host admitted for each organisation that was admitted since the last call. Precondition: none.
    std::vector<AdmissionCount> takeReport();

    /// Debits what another host admitted since its last report. Precondition: none.
    void onReport(const HostId &host, Incarnation incarnation, const std::vector<AdmissionCount> &counts);

private:
    struct Account
    {
        TokenBucket bucket;
        bool isLimited = false;
        std::uint64_t admitted = 0;
        bool hasNews = false;
    };

    struct RemoteCounts
    {
        Incarnation incarnation;
        std::unordered_map<OrganisationId, std::uint64_t> admitted;
    };

    std::unordered_map<OrganisationId, Account> accounts;
    std::map<HostId, RemoteCounts> remotes;
    double heardShare = 1;
};

} // namespace rhubarbtiller::balance
