#pragma once

#include <rhubarbtiller/balance/placement.h>
#include <rhubarbtiller/testing/virtualclock.h>

#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace rhubarbtiller::balance {

/// How a fault affects the requests to a server.
enum class FaultKind {
    None,
    /// Answers with an error.
    Errors,
    /// Never answers.
    Hang,
    /// Takes twelve times as long for each request.
    Slow,
    /// Hosts of one failure domain cannot connect.
    Unreachable,
};

/// A fault of some servers of the service during a time span.
struct FaultPlan
{
    FaultKind kind = FaultKind::None;
    Duration from{};
    Duration to{};
    /// The share of servers, and of their requests, that the fault affects; 0 to 1.
    double servers = 0;
    double requests = 1;
};

/// A simulated run of a service whose requests cannot be retried.
struct SimulationPlan
{
    std::uint64_t seed = 0;
    unsigned domains = 4;
    unsigned hostsPerDomain = 2;
    unsigned servers = 52;
    double requestsPerSecond = 220;
    Duration length = std::chrono::seconds(30);
    /// Each server fails most of its requests for 4 s in one of three periods of this length, on average.
    Duration failurePeriod = std::chrono::seconds(12);
    bool failuresHang = false;
    std::vector<FaultPlan> faults;
    /// From then on, a third of the requests is refused by a rate limit for 4 s; 0 disables it.
    Duration rateLimitedFrom{};
    /// When all hosts restart without their state; 0 disables it.
    Duration restartAt{};
    /// While another service handles the requests, as after a change of their route; equal times disable it.
    Duration movedFrom{};
    Duration movedTo{};
    /// Servers that start, cold, at a time.
    unsigned addedServers = 0;
    Duration serversAddedAt{};
};

/// Returns a random plan with one to three faults. Precondition: none.
SimulationPlan randomPlan(std::uint64_t seed);

/// Returns a random plan in which the requests return to the service from another one while servers start. Precondition: none.
SimulationPlan randomReturnPlan(std::uint64_t seed);

/// A window over which the platform's rule for the floor of used servers is evaluated.
struct FloorWindow
{
    Duration endsAt{};
    unsigned healthy = 0;
    unsigned used = 0;
    unsigned requests = 0;
    unsigned unserved = 0;
};

/// The result of a simulation.
struct SimulationResult
{
    unsigned requests = 0;
    unsigned unserved = 0;
    /// The lowest share of healthy servers that were used in any window, whether the rule applies to the window or not.
    double leastUsed = 1;
    /// Windows that violate the rule: less than 0.7 of the healthy servers used while 10 to 50 in 100 requests were not served.
    std::vector<FloorWindow> violations;
};

/// Simulates the placement of all hosts on a virtual clock. Precondition: none. Thread safety: any thread.
SimulationResult runSimulation(const SimulationPlan &plan);

} // namespace rhubarbtiller::balance
