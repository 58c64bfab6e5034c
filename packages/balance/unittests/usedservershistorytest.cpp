#include "usedserversmodel.h"

#include <doctest/doctest.h>

#include <cstdlib>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;

/// Simulations of every test run; RHUBARBTILLER_SEEDS adds to them.
static constexpr std::uint64_t FixedSimulations = 60;
static constexpr std::uint64_t FixedReturnSimulations = 50;

TEST_CASE("a service that fails a part of its callers does not leave healthy servers unused")
{
    const char *const additionalSimulations = std::getenv("RHUBARBTILLER_SEEDS");
    const auto simulations = FixedSimulations + (additionalSimulations != nullptr ? std::strtoull(additionalSimulations, nullptr, 10) : 0);
    unsigned requests = 0;
    unsigned unserved = 0;
    double leastUsed = 1;
    unsigned failedSimulations = 0;
    for (std::uint64_t seed = 1; seed <= simulations; ++seed) {
        const auto result = runSimulation(randomPlan(seed));
        requests += result.requests;
        unserved += result.unserved;
        leastUsed = std::min(leastUsed, result.leastUsed);
        failedSimulations += result.violations.empty() ? 0 : 1;
        if (!result.violations.empty()) {
            const auto &first = result.violations.front();
            CAPTURE(seed);
            CAPTURE(std::chrono::duration<double>(first.endsAt).count());
            CAPTURE(first.unserved);
            CAPTURE(first.requests);
            CHECK_MESSAGE(first.used >= 0.7 * first.healthy, first.used << " of " << first.healthy << " healthy servers were used");
        }
    }
    MESSAGE(failedSimulations << " of " << simulations << " simulations violate the rule, lowest share of used servers " << leastUsed
                              << ", " << unserved << " of " << requests << " requests not served");
}

// The route of the requests moves to another service and back, so that there is no recent evidence on most servers of the service.
TEST_CASE("requests that return to a service reach its healthy servers although many others have just started")
{
    const char *const additionalSimulations = std::getenv("RHUBARBTILLER_SEEDS");
    const auto simulations
        = FixedReturnSimulations + (additionalSimulations != nullptr ? std::strtoull(additionalSimulations, nullptr, 10) : 0);
    unsigned requests = 0;
    unsigned unserved = 0;
    unsigned failedSimulations = 0;
    for (std::uint64_t seed = 1; seed <= simulations; ++seed) {
        const auto plan = randomReturnPlan(seed);
        const auto result = runSimulation(plan);
        requests += result.requests;
        unserved += result.unserved;
        failedSimulations += result.violations.empty() ? 0 : 1;
        if (!result.violations.empty()) {
            const auto &first = result.violations.front();
            CAPTURE(seed);
            CAPTURE(std::chrono::duration<double>(first.endsAt).count());
            CAPTURE(std::chrono::duration<double>(plan.movedFrom).count());
            CAPTURE(std::chrono::duration<double>(plan.movedTo).count());
            CAPTURE(plan.addedServers);
            CAPTURE(std::chrono::duration<double>(plan.serversAddedAt).count());
            CAPTURE(first.unserved);
            CAPTURE(first.requests);
            CHECK_MESSAGE(first.used >= 0.7 * first.healthy, first.used << " of " << first.healthy << " healthy servers were used");
        }
    }
    MESSAGE(failedSimulations << " of " << simulations << " simulations violate the rule, " << unserved << " of " << requests
                              << " requests not served");
}

TEST_CASE("a service with few requests loses few of them to trials of its servers")
{
    for (const double rate : {25.0, 50.0, 220.0}) {
        unsigned requests = 0;
        unsigned unserved = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            SimulationPlan plan;
            plan.seed = seed;
            plan.requestsPerSecond = rate;
            const auto result = runSimulation(plan);
            requests += result.requests;
            unserved += result.unserved;
        }
        MESSAGE(unserved << " of " << requests << " requests not served at " << rate << " a second");
        // An even distribution would lose 11 in 100.
        CHECK(unserved * 100 <= requests * 5);
    }
}
