#include <rhubarbtiller/config/codec.h>

#include <rhubarbtiller/config/errors.h>

#include "rowcodec.h"

#include <algorithm>
#include <optional>

using nlohmann::json;

namespace rhubarbtiller::config {

static constexpr Table AllTables[] = {Table::Routes,
                                      Table::Pools,
                                      Table::Organisations,
                                      Table::Keys,
                                      Table::DomainWithdrawals,
                                      Table::ServerDrains,
                                      Table::Hosts,
                                      Table::FleetParameters};

static std::optional<Table> tableByName(const std::string &name)
{
    const auto *const found = std::ranges::find_if(AllTables, [&name](Table table) {
        return name == tableName(table);
    });
    if (found == std::end(AllTables)) {
        return std::nullopt;
    }
    return *found;
}

static json mutationToJson(const Mutation &mutation)
{
    if (const auto *put = std::get_if<PutRow>(&mutation)) {
        return {{"table", tableName(tableOf(put->row))}, {"put", rowToJson(put->row)}};
    }
    const auto &deletion = std::get<DeleteRow>(mutation);
    return {{"table", tableName(deletion.table)}, {"delete", deletion.primaryKey}};
}

static std::optional<Mutation> mutationFromJson(const json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    const auto table = tableByName(reader.requiredText("table"));
    if (!table) {
        reader.note(make_error_code(ConfigError::WrongValue), "table", value.dump(), "the name of a table");
        return std::nullopt;
    }
    if (const auto put = value.find("put"); put != value.end()) {
        return PutRow{rowFromJson(*table, *put, reader.pathOf("put"), problems)};
    }
    return DeleteRow{*table, reader.requiredText("delete")};
}

std::string encodeRow(const Row &row)
{
    return rowToJson(row).dump();
}

std::string encodeChange(const Change &change)
{
    json mutations = json::array();
    for (const auto &mutation : change.mutations) {
        mutations.push_back(mutationToJson(mutation));
    }
    const json document = {
        {"version", change.version.count()},
        {"id", change.id.text()},
        {"author", change.author},
        {"mutations", std::move(mutations)},
    };
    return document.dump();
}

Result<Change> decodeChange(std::string_view text)
{
    Problems problems;
    const auto document = parseDocument(text, "change", problems);
    if (!document) {
        return make_error_code(ConfigError::MalformedDocument);
    }
    JsonReader reader(*document, "change", problems);
    Change change;
    change.version = ConfigVersion(reader.integer("version", std::nullopt, 1, UINT64_MAX));
    change.id = ChangeId(reader.requiredText("id"));
    change.author = reader.text("author", {});
    for (const auto &element : reader.array("mutations")) {
        if (auto mutation = mutationFromJson(element, "change.mutations", problems)) {
            change.mutations.push_back(std::move(*mutation));
        }
    }
    reader.finish();
    if (!problems.empty()) {
        return problems.front().error;
    }
    return change;
}

std::string encodeSnapshot(const Snapshot &snapshot)
{
    json rows = json::array();
    for (const auto &row : snapshot.rows()) {
        rows.push_back({{"table", tableName(tableOf(row))}, {"put", rowToJson(row)}});
    }
    const json document = {
        {"version", snapshot.version().count()},
        {"tablesVersion", snapshot.tablesVersion().count()},
        {"rows", std::move(rows)},
    };
    return document.dump();
}

Result<std::shared_ptr<const Snapshot>> decodeSnapshot(std::string_view text)
{
    Problems problems;
    const auto document = parseDocument(text, "snapshot", problems);
    if (!document) {
        return make_error_code(ConfigError::MalformedDocument);
    }
    JsonReader reader(*document, "snapshot", problems);
    const ConfigVersion version(reader.integer("version", std::nullopt, 0, UINT64_MAX));
    const ConfigVersion tablesVersion(reader.integer("tablesVersion", std::nullopt, 0, UINT64_MAX));
    std::vector<Row> rows;
    for (const auto &element : reader.array("rows")) {
        const auto mutation = mutationFromJson(element, "snapshot.rows", problems);
        if (mutation && std::holds_alternative<PutRow>(*mutation)) {
            rows.push_back(std::get<PutRow>(*mutation).row);
        }
    }
    reader.finish();
    if (!problems.empty()) {
        return problems.front().error;
    }
    return Snapshot::fromRows(version, tablesVersion, rows);
}

template<class TypedRow, class ReadRow>
static std::vector<TypedRow>
parseTable(std::string_view text, const std::string &fileName, const char *arrayName, Problems &problems, ReadRow readRow)
{
    const auto document = parseDocument(text, fileName, problems);
    if (!document) {
        return {};
    }
    JsonReader reader(*document, fileName, problems);
    std::vector<TypedRow> rows;
    const auto &array = reader.array(arrayName);
    for (std::size_t i = 0; i < array.size(); ++i) {
        rows.push_back(readRow(array[i], reader.pathOf(arrayName) + "[" + std::to_string(i) + "]", problems));
    }
    reader.finish();
    return rows;
}

std::vector<Route> parseRoutes(std::string_view text, const std::string &fileName, Problems &problems)
{
    return parseTable<Route>(text, fileName, "routes", problems, routeFromJson);
}

std::vector<Pool> parsePools(std::string_view text, const std::string &fileName, Problems &problems)
{
    return parseTable<Pool>(text, fileName, "pools", problems, poolFromJson);
}

} // namespace rhubarbtiller::config
