#pragma once

#include <rhubarbtiller/catalog/catalog.h>

#include <set>

namespace rhubarbtiller::catalog {

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

/// The state that request processing reads; replaced atomically as a whole.
struct FleetState
{
    std::shared_ptr<const Catalog> catalog;
    std::shared_ptr<const ServerTable> servers;
    /// Failure domains whose servers get no new requests.
    std::set<FailureDomainId> evacuatedDomains;
    /// When the most recent change was received.
    MonotonicTime changedAt{};
};

} // namespace rhubarbtiller::catalog
