#pragma once

#include <rhubarbtiller/base/result.h>
#include <rhubarbtiller/config/change.h>
#include <rhubarbtiller/config/problem.h>
#include <rhubarbtiller/config/snapshot.h>

#include <memory>
#include <string>
#include <string_view>

namespace rhubarbtiller::config {

/// Returns a change as JSON text. Precondition: none. Thread safety: any thread.
std::string encodeChange(const Change &change);

/// Reads a change from JSON text. Precondition: none. Thread safety: any thread.
Result<Change> decodeChange(std::string_view text);

/// Returns a snapshot as JSON text; equal snapshots give equal texts. Precondition: none. Thread safety: any thread.
std::string encodeSnapshot(const Snapshot &snapshot);

/// Reads a snapshot from JSON text. Precondition: none. Thread safety: any thread.
Result<std::shared_ptr<const Snapshot>> decodeSnapshot(std::string_view text);

/// Returns one row as JSON text. Precondition: none. Thread safety: any thread.
std::string encodeRow(const Row &row);

/// The two tables that operators keep under version control.
struct Tables
{
    std::vector<Route> routes;
    std::vector<Pool> pools;
};

/// Reads the table of routes: {"routes": [...]}. Faults go to \p problems. Thread safety: any thread.
std::vector<Route> parseRoutes(std::string_view text, const std::string &fileName, Problems &problems);

/// Reads the table of pools: {"pools": [...]}. Faults go to \p problems. Thread safety: any thread.
std::vector<Pool> parsePools(std::string_view text, const std::string &fileName, Problems &problems);

} // namespace rhubarbtiller::config
