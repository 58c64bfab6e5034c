#include <rhubarbtiller/config/snapshot.h>

#include <algorithm>
#include <cassert>

namespace rhubarbtiller::config {

const Pool *Snapshot::findPool(const PoolName &name) const
{
    const auto found = this->poolRows.find(name);
    return found == this->poolRows.end() ? nullptr : found->second.get();
}

const Route *Snapshot::findRoute(std::string_view method, std::string_view path) const
{
    return this->routeIndex->find(method, path);
}

void Snapshot::put(const Row &row)
{
    if (const auto *route = std::get_if<Route>(&row)) {
        this->routeRows.insert_or_assign(route->name, std::make_shared<const Route>(*route));
    } else if (const auto *pool = std::get_if<Pool>(&row)) {
        this->poolRows.insert_or_assign(pool->name, std::make_shared<const Pool>(*pool));
    } else if (const auto *organisation = std::get_if<Organisation>(&row)) {
        this->organisations = this->organisations.with(organisation->id, *organisation);
    } else if (const auto *grant = std::get_if<KeyGrant>(&row)) {
        this->keys = this->keys.with(grant->digest, *grant);
    } else if (const auto *withdrawal = std::get_if<DomainWithdrawal>(&row)) {
        this->domainWithdrawals.insert_or_assign(withdrawal->failureDomain, *withdrawal);
    } else if (const auto *drain = std::get_if<ServerDrain>(&row)) {
        this->serverDrains.insert_or_assign(drain->server, *drain);
    } else if (const auto *host = std::get_if<Host>(&row)) {
        this->hostRows.insert_or_assign(host->id, *host);
    } else {
        this->fleet = std::get<FleetParameters>(row);
    }
}

void Snapshot::remove(const DeleteRow &deletion)
{
    switch (deletion.table) {
    case Table::Routes:
        this->routeRows.erase(RouteName(deletion.primaryKey));
        return;
    case Table::Pools:
        this->poolRows.erase(PoolName(deletion.primaryKey));
        return;
    case Table::Organisations:
        this->organisations = this->organisations.without(OrganisationId(deletion.primaryKey));
        return;
    case Table::Keys:
        this->keys = this->keys.without(KeyDigest(deletion.primaryKey));
        return;
    case Table::DomainWithdrawals:
        this->domainWithdrawals.erase(FailureDomainId(deletion.primaryKey));
        return;
    case Table::ServerDrains:
        this->serverDrains.erase(BackendServerId(deletion.primaryKey));
        return;
    case Table::Hosts:
        this->hostRows.erase(HostId(deletion.primaryKey));
        return;
    case Table::FleetParameters:
        this->fleet = FleetParameters{};
        return;
    }
}

void Snapshot::rebuildRouteIndex()
{
    auto index = std::make_shared<RouteIndex>();
    for (const auto &[name, route] : this->routeRows) {
        index->add(route);
    }
    this->routeIndex = std::move(index);
}

static bool touchesTable(const Mutation &mutation, Table table)
{
    if (const auto *put = std::get_if<PutRow>(&mutation)) {
        return tableOf(put->row) == table;
    }
    return std::get<DeleteRow>(mutation).table == table;
}

static bool touchesTable(const Change &change, Table table)
{
    return std::ranges::any_of(change.mutations, [table](const Mutation &mutation) {
        return touchesTable(mutation, table);
    });
}

std::shared_ptr<const Snapshot> Snapshot::apply(const Change &change) const
{
    assert(change.version.count() == this->currentVersion.count() + 1 && "changes must be applied in order, each once");
    auto next = std::make_shared<Snapshot>(*this);
    for (const auto &mutation : change.mutations) {
        if (const auto *put = std::get_if<PutRow>(&mutation)) {
            next->put(put->row);
            continue;
        }
        next->remove(std::get<DeleteRow>(mutation));
    }
    next->currentVersion = change.version;
    const bool routesChanged = touchesTable(change, Table::Routes);
    if (routesChanged || touchesTable(change, Table::Pools)) {
        next->currentTablesVersion = change.version;
    }
    if (routesChanged) {
        next->rebuildRouteIndex();
    }
    return next;
}

std::shared_ptr<const Snapshot> Snapshot::fromRows(ConfigVersion version, ConfigVersion tablesVersion, const std::vector<Row> &rows)
{
    auto snapshot = std::make_shared<Snapshot>();
    for (const auto &row : rows) {
        snapshot->put(row);
    }
    snapshot->currentVersion = version;
    snapshot->currentTablesVersion = tablesVersion;
    snapshot->rebuildRouteIndex();
    return snapshot;
}

std::vector<Row> Snapshot::rows() const
{
    std::vector<Row> all;
    for (const auto &[name, route] : this->routeRows) {
        all.emplace_back(*route);
    }
    for (const auto &[name, pool] : this->poolRows) {
        all.emplace_back(*pool);
    }
    this->organisations.forEach([&all](const OrganisationId &, const Organisation &row) {
        all.emplace_back(row);
    });
    this->keys.forEach([&all](const KeyDigest &, const KeyGrant &row) {
        all.emplace_back(row);
    });
    for (const auto &[domain, row] : this->domainWithdrawals) {
        all.emplace_back(row);
    }
    for (const auto &[server, row] : this->serverDrains) {
        all.emplace_back(row);
    }
    for (const auto &[id, row] : this->hostRows) {
        all.emplace_back(row);
    }
    all.emplace_back(this->fleet);
    std::ranges::stable_sort(all, {}, [](const Row &row) {
        return std::pair(row.index(), primaryKeyOf(row));
    });
    return all;
}

} // namespace rhubarbtiller::config
