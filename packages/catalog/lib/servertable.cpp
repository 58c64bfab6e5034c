#include <rhubarbtiller/catalog/servertable.h>

namespace rhubarbtiller::catalog {

ServerTable::ServerTable(std::vector<ServerEntry> entries) : servers(std::move(entries))
{
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
        this->byService[this->servers[i].service].push_back(i);
    }
}

const std::vector<std::size_t> &ServerTable::serversOf(const ServiceName &service) const
{
    static const std::vector<std::size_t> none;
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? none : found->second;
}

} // namespace rhubarbtiller::catalog
