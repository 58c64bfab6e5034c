#pragma once

#include <rhubarbtiller/config/rows.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarbtiller::config {

/// Finds the route with the longest matching path prefix.
///
/// A lookup tries the prefixes of the path from the longest down, one hash lookup for each "/", so its cost does
/// not grow with the number of routes. Thread safety: immutable after the last add().
class RouteIndex
{
public:
    /// Adds a route. Precondition: the index is not yet shared with readers.
    void add(std::shared_ptr<const Route> route);

    /// Returns the route for a method and a path without query, or nullptr. Precondition: none.
    const Route *find(std::string_view method, std::string_view path) const;

private:
    struct Hash
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): name given by the standard
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>{}(text);
        }
    };

    const Route *findExact(std::string_view method, std::string_view prefix) const;

    std::unordered_map<std::string, std::vector<std::shared_ptr<const Route>>, Hash, std::equal_to<>> byPrefix;
};

} // namespace rhubarbtiller::config
