#include <rhubarbtiller/http/curlhttpclient.h>
#include <rhubarbtiller/tablestore/changelogstore.h>
#include <rhubarbtiller/tablestore/dynamotableservice.h>
#include <rhubarbtiller/tablestore/errors.h>
#include <rhubarbtiller/tablestore/httphostlist.h>
#include <rhubarbtiller/tablestore/s3objectstore.h>
#include <rhubarbtiller/testing/platformstandin.h>

#include <doctest/doctest.h>

#include <optional>

using namespace rhubarbtiller;
using namespace rhubarbtiller::tablestore;
using namespace rhubarbtiller::testing;

namespace {

/// The real adapters and HTTP client in front of the stand-in, over real sockets on one thread.
struct Fixture
{
    Fixture()
    {
        this->standin.start(Endpoint("127.0.0.1:0"));
        const ServiceAccess access{this->standin.boundAddress(), "us-east-1", "key:secret"};
        this->tables.emplace(*this->client, access, "table");
        this->objects.emplace(*this->client, access, "bucket");
        this->hosts.emplace(*this->client, access.server, "/hosts");
        this->store.emplace(*this->tables, *this->objects, this->clock);
    }

    template<class Outcome, class Call>
    Outcome wait(Call call, std::chrono::milliseconds timeLimit = std::chrono::seconds(10))
    {
        std::optional<Outcome> outcome;
        call(this->clock.now() + timeLimit, [&outcome](Outcome result) {
            outcome.emplace(std::move(result));
        });
        const auto end = this->clock.now() + std::chrono::seconds(20);
        while (!outcome && this->clock.now() < end) {
            this->context.run_one_for(std::chrono::milliseconds(50));
        }
        REQUIRE(outcome.has_value());
        return std::move(*outcome);
    }

    void control(const std::string &method, const std::string &target, const std::string &body)
    {
        const auto status = this->wait<int>([&](MonotonicTime deadline, auto handler) {
            http::HttpCall call;
            call.server = this->standin.boundAddress();
            call.deadline = deadline;
            call.request.method = method;
            call.request.target = target;
            call.request.body = body;
            this->client->send(std::move(call), [handler](const http::HttpOutcome &outcome) {
                handler(outcome.response ? outcome.response->status : 0);
            });
        });
        REQUIRE(status == 200);
    }

    AppendResult append(const std::string &id, std::uint64_t expected, std::chrono::milliseconds timeLimit = std::chrono::seconds(10))
    {
        config::Organisation row;
        row.id = OrganisationId(id);
        row.rate = RequestRate(1);
        row.burst = RequestCount(1);
        const config::Change change{ConfigVersion(0), ChangeId(id), "test", {config::PutRow{row}}};
        return this->wait<AppendResult>(
            [&](MonotonicTime deadline, auto handler) {
                this->store->append(change, ConfigVersion(expected), deadline, handler);
            },
            timeLimit);
    }

    asio::io_context context{1};
    SystemClock clock;
    PlatformStandin standin{context};
    std::unique_ptr<http::HttpClient> client = http::makeCurlHttpClient(context, clock);
    std::optional<DynamoTableService> tables;
    std::optional<S3ObjectStore> objects;
    std::optional<HttpHostList> hosts;
    std::optional<ChangeLogStore> store;
};

} // namespace

// Guards against adapters that work on fakes only: signing, framing and errors pass through the real client here.
TEST_CASE("the change log works over HTTP and survives a lost answer and an outage")
{
    Fixture fixture;
    CHECK(fixture.append("a", 0).outcome == AppendOutcome::Committed);
    fixture.control("POST", "/control/faults", R"({"service":"table","loseNextWriteAnswers":1})");
    CHECK(fixture.append("b", 1).outcome == AppendOutcome::Committed);
    CHECK(fixture.append("c", 1).outcome == AppendOutcome::Conflict);
    fixture.control("POST", "/control/faults", R"({"service":"table","outage":"silent"})");
    const auto silent = fixture.append("d", 2, std::chrono::milliseconds(200));
    CHECK(silent.outcome == AppendOutcome::Unresolved);
    CHECK(silent.cause == PlatformError::Timeout);
    fixture.control("POST", "/control/faults", R"({"service":"table","outage":"none"})");
    const auto head = fixture.wait<Result<LogHead>>([&](MonotonicTime deadline, auto handler) {
        fixture.store->readHead(deadline, handler);
    });
    REQUIRE(head);
    CHECK(head->version == ConfigVersion(2));
    const auto changes = fixture.wait<Result<std::vector<config::Change>>>([&](MonotonicTime deadline, auto handler) {
        fixture.store->readChanges(ConfigVersion(0), ConfigVersion(2), deadline, handler);
    });
    REQUIRE(changes);
    CHECK((*changes)[1].id == ChangeId("b"));
}

// Guards against objects and lists that the real client changes on the way.
TEST_CASE("objects and the host list are read over HTTP")
{
    Fixture fixture;
    const std::string content("a\0b\r\n", 5);
    CHECK_FALSE(fixture.wait<Status>([&](MonotonicTime deadline, auto handler) {
        fixture.objects->writeObject(ObjectName("o"), content, deadline, handler);
    }));
    const auto read = fixture.wait<Result<std::string>>([&](MonotonicTime deadline, auto handler) {
        fixture.objects->readObject(ObjectName("o"), deadline, handler);
    });
    REQUIRE(read);
    CHECK(*read == content);
    fixture.control(
        "PUT", "/control/hosts", R"({"document":{"hosts":[{"id":"h1","address":"127.0.0.1:1","failureDomain":"a","state":"leaving"}]}})");
    const auto hosts = fixture.wait<Result<std::vector<ListedHost>>>([&](MonotonicTime deadline, auto handler) {
        fixture.hosts->readHosts(deadline, handler);
    });
    REQUIRE(hosts);
    REQUIRE(hosts->size() == 1);
    CHECK(hosts->front().state == ListedHostState::Leaving);
}
