#pragma once

#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbtiller::config {

/// Says which requests go to which pool.
struct Route
{
    RouteName name;
    std::string pathPrefix;
    std::vector<std::string> methods;
    PoolName pool;
    /// No key is needed; requests count for the organisation "public".
    bool isOpenToAll = false;
    /// The work may be repeated without harm.
    bool isIdempotent = false;
    std::chrono::milliseconds timeLimit{2000};
    ByteCount maxBody{64 * 1024};
    ByteCount maxAnswer{1024 * 1024};

    bool operator==(const Route &) const = default;
};

/// One server behind the proxy.
struct BackendServer
{
    BackendServerId id;
    Endpoint address;
    FailureDomainId failureDomain;

    bool operator==(const BackendServer &) const = default;
};

/// A set of backend servers that give the same service.
struct Pool
{
    PoolName name;
    /// Concurrent requests that a warm server bears.
    SlotCount slotsPerServer{2};
    /// Concurrent requests that a server bears in a cold start.
    SlotCount coldSlots{1};
    /// How long a server takes to become warm under load.
    std::chrono::milliseconds warmUpTime{10000};
    std::uint32_t maxConnectionsPerServer = 400;
    /// Least share of the pool's capacity that ejection must leave.
    Percent floor{60};
    /// 0 ejects only on overwhelming evidence, 1 on the first signs.
    double sensitivity = 0.5;
    std::vector<BackendServer> servers;

    bool operator==(const Pool &) const = default;
};

/// A customer with a rate over all hosts together.
struct Organisation
{
    OrganisationId id;
    RequestRate rate{0};
    RequestCount burst{0};

    bool operator==(const Organisation &) const = default;
};

/// The right of an organisation to be recognised by a key; only the digest is kept.
struct KeyGrant
{
    KeyDigest digest;
    KeyName name;
    OrganisationId organisation;

    bool operator==(const KeyGrant &) const = default;
};

/// A failure domain that was taken out.
struct DomainWithdrawal
{
    FailureDomainId failureDomain;
    std::string reason;

    bool operator==(const DomainWithdrawal &) const = default;
};

/// A backend server that leaves and gets no new work.
struct ServerDrain
{
    BackendServerId server;
    std::string reason;

    bool operator==(const ServerDrain &) const = default;
};

enum class HostState {
    Active,
    Leaving,
};

/// A host of the fleet.
struct Host
{
    HostId id;
    Incarnation incarnation;
    Endpoint callerAddress;
    Endpoint peerAddress;
    Endpoint operatorAddress;
    FailureDomainId failureDomain;
    HostState state = HostState::Active;

    bool operator==(const Host &) const = default;
};

/// The settings of the fleet that all hosts must agree on.
struct FleetParameters
{
    std::uint32_t shardCount = 64;
    /// Hosts whose majority gives evidence of the version in force while the store is down.
    std::vector<HostId> witnesses;
    /// The witnesses before the last change of them; acceptance needs a majority of these as well.
    std::vector<HostId> previousWitnesses;

    bool operator==(const FleetParameters &) const = default;
};

enum class Table {
    Routes,
    Pools,
    Organisations,
    Keys,
    DomainWithdrawals,
    ServerDrains,
    Hosts,
    FleetParameters,
};

using Row = std::variant<Route, Pool, Organisation, KeyGrant, DomainWithdrawal, ServerDrain, Host, FleetParameters>;

/// Returns the table that holds rows of this kind. Precondition: none. Thread safety: any thread.
Table tableOf(const Row &row);

/// Returns the primary key of a row in its table. Precondition: none. Thread safety: any thread.
std::string primaryKeyOf(const Row &row);

/// Returns the name of a table as written in files and items. Precondition: none. Thread safety: any thread.
const char *tableName(Table table);

} // namespace rhubarbtiller::config
