#pragma once

#include <rhubarbtiller/balance/organisationquota.h>
#include <rhubarbtiller/balance/tokenbucket.h>
#include <rhubarbtiller/catalog/catalog.h>

#include <cstdint>
#include <string>

namespace rhubarbtiller::gateway {

/// What a line says about a request that has ended: the inputs of its decisions, their version and age.
struct RequestRecord
{
    RequestId request;
    std::string_view outcome;
    int status = 0;
    Duration length{};
    std::string route;
    OrganisationId organisation;
    catalog::ServiceName service;
    /// Servers that were tried, joined by commas.
    std::string servers;
    /// Estimate and load of the last one when it was chosen.
    double failureProbability = 0;
    std::uint32_t outstanding = 0;
    balance::QuotaDecision quota;
    ConfigVersion configuration;
    Duration stateAge{};
};

/// Writes one line for each request, bounded under load.
///
/// Answered requests leave a reserve to the others; a line tells how many were left out. Thread safety: one thread.
class RequestLog
{
public:
    /// Returns whether a line fits now; call write() then. Precondition: \p now does not go back.
    bool accepts(bool isAnswered, MonotonicTime now);

    /// Writes the line of a request. Precondition: accepts() returned true.
    void write(const RequestRecord &record);

private:
    balance::TokenBucket lines;
    std::uint64_t leftOut = 0;
};

} // namespace rhubarbtiller::gateway
