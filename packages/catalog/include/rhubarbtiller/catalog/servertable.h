#pragma once

#include <rhubarbtiller/catalog/catalog.h>

#include <set>

namespace rhubarbtiller::catalog {

/// What a backend server last said of itself.
struct ServerEntry
{
    BackendServerId id;
    ServiceName service;
    Endpoint address;
    FailureDomainId failureDomain;
    SlotCount slots{1};
    bool isDraining = false;
    /// Until then the server tolerates only the cold rate of its service.
    MonotonicTime coldUntil{};

    bool operator==(const ServerEntry &) const = default;
};

/// The backend servers that are known at one moment; immutable.
///
/// Thread safety: any thread.
class ServerTable
{
public:
    ServerTable() = default;

    /// Precondition: no two entries have one id.
    explicit ServerTable(std::vector<ServerEntry> entries);

    /// Returns the positions of a service's servers in entries(). Precondition: none.
    const std::vector<std::size_t> &serversOf(const ServiceName &service) const;

    const std::vector<ServerEntry> &entries() const
    {
        return this->servers;
    }

private:
    std::vector<ServerEntry> servers;
    std::unordered_map<ServiceName, std::vector<std::size_t>> byService;
};

/// All that the path of a request reads; replaced as a whole.
struct FleetState
{
    std::shared_ptr<const Catalog> catalog;
    std::shared_ptr<const ServerTable> servers;
    /// Failure domains whose servers get no new work.
    std::set<FailureDomainId> evacuatedDomains;
    /// When the newest part was learned.
    MonotonicTime changedAt{};
};

} // namespace rhubarbtiller::catalog
