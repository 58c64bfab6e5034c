#pragma once

#include "callers.h"
#include "faultproxy.h"
#include "history.h"

#include "../fleet/process.h"

#include <chrono>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbtiller::soak {

/// The hosts of a fleet and what each of them has.
struct FleetLayout
{
    /// In the order of GatewayFleet::failureDomains().
    std::vector<int> hostsPerDomain{2, 2, 2};
    /// What the settings say of the host; the default of the program if empty.
    std::optional<double> processorCores;
    std::optional<int> memoryMb;
    /// The open files that a process may have; the limit of the test if empty.
    std::optional<std::uint64_t> openFiles;
};

/// The real host programs, each a process with a loopback address and a link to the store of its own.
///
/// Thread safety: one thread, which is not that of the io_context; the io_context runs until the fleet is gone.
class GatewayFleet
{
public:
    /// Precondition: the references outlive the fleet; \p storeAddress listens; the first three hosts are in different failure domains.
    GatewayFleet(asio::io_context &ioContext, const Endpoint &storeAddress, std::uint64_t runSeed, const FleetLayout &fleetLayout = {});
    ~GatewayFleet();
    GatewayFleet(const GatewayFleet &) = delete;
    GatewayFleet &operator=(const GatewayFleet &) = delete;

    /// Returns the number of hosts. Precondition: none.
    int hostCount() const
    {
        return static_cast<int>(this->hosts.size());
    }

    /// Returns the position of a host's failure domain in failureDomains(). Precondition: none.
    std::size_t domainOf(int host) const;

    /// Returns the process of a host, which may have ended. Precondition: none.
    const fleettests::Process &process(int host) const;

    /// Starts a host's program. Precondition: it does not run.
    void start(int host);

    /// Sends a signal to a host's program. Precondition: none.
    void signal(int host, int number);

    /// Returns the exit code once the program has ended, 128 + n for signal n. Precondition: none.
    std::optional<int> exitCode(int host);

    /// Rewrites the settings file with another log level and tells the program. Precondition: none.
    void changeSettings(int host);

    /// Returns whether a host says that it is ready. Precondition: none.
    bool isReady(int host) const;

    /// Waits until all hosts are ready, for at most \p timeout; returns whether they are. Precondition: none.
    bool waitUntilReady(std::chrono::milliseconds timeout) const;

    /// Returns \p world with the addresses of the hosts. Precondition: the fleet outlives the result.
    CallerWorld withHosts(CallerWorld world) const;

    /// Returns the link from a host to the store; used on the thread of the io_context. Precondition: none.
    FaultProxy &storeLink(int host);

    /// Returns the address of a host for callers. Precondition: none.
    std::string callerAddress(int host) const;

    /// Returns the address of a host for operators. Precondition: none.
    std::string controlAddress(int host) const;

    /// Returns the number of the host with a caller address, or -1. Thread safety: any thread.
    int hostOf(const std::string &callerAddress) const;

    std::vector<std::string> directoryAddresses() const;

    static const std::vector<std::string> &failureDomains();

    /// Has the logs kept after the run. Precondition: none.
    void keepLogs();

private:
    struct Host
    {
        std::string ip;
        std::size_t domain = 0;
        std::unique_ptr<FaultProxy> storeLink;
        std::unique_ptr<fleettests::Process> process;
        bool isVerbose = false;
    };

    void writeSettings(int host) const;
    std::filesystem::path settingsFile(int host) const;

    asio::io_context &context;
    const FleetLayout layout;
    std::filesystem::path folder;
    std::vector<Host> hosts;
    bool keepsLogs = false;
};

} // namespace rhubarbtiller::soak
