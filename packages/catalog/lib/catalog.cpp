#include <rhubarbtiller/catalog/catalog.h>

#include <cassert>

namespace rhubarbtiller::catalog {

/// Separates the virtual host from the prefix in an index key; never part of a host name.
static constexpr char IndexSeparator = '\n';

static std::string routeIndexKey(std::string_view virtualHost, std::string_view prefix)
{
    std::string key;
    key.reserve(virtualHost.size() + 1 + prefix.size());
    key.append(virtualHost);
    key.push_back(IndexSeparator);
    key.append(prefix);
    return key;
}

Catalog::Catalog(CatalogParts parts) : content(std::move(parts))
{
    for (std::size_t i = 0; i < this->content.routes.size(); ++i) {
        const auto &route = this->content.routes[i];
        this->routeIndex.emplace(routeIndexKey(route.virtualHost, route.prefix), i);
    }
    for (const auto &[key, organisation] : this->content.keys) {
        assert(organisation < this->content.organisations.size() && "the index of a key's organisation must be valid");
        this->keyIndex.emplace(key, organisation);
    }
    for (std::size_t i = 0; i < this->content.services.size(); ++i) {
        this->serviceIndex.emplace(this->content.services[i].name, i);
    }
}

const Route *Catalog::findRoute(std::string_view virtualHost, std::string_view path) const
{
    // Prefixes end with a slash, so only substrings that end with one can match.
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto found = this->routeIndex.find(routeIndexKey(virtualHost, path.substr(0, end + 1)));
        if (found != this->routeIndex.end()) {
            return &this->content.routes[found->second];
        }
        if (end == 0) {
            break;
        }
    }
    return nullptr;
}

const Organisation *Catalog::findOrganisation(std::string_view key) const
{
    const auto found = this->keyIndex.find(key);
    return found == this->keyIndex.end() ? nullptr : &this->content.organisations[found->second];
}

const Service *Catalog::findService(const ServiceName &name) const
{
    const auto found = this->serviceIndex.find(name);
    return found == this->serviceIndex.end() ? nullptr : &this->content.services[found->second];
}

} // namespace rhubarbtiller::catalog
