#pragma once

#include <rhubarbtiller/config/jsonreader.h>
#include <rhubarbtiller/config/rows.h>

namespace rhubarbtiller::config {

nlohmann::json rowToJson(const Row &row);

/// Reads a row of the given table and checks each field. Faults go to \p problems.
Row rowFromJson(Table table, const nlohmann::json &value, const std::string &path, Problems &problems);

Route routeFromJson(const nlohmann::json &value, const std::string &path, Problems &problems);
Pool poolFromJson(const nlohmann::json &value, const std::string &path, Problems &problems);

} // namespace rhubarbtiller::config
