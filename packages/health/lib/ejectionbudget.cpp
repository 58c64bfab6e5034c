#include <rhubarbtiller/health/ejectionbudget.h>

#include <algorithm>
#include <cassert>
#include <limits>

namespace rhubarbtiller::health {

PoolCapacity poolCapacity(const config::Pool &pool, const config::Snapshot &snapshot)
{
    PoolCapacity capacity{pool.floor, {}};
    capacity.servers.reserve(pool.servers.size());
    for (const config::BackendServer &server : pool.servers) {
        const bool isOut = snapshot.isDraining(server.id) || snapshot.isWithdrawn(server.failureDomain);
        capacity.servers.push_back(ServerCapacity{server.id, pool.slotsPerServer, isOut});
    }
    return capacity;
}

/// Returns the longest time that a lease can last by the clock of the pool owner.
static Duration longestLease(const EjectionTimes &times)
{
    return std::chrono::duration_cast<Duration>(times.lease / (1.0 - times.drift));
}

EjectionBudget::EjectionBudget(PoolOwnerEpoch ownerEpoch, PoolCapacity poolCapacity, MonotonicTime ownedSince, EjectionTimes ejectionTimes)
    : ownEpoch(ownerEpoch), capacity(std::move(poolCapacity)), times(ejectionTimes), leasesKnownAt(ownedSince + longestLease(ejectionTimes))
{
    assert(ownerEpoch.count() != 0 && "epoch 0 means that no epoch is known");
}

void EjectionBudget::setCapacity(PoolCapacity poolCapacity)
{
    this->capacity = std::move(poolCapacity);
}

Result<EjectionLease> EjectionBudget::request(const EjectionRequest &request, MonotonicTime ownedUntil, MonotonicTime now)
{
    if (now >= ownedUntil) {
        return make_error_code(HealthError::NotOwner);
    }
    const auto server = std::find_if(this->capacity.servers.begin(), this->capacity.servers.end(), [&request](const ServerCapacity &entry) {
        return entry.server == request.server;
    });
    // A server that is out gets no work anyway; a lease for it would only outlast its return.
    if (server == this->capacity.servers.end() || server->isOut) {
        return make_error_code(HealthError::UnknownServer);
    }
    std::erase_if(this->granted, [now](const auto &entry) {
        return entry.second.countedUntil <= now;
    });

    auto found = this->granted.find(request.server);
    const bool isRenewal = found != this->granted.end();
    const bool isReported = request.isInForce && request.knownEpoch == this->ownEpoch;
    if (!isRenewal && now < this->leasesKnownAt && !isReported) {
        return make_error_code(HealthError::LeasesUnknown);
    }
    const std::uint64_t order = isRenewal ? found->second.order : this->nextOrder;
    if (this->healthySlots(order, request.server) * 100.0 < this->capacity.floor.count() * this->totalSlots()) {
        return make_error_code(HealthError::FloorReached);
    }
    if (!isRenewal) {
        found = this->granted.emplace(request.server, Granted{this->nextOrder++, {}}).first;
    }
    found->second.countedUntil = now + longestLease(this->times);
    return EjectionLease{request.server, this->times.lease, this->ownEpoch};
}

std::vector<BackendServerId> EjectionBudget::possiblyEjected(MonotonicTime now) const
{
    std::vector<BackendServerId> ejected;
    for (const auto &[server, lease] : this->granted) {
        if (now < lease.countedUntil) {
            ejected.push_back(server);
        }
    }
    return ejected;
}

/// Returns the slots that stay healthy with \p added ejected and all leases that were first granted up to \p order.
double EjectionBudget::healthySlots(std::uint64_t order, const BackendServerId &added) const
{
    double slots = 0;
    for (const ServerCapacity &entry : this->capacity.servers) {
        const auto found = this->granted.find(entry.server);
        const bool isEjected = entry.server == added || (found != this->granted.end() && found->second.order <= order);
        if (!entry.isOut && !isEjected) {
            slots += entry.slots.count();
        }
    }
    return slots;
}

double EjectionBudget::totalSlots() const
{
    double slots = 0;
    for (const ServerCapacity &entry : this->capacity.servers) {
        slots += entry.slots.count();
    }
    return slots;
}

} // namespace rhubarbtiller::health
