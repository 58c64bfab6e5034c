#include "rowcodec.h"

#include <rhubarbtiller/config/errors.h>

#include <algorithm>

using nlohmann::json;
using std::chrono::milliseconds;

namespace rhubarbtiller::config {

static const std::vector<std::string> KnownMethods = {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};

// A body or answer is held whole in memory while it is checked.
static constexpr std::uint64_t MaxMessageBytes = 8 * 1024 * 1024;
static constexpr milliseconds MaxTimeLimit{60'000};
static constexpr double MaxRate = 1e6;

Route routeFromJson(const json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    Route route;
    route.name = RouteName(reader.requiredText("name"));
    route.pathPrefix = reader.requiredText("pathPrefix");
    if (!route.pathPrefix.empty() && route.pathPrefix.front() != '/') {
        reader.note(make_error_code(ConfigError::WrongValue), "pathPrefix", route.pathPrefix, "a path that begins with /");
    }
    route.methods = reader.texts("methods", {"GET"});
    for (const auto &method : route.methods) {
        if (std::ranges::find(KnownMethods, method) == KnownMethods.end()) {
            reader.note(make_error_code(ConfigError::WrongValue), "methods", method, "GET, HEAD, POST, PUT, PATCH, DELETE");
        }
    }
    route.pool = PoolName(reader.requiredText("pool"));
    route.isOpenToAll = reader.flag("openToAll", false);
    route.isIdempotent = reader.flag("idempotent", false);
    route.timeLimit = reader.milliseconds("timeLimitMs", milliseconds(2000), milliseconds(1), MaxTimeLimit);
    route.maxBody = ByteCount(reader.integer("maxBodyBytes", 64 * 1024, 0, MaxMessageBytes));
    route.maxAnswer = ByteCount(reader.integer("maxAnswerBytes", 1024 * 1024, 0, MaxMessageBytes));
    reader.finish();
    return route;
}

static json toJson(const Route &route)
{
    return {{"name", route.name.text()},
            {"pathPrefix", route.pathPrefix},
            {"methods", route.methods},
            {"pool", route.pool.text()},
            {"openToAll", route.isOpenToAll},
            {"idempotent", route.isIdempotent},
            {"timeLimitMs", route.timeLimit.count()},
            {"maxBodyBytes", route.maxBody.count()},
            {"maxAnswerBytes", route.maxAnswer.count()}};
}

static BackendServer serverFromJson(const json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    BackendServer server;
    server.id = BackendServerId(reader.requiredText("id"));
    server.address = Endpoint(reader.endpoint("address"));
    server.failureDomain = FailureDomainId(reader.requiredText("failureDomain"));
    reader.finish();
    return server;
}

Pool poolFromJson(const json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    Pool pool;
    pool.name = PoolName(reader.requiredText("name"));
    pool.slotsPerServer = SlotCount(static_cast<std::uint32_t>(reader.integer("slotsPerServer", std::nullopt, 1, 100'000)));
    pool.coldSlots = SlotCount(static_cast<std::uint32_t>(reader.integer("coldSlots", 1, 1, pool.slotsPerServer.count())));
    pool.warmUpTime = reader.milliseconds("warmUpMs", milliseconds(10'000), milliseconds(0), milliseconds(3'600'000));
    pool.maxConnectionsPerServer = static_cast<std::uint32_t>(reader.integer("maxConnectionsPerServer", 400, 1, 100'000));
    pool.floor = Percent(reader.number("floorPercent", 60, 0, 100));
    pool.sensitivity = reader.number("sensitivity", 0.5, 0, 1);
    const auto &servers = reader.array("servers");
    for (std::size_t i = 0; i < servers.size(); ++i) {
        pool.servers.push_back(serverFromJson(servers[i], reader.pathOf("servers") + "[" + std::to_string(i) + "]", problems));
    }
    reader.finish();
    return pool;
}

static json toJson(const Pool &pool)
{
    json servers = json::array();
    for (const auto &server : pool.servers) {
        servers.push_back({{"id", server.id.text()}, {"address", server.address.text()}, {"failureDomain", server.failureDomain.text()}});
    }
    return {{"name", pool.name.text()},
            {"slotsPerServer", pool.slotsPerServer.count()},
            {"coldSlots", pool.coldSlots.count()},
            {"warmUpMs", pool.warmUpTime.count()},
            {"maxConnectionsPerServer", pool.maxConnectionsPerServer},
            {"floorPercent", pool.floor.count()},
            {"sensitivity", pool.sensitivity},
            {"servers", std::move(servers)}};
}

static Organisation organisationFromJson(const json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    Organisation organisation;
    organisation.id = OrganisationId(reader.requiredText("id"));
    organisation.rate = RequestRate(reader.number("ratePerSecond", std::nullopt, 0, MaxRate));
    organisation.burst = RequestCount(reader.number("burst", std::nullopt, 0, MaxRate));
    reader.finish();
    return organisation;
}

static json toJson(const Organisation &organisation)
{
    return {{"id", organisation.id.text()}, {"ratePerSecond", organisation.rate.count()}, {"burst", organisation.burst.count()}};
}

static KeyGrant keyGrantFromJson(const json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    KeyGrant grant;
    grant.digest = KeyDigest(reader.requiredText("digest"));
    grant.name = KeyName(reader.requiredText("name"));
    grant.organisation = OrganisationId(reader.requiredText("organisation"));
    reader.finish();
    return grant;
}

static json toJson(const KeyGrant &grant)
{
    return {{"digest", grant.digest.text()}, {"name", grant.name.text()}, {"organisation", grant.organisation.text()}};
}

static DomainWithdrawal withdrawalFromJson(const json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    DomainWithdrawal withdrawal;
    withdrawal.failureDomain = FailureDomainId(reader.requiredText("failureDomain"));
    withdrawal.reason = reader.text("reason", {});
    reader.finish();
    return withdrawal;
}

static json toJson(const DomainWithdrawal &withdrawal)
{
    return {{"failureDomain", withdrawal.failureDomain.text()}, {"reason", withdrawal.reason}};
}

static ServerDrain drainFromJson(const json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    ServerDrain drain;
    drain.server = BackendServerId(reader.requiredText("server"));
    drain.reason = reader.text("reason", {});
    reader.finish();
    return drain;
}

static json toJson(const ServerDrain &drain)
{
    return {{"server", drain.server.text()}, {"reason", drain.reason}};
}

static Host hostFromJson(const json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    Host host;
    host.id = HostId(reader.requiredText("id"));
    host.incarnation = Incarnation(reader.integer("incarnation", std::nullopt, 0, UINT64_MAX));
    host.callerAddress = Endpoint(reader.endpoint("callerAddress"));
    host.peerAddress = Endpoint(reader.endpoint("peerAddress"));
    host.operatorAddress = Endpoint(reader.endpoint("operatorAddress"));
    host.failureDomain = FailureDomainId(reader.requiredText("failureDomain"));
    host.state = reader.choice("state", "active", {"active", "leaving"}) == "active" ? HostState::Active : HostState::Leaving;
    reader.finish();
    return host;
}

static json toJson(const Host &host)
{
    return {{"id", host.id.text()},
            {"incarnation", host.incarnation.count()},
            {"callerAddress", host.callerAddress.text()},
            {"peerAddress", host.peerAddress.text()},
            {"operatorAddress", host.operatorAddress.text()},
            {"failureDomain", host.failureDomain.text()},
            {"state", host.state == HostState::Active ? "active" : "leaving"}};
}

static std::vector<HostId> hostIds(const std::vector<std::string> &texts)
{
    std::vector<HostId> ids;
    ids.reserve(texts.size());
    for (const auto &text : texts) {
        ids.emplace_back(text);
    }
    return ids;
}

static std::vector<std::string> hostTexts(const std::vector<HostId> &ids)
{
    std::vector<std::string> texts;
    texts.reserve(ids.size());
    for (const auto &id : ids) {
        texts.push_back(id.text());
    }
    return texts;
}

static FleetParameters fleetFromJson(const json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    FleetParameters fleet;
    fleet.shardCount = static_cast<std::uint32_t>(reader.integer("shardCount", 64, 1, 65536));
    fleet.witnesses = hostIds(reader.texts("witnesses", {}));
    fleet.previousWitnesses = hostIds(reader.texts("previousWitnesses", {}));
    reader.finish();
    return fleet;
}

static json toJson(const FleetParameters &fleet)
{
    return {{"shardCount", fleet.shardCount},
            {"witnesses", hostTexts(fleet.witnesses)},
            {"previousWitnesses", hostTexts(fleet.previousWitnesses)}};
}

json rowToJson(const Row &row)
{
    return std::visit(
        [](const auto &typed) {
            return toJson(typed);
        },
        row);
}

Row rowFromJson(Table table, const json &value, const std::string &path, Problems &problems)
{
    switch (table) {
    case Table::Routes:
        return routeFromJson(value, path, problems);
    case Table::Pools:
        return poolFromJson(value, path, problems);
    case Table::Organisations:
        return organisationFromJson(value, path, problems);
    case Table::Keys:
        return keyGrantFromJson(value, path, problems);
    case Table::DomainWithdrawals:
        return withdrawalFromJson(value, path, problems);
    case Table::ServerDrains:
        return drainFromJson(value, path, problems);
    case Table::Hosts:
        return hostFromJson(value, path, problems);
    case Table::FleetParameters:
        break;
    }
    return fleetFromJson(value, path, problems);
}

} // namespace rhubarbtiller::config
