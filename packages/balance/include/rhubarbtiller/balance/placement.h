#pragma once

#include <rhubarbtiller/balance/scoreboard.h>
#include <rhubarbtiller/balance/serviceoutcomes.h>
#include <rhubarbtiller/balance/versionfilter.h>
#include <rhubarbtiller/base/random.h>

namespace rhubarbtiller::balance {

/// A request that needs a backend server.
struct PlacementQuery
{
    catalog::ServiceName service;
    /// The failure domain of this host.
    FailureDomainId ownDomain;
    /// Whether a failed attempt can be retried on another server.
    bool isRetryable = false;
    /// Servers that earlier attempts were sent to.
    std::vector<BackendServerId> excluded;
    /// Entry hosts of this failure domain that share the cold rate of a server.
    unsigned entryHostsInDomain = 1;
    /// Part of the limits of this failure domain, 0 to 1, that its reachable hosts may use.
    double domainReach = 1;
    /// Whether callers are sent to this host; other hosts send no requests to cold servers.
    bool isEntryHost = true;
    /// Whether the request may be a trial: sent to a server that received no request for a while.
    TrialPolicy trialPolicy = TrialPolicy::None;
    /// The position of this host in its failure domain; the first host sends the trials, the others only after a delay.
    std::size_t rankInDomain = 0;
    /// The versions of servers that the request may be sent to.
    VersionFilter versions{};
};

/// Why no server was found.
enum class PlacementFailure {
    None,
    /// The service has no server that may be used.
    NoServer,
    /// All servers are full.
    Saturated,
};

/// The chosen server, with the values that the choice is based on.
struct Placement
{
    const catalog::ServerEntry *server = nullptr;
    PlacementFailure failure = PlacementFailure::NoServer;
    double failureProbability = 0;
    std::uint32_t outstanding = 0;
    bool isCold = false;
    /// Whether the server was chosen because it received no request for a while.
    bool isTrial = false;
    /// Slots of the servers that may be used at all.
    std::uint32_t usableSlots = 0;
};

/// Chooses the backend server with the lowest expected cost: probability of failure, queueing, distance.
///
/// Retryable requests are also sent to servers that were not used for long, so that there is recent evidence on all servers for the
/// other requests. Where there are too few of them, PlacementQuery::trialPolicy prefers a server of the own failure domain that
/// received no request for more than a second: use would otherwise narrow to the servers with the newest successes, and there would
/// be no evidence on the others when these fail.
/// Thread safety: one thread.
/// Precondition: \p state holds a server table.
Placement
chooseServer(const PlacementQuery &query, const catalog::FleetState &state, Scoreboard &board, RandomSource &random, MonotonicTime now);

} // namespace rhubarbtiller::balance
