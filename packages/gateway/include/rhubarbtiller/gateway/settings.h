#pragma once

#include <rhubarbtiller/balance/retrybudget.h>
#include <rhubarbtiller/balance/rollout.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/config/problem.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbtiller::gateway {

/// What the callers of a host may use; values that are not set follow from the memory and the descriptors of the host.
struct CallerLimitSettings
{
    /// Memory of requests that are being read or have no response yet; by default three eighths of the memory.
    std::optional<ByteCount> requestMemory;
    /// The same and the responses that callers have not read yet; by default half of the memory.
    std::optional<ByteCount> totalMemory;
    /// Connections of callers; by default three eighths of the limit of open files, at most 2,000.
    std::optional<std::uint32_t> maxConnections;
    /// Time for a header from its first byte on, until the configuration states it.
    std::chrono::milliseconds headerTimeout{10'000};
    /// Time for a whole request from its first byte on.
    std::chrono::milliseconds requestTimeout{10'000};

    bool operator==(const CallerLimitSettings &) const = default;
};

/// The settings of one host of a gateway fleet.
struct GatewaySettings
{
    HostId id;
    FailureDomainId failureDomain;
    std::vector<FailureDomainId> failureDomains;
    Endpoint callerAddress;
    Endpoint readinessAddress;
    Endpoint directoryAddress;
    Endpoint controlAddress;
    Endpoint peerAddress;
    Endpoint storeAddress;
    /// Control addresses of some other hosts; may be stale.
    std::vector<Endpoint> seeds;
    /// Whether the whole fleet starts for the first time, so that no host is registered in the store yet.
    bool isFirstStart = false;
    unsigned entryHostsPerDomain = 2;
    /// Thousandths of a processor core that this host may use.
    std::uint32_t milliCores = 1000;
    /// How long callers may cache the host addresses that they received.
    std::chrono::milliseconds addressLifetime{1500};
    /// Time from the signal to stop until the process is killed.
    std::chrono::milliseconds stopGrace{6000};
    balance::RetryBudgetBounds retryBudget;
    balance::RolloutBounds rollout;
    /// The memory of the host; at most a quarter of it buffers responses of backend servers.
    ByteCount memory{160 * 1024 * 1024};
    CallerLimitSettings callerLimits;
    /// The time over which an organisation's admissions are counted.
    Duration quotaWindow = std::chrono::seconds(5);
    std::string logLevel = "info";
    /// Destination of trace spans: "-" for standard error, a file name, or empty to export none.
    std::string spanOutput;

    bool operator==(const GatewaySettings &) const = default;
};

/// Parses and validates the settings; appends errors to \p problems, and returns nothing if there are any. Thread safety: any thread.
std::optional<GatewaySettings> parseGatewaySettings(std::string_view text, config::Problems &problems);

} // namespace rhubarbtiller::gateway
