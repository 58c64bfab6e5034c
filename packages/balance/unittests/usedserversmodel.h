#pragma once

#include <rhubarbtiller/balance/placement.h>
#include <rhubarbtiller/testing/virtualclock.h>

#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace rhubarbtiller::balance {

/// How a disturbance makes servers treat requests.
enum class Disturbance {
    None,
    /// Answers with an error.
    Errors,
    /// Never answers.
    Hang,
    /// Works twelve times as long.
    Slow,
    /// Hosts of one failure domain cannot connect.
    Unreachable,
};

/// Some servers of the service are disturbed for a while.
struct DisturbancePlan
{
    Disturbance kind = Disturbance::None;
    Duration from{};
    Duration to{};
    /// The share of servers, and of their requests, that it concerns; 0 to 1.
    double servers = 0;
    double requests = 1;
};

/// A simulated run of a service whose requests cannot be repeated.
struct SimulationPlan
{
    std::uint64_t seed = 0;
    unsigned domains = 4;
    unsigned hostsPerDomain = 2;
    unsigned servers = 52;
    double requestsPerSecond = 220;
    Duration length = std::chrono::seconds(30);
    /// Each server fails most requests for 4 s in one of three periods of this length.
    Duration failurePeriod = std::chrono::seconds(12);
    bool failuresHang = false;
    std::vector<DisturbancePlan> disturbances;
    /// From then on for 4 s, a third of the requests is refused over a rate; unset without.
    Duration overRateFrom{};
    /// All hosts restart without their state; unset without.
    Duration restartAt{};
};

/// Returns a random plan with one to three disturbances. Precondition: none.
SimulationPlan randomPlan(std::uint64_t seed);

/// A window in which the platform's floor of used servers is judged.
struct FloorWindow
{
    Duration endsAt{};
    unsigned sound = 0;
    unsigned used = 0;
    unsigned requests = 0;
    unsigned unserved = 0;
};

/// The result of a simulation.
struct SimulationResult
{
    unsigned requests = 0;
    unsigned unserved = 0;
    /// The least share of sound servers that were used in any window, whether the floor is judged there or not.
    double leastUsed = 1;
    /// Windows with less than 0.7 of the sound servers used while 10 to 50 in 100 requests were not served.
    std::vector<FloorWindow> broken;
};

/// Simulates the placement of all hosts on a virtual clock. Precondition: none. Thread safety: any thread.
SimulationResult runSimulation(const SimulationPlan &plan);

} // namespace rhubarbtiller::balance
