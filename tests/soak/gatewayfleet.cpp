#include "gatewayfleet.h"

#include "../fleet/httpconnection.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <stdexcept>
#include <thread>

#include <sys/resource.h>
#include <unistd.h>

namespace rhubarbtiller::soak {

// Each host has a loopback address, so that all have the same ports, as the hosts of a deployment do.
static constexpr int CallerPort = 8689;
static constexpr int ReadinessPort = 8687;
static constexpr int ControlPort = 8683;
static constexpr int DirectoryPort = 8682;
static constexpr int PeerPort = 7360;

static constexpr std::chrono::milliseconds ReadinessTimeout{300};
static constexpr std::chrono::milliseconds ReadinessInterval{20};

static std::string endpointOf(const std::string &ip, int port)
{
    return ip + ":" + std::to_string(port);
}

const std::vector<std::string> &GatewayFleet::failureDomains()
{
    static const std::vector<std::string> Names{"east", "west", "north"};
    return Names;
}

/// Returns the failure domain of each host; they take turns as long as they have room.
static std::vector<std::size_t> spreadOverDomains(std::vector<int> room)
{
    std::vector<std::size_t> domains;
    for (bool isFull = false; !isFull;) {
        isFull = true;
        for (std::size_t domain = 0; domain < room.size(); ++domain) {
            if (room[domain] > 0) {
                --room[domain];
                domains.push_back(domain);
                isFull = false;
            }
        }
    }
    return domains;
}

GatewayFleet::GatewayFleet(asio::io_context &ioContext, const Endpoint &storeAddress, std::uint64_t runSeed, const FleetLayout &fleetLayout)
    : context(ioContext), layout(fleetLayout)
{
    std::string name = (std::filesystem::temp_directory_path() / "soak-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no folder for the logs");
    }
    this->folder = name;
    // Runs at the same time have addresses of their own.
    const auto process = static_cast<std::uint64_t>(::getpid());
    const auto prefix = "127." + std::to_string(16 + process % 200) + "." + std::to_string((process / 200 + runSeed) % 250) + ".";
    for (const auto domain : spreadOverDomains(fleetLayout.hostsPerDomain)) {
        Host host;
        host.ip = prefix + std::to_string(this->hosts.size() + 1);
        host.domain = domain;
        host.storeLink = std::make_unique<FaultProxy>(ioContext, storeAddress);
        this->hosts.push_back(std::move(host));
    }
    for (int number = 0; number < this->hostCount(); ++number) {
        this->start(number);
    }
}

GatewayFleet::~GatewayFleet()
{
    for (auto &host : this->hosts) {
        host.process.reset();
    }
    // The links end on the thread that serves them.
    std::promise<void> ended;
    asio::post(this->context, [this, &ended] {
        this->hosts.clear();
        ended.set_value();
    });
    ended.get_future().wait();
    if (this->keepsLogs) {
        std::cout << "logs: " << this->folder.string() << std::endl;
    } else {
        std::filesystem::remove_all(this->folder);
    }
}

std::filesystem::path GatewayFleet::settingsFile(int host) const
{
    return this->folder / ("h" + std::to_string(host) + ".json");
}

void GatewayFleet::writeSettings(int host) const
{
    const auto &own = this->hosts[static_cast<std::size_t>(host)];
    nlohmann::json seeds = nlohmann::json::array();
    for (std::size_t i = 0; i < 3; ++i) {
        seeds.push_back(endpointOf(this->hosts[i].ip, ControlPort));
    }
    const auto &domains = failureDomains();
    nlohmann::json settings{{"id", "h" + std::to_string(host)},
                            {"failureDomain", domains[own.domain]},
                            {"failureDomains", domains},
                            {"callerAddress", endpointOf(own.ip, CallerPort)},
                            {"readinessAddress", endpointOf(own.ip, ReadinessPort)},
                            {"directoryAddress", endpointOf(own.ip, DirectoryPort)},
                            {"controlAddress", endpointOf(own.ip, ControlPort)},
                            {"peerAddress", endpointOf(own.ip, PeerPort)},
                            {"storeAddress", own.storeLink->address().text()},
                            {"seeds", seeds},
                            {"retryBudget", {{"ratio", 0.2}, {"slack", 62}, {"windowSeconds", 10}}},
                            {"logLevel", own.isVerbose ? "debug" : "info"}};
    if (this->layout.processorCores) {
        settings["processorCores"] = *this->layout.processorCores;
    }
    if (this->layout.memoryMb) {
        settings["memoryMb"] = *this->layout.memoryMb;
    }
    // Replaced as a whole, so that a program never reads a part of it.
    const auto next = this->settingsFile(host).string() + ".new";
    std::ofstream(next) << settings.dump(2);
    std::filesystem::rename(next, this->settingsFile(host));
}

void GatewayFleet::start(int host)
{
    auto &own = this->hosts[static_cast<std::size_t>(host)];
    this->writeSettings(host);
    const auto base = this->folder / ("h" + std::to_string(host));
    own.process = std::make_unique<fleettests::Process>(
        std::vector<std::string>{HOST_PROGRAM, "--gateway", "--settings=" + this->settingsFile(host).string()},
        base.string() + ".out",
        base.string() + ".err");
    if (this->layout.openFiles) {
        // Set after the start, since the files of this process would count in between.
        const rlimit lowered{*this->layout.openFiles, *this->layout.openFiles};
        ::prlimit(own.process->processId(), RLIMIT_NOFILE, &lowered, nullptr);
    }
}

void GatewayFleet::signal(int host, int number)
{
    this->hosts[static_cast<std::size_t>(host)].process->signal(number);
}

std::optional<int> GatewayFleet::exitCode(int host)
{
    return this->hosts[static_cast<std::size_t>(host)].process->exitCode();
}

void GatewayFleet::changeSettings(int host)
{
    auto &own = this->hosts[static_cast<std::size_t>(host)];
    own.isVerbose = !own.isVerbose;
    this->writeSettings(host);
    this->signal(host, SIGHUP);
}

bool GatewayFleet::isReady(int host) const
{
    fleettests::HttpConnection connection(endpointOf(this->hosts[static_cast<std::size_t>(host)].ip, ReadinessPort));
    return connection.call("GET", "/-/readyz", "", "", ReadinessTimeout).status == 200;
}

bool GatewayFleet::waitUntilReady(std::chrono::milliseconds timeout) const
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    for (int host = 0; host < this->hostCount(); ++host) {
        while (!this->isReady(host)) {
            if (std::chrono::steady_clock::now() > until) {
                return false;
            }
            std::this_thread::sleep_for(ReadinessInterval);
        }
    }
    return true;
}

CallerWorld GatewayFleet::withHosts(CallerWorld world) const
{
    world.directories = this->directoryAddresses();
    world.hostOf = [this](const std::string &address) {
        return this->hostOf(address);
    };
    return world;
}

FaultProxy &GatewayFleet::storeLink(int host)
{
    return *this->hosts[static_cast<std::size_t>(host)].storeLink;
}

std::string GatewayFleet::callerAddress(int host) const
{
    return endpointOf(this->hosts[static_cast<std::size_t>(host)].ip, CallerPort);
}

std::string GatewayFleet::controlAddress(int host) const
{
    return endpointOf(this->hosts[static_cast<std::size_t>(host)].ip, ControlPort);
}

std::size_t GatewayFleet::domainOf(int host) const
{
    return this->hosts[static_cast<std::size_t>(host)].domain;
}

const fleettests::Process &GatewayFleet::process(int host) const
{
    return *this->hosts[static_cast<std::size_t>(host)].process;
}

int GatewayFleet::hostOf(const std::string &callerAddress) const
{
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        if (endpointOf(this->hosts[i].ip, CallerPort) == callerAddress) {
            return static_cast<int>(i);
        }
    }
    return -1;
}

std::vector<std::string> GatewayFleet::directoryAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &host : this->hosts) {
        addresses.push_back(endpointOf(host.ip, DirectoryPort));
    }
    return addresses;
}

void GatewayFleet::keepLogs()
{
    this->keepsLogs = true;
}

} // namespace rhubarbtiller::soak
