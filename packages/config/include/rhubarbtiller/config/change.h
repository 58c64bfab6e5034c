#pragma once

#include <rhubarbtiller/config/rows.h>

#include <string>
#include <variant>
#include <vector>

namespace rhubarbtiller::config {

/// Inserts a row or replaces the row with the same primary key.
struct PutRow
{
    Row row;

    bool operator==(const PutRow &) const = default;
};

/// Removes a row; removing a row that does not exist changes nothing.
struct DeleteRow
{
    Table table = Table::Routes;
    std::string primaryKey;

    bool operator==(const DeleteRow &) const = default;
};

using Mutation = std::variant<PutRow, DeleteRow>;

/// One entry of the change log; all its mutations come into force together.
struct Change
{
    ConfigVersion version;
    /// Identifies the attempt, so that an attempt whose answer was lost can be recognised by reading it back.
    ChangeId id;
    std::string author;
    std::vector<Mutation> mutations;

    bool operator==(const Change &) const = default;
};

} // namespace rhubarbtiller::config
