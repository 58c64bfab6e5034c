#include "fleetfixture.h"

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::host;

TEST_CASE("a caller that leaves frees the backend server: guards against slots taken by requests that nobody waits for")
{
    auto &fleet = sharedFleet();
    REQUIRE(fleet.becomesReady());
    const auto owner = fleet.ownerOf("b3");
    REQUIRE(owner < Fleet::HostCount);
    // The backend server works for longer than the route allows, so only a cancellation ends the run as "cancelled".
    fleet.setRules({{{"kind", "slow"}, {"delayMs", 1200}}}, 3);
    for (std::size_t host = 0; host < Fleet::HostCount; ++host) {
        for (const std::string target : {"/solo-write", "/solo-read?ms=1"}) {
            CAPTURE(host);
            CAPTURE(target);
            const auto before = fleet.executions(3).size();
            const Headers headers = {{"X-Api-Key", Fleet::keyOf(host)}};
            const auto left = send(fleet.callerAddress(host), {"POST", target, headers, "x"}, [&fleet] {
                return fleet.backendState(3)["running"] == 1;
            });
            CHECK_FALSE(left.isWhole);
            CHECK(eventually([&fleet] {
                return fleet.backendState(3)["running"] == 0;
            }));
            const auto executions = fleet.executions(3);
            REQUIRE(executions.size() == before + 1);
            // The stand-in notes this outcome when the connection of the request is closed, so it cannot be reused.
            CHECK(executions.back()["outcome"] == "cancelled");
            CHECK(eventually([&fleet, owner] {
                const auto document = fleet.state(owner);
                for (const auto &server : document["servers"]) {
                    if (server["server"] == "b3") {
                        return server["running"] == 0;
                    }
                }
                return false;
            }));
            CHECK(eventually([&fleet, host] {
                return fleet.state(host)["requestsInProgress"] == 0;
            }));
        }
    }
    fleet.setRules(Json::array(), 3);
    fleet.takeHistory();
    const auto next = fleet.call(0, 0, {"POST", "/solo-write", {}, "x"});
    CHECK_MESSAGE(next.response.status == 200, next.reason());
    checkHistory(fleet.takeHistory());
}
