#include "fleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <iostream>

using namespace rhubarbtiller;
using namespace rhubarbtiller::fleettests;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an organisation that gets more than its rate and burst over all hosts together, while a home ends and
// another one is paused beyond its lease and continues.
TEST_CASE("an organisation gets no more than its rate over all hosts (I5)")
{
    static constexpr double Rate = 100;
    static constexpr double Burst = 40;
    const auto seed = runSeed("rate");
    Fleet fleet(seed);
    const auto acceptedAt = std::chrono::system_clock::now();
    const auto keys = fleet.configure({{OrganisationId("harbour"), KeyName("harbour-1"), ""}}, Rate, Burst);
    fleet.recorder.record(testing::RateRecord{keys[0].organisation, RequestRate(Rate), RequestCount(Burst), acceptedAt});

    std::vector<std::unique_ptr<Callers>> onEachHost;
    for (int number = 1; number <= Fleet::HostCount; ++number) {
        CallerOptions options;
        options.key = keys[0];
        options.onlyHost = number;
        options.threads = 3;
        options.timeout = seconds(20);
        onEachHost.push_back(std::make_unique<Callers>(fleet, options));
    }
    const auto waitForAnswers = [&onEachHost](std::uint64_t count) {
        const auto answered = [&onEachHost] {
            std::uint64_t sum = 0;
            for (const auto &callers : onEachHost) {
                sum += callers->answered();
            }
            return sum;
        };
        const auto wanted = answered() + count;
        return waitUntil(seconds(10), [&] {
            return answered() >= wanted;
        });
    };
    REQUIRE(waitForAnswers(200));
    std::mt19937_64 random(seed);
    const int frozen = 1 + static_cast<int>(random() % Fleet::HostCount);
    const int killed = 1 + (frozen + static_cast<int>(random() % (Fleet::HostCount - 1))) % Fleet::HostCount;
    fleet.host(frozen).signal(SIGSTOP);
    const auto frozenAt = std::chrono::system_clock::now();
    fleet.host(killed).signal(SIGKILL);
    fleet.host(killed).wait();
    // Longer than the lease of 3 s, so that the frozen host's shards have other homes when it continues.
    CHECK(waitUntil(seconds(6), [&] {
        return std::chrono::system_clock::now() > frozenAt + milliseconds(4500);
    }));
    fleet.host(frozen).signal(SIGCONT);
    fleet.startHost(killed);
    CHECK(waitForAnswers(200));
    for (auto &callers : onEachHost) {
        callers->stop();
    }
    const auto history = fleet.finish();
    // How far above the rate, so that a red run tells a delay of some milliseconds from a second bucket.
    testing::CheckBounds bounds;
    while (!checkRate(history, bounds).empty()) {
        bounds.rateTolerance += 1;
    }
    std::cout << "frozen h" << frozen << ", killed h" << killed << ", calls above rate and burst: " << bounds.rateTolerance << std::endl;
    CHECK(fleet.isClean(history, checkAll(history)));
}
