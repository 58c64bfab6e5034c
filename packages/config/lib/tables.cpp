#include <rhubarbtiller/config/tables.h>

#include <rhubarbtiller/config/errors.h>

#include <map>
#include <set>

namespace rhubarbtiller::config {

static void checkPools(const std::vector<Pool> &pools, Problems &problems)
{
    std::set<PoolName> names;
    // A server's slots are counted by its id, and its work by its address: neither may stand twice.
    std::set<BackendServerId> servers;
    std::set<Endpoint> addresses;
    for (const auto &pool : pools) {
        const std::string path = "pools." + pool.name.text();
        if (!names.insert(pool.name).second) {
            problems.push_back({make_error_code(ConfigError::DuplicateRow), path, pool.name.text(), "each pool once"});
        }
        if (pool.servers.empty()) {
            problems.push_back({make_error_code(ConfigError::WrongValue), path + ".servers", "[]", "at least one server"});
        }
        for (const auto &server : pool.servers) {
            if (!servers.insert(server.id).second) {
                problems.push_back({make_error_code(ConfigError::DuplicateRow), path + ".servers", server.id.text(), "each server once"});
            }
            if (!addresses.insert(server.address).second) {
                problems.push_back(
                    {make_error_code(ConfigError::DuplicateRow), path + ".servers", server.address.text(), "each address once"});
            }
        }
    }
}

static void checkRoutes(const Tables &tables, Problems &problems)
{
    std::set<PoolName> pools;
    for (const auto &pool : tables.pools) {
        pools.insert(pool.name);
    }
    std::set<RouteName> names;
    std::set<std::pair<std::string, std::string>> matches;
    for (const auto &route : tables.routes) {
        const std::string path = "routes." + route.name.text();
        if (!names.insert(route.name).second) {
            problems.push_back({make_error_code(ConfigError::DuplicateRow), path, route.name.text(), "each route once"});
        }
        if (!pools.contains(route.pool)) {
            problems.push_back({make_error_code(ConfigError::BrokenReference), path + ".pool", route.pool.text(), "the name of a pool"});
        }
        for (const auto &method : route.methods) {
            if (!matches.emplace(method, route.pathPrefix).second) {
                problems.push_back({make_error_code(ConfigError::DuplicateRow),
                                    path + ".pathPrefix",
                                    method + " " + route.pathPrefix,
                                    "each method and path prefix once"});
            }
        }
    }
}

Problems checkTables(const Tables &tables)
{
    Problems problems;
    checkPools(tables.pools, problems);
    checkRoutes(tables, problems);
    return problems;
}

using RowsByKey = std::map<std::pair<Table, std::string>, Row>;

static RowsByKey rowsOf(const Snapshot &snapshot)
{
    RowsByKey rows;
    for (const auto &[name, route] : snapshot.routes()) {
        rows.emplace(std::pair(Table::Routes, name.text()), *route);
    }
    for (const auto &[name, pool] : snapshot.pools()) {
        rows.emplace(std::pair(Table::Pools, name.text()), *pool);
    }
    return rows;
}

static RowsByKey rowsOf(const Tables &tables)
{
    RowsByKey rows;
    for (const auto &route : tables.routes) {
        rows.emplace(std::pair(Table::Routes, route.name.text()), route);
    }
    for (const auto &pool : tables.pools) {
        rows.emplace(std::pair(Table::Pools, pool.name.text()), pool);
    }
    return rows;
}

std::vector<RowDifference> compareTables(const Snapshot &current, const Tables &wanted)
{
    using Kind = RowDifference::Kind;
    const auto before = rowsOf(current);
    const auto after = rowsOf(wanted);
    std::vector<RowDifference> differences;
    for (const auto &[key, row] : after) {
        const auto found = before.find(key);
        if (found == before.end()) {
            differences.push_back({Kind::Added, key.first, key.second, {}, encodeRow(row)});
            continue;
        }
        if (!(found->second == row)) {
            differences.push_back({Kind::Changed, key.first, key.second, encodeRow(found->second), encodeRow(row)});
        }
    }
    for (const auto &[key, row] : before) {
        if (!after.contains(key)) {
            differences.push_back({Kind::Removed, key.first, key.second, encodeRow(row), {}});
        }
    }
    return differences;
}

std::vector<Mutation> mutationsFor(const Snapshot &current, const Tables &wanted)
{
    const auto after = rowsOf(wanted);
    std::vector<Mutation> mutations;
    for (const auto &difference : compareTables(current, wanted)) {
        if (difference.kind == RowDifference::Kind::Removed) {
            mutations.emplace_back(DeleteRow{difference.table, difference.primaryKey});
            continue;
        }
        mutations.emplace_back(PutRow{after.at({difference.table, difference.primaryKey})});
    }
    return mutations;
}

} // namespace rhubarbtiller::config
