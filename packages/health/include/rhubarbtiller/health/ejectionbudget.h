#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/result.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/config/snapshot.h>
#include <rhubarbtiller/health/errors.h>
#include <rhubarbtiller/health/units.h>

#include <map>
#include <vector>

namespace rhubarbtiller::health {

/// The times of ejection leases; the same on all hosts.
struct EjectionTimes
{
    Duration lease = std::chrono::seconds(10);
    /// How much slower than the clock of the pool owner the clock of a lease holder may run.
    double drift = 0.034;
};

/// One server of a pool as the floor counts it.
struct ServerCapacity
{
    BackendServerId server;
    SlotCount slots;
    /// The server leaves, or its failure domain was withdrawn.
    bool isOut = false;
};

/// A pool as the floor counts it.
struct PoolCapacity
{
    Percent floor{60};
    std::vector<ServerCapacity> servers;
};

/// Returns the capacity of a pool under the drains and withdrawals of a snapshot. Precondition: none. Thread safety: any thread.
PoolCapacity poolCapacity(const config::Pool &pool, const config::Snapshot &snapshot);

/// The right of a server owner to keep a server ejected.
struct EjectionLease
{
    BackendServerId server;
    /// Counted by the holder from the moment when it sent its request.
    Duration validFor{};
    PoolOwnerEpoch epoch;
};

/// A request for a new ejection lease, or for the renewal of one.
struct EjectionRequest
{
    BackendServerId server;
    /// The lease that the sender held when it sent the request was still in force.
    bool isInForce = false;
    /// The epoch that the sender last read in a reply of the receiver; 0 if it has none.
    PoolOwnerEpoch knownEpoch;
};

/// Grants ejection leases at the pool owner so that the healthy capacity of the pool stays at or above its floor.
///
/// A server counts as ejected until the latest deadline that any holder can have for it, by the slowest clock. A new
/// pool owner does not know the leases of the previous one: until these have expired it renews leases that are
/// reported as in force under its own epoch, which shows that the report is newer than the change of owner, and grants
/// nothing else. After a capacity loss by other causes the latest ejections are not renewed.
///
/// Thread safety: none; the pool owner calls it from one strand.
class EjectionBudget
{
public:
    /// Starts to act for a pool. Precondition: the previous owner, if any, grants nothing after \p ownedSince, and
    /// \p ownerEpoch is not 0 and differs from the epochs of all earlier owners.
    EjectionBudget(PoolOwnerEpoch ownerEpoch, PoolCapacity poolCapacity, MonotonicTime ownedSince, EjectionTimes ejectionTimes = {});

    /// Takes over a changed pool or changed drains and withdrawals. Precondition: none.
    void setCapacity(PoolCapacity poolCapacity);

    /// Grants or renews a lease, or returns why not.
    ///
    /// Precondition: this host owns the pool from ownedSince without a gap until \p ownedUntil.
    Result<EjectionLease> request(const EjectionRequest &request, MonotonicTime ownedUntil, MonotonicTime now);

    /// Returns the epoch to be sent in each reply. Precondition: none.
    PoolOwnerEpoch epoch() const
    {
        return this->ownEpoch;
    }

    /// Returns the servers that may be ejected at some host. Precondition: none.
    std::vector<BackendServerId> possiblyEjected(MonotonicTime now) const;

private:
    struct Granted
    {
        std::uint64_t order = 0;
        MonotonicTime countedUntil;
    };

    double healthySlots(std::uint64_t order, const BackendServerId &added) const;
    double totalSlots() const;

    PoolOwnerEpoch ownEpoch;
    PoolCapacity capacity;
    EjectionTimes times;
    MonotonicTime leasesKnownAt;
    std::uint64_t nextOrder = 1;
    std::map<BackendServerId, Granted> granted;
};

} // namespace rhubarbtiller::health
