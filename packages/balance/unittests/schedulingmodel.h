#pragma once

#include <rhubarbtiller/balance/requestqueue.h>
#include <rhubarbtiller/balance/returnschedule.h>

#include <string>
#include <vector>

namespace rhubarbtiller::balance {

/// A kind of requests in a simulated load.
struct LoadKind
{
    std::string name;
    int priority = 0;
    Duration meanWork{};
    Duration objective{};
    Duration timeLimit{};
    double requestsPerSecond = 0;
    /// What a response within the objective and a late one are worth; unknown to the queue.
    double valueOnTime = 1;
    double valueLate = 0.5;
    /// From burstFrom to burstTo the rate is multiplied by this.
    double burstFactor = 1;
};

/// How the simulated hosts decide.
enum class OrderUnderTest {
    /// RequestQueue.
    Decision,
    /// The previous rule: priority, then arrival; lengths from 270 ms for each request; a wait of 0.4 of the time limit; Retry-After of
    /// 300 ms; new requests are sent before those that wait.
    Baseline,
};

/// A simulated service under overload.
struct SchedulingPlan
{
    std::uint64_t seed = 1;
    OrderUnderTest order = OrderUnderTest::Decision;
    std::vector<LoadKind> kinds;
    unsigned hosts = 4;
    /// Part of the callers that use the first host; the others are spread evenly. 0 spreads all evenly.
    double firstHostShare = 0;
    unsigned servers = 26;
    std::uint32_t slots = 4;
    std::uint32_t outstandingPerSlot = 3;
    Duration length = std::chrono::seconds(16);
    Duration burstFrom = std::chrono::seconds(4);
    Duration burstTo = std::chrono::seconds(10);
    /// Share of the servers that take three times as long during the burst.
    double slowServers = 0;
    /// Share of the requests of one organisation; ten others share the rest.
    double hotOrganisation = 0;
    /// Whether callers return at once in place of waiting for the time that they were told.
    bool callersReturnAtOnce = false;
};

/// What callers of one kind or organisation got.
struct CallerResult
{
    std::string name;
    int priority = 0;
    unsigned requests = 0;
    unsigned onTime = 0;
    unsigned late = 0;
    /// Ended with a refusal.
    unsigned refused = 0;
    /// Refusals after which the caller returned and was refused again.
    unsigned refusedAgain = 0;
    /// Refused after more than two thirds of the time that the caller had at that attempt.
    unsigned held = 0;
    /// Occupied a slot at the end of the time limit.
    unsigned wasted = 0;
    double value = 0;
    double maxValue = 0;

    double servedShare() const;
    double valueShare() const;
};

struct SchedulingResult
{
    std::vector<CallerResult> kinds;
    std::vector<CallerResult> organisations;
    CallerResult total;
};

/// Simulates a plan on a virtual clock. Precondition: the plan has kinds, hosts and servers.
SchedulingResult simulateScheduling(const SchedulingPlan &plan);

/// Returns the counter service of the ticket and repair counter with \p load of its capacity as mean load.
std::vector<LoadKind> counterKinds(double capacitySlots, double load);

/// Returns the workshop service, in the same way.
std::vector<LoadKind> workshopKinds(double capacitySlots, double load);

/// Returns the three kinds of coach ticketing on one service, in the same way.
std::vector<LoadKind> coachKinds(double capacitySlots, double load);

} // namespace rhubarbtiller::balance
