#include <rhubarbtiller/tablestore/dynamotableservice.h>

#include "callerrors.h"
#include "dynamojson.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace rhubarbtiller::tablestore {

using Json = nlohmann::json;

// A page of the API holds at most 1 MiB of items; their JSON form is larger.
static constexpr ByteCount MaxResponse{8 * 1024 * 1024};

namespace {

/// Collects the pages of one range.
struct QueryOperation
{
    KeyRange range;
    MonotonicTime deadline;
    Handler<Result<ItemPage>> handler;
    ItemPage collected;
};

} // namespace

struct DynamoTableService::Connection
{
    http::HttpClient &client;
    ServiceAccess access;
    std::string tableName;

    void call(const char *operation, const Json &body, MonotonicTime deadline, const Handler<Result<Json>> &handler) const
    {
        http::HttpCall call;
        call.server = this->access.server;
        call.deadline = deadline;
        call.maxAnswer = MaxResponse;
        call.request.method = "POST";
        call.request.target = "/";
        call.request.headers
            = {{"Content-Type", "application/x-amz-json-1.0"}, {"X-Amz-Target", std::string("DynamoDB_20120810.") + operation}};
        try {
            call.request.body = body.dump();
        } catch (const Json::exception &) {
            // A text that is not UTF-8 has no JSON form.
            handler(make_error_code(PlatformError::InvalidRequest));
            return;
        }
        if (!this->access.region.empty()) {
            call.awsSignature = "aws:amz:" + this->access.region + ":dynamodb";
            call.awsCredential = this->access.credential;
        }
        this->client.send(std::move(call), [handler](const http::HttpOutcome &outcome) {
            if (!outcome.response) {
                handler(make_error_code(fromHttpError(outcome.response.error())));
                return;
            }
            if (outcome.response->status != 200) {
                handler(make_error_code(fromDynamoError(*outcome.response)));
                return;
            }
            Json json = Json::parse(outcome.response->body, nullptr, false);
            if (!json.is_object()) {
                handler(make_error_code(PlatformError::Malformed));
                return;
            }
            handler(std::move(json));
        });
    }
};

DynamoTableService::DynamoTableService(http::HttpClient &httpClient, ServiceAccess serviceAccess, std::string table)
    : connection(std::make_shared<const Connection>(Connection{httpClient, std::move(serviceAccess), std::move(table)}))
{
}

DynamoTableService::~DynamoTableService() = default;

void DynamoTableService::readItem(ItemKey key, MonotonicTime deadline, Handler<Result<Item>> handler)
{
    const Json body = encodeGetItem(this->connection->tableName, key);
    this->connection->call("GetItem", body, deadline, [key = std::move(key), handler = std::move(handler)](const Result<Json> &response) {
        if (!response) {
            handler(response.error());
            return;
        }
        const auto member = response->find("Item");
        if (member == response->end()) {
            handler(make_error_code(PlatformError::NotFound));
            return;
        }
        auto item = decodeItem(*member);
        if (!item || item->key != key) {
            handler(make_error_code(PlatformError::Malformed));
            return;
        }
        handler(std::move(*item));
    });
}

/// Takes the items of a response; returns false if it is not a response to this query.
static bool takePage(const Json &response, const KeyRange &range, std::vector<Item> &items)
{
    const auto list = response.find("Items");
    if (list == response.end() || !list->is_array()) {
        return false;
    }
    for (const auto &element : *list) {
        auto item = decodeItem(element);
        if (!item || item->key.partition != range.partition || item->key.sort < range.first || item->key.sort > range.last) {
            return false;
        }
        if (!items.empty() && item->key.sort <= items.back().key.sort) {
            return false;
        }
        items.push_back(std::move(*item));
    }
    return true;
}

void DynamoTableService::queryPage(const std::shared_ptr<const Connection> &connection,
                                   const std::shared_ptr<void> &state,
                                   const std::optional<ItemKey> &startAfter)
{
    const auto operation = std::static_pointer_cast<QueryOperation>(state);
    const auto limit = static_cast<std::uint32_t>(operation->range.maxItems - operation->collected.items.size());
    connection->call("Query",
                     encodeQuery(connection->tableName, operation->range, limit, startAfter),
                     operation->deadline,
                     [connection, operation](const Result<Json> &response) {
                         if (!response) {
                             operation->handler(response.error());
                             return;
                         }
                         auto &items = operation->collected.items;
                         if (!takePage(*response, operation->range, items) || items.size() > operation->range.maxItems) {
                             operation->handler(make_error_code(PlatformError::Malformed));
                             return;
                         }
                         const auto last = response->find("LastEvaluatedKey");
                         operation->collected.isComplete = last == response->end();
                         if (operation->collected.isComplete || items.size() == operation->range.maxItems) {
                             operation->handler(std::move(operation->collected));
                             return;
                         }
                         const auto next = decodeItem(*last);
                         if (!next || (!items.empty() && next->key.sort < items.back().key.sort)) {
                             operation->handler(make_error_code(PlatformError::Malformed));
                             return;
                         }
                         queryPage(connection, operation, next->key);
                     });
}

void DynamoTableService::queryItems(KeyRange range, MonotonicTime deadline, Handler<Result<ItemPage>> handler)
{
    assert(range.maxItems > 0 && "a query asks for at least one item");
    const auto operation = std::make_shared<QueryOperation>(QueryOperation{std::move(range), deadline, std::move(handler), {}});
    queryPage(this->connection, operation, std::nullopt);
}

void DynamoTableService::writeTransaction(Transaction transaction, MonotonicTime deadline, Handler<Status> handler)
{
    this->connection->call("TransactWriteItems",
                           encodeTransactWriteItems(this->connection->tableName, transaction),
                           deadline,
                           [handler = std::move(handler)](const Result<Json> &response) {
                               handler(response ? Status() : response.error());
                           });
}

} // namespace rhubarbtiller::tablestore
