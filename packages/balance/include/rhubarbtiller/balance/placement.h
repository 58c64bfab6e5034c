#pragma once

#include <rhubarbtiller/balance/scoreboard.h>
#include <rhubarbtiller/base/random.h>

namespace rhubarbtiller::balance {

/// The mean time that a server works on a request, from the measured workloads.
inline constexpr Duration MeanWorkTime = std::chrono::milliseconds(270);

/// A request that needs a backend server.
struct PlacementQuery
{
    catalog::ServiceName service;
    /// The failure domain of this host.
    FailureDomainId ownDomain;
    /// Whether a failed attempt can be repeated on another server.
    bool canRepeat = false;
    /// Servers that were tried already.
    std::vector<BackendServerId> excluded;
    /// Entry hosts of this failure domain that share the cold rate of a server.
    unsigned entryHostsInDomain = 1;
    /// Whether callers are sent to this host; others leave cold servers alone.
    bool isEntryHost = true;
    /// The position of this host in its failure domain; the first one looks after unused servers, the others stand in for it.
    std::size_t rankInDomain = 0;
};

/// Why no server was found.
enum class PlacementFailure {
    None,
    /// The service has no server that may be used.
    NoServer,
    /// All servers are full.
    Saturated,
};

/// The chosen server, with the figures that decided.
struct Placement
{
    const catalog::ServerEntry *server = nullptr;
    PlacementFailure failure = PlacementFailure::NoServer;
    double failureProbability = 0;
    std::uint32_t outstanding = 0;
    bool isCold = false;
    /// Slots of the servers that may be used at all.
    std::uint32_t usableSlots = 0;
};

/// Chooses the backend server with the lowest expected cost: probability of failure, queueing, distance.
///
/// A server of the own failure domain that got nothing for more than a second goes first, unless it failed lately: use would
/// otherwise narrow to the servers with the newest good answers, and nobody would know the others when these fail. Requests that
/// can be repeated come upon such servers before those that cannot.
/// Thread safety: one thread.
/// Precondition: \p state holds a server table.
Placement
chooseServer(const PlacementQuery &query, const catalog::FleetState &state, Scoreboard &board, RandomSource &random, MonotonicTime now);

} // namespace rhubarbtiller::balance
