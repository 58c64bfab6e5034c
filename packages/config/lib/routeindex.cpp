#include <rhubarbtiller/config/routeindex.h>

#include <algorithm>

namespace rhubarbtiller::config {

void RouteIndex::add(std::shared_ptr<const Route> route)
{
    auto prefix = route->pathPrefix;
    this->byPrefix[std::move(prefix)].push_back(std::move(route));
}

const Route *RouteIndex::findExact(std::string_view method, std::string_view prefix) const
{
    const auto found = this->byPrefix.find(prefix);
    if (found == this->byPrefix.end()) {
        return nullptr;
    }
    for (const auto &route : found->second) {
        if (std::ranges::find(route->methods, method) != route->methods.end()) {
            return route.get();
        }
    }
    return nullptr;
}

const Route *RouteIndex::find(std::string_view method, std::string_view path) const
{
    if (const Route *exact = this->findExact(method, path)) {
        return exact;
    }
    // Prefixes end at a "/", so "/seats" does not catch "/seatsale".
    for (std::size_t end = path.size(); end > 0; --end) {
        if (path[end - 1] != '/') {
            continue;
        }
        if (const Route *route = this->findExact(method, path.substr(0, end))) {
            return route;
        }
        if (end < 2) {
            continue;
        }
        if (const Route *route = this->findExact(method, path.substr(0, end - 1))) {
            return route;
        }
    }
    return nullptr;
}

} // namespace rhubarbtiller::config
