#pragma once

#include <rhubarbtiller/config/change.h>
#include <rhubarbtiller/config/routeindex.h>
#include <rhubarbtiller/config/shardedtable.h>

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace rhubarbtiller::config {

/// The whole configuration at one version.
///
/// Thread safety: immutable, so any thread may read it.
class Snapshot
{
public:
    /// Returns the snapshot that results from \p change.
    ///
    /// Precondition: the version of \p change follows the version of this snapshot.
    std::shared_ptr<const Snapshot> apply(const Change &change) const;

    /// Builds a snapshot from rows, as read from a stored snapshot. Precondition: none.
    static std::shared_ptr<const Snapshot> fromRows(ConfigVersion version, ConfigVersion tablesVersion, const std::vector<Row> &rows);

    /// Returns all rows, sorted by table and primary key. Precondition: none.
    std::vector<Row> rows() const;

    /// Returns the version of the last applied change. Precondition: none.
    ConfigVersion version() const
    {
        return this->currentVersion;
    }

    /// Returns the version of the last change of routes or pools. Precondition: none.
    ConfigVersion tablesVersion() const
    {
        return this->currentTablesVersion;
    }

    /// Returns the organisation that the key with this digest was granted to, or nullptr. Precondition: none.
    const KeyGrant *findKey(const KeyDigest &digest) const
    {
        return this->keys.find(digest);
    }

    const Organisation *findOrganisation(const OrganisationId &id) const
    {
        return this->organisations.find(id);
    }

    /// Returns the pool, or nullptr. The pointer lives as long as this snapshot. Precondition: none.
    const Pool *findPool(const PoolName &name) const;

    /// Returns the route for a request, or nullptr. Precondition: \p path has no query part.
    const Route *findRoute(std::string_view method, std::string_view path) const;

    /// Returns whether a failure domain was taken out. Precondition: none.
    bool isWithdrawn(const FailureDomainId &domain) const
    {
        return this->domainWithdrawals.contains(domain);
    }

    /// Returns whether a backend server leaves. Precondition: none.
    bool isDraining(const BackendServerId &server) const
    {
        return this->serverDrains.contains(server);
    }

    const std::map<RouteName, std::shared_ptr<const Route>> &routes() const
    {
        return this->routeRows;
    }

    const std::map<PoolName, std::shared_ptr<const Pool>> &pools() const
    {
        return this->poolRows;
    }

    const std::map<HostId, Host> &hosts() const
    {
        return this->hostRows;
    }

    const FleetParameters &fleetParameters() const
    {
        return this->fleet;
    }

    const ShardedTable<OrganisationId, Organisation> &organisationTable() const
    {
        return this->organisations;
    }

    const ShardedTable<KeyDigest, KeyGrant> &keyTable() const
    {
        return this->keys;
    }

    const std::map<FailureDomainId, DomainWithdrawal> &withdrawals() const
    {
        return this->domainWithdrawals;
    }

    const std::map<BackendServerId, ServerDrain> &drains() const
    {
        return this->serverDrains;
    }

private:
    void put(const Row &row);
    void remove(const DeleteRow &deletion);
    void rebuildRouteIndex();

    ConfigVersion currentVersion;
    ConfigVersion currentTablesVersion;
    std::map<RouteName, std::shared_ptr<const Route>> routeRows;
    std::map<PoolName, std::shared_ptr<const Pool>> poolRows;
    ShardedTable<OrganisationId, Organisation> organisations;
    ShardedTable<KeyDigest, KeyGrant> keys;
    std::map<FailureDomainId, DomainWithdrawal> domainWithdrawals;
    std::map<BackendServerId, ServerDrain> serverDrains;
    std::map<HostId, Host> hostRows;
    FleetParameters fleet;
    std::shared_ptr<const RouteIndex> routeIndex = std::make_shared<const RouteIndex>();
};

} // namespace rhubarbtiller::config
