// The figures are the same in every build and the runs are long, so sanitizer builds leave them out; nothing is asserted here.
#if !defined(__SANITIZE_THREAD__) && !defined(__SANITIZE_ADDRESS__)

#include "fleetsimulation.h"

#include <rhubarbtiller/limits/overload.h>

#include <doctest/doctest.h>

#include <cstdio>
#include <map>
#include <random>

using namespace rhubarbtiller;
using namespace rhubarbtiller::limits;
using namespace std::chrono_literals;

static constexpr std::size_t Copies = 8;

// Sums up the organisations whose names begin with the prefix.
static double percentRefused(const FleetOptions &options, const FleetOutcome &outcome, const std::string &prefix)
{
    std::uint64_t offered = 0;
    std::uint64_t refused = 0;
    for (std::size_t i = 0; i < options.organisations.size(); ++i) {
        if (options.organisations[i].name.starts_with(prefix)) {
            offered += outcome.organisations[i].offered;
            refused += outcome.organisations[i].refused;
        }
    }
    return offered == 0 ? 0 : 100.0 * static_cast<double>(refused) / static_cast<double>(offered);
}

static void measureFleet(const char *name, FleetOptions options, bool hasGreedy)
{
    options.seed = 1;
    options.hosts = 44;
    options.shards = 64;
    options.duration = 20s;
    options.warmUp = 10s;
    options.lost = 0.001;
    options.duplicated = 0.001;
    options.notRun = 0;
    for (std::size_t i = 0; i < Copies; ++i) {
        options.organisations.push_back({"small" + std::to_string(i), {RequestRate(5), RequestCount(10)}, 1, 4});
        options.organisations.push_back({"medium" + std::to_string(i), {RequestRate(50), RequestCount(50)}, 1, 45});
    }
    options.organisations.push_back({"large", {RequestRate(1000), RequestCount(1000)}, 2, 900});
    options.organisations.push_back({"greedy", {RequestRate(50), RequestCount(50)}, 1, hasGreedy ? 500.0 : 0.0});
    const FleetOutcome outcome = runFleet(options);
    std::printf("%-36s %-14s small %6.2f%%  medium %6.2f%%  large %6.2f%%  (%llu pauses, %llu restarts, %llu holder changes)\n",
                name,
                hasGreedy ? "beside greedy" : "alone",
                percentRefused(options, outcome, "small"),
                percentRefused(options, outcome, "medium"),
                percentRefused(options, outcome, "large"),
                static_cast<unsigned long long>(outcome.pauses),
                static_cast<unsigned long long>(outcome.restarts),
                static_cast<unsigned long long>(outcome.holderChanges));
}

// Prints what organisations inside their rates are refused; guards against a change that nobody notices in these figures.
TEST_CASE("refusals inside the rate, 44 hosts")
{
    std::printf("refused inside the rate (rates 5, 50, 1000/s; offered 80%%, 90%%, 90%%; 44 hosts, 10 s measured)\n");
    for (const bool hasGreedy : {false, true}) {
        FleetOptions even;
        even.policy = Policy::EvenDivision;
        even.isFaulty = false;
        measureFleet("even division, callers on all hosts", even, hasGreedy);
        even.entryHosts = 3;
        measureFleet("even division, callers on 3 hosts", even, hasGreedy);
        FleetOptions shares;
        shares.steered = 1;
        shares.isFaulty = false;
        measureFleet("rate shares", shares, hasGreedy);
        shares.isFaulty = true;
        shares.disturbance = 0.05;
        measureFleet("rate shares, faults", shares, hasGreedy);
        shares.disturbance = 0.5;
        measureFleet("rate shares, ten times the faults", shares, hasGreedy);
    }
}

static void measureOverload(const char *name, double busyShare, double greedyRate)
{
    OverloadSettings settings;
    settings.maxConcurrent = 64;
    settings.busyShare = busyShare;
    OverloadControl control(settings);
    std::mt19937_64 engine(1);
    const double offered[] = {200, greedyRate};
    const OrganisationId organisations[] = {OrganisationId("modest"), OrganisationId("greedy")};
    std::uint64_t sent[] = {0, 0};
    std::uint64_t refused[] = {0, 0};
    std::multimap<int, OverloadPermit> ends;
    for (int millisecond = 0; millisecond < 30000; ++millisecond) {
        ends.erase(ends.begin(), ends.upper_bound(millisecond));
        for (std::size_t i = 0; i < 2; ++i) {
            if (offered[i] <= 0) {
                continue;
            }
            for (int k = std::poisson_distribution<int>(offered[i] / 1000)(engine); k > 0; --k) {
                ++sent[i];
                auto permit = control.enter(organisations[i]);
                if (!permit) {
                    ++refused[i];
                    continue;
                }
                ends.emplace(millisecond + 1 + static_cast<int>(std::exponential_distribution<double>(1.0 / 50)(engine)),
                             std::move(*permit));
            }
        }
    }
    std::printf("%-52s modest %6.2f%%  greedy %6.2f%%\n",
                name,
                100.0 * static_cast<double>(refused[0]) / static_cast<double>(sent[0]),
                sent[1] == 0 ? 0.0 : 100.0 * static_cast<double>(refused[1]) / static_cast<double>(sent[1]));
}

// Prints what a modest organisation is refused on an overloaded host; guards against a change that nobody notices in these figures.
TEST_CASE("refusals on an overloaded host")
{
    std::printf("refused by overload control (64 concurrent, 50 ms each; modest sends 200/s, greedy 5000/s)\n");
    measureOverload("fair, alone", 0.75, 0);
    measureOverload("fair, beside greedy", 0.75, 5000);
    measureOverload("plain limit (baseline), beside greedy", 2, 5000);
}

#endif
