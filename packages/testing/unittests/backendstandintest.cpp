#include "loopbackclient.h"

#include <rhubarbtiller/testing/backendstandin.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace rhubarbtiller;
using namespace rhubarbtiller::testing;
using Json = nlohmann::json;

namespace {

struct Fixture
{
    explicit Fixture(BackendSettings settings = warm()) : standin(context, std::move(settings))
    {
        this->standin.start(Endpoint("127.0.0.1:0"));
    }

    static BackendSettings warm()
    {
        BackendSettings settings;
        settings.warmUpTime = std::chrono::milliseconds(0);
        settings.serviceTime = std::chrono::milliseconds(1);
        return settings;
    }

    /// Makes a connection that is closed at the end of the test, before the context.
    LoopbackClient &connect()
    {
        this->clients.push_back(std::make_unique<LoopbackClient>(this->context, this->standin.boundAddress()));
        return *this->clients.back();
    }

    Json executions()
    {
        return body(this->connect().call("GET", "/control/executions"));
    }

    void setRule(const std::string &rule)
    {
        const auto response = this->connect().call("POST", "/control/rules", "", R"({"rules":[)" + rule + "]}");
        REQUIRE(response.find("200 OK") != std::string::npos);
    }

    void set(const std::string &settings)
    {
        REQUIRE(this->connect().call("POST", "/control/settings", "", settings).find("200 OK") != std::string::npos);
    }

    static Json body(const std::string &response)
    {
        return Json::parse(response.substr(response.find("\r\n\r\n") + 4));
    }

    static int status(const std::string &response)
    {
        return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
    }

    asio::io_context context{1};
    BackendStandin standin;
    std::vector<std::unique_ptr<LoopbackClient>> clients;
};

} // namespace

// Guards against a log of executions that misses a run or hides a leaked key.
TEST_CASE("the backend stand-in records what ran and whether it carried a secret")
{
    auto settings = Fixture::warm();
    settings.secrets = {"s3cret"};
    Fixture fixture(settings);
    auto &client = fixture.connect();
    const auto response = client.call("POST", "/seats?x=1", "Rhubarbtiller-Request-Id: r1\r\nRhubarbtiller-Organisation: o1\r\n", "hold");
    CHECK(Fixture::status(response) == 200);
    CHECK(Fixture::body(response)["requestId"] == "r1");
    CHECK(Fixture::body(response)["body"] == "hold");
    client.call("GET", "/a?api_key=s3cret");
    client.call("GET", "/a", "X-Other: has s3cret inside\r\n");
    const auto log = fixture.executions();
    REQUIRE(log["executions"].size() == 3);
    CHECK(log["executions"][0]["requestId"] == "r1");
    CHECK(log["executions"][0]["organisation"] == "o1");
    CHECK(log["executions"][0]["method"] == "POST");
    CHECK(log["executions"][0]["path"] == "/seats");
    CHECK(log["executions"][0]["outcome"] == "completed");
    CHECK_FALSE(log["executions"][0]["containsSecret"].get<bool>());
    CHECK(log["executions"][1]["containsSecret"].get<bool>());
    CHECK(log["executions"][2]["containsSecret"].get<bool>());
}

// Guards against a "not run" of the stand-in that is not true.
TEST_CASE("the backend stand-in sheds above its slots and while draining without running")
{
    auto settings = Fixture::warm();
    settings.slots = 1;
    Fixture fixture(settings);
    auto &first = fixture.connect();
    first.send("GET", "/w?ms=200");
    auto &second = fixture.connect();
    REQUIRE(second.runUntil([&] {
        return Fixture::body(fixture.connect().call("GET", "/control/state"))["running"] == 1;
    }));
    const auto shed = second.call("GET", "/w");
    CHECK(Fixture::status(shed) == 503);
    CHECK(shed.find("X-Not-Run: 1\r\n") != std::string::npos);
    CHECK(Fixture::status(first.response()) == 200);
    fixture.set(R"({"draining":true})");
    const auto drained = second.call("GET", "/w");
    CHECK(Fixture::status(drained) == 503);
    CHECK(drained.find("X-Not-Run: 1\r\n") != std::string::npos);
    CHECK(fixture.executions()["executions"].size() == 1);
    CHECK(fixture.executions()["peakConcurrency"] == 1);
}

// Guards against a cold start that bears full load, which would hide a missing slow start.
TEST_CASE("the backend stand-in collapses under full load while cold")
{
    auto settings = Fixture::warm();
    settings.warmUpTime = std::chrono::hours(1);
    settings.collapseTime = std::chrono::hours(1);
    settings.slots = 4;
    Fixture fixture(settings);
    CHECK(Fixture::status(fixture.connect().call("GET", "/w")) == 200);
    auto &first = fixture.connect();
    auto &second = fixture.connect();
    first.send("GET", "/w?ms=100");
    second.send("GET", "/w?ms=100");
    CHECK(Fixture::status(second.response()) == 500);
    CHECK(Fixture::status(fixture.connect().call("GET", "/w")) == 500);
    const auto log = fixture.executions();
    CHECK(log["collapses"] == 1);
    CHECK(log["peakColdConcurrency"] == 2);
    CHECK(Fixture::status(fixture.connect().call("GET", "/health")) == 503);
    fixture.set(R"({"health":"always-good"})");
    CHECK(Fixture::status(fixture.connect().call("GET", "/health")) == 200);
}

// Guards against work that goes on although its caller gave up or its time is over.
TEST_CASE("the backend stand-in honours deadline and cancellation")
{
    Fixture fixture;
    CHECK(Fixture::status(fixture.connect().call("GET", "/w?ms=60000", "Rhubarbtiller-Deadline-Ms: 20\r\n")) == 504);
    auto &client = fixture.connect();
    client.send("GET", "/w?ms=60000");
    auto &observer = fixture.connect();
    const auto running = [&] {
        return Fixture::body(observer.call("GET", "/control/state"))["running"].get<int>();
    };
    REQUIRE(observer.runUntil([&] {
        return running() == 1;
    }));
    client.close();
    REQUIRE(observer.runUntil([&] {
        return running() == 0;
    }));
    const auto log = fixture.executions();
    CHECK(log["executions"][0]["outcome"] == "expired");
    CHECK(log["executions"][1]["outcome"] == "cancelled");
}

// Guards against gray rules that do not strike, or strike requests that they do not match.
TEST_CASE("gray rules strike the requests that match them")
{
    Fixture fixture;
    fixture.setRule(R"({"kind":"fail","pathPrefix":"/bad","organisation":"o1","status":502})");
    auto &client = fixture.connect();
    CHECK(Fixture::status(client.call("GET", "/bad/x", "Rhubarbtiller-Organisation: o1\r\n")) == 502);
    CHECK(Fixture::status(client.call("GET", "/bad/x", "Rhubarbtiller-Organisation: o2\r\n")) == 200);
    CHECK(Fixture::status(client.call("GET", "/good", "Rhubarbtiller-Organisation: o1\r\n")) == 200);
    fixture.setRule(R"({"kind":"fail","fraction":0.5})");
    int failed = 0;
    for (int count = 0; count < 100; ++count) {
        failed += Fixture::status(client.call("GET", "/x")) == 500 ? 1 : 0;
    }
    CHECK(failed > 20);
    CHECK(failed < 80);
    fixture.setRule(R"({"kind":"fail","periodMs":3600000,"activeMs":0})");
    CHECK(Fixture::status(client.call("GET", "/x")) == 200);
    const auto refused = fixture.connect().call("POST", "/control/rules", "", R"({"rules":[{"kind":"fail","pathPrefx":"/x"}]})");
    CHECK(Fixture::status(refused) == 400);
}

// Guards against broken answers that are whole after all.
TEST_CASE("the backend stand-in breaks answers as told")
{
    Fixture fixture;
    const auto strike = [&](const std::string &kind, const std::string &more = "") {
        fixture.setRule(R"({"kind":")" + kind + R"(","times":1)" + more + "}");
    };
    const auto executed = [&] {
        return fixture.executions()["executions"].size();
    };

    strike("cut-short");
    auto &cut = fixture.connect();
    cut.send("GET", "/x", "Rhubarbtiller-Request-Id: r1\r\n");
    CHECK(cut.waitForClose());
    const auto field = cut.received.find("Content-Length: ");
    const auto headerEnd = cut.received.find("\r\n\r\n");
    REQUIRE(field != std::string::npos);
    REQUIRE(headerEnd != std::string::npos);
    CHECK(cut.received.size() - headerEnd - 4 < std::stoul(cut.received.substr(field + 16)));

    strike("trailing-bytes");
    auto &trailing = fixture.connect();
    CHECK(Fixture::status(trailing.call("GET", "/x", "Rhubarbtiller-Request-Id: r2\r\n")) == 200);
    CHECK(trailing.runUntil([&] {
        return trailing.received == "trailing bytes";
    }));

    strike("crossed");
    auto &crossed = fixture.connect();
    const auto foreign = crossed.call("GET", "/x", "Rhubarbtiller-Request-Id: r3\r\n");
    CHECK(Fixture::status(foreign) == 200);
    CHECK(foreign.find("Rhubarbtiller-Request-Id: r3\r\n") == std::string::npos);

    strike("unsolicited", R"(,"delayMs":1)");
    auto &unsolicited = fixture.connect();
    CHECK(unsolicited.call("GET", "/x", "Rhubarbtiller-Request-Id: r4\r\n").find("Rhubarbtiller-Request-Id: r4\r\n") != std::string::npos);
    CHECK(unsolicited.response().find("Rhubarbtiller-Request-Id: r4\r\n") == std::string::npos);

    const auto before = executed();
    strike("reset-before");
    auto &resetBefore = fixture.connect();
    resetBefore.send("GET", "/x");
    CHECK(resetBefore.waitForClose());
    CHECK(resetBefore.closeReason == asio::error::connection_reset);
    CHECK(executed() == before);

    strike("reset-after");
    auto &resetAfter = fixture.connect();
    resetAfter.send("GET", "/x");
    CHECK(resetAfter.waitForClose());
    CHECK(resetAfter.received.empty());
    CHECK(executed() == before + 1);

    strike("late-answer", R"(,"delayMs":30)");
    auto &late = fixture.connect();
    late.send("GET", "/x?ms=1", "Rhubarbtiller-Deadline-Ms: 0\r\n");
    CHECK(Fixture::status(late.response()) == 200);
    CHECK(fixture.executions()["executions"].back()["outcome"] == "completed");
}
