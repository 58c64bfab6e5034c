#include <rhubarbtiller/tablestore/changelogstore.h>
#include <rhubarbtiller/tablestore/dynamotableservice.h>
#include <rhubarbtiller/tablestore/errors.h>
#include <rhubarbtiller/testing/dynamoendpoint.h>
#include <rhubarbtiller/testing/fakehttpclient.h>
#include <rhubarbtiller/testing/fakeobjectstore.h>

#include <doctest/doctest.h>

#include <optional>

using namespace rhubarbtiller;
using namespace rhubarbtiller::tablestore;
using namespace rhubarbtiller::testing;

namespace {

/// The real adapter in front of the stand-in's endpoint.
struct Fixture
{
    DynamoEndpoint endpoint;
    FakeHttpClient client{[this](const http::HttpCall &call) {
        return http::HttpOutcome{this->endpoint.handle(call.request), true};
    }};
    DynamoTableService tables{client, {Endpoint("127.0.0.1:1"), "", ""}, "table"};
    FakeObjectStore objects;
    VirtualClock clock;
    ChangeLogStore store{tables, objects, clock};

    Status write(std::vector<Write> writes, const std::string &token)
    {
        std::optional<Status> outcome;
        this->tables.writeTransaction({std::move(writes), token}, MonotonicTime::max(), [&](Status status) {
            outcome = status;
        });
        REQUIRE(outcome);
        return *outcome;
    }

    Result<Item> read(const ItemKey &key)
    {
        std::optional<Result<Item>> outcome;
        this->tables.readItem(key, MonotonicTime::max(), [&](Result<Item> item) {
            outcome.emplace(std::move(item));
        });
        REQUIRE(outcome);
        return *outcome;
    }
};

} // namespace

// Guards against an adapter and a stand-in that both misread the API in the same test, by checking stored items.
TEST_CASE("writes of the adapter are stored by the endpoint and read back")
{
    Fixture fixture;
    const Item item{{"p", "s"},
                    {{"number", std::int64_t{-3}}, {"text", std::string("x\n\"")}, {"bytes", Binary{std::string("\0\xff", 2)}}}};
    CHECK_FALSE(fixture.write({PutItem{item, ItemAbsent{}}}, "t1"));
    CHECK(*fixture.read(item.key) == item);
    CHECK(fixture.write({PutItem{item, ItemAbsent{}}}, "t2") == PlatformError::ConditionFailed);
    CHECK(fixture.read({"p", "other"}).error() == PlatformError::NotFound);
    const Write update
        = UpdateItem{item.key, {{"number", std::int64_t{4}}, {"more", std::string("y")}}, AttributeEquals{"number", std::int64_t{-3}}};
    CHECK_FALSE(fixture.write({update}, "t3"));
    CHECK(*fixture.read(item.key)->findNumber("number") == 4);
    CHECK(*fixture.read(item.key)->findString("text") == "x\n\"");
    CHECK(fixture.write({update}, "t4") == PlatformError::ConditionFailed);
    CHECK_FALSE(fixture.write({DeleteItem{item.key, {}}}, "t5"));
    CHECK(fixture.read(item.key).error() == PlatformError::NotFound);
}

// Guards against a transaction of which one half takes effect.
TEST_CASE("a transaction with one failed condition writes nothing")
{
    Fixture fixture;
    CHECK_FALSE(fixture.write({PutItem{{{"p", "a"}, {}}, {}}}, "t1"));
    const auto status = fixture.write({PutItem{{{"p", "b"}, {}}, ItemAbsent{}}, PutItem{{{"p", "a"}, {}}, ItemAbsent{}}}, "t2");
    CHECK(status == PlatformError::ConditionFailed);
    CHECK(fixture.read({"p", "b"}).error() == PlatformError::NotFound);
    const auto twice = fixture.write({PutItem{{{"p", "c"}, {}}, {}}, DeleteItem{{"p", "c"}, {}}}, "t3");
    CHECK(twice == PlatformError::InvalidRequest);
}

// Guards against a stand-in that executes a repeated transaction twice, or takes another one for a repetition.
TEST_CASE("a token executes one transaction")
{
    Fixture fixture;
    const Write update = UpdateItem{{"p", "a"}, {{"v", std::int64_t{1}}}, {}};
    CHECK_FALSE(fixture.write({update}, "t1"));
    CHECK_FALSE(fixture.write({update}, "t1"));
    CHECK(fixture.endpoint.table().writeCount() == 1);
    const Write other = UpdateItem{{"p", "a"}, {{"v", std::int64_t{2}}}, {}};
    CHECK(fixture.write({other}, "t1") == PlatformError::InvalidRequest);
}

// Guards against a log that works on the fakes only: pages, parts and conditions pass through the real adapter here.
TEST_CASE("the change log works through the adapter and the endpoint")
{
    Fixture fixture;
    for (std::uint64_t version = 0; version < 250; ++version) {
        config::Organisation row;
        row.id = OrganisationId("o" + std::to_string(version));
        row.rate = RequestRate(1);
        row.burst = RequestCount(1);
        const config::Change change{ConfigVersion(0), ChangeId("c" + std::to_string(version)), "test", {config::PutRow{row}}};
        fixture.store.append(change, ConfigVersion(version), MonotonicTime::max(), [](const AppendResult &result) {
            CHECK(result.outcome == AppendOutcome::Committed);
        });
    }
    bool isRead = false;
    fixture.store.readChanges(
        ConfigVersion(0), ConfigVersion(250), MonotonicTime::max(), [&](const Result<std::vector<config::Change>> &changes) {
            REQUIRE(changes);
            CHECK(changes->size() == 250);
            CHECK(changes->back().id == ChangeId("c249"));
            isRead = true;
        });
    CHECK(isRead);
    fixture.store.readHead(MonotonicTime::max(), [](const Result<LogHead> &head) {
        REQUIRE(head);
        CHECK(head->version == ConfigVersion(250));
    });
}
