#pragma once

#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/config/problem.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rhubarbtiller::settings {

/// Where the platform's services are.
struct PlatformSettings
{
    Endpoint tableAddress;
    std::string tableName;
    Endpoint objectAddress;
    std::string bucket;
    Endpoint hostListAddress;
    std::string hostListTarget;
    /// The region of the signatures; empty sends unsigned calls.
    std::string region;
    /// "access key:secret key"; never logged.
    std::string credential;
};

/// The bounds that protect a host.
struct LimitSettings
{
    std::uint32_t maxConnections = 2000;
    std::uint32_t maxConcurrentRequests = 512;
    ByteCount maxHeader{16 * 1024};
    ByteCount maxBody{1024 * 1024};
    std::chrono::milliseconds readTimeLimit{10'000};
};

/// What the program "rhubarbtiller" needs to run on a host.
struct HostSettings
{
    HostId id;
    FailureDomainId failureDomain;
    Endpoint callerAddress;
    Endpoint peerAddress;
    Endpoint operatorAddress;
    /// Shared by all hosts; never logged.
    std::string peerCredential;
    /// Admits operators to the operator address; never logged.
    std::string operatorCredential;
    PlatformSettings platform;
    LimitSettings limits;
    std::uint32_t threads = 2;
    /// The number of shards that the first host of a new fleet writes.
    std::uint32_t shardCount = 64;
    std::chrono::milliseconds storePollInterval{1000};
    std::string logLevel = "info";
    /// Where spans go: "-" for standard error, empty for nowhere, or a file.
    std::string spanOutput;
    /// Addresses whose messages to and from this host are dropped when the operator port says so; for tests of partitions.
    bool allowsLinkFaults = false;
};

/// What the program "rhubarbtillerctl" needs.
struct OperatorSettings
{
    std::string operatorCredential;
    PlatformSettings platform;
    /// Written as the author of changes.
    std::string author;
};

/// Reads and checks the settings of a host; faults go to \p problems. Thread safety: any thread.
std::optional<HostSettings> parseHostSettings(std::string_view text, config::Problems &problems);

/// Reads and checks the settings of an operator; faults go to \p problems. Thread safety: any thread.
std::optional<OperatorSettings> parseOperatorSettings(std::string_view text, config::Problems &problems);

} // namespace rhubarbtiller::settings
