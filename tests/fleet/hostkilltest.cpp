#include "fleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <iostream>

using namespace rhubarbtiller;
using namespace rhubarbtiller::fleettests;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a request that runs twice, or runs after "not run" was said, because an entry host, a home or the owner of
// a server ended in the middle of it.
TEST_CASE("hosts that are killed make no request run twice or after a refusal (I9 I10)")
{
    const auto seed = runSeed("killed hosts");
    Fleet fleet(seed);
    const auto keys = fleet.configure(
        {{OrganisationId("harbour"), KeyName("harbour-1"), ""}, {OrganisationId("market"), KeyName("market-1"), ""}}, 2000, 400);
    fleet.watchVersions();

    std::vector<std::unique_ptr<Callers>> all;
    for (const auto &key : keys) {
        for (const char *path : {"/seats/holds?ms=20", "/fees/payments?ms=20"}) {
            CallerOptions options;
            options.key = key;
            options.method = "POST";
            options.path = path;
            options.isIdempotent = false;
            options.threads = 5;
            all.push_back(std::make_unique<Callers>(fleet, options));
        }
    }
    const auto answered = [&all] {
        std::uint64_t sum = 0;
        for (const auto &callers : all) {
            sum += callers->answered();
        }
        return sum;
    };
    const auto waitForAnswers = [&answered](std::uint64_t count, milliseconds bound) {
        const auto wanted = answered() + count;
        return waitUntil(bound, [&] {
            return answered() >= wanted;
        });
    };

    std::mt19937_64 random(seed);
    static constexpr int Rounds = 4;
    for (int round = 0; round < Rounds; ++round) {
        // At least two of three guardians stay, so that the shards have owners again after the lease of 3 s.
        REQUIRE(waitForAnswers(100 + random() % 200, seconds(10)));
        const int number = 1 + static_cast<int>(random() % Fleet::HostCount);
        fleet.host(number).signal(SIGKILL);
        fleet.host(number).wait();
        REQUIRE(waitForAnswers(50 + random() % 200, seconds(10)));
        fleet.startHost(number);
        std::cout << "h" << number << " killed and started" << std::endl;
    }
    CHECK(waitForAnswers(200, seconds(10)));
    for (auto &callers : all) {
        callers->stop();
    }
    const auto history = fleet.finish();
    CHECK(fleet.isClean(history, checkAll(history)));
}
