#include "schedulingmodel.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdlib>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

/// Mean load outside the burst, as a part of the capacity.
static constexpr double CalmLoad = 0.5;

static SchedulingPlan planFor(std::vector<LoadKind> (*kinds)(double, double), std::uint32_t slots, double burstFactor)
{
    SchedulingPlan plan;
    plan.slots = slots;
    plan.kinds = kinds(plan.servers * plan.slots, CalmLoad);
    for (auto &kind : plan.kinds) {
        kind.burstFactor = burstFactor;
    }
    return plan;
}

static std::string describe(const CallerResult &result)
{
    const auto percent = [&result](unsigned count) {
        return std::to_string(100 * count / std::max(1U, result.requests)) + "%";
    };
    return result.name + ": " + std::to_string(result.requests) + " requests, " + percent(result.onTime) + " on time, "
        + percent(result.late) + " late, " + percent(result.refused) + " refused, " + std::to_string(result.refusedAgain)
        + " refused again, " + std::to_string(result.held) + " held, " + std::to_string(result.wasted) + " ended after their time, value "
        + std::to_string(result.valueShare());
}

static SchedulingResult simulate(SchedulingPlan plan, OrderUnderTest order)
{
    plan.order = order;
    return simulateScheduling(plan);
}

/// Compares the decision with the baseline order; \p minGain is what the part of the value that callers get has to gain.
static void checkAgainstBaseline(const SchedulingPlan &plan, double minGain)
{
    const auto baseline = simulate(plan, OrderUnderTest::Baseline);
    const auto decision = simulate(plan, OrderUnderTest::Decision);
    for (const auto *const result : {&baseline, &decision}) {
        for (const auto &kind : result->kinds) {
            MESSAGE((result == &baseline ? "baseline " : "decision ") << describe(kind));
        }
        MESSAGE((result == &baseline ? "baseline " : "decision ") << describe(result->total));
    }
    CHECK(decision.total.valueShare() >= baseline.total.valueShare() + minGain);
    // Callers of which fewer are late are more often refused.
    CHECK(decision.total.refusedAgain <= baseline.total.refusedAgain + decision.total.requests / 20);
    CHECK(decision.total.wasted <= std::max(decision.total.requests / 100, baseline.total.wasted));
    CHECK(decision.total.held * 100 <= decision.total.requests);
}

// Load: 50% of the capacity without a burst.
TEST_CASE("where capacity suffices, callers get the same as with the order of arrival")
{
    for (auto *const kinds : {counterKinds, workshopKinds, coachKinds}) {
        const auto plan = planFor(kinds, 4, 1);
        const auto baseline = simulate(plan, OrderUnderTest::Baseline);
        const auto decision = simulate(plan, OrderUnderTest::Decision);
        CHECK(baseline.total.requests == decision.total.requests);
        CHECK(decision.total.onTime == decision.total.requests);
        CHECK(baseline.total.onTime == baseline.total.requests);
    }
}

// Load: all kinds at twice the capacity for 6 s.
TEST_CASE("in a burst of all kinds callers get more than with the order of arrival")
{
    checkAgainstBaseline(planFor(counterKinds, 4, 4), 0.05);
    checkAgainstBaseline(planFor(workshopKinds, 4, 4), 0.1);
    checkAgainstBaseline(planFor(coachKinds, 2, 4), 0.04);
}

// Load: one kind at six times its rate for 6 s.
TEST_CASE("in a burst of one kind callers get more than with the order of arrival")
{
    auto counter = planFor(counterKinds, 4, 1);
    counter.kinds[1].burstFactor = 6;
    checkAgainstBaseline(counter, 0.02);
    auto coach = planFor(coachKinds, 2, 1);
    coach.kinds[0].burstFactor = 8;
    checkAgainstBaseline(coach, 0.02);
}

// Load: all kinds at twice the capacity for 6 s; one of eleven organisations sends 60% of the requests.
TEST_CASE("a hot organisation does not keep the others from being served")
{
    auto plan = planFor(coachKinds, 2, 4);
    plan.hotOrganisation = 0.6;
    checkAgainstBaseline(plan, 0.02);
    const auto result = simulate(plan, OrderUnderTest::Decision);
    for (const auto &organisation : result.organisations) {
        CHECK(organisation.servedShare() >= 0.8 * result.total.servedShare());
    }
}

// Load: all kinds at twice the capacity for 6 s; callers do not wait after a refusal.
TEST_CASE("callers that return at once do not lower what callers get below the order of arrival")
{
    auto plan = planFor(counterKinds, 4, 4);
    plan.callersReturnAtOnce = true;
    checkAgainstBaseline(plan, 0.02);
}

// Load: twice the calm load for 6 s while half of the servers take three times as long.
TEST_CASE("while half of the servers are slow, callers get more than with the order of arrival")
{
    auto plan = planFor(counterKinds, 4, 2);
    plan.slowServers = 0.5;
    checkAgainstBaseline(plan, 0);
}

// Load: all kinds at one and a half times the capacity for 6 s; one of four hosts gets 70% of the callers.
TEST_CASE("a host with most of the callers uses the capacity that the others leave")
{
    auto plan = planFor(coachKinds, 2, 3);
    plan.firstHostShare = 0.7;
    checkAgainstBaseline(plan, 0.0);
}

/// Returns a plan with random kinds of load, burst, slow servers, uneven hosts and organisations.
static SchedulingPlan randomSchedulingPlan(std::uint64_t seed)
{
    SeededRandom random(seed ^ 0x9ce);
    auto *const kinds = std::array{counterKinds, workshopKinds, coachKinds}[random.below(3)];
    auto plan = planFor(kinds, random.below(2) == 0 ? 2 : 4, 1);
    plan.seed = seed;
    const auto factor = 2 + static_cast<double>(random.below(500)) / 100;
    const bool isOneKind = random.below(3) == 0;
    const auto burstKind = random.below(plan.kinds.size());
    for (std::size_t i = 0; i < plan.kinds.size(); ++i) {
        plan.kinds[i].burstFactor = isOneKind && i != burstKind ? 1 : factor;
    }
    plan.slowServers = random.below(3) == 0 ? 0.5 : 0;
    plan.hotOrganisation = random.below(3) == 0 ? 0.6 : 0;
    plan.firstHostShare = random.below(3) == 0 ? 0.6 : 0;
    plan.callersReturnAtOnce = random.below(4) == 0;
    plan.outstandingPerSlot = 1 + static_cast<std::uint32_t>(random.below(3));
    return plan;
}

/// Fewer requests do not show a share.
static constexpr unsigned MinRequests = 100;

/// Checks that no urgent kind is served less often, or with less of its value, than a less urgent one.
static void checkNoInversion(const SchedulingResult &result)
{
    for (std::size_t i = 0; i < result.kinds.size(); ++i) {
        for (std::size_t j = 0; j < result.kinds.size(); ++j) {
            const auto &urgent = result.kinds[i];
            const auto &other = result.kinds[j];
            if (urgent.priority >= other.priority || urgent.requests < MinRequests || other.requests < MinRequests) {
                continue;
            }
            CAPTURE(describe(urgent));
            CAPTURE(describe(other));
            CHECK(other.servedShare() - urgent.servedShare() <= 0.05);
            CHECK(other.valueShare() - urgent.valueShare() <= 0.15);
        }
    }
}

/// Returns the number of random plans, which SCHEDULING_PLANS sets.
static std::uint64_t configuredPlans()
{
    static constexpr std::uint64_t DefaultPlans = 16;
    const auto *const configured = std::getenv("SCHEDULING_PLANS");
    return configured != nullptr ? std::strtoull(configured, nullptr, 10) : DefaultPlans;
}

// Load: random plans, each with a burst that the capacity may not suffice for.
TEST_CASE("no kind or organisation is starved")
{
    const auto plans = configuredPlans();
    unsigned lowered = 0;
    for (std::uint64_t seed = 1; seed <= plans; ++seed) {
        const auto plan = randomSchedulingPlan(seed);
        const auto result = simulate(plan, OrderUnderTest::Decision);
        const auto baseline = simulate(plan, OrderUnderTest::Baseline);
        lowered += result.total.valueShare() < baseline.total.valueShare() - 0.02 ? 1 : 0;
        CAPTURE(seed);
        for (const auto *const group : {&result.kinds, &result.organisations}) {
            for (const auto &each : *group) {
                if (each.requests >= MinRequests) {
                    CAPTURE(describe(each));
                    CHECK(each.servedShare() >= 0.25 * result.total.servedShare());
                }
            }
        }
    }
    MESSAGE(lowered << " of " << plans << " plans give callers less than the order of arrival by over 2 in 100 of the value");
}

// Load: random plans, each with a burst that the capacity may not suffice for.
TEST_CASE("no urgent kind is served less often than a less urgent one")
{
    for (std::uint64_t seed = 1; seed <= configuredPlans(); ++seed) {
        CAPTURE(seed);
        checkNoInversion(simulate(randomSchedulingPlan(seed), OrderUnderTest::Decision));
    }
}
