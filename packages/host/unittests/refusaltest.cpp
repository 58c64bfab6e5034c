#include "fleetfixture.h"

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::host;

TEST_CASE("each refusal has its status, reason and execution: guards against refusals that callers cannot act on")
{
    auto &fleet = sharedFleet();
    REQUIRE(fleet.becomesReady());
    struct Row
    {
        const char *reason;
        int status;
        const char *executed;
        bool hasRetryAfter;
        http::HttpRequest request;
        /// The fault of the only backend server.
        const char *fault;
    };
    const Headers key = {{"X-Api-Key", Fleet::keyOf(0)}};
    const Row rows[] = {
        {"missing_key", 401, "not_run", false, {"GET", "/read", {}, ""}, ""},
        {"unknown_key", 401, "not_run", false, {"GET", "/read", {{"X-Api-Key", "rt_no"}}, ""}, ""},
        {"ambiguous_key", 400, "not_run", false, {"GET", "/read?api_key=rt_no", key, ""}, ""},
        {"key_in_content", 400, "not_run", false, {"POST", "/read", key, Fleet::keyOf(0)}, ""},
        {"no_route", 404, "not_run", false, {"GET", "/nowhere", key, ""}, ""},
        {"no_route", 404, "not_run", false, {"DELETE", "/read", key, ""}, ""},
        {"body_too_large", 413, "not_run", false, {"POST", "/read", key, std::string(100'001, 'x')}, ""},
        {"server_failed", 502, "unknown", false, {"POST", "/solo-write", key, ""}, "reset-after"},
        {"incomplete_answer", 502, "unknown", false, {"POST", "/solo-write", key, ""}, "cut-short"},
        {"deadline_passed", 504, "unknown", false, {"POST", "/solo-write", key, ""}, "hang"},
    };
    for (const auto &row : rows) {
        const std::string reason = row.reason;
        CAPTURE(reason);
        const std::string fault = row.fault;
        fleet.setRules(fault.empty() ? Json::array() : Json::array({Json{{"kind", fault}}}), 3);
        const auto refused = send(fleet.callerAddress(0), row.request);
        CHECK(refused.response.status == row.status);
        CHECK(refused.reason() == reason);
        CHECK(refused.executed() == row.executed);
        CHECK(refused.header("Retry-After").empty() != row.hasRetryAfter);
        CHECK(refused.header("Content-Type") == "application/problem+json");
    }
    fleet.setRules(Json::array(), 3);
    fleet.setSlots(3, 0);
    const auto shed = send(fleet.callerAddress(0), {"POST", "/solo-write", key, ""});
    fleet.setSlots(3, 8);
    CHECK(shed.reason() == "server_shed");
    CHECK_FALSE(shed.header("Retry-After").empty());
    fleet.takeHistory();
}

TEST_CASE("malformed and ambiguous framing is refused: guards against requests that two parsers read differently")
{
    auto &fleet = sharedFleet();
    const std::string begin = "POST /read HTTP/1.1\r\nHost: service\r\nX-Api-Key: " + Fleet::keyOf(0) + "\r\n";
    for (const std::string &bytes : {std::string("no request\r\n\r\n"),
                                     begin + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
                                     begin + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}) {
        CAPTURE(bytes);
        const auto result = exchange(fleet.callerAddress(0), bytes);
        CHECK(result.wasConnected);
        CHECK((!result.isWhole || result.response.status == 400));
    }
    CHECK(fleet.takeHistory().executions.empty());
}

TEST_CASE("the operator port refuses without the credential: guards against strangers who read the state or stop a host")
{
    auto &fleet = sharedFleet();
    for (const std::string target : {"/health", "/metrics", "/state"}) {
        CHECK(send(fleet.operatorAddress(0), {"GET", target, {}, ""}).response.status == 401);
        const Headers wrong = {{"Authorization", "Bearer wrong"}};
        CHECK(send(fleet.operatorAddress(0), {"GET", target, wrong, ""}).response.status == 401);
    }
    CHECK(send(fleet.operatorAddress(0), {"POST", "/drain", {}, ""}).response.status == 401);
    CHECK(send(fleet.operatorAddress(0), {"POST", "/faults/links", {}, R"({"peer":"h1"})"}).response.status == 401);
    CHECK(fleet.state(0)["phase"] == "serving");
}

TEST_CASE("address answers leave out a withdrawn failure domain: guards against callers sent to hosts that lose power (I7)")
{
    auto &fleet = sharedFleet();
    REQUIRE(fleet.becomesReady());
    const auto home = fleet.homeOf(0);
    const auto address = fleet.callerAddress(home).text();
    const FailureDomainId domain("d" + std::to_string(home));
    const auto isNamed = [&](std::size_t host) {
        const auto answer
            = send(fleet.callerAddress(host), {"GET", "/.well-known/rhubarbtiller/addresses", {{"X-Api-Key", Fleet::keyOf(0)}}, ""});
        CHECK(answer.response.status == 200);
        return answer.response.body.find("\"" + address + "\"") != std::string::npos;
    };
    REQUIRE(fleet.change({config::PutRow{config::DomainWithdrawal{domain, "test"}}}));
    for (std::size_t host = 0; host < Fleet::HostCount; ++host) {
        CHECK_FALSE(isNamed(host));
    }
    REQUIRE(fleet.change({config::DeleteRow{config::Table::DomainWithdrawals, domain.text()}}));
    for (std::size_t host = 0; host < Fleet::HostCount; ++host) {
        CHECK(isNamed(host));
    }
}
