#pragma once

#include <rhubarbtiller/health/ejectionbudget.h>

#include <map>
#include <mutex>

namespace rhubarbtiller::health {

/// Holds the ejection leases of the servers that this host owns.
///
/// Without a lease a suspect server only gets a lower weight.
///
/// Thread safety: all methods from any thread, by one mutex.
class EjectionHolder
{
public:
    /// Takes over a granted lease; a lease never shortens the one in force.
    ///
    /// Precondition: \p requestSentAt is when the request that this lease answers was sent, by this host's clock.
    void onLease(const EjectionLease &lease, MonotonicTime requestSentAt);

    /// Ends the ejection before the deadline of its lease. Precondition: none.
    void end(const BackendServerId &server);

    /// Takes over the weight of a verdict, clamped to 0.1 to 1. Precondition: none.
    void setWeight(const BackendServerId &server, ServerWeight weight);

    /// Forgets a server that this host no longer owns. Precondition: none.
    void forget(const BackendServerId &server);

    /// Returns whether the server must get no requests now. Precondition: none.
    bool isEjected(const BackendServerId &server, MonotonicTime now) const;

    /// Returns the share of its usual load that the server should get; 1 if nothing is known. Precondition: none.
    ServerWeight weight(const BackendServerId &server) const;

    /// Returns the request to send for a server, new or renewal. Precondition: none.
    EjectionRequest makeRequest(const BackendServerId &server, PoolOwnerEpoch knownEpoch, MonotonicTime now) const;

    /// Returns the servers whose ejection has ended since the last call; pass them to ServerSlots::returnFromEjection().
    ///
    /// Precondition: none.
    std::vector<BackendServerId> takeReturned(MonotonicTime now);

private:
    struct Server
    {
        bool hasLease = false;
        MonotonicTime deadline;
        ServerWeight weight{1.0};
    };

    mutable std::mutex mutex;
    std::map<BackendServerId, Server> servers;
};

/// Returns the load that server choice should compare for a server of this weight. Precondition: none. Thread safety: any thread.
LoadFigure weightedLoad(LoadFigure load, ServerWeight weight);

} // namespace rhubarbtiller::health
