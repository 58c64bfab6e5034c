#pragma once

#include <rhubarbtiller/balance/organisationquota.h>
#include <rhubarbtiller/balance/requestqueue.h>
#include <rhubarbtiller/balance/tokenbucket.h>
#include <rhubarbtiller/catalog/catalog.h>

#include <cstdint>
#include <string>

namespace rhubarbtiller::gateway {

/// The log record of a finished request: the inputs of its decisions, with their version and age.
struct RequestRecord
{
    RequestId request;
    std::string_view outcome;
    int status = 0;
    Duration latency{};
    std::string route;
    OrganisationId organisation;
    catalog::ServiceName service;
    /// The servers of all attempts, separated by commas.
    std::string servers;
    /// Failure estimate and load of the last server when it was selected.
    double failureProbability = 0;
    std::uint32_t outstanding = 0;
    balance::QuotaDecision quota;
    ConfigVersion configuration;
    Duration stateAge{};
    /// The store version of the configuration on this host, and the newest that a peer announced; set if the request was refused for
    /// its route or key.
    std::optional<std::pair<std::uint64_t, std::uint64_t>> storeVersions;
    /// Set if the queue refused the request.
    std::optional<balance::QueueRefusal> queueRefusal;
    /// What a refusal told the caller.
    std::optional<Duration> retryAfter;
};

/// Writes one log line for each request, up to a rate limit.
///
/// A part of the limit is reserved for requests that were not answered; an event reports how many lines were omitted.
/// Thread safety: one thread.
class RequestLog
{
public:
    /// Takes a line from the rate limit; returns false if none is left. Call write() after true. Precondition: \p now does not go back.
    bool tryConsumeLine(bool isAnswered, MonotonicTime now);

    /// Writes the line of a request. Precondition: tryConsumeLine() returned true.
    void write(const RequestRecord &record);

private:
    balance::TokenBucket lineBudget;
    std::uint64_t omittedLines = 0;
};

} // namespace rhubarbtiller::gateway
