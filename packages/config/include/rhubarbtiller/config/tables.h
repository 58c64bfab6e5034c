#pragma once

#include <rhubarbtiller/config/change.h>
#include <rhubarbtiller/config/codec.h>
#include <rhubarbtiller/config/problem.h>
#include <rhubarbtiller/config/snapshot.h>

#include <string>
#include <vector>

namespace rhubarbtiller::config {

/// Checks what no single row shows: duplicate names, routes without their pool, servers that stand twice.
///
/// Precondition: none. Thread safety: any thread.
Problems checkTables(const Tables &tables);

/// One row that differs between two configurations.
struct RowDifference
{
    enum class Kind {
        Added,
        Changed,
        Removed,
    };

    Kind kind = Kind::Added;
    Table table = Table::Routes;
    std::string primaryKey;
    std::string before;
    std::string after;
};

/// Returns what has to change in \p current so that its routes and pools become \p wanted.
///
/// Precondition: \p wanted passes checkTables(). Thread safety: any thread.
std::vector<RowDifference> compareTables(const Snapshot &current, const Tables &wanted);

/// Returns the mutations that bring about the differences. Precondition: as compareTables(). Thread safety: any thread.
std::vector<Mutation> mutationsFor(const Snapshot &current, const Tables &wanted);

} // namespace rhubarbtiller::config
