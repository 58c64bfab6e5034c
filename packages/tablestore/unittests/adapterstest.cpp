#include <rhubarbtiller/http/errors.h>
#include <rhubarbtiller/tablestore/dynamotableservice.h>
#include <rhubarbtiller/tablestore/errors.h>
#include <rhubarbtiller/tablestore/httphostlist.h>
#include <rhubarbtiller/tablestore/s3objectstore.h>
#include <rhubarbtiller/testing/fakehttpclient.h>

#include <doctest/doctest.h>

#include <optional>

using namespace rhubarbtiller;
using namespace rhubarbtiller::tablestore;
using rhubarbtiller::testing::FakeHttpClient;

static const ServiceAccess Access{Endpoint("10.0.0.1:8000"), "us-east-1", "key:secret"};
static const MonotonicTime Deadline{std::chrono::seconds(5)};

static FakeHttpClient::Server answering(int status, const std::string &body)
{
    return [=](const http::HttpCall &) {
        return http::HttpOutcome{http::HttpResponse{status, {}, body}, true};
    };
}

static FakeHttpClient::Server failing(http::HttpError error)
{
    return [=](const http::HttpCall &) {
        return http::HttpOutcome{make_error_code(error), true};
    };
}

template<class Outcome, class Call>
static Outcome outcomeOf(Call call)
{
    std::optional<Outcome> outcome;
    call([&outcome](Outcome result) {
        REQUIRE_FALSE(outcome.has_value());
        outcome.emplace(std::move(result));
    });
    REQUIRE(outcome.has_value());
    return std::move(*outcome);
}

static Result<Item> readItem(const FakeHttpClient::Server &server)
{
    FakeHttpClient client(server);
    DynamoTableService tables(client, Access, "table");
    return outcomeOf<Result<Item>>([&](auto handler) {
        tables.readItem({"a", "b"}, Deadline, handler);
    });
}

static Status writeOne(const FakeHttpClient::Server &server)
{
    FakeHttpClient client(server);
    DynamoTableService tables(client, Access, "table");
    return outcomeOf<Status>([&](auto handler) {
        tables.writeTransaction({{PutItem{{{"a", "b"}, {}}, ItemAbsent{}}}, "token"}, Deadline, handler);
    });
}

// Guards against calls that the published API does not know, and against reads that may return old items.
TEST_CASE("calls of the table service follow the published API")
{
    FakeHttpClient client(answering(200, R"({"Item":{"pk":{"S":"a"},"sk":{"S":"b"},"n":{"N":"-5"},"s":{"S":"x"},"b":{"B":"AAH/"}}})"));
    DynamoTableService tables(client, Access, "table");
    const auto item = outcomeOf<Result<Item>>([&](auto handler) {
        tables.readItem({"a", "b"}, Deadline, handler);
    });
    REQUIRE(item);
    CHECK(*item->findNumber("n") == -5);
    CHECK(*item->findString("s") == "x");
    CHECK(item->findBinary("b")->bytes == std::string("\0\1\xff", 3));
    REQUIRE(client.calls.size() == 1);
    const auto &call = client.calls[0];
    CHECK(call.server == Access.server);
    CHECK(call.deadline == Deadline);
    CHECK(call.request.method == "POST");
    CHECK(call.request.target == "/");
    CHECK(http::findHeader(call.request.headers, "X-Amz-Target") == "DynamoDB_20120810.GetItem");
    CHECK(http::findHeader(call.request.headers, "Content-Type") == "application/x-amz-json-1.0");
    CHECK(call.request.body == R"({"ConsistentRead":true,"Key":{"pk":{"S":"a"},"sk":{"S":"b"}},"TableName":"table"})");
    CHECK(call.awsSignature == "aws:amz:us-east-1:dynamodb");
    CHECK(call.awsCredential == "key:secret");
}

// Guards against transactions with wrong conditions, which would overwrite what another host wrote.
TEST_CASE("a transaction is encoded with its conditions and its token")
{
    FakeHttpClient client(answering(200, "{}"));
    DynamoTableService tables(client, Access, "table");
    Transaction transaction;
    transaction.writes.emplace_back(PutItem{{{"p", "s"}, {{"v", Binary{"ab"}}}}, ItemAbsent{}});
    transaction.writes.emplace_back(UpdateItem{{"p", "h"}, {{"v", std::int64_t{8}}, {"w", "x"}}, AttributeEquals{"v", std::int64_t{7}}});
    transaction.writes.emplace_back(DeleteItem{{"p", "d"}, {}});
    transaction.clientRequestToken = "token";
    CHECK_FALSE(outcomeOf<Status>([&](auto handler) {
        tables.writeTransaction(transaction, Deadline, handler);
    }));
    const std::string expected
        = R"({"ClientRequestToken":"token","TransactItems":[)"
          R"x({"Put":{"ConditionExpression":"attribute_not_exists(#pk)","ExpressionAttributeNames":{"#pk":"pk"},)x"
          R"("Item":{"pk":{"S":"p"},"sk":{"S":"s"},"v":{"B":"YWI="}},"TableName":"table"}},)"
          R"({"Update":{"ConditionExpression":"#condition = :condition",)"
          R"("ExpressionAttributeNames":{"#condition":"v","#set0":"v","#set1":"w"},)"
          R"("ExpressionAttributeValues":{":condition":{"N":"7"},":set0":{"N":"8"},":set1":{"S":"x"}},)"
          R"("Key":{"pk":{"S":"p"},"sk":{"S":"h"}},"TableName":"table","UpdateExpression":"SET #set0 = :set0, #set1 = :set1"}},)"
          R"({"Delete":{"Key":{"pk":{"S":"p"},"sk":{"S":"d"}},"TableName":"table"}}]})";
    CHECK(client.calls[0].request.body == expected);
    CHECK(http::findHeader(client.calls[0].request.headers, "X-Amz-Target") == "DynamoDB_20120810.TransactWriteItems");
}

// Guards against an exception out of the package, and against a call with a changed text.
TEST_CASE("a text that is not UTF-8 is refused")
{
    FakeHttpClient client(answering(200, "{}"));
    DynamoTableService tables(client, Access, "table");
    const auto status = outcomeOf<Status>([&](auto handler) {
        tables.writeTransaction({{PutItem{{{"p", "s"}, {{"v", std::string("\xff")}}}, {}}}, "token"}, Deadline, handler);
    });
    CHECK(status == PlatformError::InvalidRequest);
    CHECK(client.calls.empty());
}

// Guards against an answer to another call that is taken for the item asked for.
TEST_CASE("a response that does not fit the call is malformed")
{
    CHECK(readItem(answering(200, "{}")).error() == PlatformError::NotFound);
    CHECK(readItem(answering(200, R"({"Item":{"pk":{"S":"a"},"sk":{"S":"other"}}})")).error() == PlatformError::Malformed);
    CHECK(readItem(answering(200, R"({"Item":{"pk":{"S":"a"}}})")).error() == PlatformError::Malformed);
    CHECK(readItem(answering(200, R"({"Item":{"pk":{"S":"a"},"sk":{"S":"b"},"x":{"N":"1.5"}}})")).error() == PlatformError::Malformed);
    CHECK(readItem(answering(200, R"({"Item":{"pk":{"S":"a"},"sk":{"S":"b"},"x":{"B":"%%"}}})")).error() == PlatformError::Malformed);
    CHECK(readItem(answering(200, "[]")).error() == PlatformError::Malformed);
    CHECK(readItem(answering(200, "<html>")).error() == PlatformError::Malformed);
    CHECK(readItem(answering(400, R"({"__type":"x#ResourceNotFoundException"})")).error() == PlatformError::InvalidRequest);
}

// Guards against a missing gateway page that is read as an empty table, which would look like an empty change log.
TEST_CASE("a 404 without an error of the API is not a missing item")
{
    CHECK(readItem(answering(404, "<html>no such page</html>")).error() != PlatformError::NotFound);
}

// Guards against a write of unknown outcome that is reported as one without effect, and the reverse.
TEST_CASE("errors of a write tell whether it may have taken effect")
{
    const auto type = [](const std::string &name) {
        return R"({"__type":"com.amazonaws.dynamodb.v20120810#)" + name + R"("})";
    };
    const auto cancelled = [](const std::string &codes) {
        return R"({"__type":"com.amazonaws.dynamodb.v20120810#TransactionCanceledException","CancellationReasons":[)" + codes + "]}";
    };
    CHECK(writeOne(answering(400, cancelled(R"({"Code":"None"},{"Code":"ConditionalCheckFailed"})"))) == PlatformError::ConditionFailed);
    CHECK(writeOne(answering(400, cancelled(R"({"Code":"TransactionConflict"},{"Code":"None"})"))) == PlatformError::TransactionConflict);
    CHECK(writeOne(answering(400, cancelled(R"({"Code":"ThrottlingError"})"))) == PlatformError::Throttled);
    CHECK(writeOne(answering(400, cancelled(R"({"Code":"ValidationError"})"))) == PlatformError::InvalidRequest);
    CHECK(writeOne(answering(400, type("TransactionInProgressException"))) == PlatformError::Unavailable);
    CHECK(writeOne(answering(400, type("ProvisionedThroughputExceededException"))) == PlatformError::Throttled);
    CHECK(writeOne(answering(400, type("AccessDeniedException"))) == PlatformError::Unauthorized);
    CHECK(writeOne(answering(400, type("ValidationException"))) == PlatformError::InvalidRequest);
    CHECK(writeOne(answering(500, type("InternalServerError"))) == PlatformError::Unavailable);
    CHECK(writeOne(answering(503, "")) == PlatformError::Unavailable);
    CHECK(writeOne(answering(200, "")) == PlatformError::Malformed);
    CHECK(writeOne(answering(302, "")) == PlatformError::Malformed);
    CHECK(writeOne(failing(http::HttpError::Timeout)) == PlatformError::Timeout);
    CHECK(writeOne(failing(http::HttpError::ConnectionRefused)) == PlatformError::Unavailable);
    CHECK(writeOne(failing(http::HttpError::ConnectionReset)) == PlatformError::Unavailable);
    CHECK(writeOne(failing(http::HttpError::IncompleteResponse)) == PlatformError::Unavailable);
    CHECK(writeOne(failing(http::HttpError::MalformedResponse)) == PlatformError::Malformed);
    for (const auto error : {PlatformError::Unavailable, PlatformError::Timeout, PlatformError::Malformed}) {
        CHECK(isOutcomeUnknown(error));
    }
    for (const auto error : {PlatformError::ConditionFailed,
                             PlatformError::TransactionConflict,
                             PlatformError::Throttled,
                             PlatformError::Unauthorized,
                             PlatformError::InvalidRequest}) {
        CHECK_FALSE(isOutcomeUnknown(error));
    }
    CHECK_FALSE(isOutcomeUnknown(Status()));
    CHECK(isOutcomeUnknown(std::make_error_code(std::errc::io_error)));
}

// Guards against a range that ends at the first page, and against pages that go back or leave the range.
TEST_CASE("a query follows the pages in order")
{
    const auto item = [](const std::string &sort) {
        return R"({"pk":{"S":"p"},"sk":{"S":")" + sort + R"("}})";
    };
    std::vector<std::string> pages = {R"({"Items":[)" + item("a") + "," + item("b") + R"(],"LastEvaluatedKey":)" + item("b") + "}",
                                      R"({"Items":[],"LastEvaluatedKey":)" + item("c") + "}",
                                      R"({"Items":[)" + item("d") + "]}"};
    std::size_t next = 0;
    FakeHttpClient client([&](const http::HttpCall &) {
        return http::HttpOutcome{http::HttpResponse{200, {}, pages.at(next++)}, true};
    });
    DynamoTableService tables(client, Access, "table");
    const auto query = [&](std::uint32_t maxItems) {
        next = 0;
        client.calls.clear();
        return outcomeOf<Result<ItemPage>>([&](auto handler) {
            tables.queryItems({"p", "a", "e", maxItems}, Deadline, handler);
        });
    };
    const auto whole = query(10);
    REQUIRE(whole);
    CHECK(whole->isComplete);
    REQUIRE(whole->items.size() == 3);
    CHECK(whole->items[2].key.sort == "d");
    CHECK(client.calls[2].request.body.text().find(R"("ExclusiveStartKey":{"pk":{"S":"p"},"sk":{"S":"c"}})") != std::string::npos);
    CHECK(client.calls[0].request.body.text().find(R"("ConsistentRead":true)") != std::string::npos);
    const auto part = query(2);
    REQUIRE(part);
    CHECK_FALSE(part->isComplete);
    CHECK(part->items.size() == 2);
    pages[2] = R"({"Items":[)" + item("a") + "]}";
    CHECK(query(10).error() == PlatformError::Malformed);
    pages[2] = R"({"Items":[)" + item("f") + "]}";
    CHECK(query(10).error() == PlatformError::Malformed);
    pages[2] = "{}";
    CHECK(query(10).error() == PlatformError::Malformed);
}

// Guards against objects that are looked for at another address, and against an unsigned body.
TEST_CASE("calls of the object store follow the published API")
{
    FakeHttpClient client(answering(200, "content"));
    S3ObjectStore objects(client, Access, "bucket");
    const auto content = outcomeOf<Result<std::string>>([&](auto handler) {
        objects.readObject(ObjectName("snapshot-1"), Deadline, handler);
    });
    REQUIRE(content);
    CHECK(*content == "content");
    CHECK_FALSE(outcomeOf<Status>([&](auto handler) {
        objects.writeObject(ObjectName("snapshot-2"), "abc", Deadline, handler);
    }));
    CHECK(client.calls[0].request.method == "GET");
    CHECK(client.calls[0].request.target == "/bucket/snapshot-1");
    CHECK(client.calls[1].request.method == "PUT");
    CHECK(client.calls[1].request.target == "/bucket/snapshot-2");
    CHECK(client.calls[1].request.body == "abc");
    CHECK(client.calls[1].awsSignature == "aws:amz:us-east-1:s3");
    CHECK(http::findHeader(client.calls[1].request.headers, "x-amz-content-sha256")
          == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a failed write that counts as stored, and against a missing bucket that looks like a missing object.
TEST_CASE("errors of the object store are told apart")
{
    const auto read = [](const FakeHttpClient::Server &server) {
        FakeHttpClient client(server);
        S3ObjectStore objects(client, Access, "bucket");
        return outcomeOf<Result<std::string>>([&](auto handler) {
                   objects.readObject(ObjectName("o"), Deadline, handler);
               })
            .error();
    };
    CHECK(read(answering(404, "<Error><Code>NoSuchKey</Code></Error>")) == PlatformError::NotFound);
    CHECK(read(answering(404, "<Error><Code>NoSuchBucket</Code></Error>")) == PlatformError::InvalidRequest);
    CHECK(read(answering(403, "")) == PlatformError::Unauthorized);
    CHECK(read(answering(503, "<Error><Code>SlowDown</Code></Error>")) == PlatformError::Throttled);
    CHECK(read(answering(503, "")) == PlatformError::Unavailable);
    CHECK(read(failing(http::HttpError::Timeout)) == PlatformError::Timeout);
    FakeHttpClient client(answering(500, ""));
    S3ObjectStore objects(client, Access, "bucket");
    CHECK(outcomeOf<Status>([&](auto handler) {
              objects.writeObject(ObjectName("o"), "abc", Deadline, handler);
          })
          == PlatformError::Unavailable);
}

// Guards against a damaged host list that makes hosts vanish or leave.
TEST_CASE("the host list is read whole or not at all")
{
    const auto read = [](const FakeHttpClient::Server &server) {
        FakeHttpClient client(server);
        HttpHostList list(client, Endpoint("10.0.0.1:80"), "/hosts");
        auto hosts = outcomeOf<Result<std::vector<ListedHost>>>([&](auto handler) {
            list.readHosts(Deadline, handler);
        });
        CHECK(client.calls[0].request.target == "/hosts");
        return hosts;
    };
    const auto hosts
        = read(answering(200,
                         R"({"hosts":[{"id":"h1","address":"10.0.0.1:7000","failureDomain":"a","state":"live"},)"
                         R"({"id":"h2","address":"10.0.0.2:7000","failureDomain":"b","state":"leaving","extra":1}],"more":[]})"));
    REQUIRE(hosts);
    CHECK(*hosts
          == std::vector<ListedHost>{{HostId("h1"), Endpoint("10.0.0.1:7000"), FailureDomainId("a"), ListedHostState::Live},
                                     {HostId("h2"), Endpoint("10.0.0.2:7000"), FailureDomainId("b"), ListedHostState::Leaving}});
    CHECK(read(answering(200, R"({"hosts":[]})"))->empty());
    CHECK(read(answering(200, R"({"hosts":[{"id":"h1"}]})")).error() == PlatformError::Malformed);
    CHECK(read(answering(200, R"({"hosts":[{"id":"h","address":"a","failureDomain":"a","state":"dead"}]})")).error()
          == PlatformError::Malformed);
    CHECK(read(answering(200, R"({"hosts":[3]})")).error() == PlatformError::Malformed);
    CHECK(read(answering(200, "{")).error() == PlatformError::Malformed);
    CHECK(read(answering(200, "[]")).error() == PlatformError::Malformed);
    CHECK(read(answering(503, "")).error() == PlatformError::Unavailable);
}
