#include <rhubarbtiller/testing/dynamoendpoint.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <set>
#include <stdexcept>
#include <strings.h>
#include <utility>

namespace rhubarbtiller::testing {

using Json = nlohmann::json;

/// A call that the service would refuse with a ValidationException.
class InvalidCall : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

static const std::string TargetPrefix = "DynamoDB_20120810.";

static std::string header(const http::HttpRequest &request, const char *name)
{
    for (const auto &each : request.headers) {
        if (strcasecmp(each.name.c_str(), name) == 0) {
            return each.value;
        }
    }
    return {};
}

static bool isBase64(const std::string &text)
{
    if (text.size() % 4 != 0) {
        return false;
    }
    const auto end = text.find('=');
    const std::string letters = text.substr(0, end);
    const std::string padding = end == std::string::npos ? "" : text.substr(end);
    for (const unsigned char letter : letters) {
        if (!std::isalnum(letter) && letter != '+' && letter != '/') {
            return false;
        }
    }
    return padding.empty() || padding == "=" || padding == "==";
}

// Binary values are kept in their base64 form, because the endpoint only compares and returns them.
static tablestore::AttributeValue decodeValue(const Json &json)
{
    if (!json.is_object() || json.size() != 1) {
        throw InvalidCall("an attribute value must have one type");
    }
    if (json.contains("S")) {
        return json.at("S").get<std::string>();
    }
    if (json.contains("N")) {
        const auto text = json.at("N").get<std::string>();
        std::size_t used = 0;
        const std::int64_t number = std::stoll(text, &used);
        if (used != text.size()) {
            throw InvalidCall("a number must be an integer here");
        }
        return number;
    }
    if (json.contains("B")) {
        auto text = json.at("B").get<std::string>();
        if (!isBase64(text)) {
            throw InvalidCall("a binary value must be base64");
        }
        return tablestore::Binary{std::move(text)};
    }
    throw InvalidCall("unknown attribute type");
}

static Json encodeValue(const tablestore::AttributeValue &value)
{
    if (const auto *text = std::get_if<std::string>(&value)) {
        return {{"S", *text}};
    }
    if (const auto *number = std::get_if<std::int64_t>(&value)) {
        return {{"N", std::to_string(*number)}};
    }
    return {{"B", std::get<tablestore::Binary>(value).bytes}};
}

static std::string decodeString(const Json &json)
{
    const auto value = decodeValue(json);
    const auto *text = std::get_if<std::string>(&value);
    if (!text) {
        throw InvalidCall("a key must be a string");
    }
    return *text;
}

static tablestore::ItemKey decodeKey(const Json &json)
{
    tablestore::ItemKey key{decodeString(json.at("pk")), decodeString(json.at("sk"))};
    if (key.partition.empty() || key.sort.empty()) {
        throw InvalidCall("a key attribute must not be empty");
    }
    return key;
}

static tablestore::Item decodeItem(const Json &json)
{
    tablestore::Item item;
    item.key = decodeKey(json);
    for (const auto &[name, value] : json.items()) {
        if (name != "pk" && name != "sk") {
            item.attributes[name] = decodeValue(value);
        }
    }
    return item;
}

static Json encodeItem(const tablestore::Item &item)
{
    Json json = {{"pk", {{"S", item.key.partition}}}, {"sk", {{"S", item.key.sort}}}};
    for (const auto &[name, value] : item.attributes) {
        json[name] = encodeValue(value);
    }
    return json;
}

static std::vector<std::string> splitTokens(const std::string &expression)
{
    std::vector<std::string> tokens;
    std::string token;
    const auto flush = [&] {
        if (!token.empty()) {
            tokens.push_back(std::exchange(token, {}));
        }
    };
    for (const char letter : expression) {
        if (std::isspace(static_cast<unsigned char>(letter))) {
            flush();
        } else if (letter == '=' || letter == ',' || letter == '(' || letter == ')') {
            flush();
            tokens.emplace_back(1, letter);
        } else {
            token += letter;
        }
    }
    flush();
    return tokens;
}

static std::string resolveName(const Json &call, const std::string &token)
{
    if (token.rfind('#', 0) == 0) {
        return call.at("ExpressionAttributeNames").at(token).get<std::string>();
    }
    return token;
}

static tablestore::AttributeValue resolveValue(const Json &call, const std::string &token)
{
    if (token.rfind(':', 0) != 0) {
        throw InvalidCall("a value must be a placeholder");
    }
    return decodeValue(call.at("ExpressionAttributeValues").at(token));
}

static tablestore::Condition decodeCondition(const Json &call)
{
    if (!call.contains("ConditionExpression")) {
        return std::monostate{};
    }
    const auto tokens = splitTokens(call.at("ConditionExpression").get<std::string>());
    if (tokens.size() == 4 && tokens[0] == "attribute_not_exists" && resolveName(call, tokens[2]) == "pk") {
        return tablestore::ItemAbsent{};
    }
    if (tokens.size() == 3 && tokens[1] == "=") {
        return tablestore::AttributeEquals{resolveName(call, tokens[0]), resolveValue(call, tokens[2])};
    }
    throw InvalidCall("condition is not understood");
}

static tablestore::UpdateItem decodeUpdate(const Json &call)
{
    tablestore::UpdateItem update{decodeKey(call.at("Key")), {}, decodeCondition(call)};
    const auto tokens = splitTokens(call.at("UpdateExpression").get<std::string>());
    if (tokens.size() < 4 || tokens.size() % 4 != 0 || tokens[0] != "SET") {
        throw InvalidCall("update is not understood");
    }
    for (std::size_t at = 1; at + 2 < tokens.size(); at += 4) {
        if (tokens[at + 1] != "=" || (at + 3 < tokens.size() && tokens[at + 3] != ",")) {
            throw InvalidCall("update is not understood");
        }
        const auto name = resolveName(call, tokens[at]);
        if (name == "pk" || name == "sk") {
            throw InvalidCall("a key attribute cannot be updated");
        }
        update.set[name] = resolveValue(call, tokens[at + 2]);
    }
    return update;
}

static http::HttpResponse jsonResponse(int status, const Json &json)
{
    return {status, {{"Content-Type", "application/x-amz-json-1.0"}}, json.dump()};
}

static void requireTable(const Json &call)
{
    if (call.at("TableName").get<std::string>().empty()) {
        throw InvalidCall("no table");
    }
}

static http::HttpResponse getItem(const MemoryTable &table, const Json &call)
{
    requireTable(call);
    if (const auto *item = table.find(decodeKey(call.at("Key")))) {
        return jsonResponse(200, {{"Item", encodeItem(*item)}});
    }
    return jsonResponse(200, Json::object());
}

static http::HttpResponse query(const MemoryTable &table, const Json &call)
{
    // A response of the real service holds at most 1 MiB; a smaller page makes tests follow pages.
    static constexpr std::uint32_t MaxPage = 100;
    requireTable(call);
    const auto tokens = splitTokens(call.at("KeyConditionExpression").get<std::string>());
    if (tokens.size() != 9 || resolveName(call, tokens[0]) != "pk" || tokens[1] != "=" || tokens[3] != "AND"
        || resolveName(call, tokens[4]) != "sk" || tokens[5] != "BETWEEN" || tokens[7] != "AND") {
        throw InvalidCall("key condition is not understood");
    }
    tablestore::KeyRange range;
    const auto text = [&](const std::string &token) {
        return decodeString(call.at("ExpressionAttributeValues").at(token));
    };
    range.partition = text(tokens[2]);
    range.first = text(tokens[6]);
    range.last = text(tokens[8]);
    range.maxItems = std::min(MaxPage, call.value("Limit", MaxPage));
    if (call.contains("ExclusiveStartKey")) {
        // The first text after a key is the key with the smallest letter appended.
        range.first = decodeKey(call.at("ExclusiveStartKey")).sort + std::string(1, '\0');
    }
    const auto page = table.query(range);
    Json response = {{"Items", Json::array()}, {"Count", page.items.size()}};
    for (const auto &item : page.items) {
        response["Items"].push_back(encodeItem(item));
    }
    if (!page.isComplete && !page.items.empty()) {
        const auto &key = page.items.back().key;
        response["LastEvaluatedKey"] = {{"pk", {{"S", key.partition}}}, {"sk", {{"S", key.sort}}}};
    }
    return jsonResponse(200, response);
}

static tablestore::Transaction decodeTransaction(const Json &call)
{
    tablestore::Transaction transaction;
    transaction.clientRequestToken = call.value("ClientRequestToken", "");
    if (transaction.clientRequestToken.size() > 36) {
        throw InvalidCall("the client request token is too long");
    }
    std::set<tablestore::ItemKey> keys;
    for (const auto &element : call.at("TransactItems")) {
        requireTable(element.front());
        tablestore::ItemKey key;
        if (element.contains("Put")) {
            const auto &put = element.at("Put");
            tablestore::PutItem write{decodeItem(put.at("Item")), decodeCondition(put)};
            key = write.item.key;
            transaction.writes.emplace_back(std::move(write));
        } else if (element.contains("Update")) {
            auto write = decodeUpdate(element.at("Update"));
            key = write.key;
            transaction.writes.emplace_back(std::move(write));
        } else if (element.contains("Delete")) {
            const auto &deletion = element.at("Delete");
            tablestore::DeleteItem write{decodeKey(deletion.at("Key")), decodeCondition(deletion)};
            key = write.key;
            transaction.writes.emplace_back(std::move(write));
        } else {
            throw InvalidCall("a transaction element is not understood");
        }
        if (!keys.insert(key).second) {
            throw InvalidCall("Transaction request cannot include multiple operations on one item");
        }
    }
    if (transaction.writes.empty() || transaction.writes.size() > 100) {
        throw InvalidCall("a transaction has 1 to 100 elements");
    }
    return transaction;
}

http::HttpResponse DynamoEndpoint::errorResponse(int status, const std::string &type, const std::string &message)
{
    return jsonResponse(status, {{"__type", "com.amazonaws.dynamodb.v20120810#" + type}, {"message", message}});
}

bool DynamoEndpoint::isWrite(const http::HttpRequest &request)
{
    return header(request, "x-amz-target") == TargetPrefix + "TransactWriteItems";
}

http::HttpResponse DynamoEndpoint::handle(const http::HttpRequest &request)
{
    const std::string target = header(request, "x-amz-target");
    if (request.method != "POST" || header(request, "content-type") != "application/x-amz-json-1.0") {
        return errorResponse(400, "SerializationException", "not a call of the JSON API");
    }
    try {
        const Json call = Json::parse(request.body.text());
        if (target == TargetPrefix + "GetItem") {
            return getItem(this->items, call);
        }
        if (target == TargetPrefix + "Query") {
            return query(this->items, call);
        }
        if (target != TargetPrefix + "TransactWriteItems") {
            return errorResponse(400, "UnknownOperationException", "");
        }
        const auto transaction = decodeTransaction(call);
        if (const auto known = this->bodyByToken.find(transaction.clientRequestToken); known != this->bodyByToken.end()) {
            if (known->second != request.body.text()) {
                return errorResponse(400, "IdempotentParameterMismatchException", "the token was used with other parameters");
            }
            return jsonResponse(200, Json::object());
        }
        if (this->items.write(transaction)) {
            auto response = errorResponse(400, "TransactionCanceledException", "Transaction cancelled [ConditionalCheckFailed]");
            Json body = Json::parse(response.body);
            body["CancellationReasons"] = {{{"Code", "ConditionalCheckFailed"}, {"Message", "The conditional request failed"}}};
            response.body = body.dump();
            return response;
        }
        if (!transaction.clientRequestToken.empty()) {
            this->bodyByToken[transaction.clientRequestToken] = request.body.text();
        }
        return jsonResponse(200, Json::object());
    } catch (const Json::parse_error &failure) {
        return errorResponse(400, "SerializationException", failure.what());
    } catch (const std::exception &failure) {
        return errorResponse(400, "ValidationException", failure.what());
    }
}

} // namespace rhubarbtiller::testing
