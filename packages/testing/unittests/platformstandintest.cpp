#include "loopbackclient.h"

#include <rhubarbtiller/testing/platformstandin.h>

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace rhubarbtiller;
using namespace rhubarbtiller::testing;

namespace {

struct Fixture
{
    Fixture()
    {
        this->standin.start(Endpoint("127.0.0.1:0"));
    }

    LoopbackClient &connect()
    {
        this->clients.push_back(std::make_unique<LoopbackClient>(this->context, this->standin.boundAddress()));
        return *this->clients.back();
    }

    void setFaults(const std::string &faults)
    {
        REQUIRE(this->connect().call("POST", "/control/faults", "", faults).find("200 OK") != std::string::npos);
    }

    static std::string tableHeaders(const std::string &operation)
    {
        return "Content-Type: application/x-amz-json-1.0\r\nX-Amz-Target: DynamoDB_20120810." + operation + "\r\n";
    }

    static std::string put(const std::string &sort)
    {
        return R"({"TransactItems":[{"Put":{"TableName":"t","Item":{"pk":{"S":"p"},"sk":{"S":")" + sort + R"("}}}}]})";
    }

    bool has(const std::string &sort)
    {
        const auto response = this->connect().call(
            "POST", "/", tableHeaders("GetItem"), R"({"TableName":"t","Key":{"pk":{"S":"p"},"sk":{"S":")" + sort + R"("}}})");
        return response.find("\"Item\"") != std::string::npos;
    }

    asio::io_context context{1};
    PlatformStandin standin{context};
    std::vector<std::unique_ptr<LoopbackClient>> clients;
};

} // namespace

// Guards against a stand-in whose lost write did not take effect, or whose refused one did.
TEST_CASE("the platform stand-in loses answers and refuses writes as told")
{
    Fixture fixture;
    fixture.setFaults(R"({"service":"table","loseNextWriteAnswers":1})");
    auto &lost = fixture.connect();
    lost.send("POST", "/", Fixture::tableHeaders("TransactWriteItems"), Fixture::put("lost"));
    CHECK(lost.waitForClose());
    CHECK(lost.received.empty());
    CHECK(fixture.has("lost"));
    auto &whole = fixture.connect();
    CHECK(whole.call("POST", "/", Fixture::tableHeaders("TransactWriteItems"), Fixture::put("whole")).find("200 OK") != std::string::npos);
    fixture.setFaults(R"({"service":"table","outage":"refuse"})");
    CHECK(whole.call("POST", "/", Fixture::tableHeaders("TransactWriteItems"), Fixture::put("refused")).find("503") != std::string::npos);
    CHECK(fixture.connect().call("GET", "/hosts").find("200 OK") != std::string::npos);
    fixture.setFaults(R"({"outage":"none"})");
    CHECK_FALSE(fixture.has("refused"));
    fixture.setFaults(R"({"outage":"reset"})");
    auto &reset = fixture.connect();
    reset.send("POST", "/", Fixture::tableHeaders("TransactWriteItems"), Fixture::put("reset"));
    CHECK(reset.waitForClose());
    fixture.setFaults(R"({"outage":"none","lateNextWrites":1,"lateMs":20})");
    CHECK_FALSE(fixture.has("reset"));
    auto &late = fixture.connect();
    late.send("POST", "/", Fixture::tableHeaders("TransactWriteItems"), Fixture::put("late"));
    CHECK(late.runUntil([&] {
        return fixture.has("late");
    }));
    CHECK(late.received.empty());
    fixture.setFaults(R"({"service":"table","writesPerSecond":1})");
    whole.call("POST", "/", Fixture::tableHeaders("TransactWriteItems"), Fixture::put("a"));
    CHECK(whole.call("POST", "/", Fixture::tableHeaders("TransactWriteItems"), Fixture::put("b")).find("ProvisionedThroughputExceeded")
          != std::string::npos);
    CHECK(whole.call("POST", "/control/faults", "", R"({"outtage":"none"})").find("400") != std::string::npos);
}

// Guards against objects and hosts that are not what was stored.
TEST_CASE("the platform stand-in keeps objects and shows the host list after its lag")
{
    Fixture fixture;
    auto &client = fixture.connect();
    CHECK(client.call("GET", "/bucket/o").find("NoSuchKey") != std::string::npos);
    client.call("PUT", "/bucket/o", "", "content");
    CHECK(client.call("GET", "/bucket/o").find("\r\n\r\ncontent") != std::string::npos);
    client.call("PUT", "/control/hosts", "", R"({"document":{"hosts":[{"id":"h1"}]}})");
    CHECK(client.call("GET", "/hosts").find("h1") != std::string::npos);
    client.call("PUT", "/control/hosts", "", R"({"document":{"hosts":[{"id":"h2"}]},"lagMs":3600000})");
    CHECK(client.call("GET", "/hosts").find("h1") != std::string::npos);
    client.call("PUT", "/control/hosts", "", R"({"document":{"hosts":[{"id":"h3"}]},"lagMs":10})");
    CHECK(client.runUntil([&] {
        return client.call("GET", "/hosts").find("h3") != std::string::npos;
    }));
}
