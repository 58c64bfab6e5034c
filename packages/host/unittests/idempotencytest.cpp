#include "fleetfixture.h"

#include <doctest/doctest.h>

using namespace rhubarbtiller::host;

TEST_CASE("an idempotency key through two hosts at once runs once: guards against I10 broken by a race of claims")
{
    auto &fleet = sharedFleet();
    REQUIRE(fleet.becomesReady());
    for (std::size_t round = 0; round < 12; ++round) {
        const auto key = "same-" + std::to_string(round);
        auto first = fleet.callLater(round % Fleet::HostCount, 0, {"POST", "/write", {}, "x"}, key);
        auto second = fleet.callLater((round + 1) % Fleet::HostCount, 0, {"POST", "/write", {}, "x"}, key);
        const auto results = {first.get(), second.get()};
        int answered = 0;
        for (const auto &result : results) {
            if (result.response.status == 200) {
                ++answered;
                continue;
            }
            CHECK(result.response.status == 409);
            CHECK(result.reason() == "duplicate_request");
            CHECK(result.executed() == "not_run");
        }
        CHECK(answered == 1);
    }
    // Keys of different organisations do not meet.
    CHECK(fleet.call(0, 1, {"POST", "/write", {}, "x"}, "same-0").response.status == 200);
    checkHistory(fleet.takeHistory());
}

TEST_CASE("a keyed request is refused while the store is down: guards against I10 broken by a run without a claim")
{
    auto &fleet = sharedFleet();
    REQUIRE(fleet.becomesReady());
    for (const std::string outage : {"refuse", "reset", "silent"}) {
        CAPTURE(outage);
        fleet.setFaults({{"service", "table"}, {"outage", outage}});
        const auto refused = fleet.call(0, 0, {"POST", "/write", {}, "x"}, "down-" + outage);
        const auto unkeyed = fleet.call(0, 0, {"POST", "/write", {}, "x"});
        fleet.setFaults({{"service", "table"}, {"outage", "none"}});
        CHECK(refused.response.status == 503);
        CHECK(refused.executed() == "not_run");
        CHECK(refused.reason() == "store_unavailable");
        CHECK_FALSE(refused.header("Retry-After").empty());
        CHECK_MESSAGE(unkeyed.response.status == 200, unkeyed.reason());
        // The refusal promised that nothing ran, so the same key must work again.
        CHECK(eventually([&] {
            return fleet.call(1, 0, {"POST", "/write", {}, "x"}, "down-" + outage).response.status == 200;
        }));
    }
    checkHistory(fleet.takeHistory());
}

TEST_CASE("a claim whose answer is lost or late does not let a request run twice: guards against I10 broken by an unknown write")
{
    auto &fleet = sharedFleet();
    REQUIRE(fleet.becomesReady());
    fleet.setFaults({{"service", "table"}, {"loseNextWriteAnswers", 1}});
    const auto claimed = fleet.call(0, 0, {"POST", "/write", {}, "x"}, "lost");
    CHECK_MESSAGE(claimed.response.status == 200, claimed.reason());
    const auto repeated = fleet.call(1, 0, {"POST", "/write", {}, "x"}, "lost");
    CHECK(repeated.reason() == "duplicate_request");
    CHECK(repeated.executed() == "not_run");

    // The write takes effect after the host has given up on it.
    fleet.setFaults({{"service", "table"}, {"lateNextWrites", 1}, {"lateMs", 1200}});
    const auto late = fleet.call(0, 0, {"POST", "/write", {}, "x"}, "late");
    CHECK(late.isWhole);
    const auto again = fleet.call(1, 0, {"POST", "/write", {}, "x"}, "late");
    CHECK(again.isWhole);
    checkHistory(fleet.takeHistory());
}
