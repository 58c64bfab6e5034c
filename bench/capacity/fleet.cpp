#include "fleet.h"

#include <rhubarbtiller/membership/placement.h>

#include <algorithm>
#include <array>

namespace rhubarbtiller::bench {

// Two regions with two failure domains each; see docs/design.md section 1.5.
static const std::array<const char *, 4> Domains{"south-1", "south-2", "north-1", "north-2"};

static std::string numbered(const char *prefix, std::size_t number)
{
    const auto digits = std::to_string(number);
    return prefix + std::string(5 - std::min<std::size_t>(digits.size(), 5), '0') + digits;
}

static Endpoint endpointOf(std::size_t number, unsigned port)
{
    return Endpoint("10." + std::to_string(number / 65536) + "." + std::to_string(number / 256 % 256) + "." + std::to_string(number % 256)
                    + ":" + std::to_string(port));
}

static FailureDomainId domainOf(std::size_t number)
{
    return FailureDomainId(Domains[number % Domains.size()]);
}

static PoolName poolName(std::size_t number)
{
    return PoolName(numbered("service-", number));
}

HostId hostName(std::size_t number)
{
    return HostId(numbered("host-", number));
}

config::Organisation makeOrganisation(std::size_t number)
{
    return {OrganisationId(numbered("organisation-", number)), RequestRate(50), RequestCount(50)};
}

config::KeyGrant makeKey(std::size_t number, std::size_t organisations)
{
    // Only the length and the spread of the digests matter here.
    const auto hash = std::to_string(number * 2654435761U + 1000000007U);
    std::string digest;
    while (digest.size() < 64) {
        digest += hash;
    }
    digest.resize(64);
    return {KeyDigest(digest),
            KeyName(numbered("key-", number)),
            OrganisationId(numbered("organisation-", number % std::max<std::size_t>(organisations, 1)))};
}

config::Route makeRoute(std::size_t number, std::size_t pools)
{
    config::Route route;
    route.name = RouteName(numbered("route-", number));
    route.pathPrefix = numbered("/service/operation-", number);
    route.methods = {"GET", "POST"};
    route.pool = poolName(number % std::max<std::size_t>(pools, 1));
    return route;
}

config::Host makeHost(std::size_t number)
{
    return {hostName(number),
            Incarnation(1'700'000'000'000'000'000 + number),
            endpointOf(number, 8080),
            endpointOf(number, 8081),
            endpointOf(number, 8082),
            domainOf(number),
            config::HostState::Active};
}

std::shared_ptr<const config::Snapshot> makeSnapshot(const FleetSize &size)
{
    std::vector<config::Row> rows;
    for (std::size_t i = 0; i < size.organisations; ++i) {
        rows.emplace_back(makeOrganisation(i));
    }
    for (std::size_t i = 0; i < size.keys; ++i) {
        rows.emplace_back(makeKey(i, size.organisations));
    }
    for (std::size_t i = 0; i < size.routes; ++i) {
        rows.emplace_back(makeRoute(i, size.pools));
    }
    for (std::size_t i = 0; i < size.pools; ++i) {
        config::Pool pool;
        pool.name = poolName(i);
        for (std::size_t server = i; server < size.servers; server += size.pools) {
            pool.servers.push_back(
                {BackendServerId(numbered("server-", server)), endpointOf(100'000 + server, 9000), domainOf(server / size.pools)});
        }
        rows.emplace_back(std::move(pool));
    }
    std::vector<config::Host> hosts;
    for (std::size_t i = 0; i < size.hosts; ++i) {
        hosts.push_back(makeHost(i));
        rows.emplace_back(hosts.back());
    }
    config::FleetParameters fleet;
    fleet.shardCount = static_cast<std::uint32_t>(size.shards);
    fleet.witnesses = membership::chooseWitnesses(hosts);
    rows.emplace_back(fleet);
    return config::Snapshot::fromRows(FleetVersion, FleetVersion, rows);
}

} // namespace rhubarbtiller::bench
