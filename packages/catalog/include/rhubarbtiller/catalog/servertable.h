#pragma once

#include <rhubarbtiller/catalog/catalog.h>

#include <map>
#include <set>

namespace rhubarbtiller::catalog {

/// The version of the software that a backend server runs.
using ServiceVersion = StrongId<struct ServiceVersionTag>;

/// The latest entry that a backend server wrote about itself.
struct ServerEntry
{
    BackendServerId id;
    ServiceName service;
    Endpoint address;
    FailureDomainId failureDomain;
    SlotCount slots{1};
    bool isDraining = false;
    /// Until then the server is warming up and gets at most its service's cold rate.
    MonotonicTime coldUntil{};
    ServiceVersion version{};

    bool operator==(const ServerEntry &) const = default;
};

/// A snapshot of the known backend servers; immutable.
///
/// Thread safety: any thread.
class ServerTable
{
public:
    ServerTable() = default;

    /// Precondition: the ids of the entries are unique.
    explicit ServerTable(std::vector<ServerEntry> entries);

    /// Returns the indices of a service's servers in entries(). Precondition: none.
    const std::vector<std::size_t> &serversOf(const ServiceName &service) const;

    const std::vector<ServerEntry> &entries() const
    {
        return this->servers;
    }

private:
    std::vector<ServerEntry> servers;
    std::unordered_map<ServiceName, std::vector<std::size_t>> byService;
};

/// An operator's order to move the requests of a service to the servers of one version.
struct RolloutOrder
{
    ServiceName service;
    ServiceVersion target;
    /// Time from the order until the result is due.
    Duration duration{};
    /// When the order was received, less the time that its row spent at peers.
    MonotonicTime receivedAt{};

    bool operator==(const RolloutOrder &) const = default;
};

/// The durable state of a roll-out; the values are ordered by progress, and the last two are final.
enum class RolloutPhase {
    /// No host has written a state yet.
    Ordered,
    /// The target may get a share of the requests.
    InProgress,
    /// All hosts stop using the servers of other versions.
    Switching,
    /// All hosts have done so, and none goes back.
    Closing,
    Completed,
    RolledBack,
};

/// The state of the last roll-out of a service, as a row of the store holds it.
struct RolloutStatus
{
    ServiceName service;
    ServiceVersion target;
    RolloutPhase phase = RolloutPhase::Ordered;
    /// The store's version of the row; 0 if there is none.
    std::uint64_t rowVersion = 0;
};

/// The state that request processing reads; replaced atomically as a whole.
struct FleetState
{
    std::shared_ptr<const Catalog> catalog;
    std::shared_ptr<const ServerTable> servers;
    /// Failure domains whose servers get no new requests.
    std::set<FailureDomainId> evacuatedDomains;
    std::map<ServiceName, RolloutOrder> rolloutOrders{};
    /// When the most recent change was received.
    MonotonicTime changedAt{};
};

} // namespace rhubarbtiller::catalog
