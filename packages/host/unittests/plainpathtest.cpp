#include "fleetfixture.h"

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::host;
using namespace rhubarbtiller::testing;

TEST_CASE("a request runs only with a granted key: guards against I2 broken by a wrong, missing or mixed key")
{
    auto &fleet = sharedFleet();
    const auto entry = fleet.callerAddress(0);
    CHECK(send(entry, {"GET", "/read", {}, ""}).reason() == "missing_key");
    CHECK(send(entry, {"GET", "/read", {{"X-Api-Key", "rt_wrong"}}, ""}).reason() == "unknown_key");
    CHECK(send(entry, {"GET", "/read?api_key=rt_wrong", {}, ""}).reason() == "unknown_key");
    // Two keys leave open for whom the request should run.
    const Headers both = {{"X-Api-Key", Fleet::keyOf(0)}, {"Authorization", "Bearer " + Fleet::keyOf(1)}};
    CHECK(send(entry, {"GET", "/read", both, ""}).reason() == "ambiguous_key");
    // Callers cannot name their organisation themselves.
    const Headers forged = {{"X-Api-Key", "rt_wrong"}, {"Rhubarbtiller-Organisation", "o1"}};
    CHECK(send(entry, {"GET", "/read", forged, ""}).reason() == "unknown_key");
    const auto history = fleet.takeHistory();
    CHECK(history.executions.empty());
}

TEST_CASE("no backend server and no span sees a key: guards against I3 broken by one of the places a key can stand in")
{
    auto &fleet = sharedFleet();
    const auto key = Fleet::keyOf(2);
    const std::vector<std::pair<std::string, Headers>> forms = {
        {"/read/lower", {{"x-api-key", key}}},
        {"/read/upper", {{"X-API-KEY", key}}},
        {"/read/bearer", {{"aUTHORIZATION", "bEARER " + key}}},
        {"/read/twice", {{"X-Api-Key", key}, {"x-api-key", key}, {"Authorization", "Bearer " + key}}},
        {"/read/query?a=1&api_key=" + key + "&b=2", {}},
        {"/read/copied", {{"X-Api-Key", key}, {"X-Debug", "was " + key}, {"Cookie", "k=" + key}}},
        {"/open/given", {{"X-Api-Key", key}}},
    };
    for (std::size_t host = 0; host < Fleet::HostCount; ++host) {
        for (const auto &[target, headers] : forms) {
            const auto result = send(fleet.callerAddress(host), {"GET", target, headers, ""});
            CHECK_MESSAGE(result.response.status == 200, target, " ", result.reason());
            CHECK(result.response.body.find(key) == std::string::npos);
        }
        const Headers headers = {{"X-Api-Key", key}};
        CHECK(send(fleet.callerAddress(host), {"GET", "/read/" + key, headers, ""}).reason() == "key_in_content");
        CHECK(send(fleet.callerAddress(host), {"POST", "/read", headers, "k=" + key}).reason() == "key_in_content");
        CHECK(send(fleet.callerAddress(host), {"GET", "/read?copy=" + key, headers, ""}).reason() == "key_in_content");
    }
    std::size_t runs = 0;
    for (std::size_t server = 0; server < Fleet::ServerCount; ++server) {
        const auto executions = fleet.executions(server);
        runs += executions.size();
        CHECK(executions.dump().find(key) == std::string::npos);
        for (const auto &execution : executions) {
            CHECK_FALSE(execution["containsSecret"].get<bool>());
        }
    }
    CHECK(runs == forms.size() * Fleet::HostCount);
    CHECK(eventually([&fleet] {
        return fleet.spanText().find("\"backend\"") != std::string::npos;
    }));
    CHECK(fleet.spanText().find(key) == std::string::npos);
    fleet.takeHistory();
}

TEST_CASE("each caller gets its own answer under concurrent load: guards against I8 broken by mixed-up responses")
{
    auto &fleet = sharedFleet();
    std::vector<std::thread> callers;
    for (std::size_t caller = 0; caller < 12; ++caller) {
        callers.emplace_back([&fleet, caller] {
            for (std::size_t number = 0; number < 15; ++number) {
                const std::string target
                    = (number % 3 == 0 ? "/write/" : "/read/") + std::to_string(caller) + "?bytes=" + std::to_string(number * 997);
                fleet.call((caller + number) % Fleet::HostCount, caller % Fleet::OrganisationCount, {"POST", target, {}, "body " + target});
            }
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    const auto history = fleet.takeHistory();
    checkHistory(history);
    CHECK(history.calls.size() == 180);
    CHECK(history.answers.size() == 180);
}

TEST_CASE("an idempotent request is repeated on another server: guards against a lost answer that a second attempt would bring")
{
    auto &fleet = sharedFleet();
    for (const std::string kind : {"reset-before", "reset-after", "cut-short", "crossed", "hang", "fail"}) {
        CAPTURE(kind);
        fleet.setRules({{{"kind", kind}, {"times", 1}}}, 0);
        // The struck server takes the first request that it is chosen for; with three servers that takes a few calls.
        for (std::size_t number = 0; number < 30; ++number) {
            const auto result = fleet.call(number % Fleet::HostCount, number % Fleet::OrganisationCount, {"GET", "/read", {}, ""});
            CHECK_MESSAGE(result.response.status == 200, result.reason());
        }
        fleet.setRules(Json::array(), 0);
    }
    checkHistory(fleet.takeHistory());
}

TEST_CASE("a failing backend server leaves callers with their whole answer or a visible failure: guards against I8, I9 and I10 broken by a "
          "gray failure")
{
    auto &fleet = sharedFleet();
    struct Mode
    {
        const char *kind;
        /// Whether a caller without a second server must not get an answer.
        bool leavesNoAnswer;
    };
    const Mode modes[] = {
        {"cut-short", true},
        {"crossed", true},
        {"reset-before", true},
        {"reset-after", true},
        {"hang", true},
        {"trailing-bytes", false},
        {"late-answer", true},
        {"unsolicited", false},
    };
    for (const auto &mode : modes) {
        const std::string kind = mode.kind;
        CAPTURE(kind);
        // A late answer comes after the time limit; an answer that nobody asked for should meet the next request.
        const Json rules = {{{"kind", kind}, {"delayMs", kind == "late-answer" ? 3000 : 1}}};
        // One struck server of three; the retry budget need not suffice for all callers.
        for (std::size_t server = 0; server < 3; ++server) {
            fleet.setRules(rules, server);
            std::vector<std::future<Exchange>> reads;
            for (std::size_t number = 0; number < 6; ++number) {
                reads.push_back(fleet.callLater(number % Fleet::HostCount, number, {"GET", "/read", {}, ""}));
            }
            for (auto &read : reads) {
                CHECK(read.get().isWhole);
            }
            fleet.setRules(Json::array(), server);
        }
        // The only server is struck: a request that is not idempotent fails visibly and is not repeated.
        fleet.setRules(rules, 3);
        std::vector<std::future<Exchange>> writes;
        for (std::size_t number = 0; number < 3; ++number) {
            writes.push_back(fleet.callLater(number, number, {"POST", "/solo-write", {}, "x"}));
        }
        for (auto &write : writes) {
            const auto result = write.get();
            CHECK(result.isWhole);
            if (mode.leavesNoAnswer) {
                CHECK(result.response.status >= 500);
                CHECK(result.executed() == "unknown");
            }
        }
        fleet.setRules(Json::array(), 3);
        checkHistory(fleet.takeHistory());
    }
}

TEST_CASE("a shed request is reported as not run or runs elsewhere: guards against I9 broken by a 503 with X-Not-Run")
{
    auto &fleet = sharedFleet();
    const auto slots = [&fleet](std::size_t server, int count) {
        fleet.setSlots(server, count);
    };
    slots(3, 0);
    const auto refused = fleet.call(0, 0, {"POST", "/solo-write", {}, "x"});
    CHECK(refused.response.status == 503);
    CHECK(refused.executed() == "not_run");
    CHECK(refused.reason() == "server_shed");
    slots(3, 8);
    // "Not run" allows another attempt also for a request that is not idempotent.
    slots(0, 0);
    for (std::size_t number = 0; number < 9; ++number) {
        const auto answered = fleet.call(number % Fleet::HostCount, number % Fleet::OrganisationCount, {"POST", "/write", {}, "x"});
        CHECK(answered.response.status == 200);
    }
    slots(0, 8);
    checkHistory(fleet.takeHistory());
}
