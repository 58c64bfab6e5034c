#include "gatewaystatus.h"

#include <rhubarbtiller/operatorclient/commands.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <sstream>

using namespace rhubarbtiller;
using namespace rhubarbtiller::operatorclient;
using nlohmann::json;

static json statePage()
{
    return json::parse(R"({"host":"edge-a-1","failureDomain":"a","role":"entry","isReady":true,"requestsInProgress":3,
        "configuration":{"version":16},"storeContactAgeMs":null,"hosts":{"livingPeers":5},
        "backendServers":[{"id":"i-1","service":"forecast","failureProbability":0.69,"connectFailures":0},
                          {"id":"i-2","service":"forecast","failureProbability":0.02,"connectFailures":0},
                          {"id":"i-3","service":"forecast","isDraining":true}]})");
}

TEST_CASE("the status of a gateway fleet lists its hosts and the servers that they distrust")
{
    std::ostringstream output;
    printGatewayStatus(
        json::array({{{"address", "10.0.0.1:8683"}, {"state", statePage()}}, {{"address", "10.0.0.2:8683"}, {"error", "timeout"}}}),
        output);
    const auto text = output.str();
    CHECK(text.find("edge-a-1") != std::string::npos);
    CHECK(text.find("i-1 of forecast: fails 69 of 100 requests") != std::string::npos);
    CHECK(text.find("i-2") == std::string::npos);
    CHECK(text.find("i-3 of forecast: draining") != std::string::npos);
    CHECK(text.find("10.0.0.2:8683") != std::string::npos);
    CHECK(text.find("no answer: timeout") != std::string::npos);
}

TEST_CASE("the command asks each address, and fails if none answers")
{
    std::vector<std::string> asked;
    const auto run = [&asked](bool answers) {
        asked.clear();
        std::ostringstream output;
        std::ostringstream errors;
        return runCommand(
            {"gateway-status", "10.0.0.1:1,10.0.0.2:1"},
            {},
            [] {
                return nullptr;
            },
            [&](const Endpoint &address) -> Result<std::string> {
                asked.push_back(address.text());
                if (!answers) {
                    return std::make_error_code(std::errc::timed_out);
                }
                return statePage().dump();
            },
            {},
            output,
            errors);
    };
    CHECK(run(true) == ExitCode::Success);
    CHECK(asked == std::vector<std::string>{"10.0.0.1:1", "10.0.0.2:1"});
    CHECK(run(false) == ExitCode::NotFound);
}
