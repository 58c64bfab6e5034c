#pragma once

#include <rhubarbtiller/balance/retrybudget.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/config/problem.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rhubarbtiller::gateway {

/// What a host of a gateway fleet needs to run.
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
    unsigned entryHostsPerDomain = 2;
    /// Thousandths of a processor core that this host may use.
    std::uint32_t milliCores = 1000;
    /// How long callers keep an answer with addresses.
    std::chrono::milliseconds addressLifetime{1500};
    /// Time from the signal to stop until the process is killed.
    std::chrono::milliseconds stopGrace{6000};
    balance::RetryBudgetBounds retryBudget;
    /// The memory of the host; answers that are being read take a quarter at most.
    ByteCount memory{160 * 1024 * 1024};
    /// The time over which an organisation's admissions are counted.
    Duration quotaWindow = std::chrono::seconds(5);
    std::string logLevel = "info";
    /// Where spans go: "-" for standard error, empty for nowhere, or a file.
    std::string spanOutput;

    bool operator==(const GatewaySettings &) const = default;
};

/// Reads and checks the settings; faults go to \p problems. Thread safety: any thread.
std::optional<GatewaySettings> parseGatewaySettings(std::string_view text, config::Problems &problems);

} // namespace rhubarbtiller::gateway
