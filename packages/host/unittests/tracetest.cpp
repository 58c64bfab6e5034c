#include "fleetfixture.h"

#include <doctest/doctest.h>

#include <map>
#include <sstream>

using namespace rhubarbtiller;
using namespace rhubarbtiller::host;

static std::map<std::string, Json> spansOf(const Fleet &fleet, const std::string &traceId)
{
    std::map<std::string, Json> spans;
    std::istringstream lines(fleet.spanText());
    for (std::string line; std::getline(lines, line);) {
        const auto span = Json::parse(line, nullptr, false);
        if (span.is_object() && span["traceId"] == traceId) {
            spans[span["spanId"].get<std::string>()] = span;
        }
    }
    return spans;
}

TEST_CASE("a trace links the caller, every hop and the backend server: guards against spans whose parent is missing")
{
    auto &fleet = sharedFleet();
    REQUIRE(fleet.becomesReady());
    const std::string callerSpan = "00f067aa0ba902b7";
    const auto owner = fleet.ownerOf("b3");
    int number = 0;
    for (std::size_t host = 0; host < Fleet::HostCount; ++host) {
        for (std::size_t organisation = 0; organisation < Fleet::OrganisationCount; ++organisation) {
            const auto digits = std::to_string(++number);
            const auto traceId = "4bf92f3577b34da6a3ce929d0e0e" + std::string(4 - digits.size(), '0') + digits;
            const auto home = fleet.homeOf(organisation);
            CAPTURE(host);
            CAPTURE(home);
            CAPTURE(owner);
            const Headers headers = {{"traceparent", "00-" + traceId + "-" + callerSpan + "-01"}};
            REQUIRE(fleet.call(host, organisation, {"GET", "/solo-read", headers, ""}).response.status == 200);
            // One span for the entry, one for each forward, one for the backend server.
            const std::size_t hops = 2 + (home == host ? 0 : 1) + (owner == home ? 0 : 1);
            REQUIRE(eventually([&] {
                return spansOf(fleet, traceId).size() == hops;
            }));
            const auto spans = spansOf(fleet, traceId);
            const std::string sent = fleet.executions(3).back()["traceParent"];
            REQUIRE(sent.size() == 55);
            CHECK(sent.substr(3, 32) == traceId);
            // The chain of parents leads from what the backend server received to the caller through all spans.
            auto id = sent.substr(36, 16);
            std::size_t length = 0;
            while (spans.contains(id) && length <= hops) {
                id = spans.at(id).value("parentSpanId", "");
                ++length;
            }
            CHECK(length == hops);
            CHECK(id == callerSpan);
        }
    }
    checkHistory(fleet.takeHistory());
}
