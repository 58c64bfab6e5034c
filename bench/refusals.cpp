#include "refusals.h"

#include "fleetsimulation.h"

#include <cstdio>

namespace rhubarbtiller::bench {

using namespace std::chrono_literals;
using limits::FleetOptions;
using limits::FleetOutcome;

static constexpr double LargeRate = 200;
static constexpr double SmallRate = 20;
static constexpr std::uint64_t FirstSeed = 1;
static constexpr std::uint64_t LastSeed = 3;

namespace {

struct Refused
{
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;

    double percent() const
    {
        return this->offered == 0 ? 0 : 100.0 * static_cast<double>(this->refused) / static_cast<double>(this->offered);
    }
};

struct Outcome
{
    Refused large;
    Refused small;
    Refused greedy;
    /// The organisation with the largest refused part, the greedy one left out.
    double worstPercent = 0;
};

struct Variant
{
    std::string name;
    limits::Policy policy = limits::Policy::RateShares;
    std::size_t entryHosts = 0;
    /// Pauses, restarts and changes of holder, relative to one each 15, 20 and 2 s; 0 for none.
    double disturbance = 0;
    /// Bursts are raised to one whole token for each host, which exceeds the burst of the small organisations in sum.
    bool hasWholeTokens = false;
};

} // namespace

/// Eight organisations: three large and five small ones, each at 80% of its rate; the greedy one sends five times its rate.
static FleetOptions optionsOf(const Variant &variant, bool hasGreedy, std::uint64_t seed)
{
    FleetOptions options;
    options.seed = seed;
    options.policy = variant.policy;
    options.hosts = HostCount;
    options.shards = 64;
    options.duration = 30s;
    options.warmUp = 10s;
    options.isFaulty = variant.disturbance > 0;
    options.disturbance = variant.disturbance;
    options.lost = 0.001;
    options.duplicated = 0.001;
    options.notRun = 0;
    options.steered = variant.policy == limits::Policy::RateShares ? 1 : 0;
    options.entryHosts = variant.entryHosts;
    for (std::size_t i = 0; i < OrganisationCount; ++i) {
        const bool isLarge = i < 3;
        const double rate = isLarge ? LargeRate : SmallRate;
        const double offered = hasGreedy && i == 0 ? 5 * rate : 0.8 * rate;
        const double burst = variant.hasWholeTokens ? std::max(rate, static_cast<double>(HostCount)) : rate;
        options.organisations.push_back(
            {(isLarge ? "large" : "small") + std::to_string(i), {RequestRate(rate), RequestCount(burst)}, 1, offered});
    }
    return options;
}

static Outcome play(const Variant &variant, bool hasGreedy)
{
    Outcome outcome;
    std::vector<Refused> each(OrganisationCount);
    for (std::uint64_t seed = FirstSeed; seed <= LastSeed; ++seed) {
        const FleetOutcome fleet = runFleet(optionsOf(variant, hasGreedy, seed));
        for (std::size_t i = 0; i < OrganisationCount; ++i) {
            each[i].offered += fleet.organisations[i].offered;
            each[i].refused += fleet.organisations[i].refused;
        }
    }
    for (std::size_t i = 0; i < OrganisationCount; ++i) {
        const bool isGreedy = hasGreedy && i == 0;
        Refused &sum = isGreedy ? outcome.greedy : i < 3 ? outcome.large : outcome.small;
        sum.offered += each[i].offered;
        sum.refused += each[i].refused;
        if (!isGreedy) {
            outcome.worstPercent = std::max(outcome.worstPercent, each[i].percent());
        }
    }
    return outcome;
}

nlohmann::json measureRefusals()
{
    const std::vector<Variant> variants = {
        {"rate shares", limits::Policy::RateShares, 0, 0, false},
        {"rate shares, rare faults", limits::Policy::RateShares, 0, 0.05, false},
        {"even division, all hosts", limits::Policy::EvenDivision, 0, 0, false},
        {"even division, all, burst >= 1", limits::Policy::EvenDivision, 0, 0, true},
        {"even division, 3 entry hosts", limits::Policy::EvenDivision, 3, 0, false},
        {"even division, 3, burst >= 1", limits::Policy::EvenDivision, 3, 0, true},
    };
    nlohmann::json result;
    std::printf("\nboth deployments: percent refused inside the rate (3 large of %.0f/s, 5 small of %.0f/s, each offers 80%%)\n",
                LargeRate,
                SmallRate);
    std::printf("%-32s %-14s %8s %8s %8s %8s\n", "", "", "large", "small", "worst", "greedy");
    for (const Variant &variant : variants) {
        for (const bool hasGreedy : {false, true}) {
            const Outcome outcome = play(variant, hasGreedy);
            const char *company = hasGreedy ? "beside greedy" : "alone";
            std::printf("%-32s %-14s %8.2f %8.2f %8.2f %8.2f\n",
                        variant.name.c_str(),
                        company,
                        outcome.large.percent(),
                        outcome.small.percent(),
                        outcome.worstPercent,
                        outcome.greedy.percent());
            result[variant.name][company] = {{"largePercent", outcome.large.percent()},
                                             {"smallPercent", outcome.small.percent()},
                                             {"worstPercent", outcome.worstPercent},
                                             {"greedyPercent", outcome.greedy.percent()}};
        }
    }
    std::fflush(stdout);
    return result;
}

} // namespace rhubarbtiller::bench
