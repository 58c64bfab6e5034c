#include "tablefolder.h"

#include <rhubarbtiller/config/errors.h>

#include <fstream>
#include <iterator>
#include <optional>

namespace rhubarbtiller::operatorclient {

static std::optional<std::string> readFile(const std::string &path, config::Problems &problems)
{
    std::ifstream file(path);
    if (!file) {
        problems.push_back({make_error_code(config::ConfigError::MissingField), path, "the file cannot be read", {}});
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

config::Tables readTableFolder(const std::string &folder, config::Problems &problems)
{
    config::Tables tables;
    if (const auto text = readFile(folder + "/routes.json", problems)) {
        tables.routes = config::parseRoutes(*text, "routes.json", problems);
    }
    if (const auto text = readFile(folder + "/pools.json", problems)) {
        tables.pools = config::parsePools(*text, "pools.json", problems);
    }
    return tables;
}

} // namespace rhubarbtiller::operatorclient
