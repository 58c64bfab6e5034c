#include "dynamojson.h"

#include <openssl/evp.h>

#include <charconv>

namespace rhubarbtiller::tablestore {

using Json = nlohmann::json;

static std::string encodeBase64(const std::string &bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

static std::optional<std::string> decodeBase64(const std::string &text)
{
    if (text.empty()) {
        return std::string();
    }
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0 || text.size() % 4 != 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock counts the padding as zero bytes.
    std::size_t padding = 0;
    if (text.back() == '=') {
        padding = text[text.size() - 2] == '=' ? 2 : 1;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

Json encodeValue(const AttributeValue &value)
{
    if (const auto *text = std::get_if<std::string>(&value)) {
        return {{"S", *text}};
    }
    if (const auto *number = std::get_if<std::int64_t>(&value)) {
        return {{"N", std::to_string(*number)}};
    }
    return {{"B", encodeBase64(std::get<Binary>(value).bytes)}};
}

static std::optional<AttributeValue> decodeValue(const Json &json)
{
    if (!json.is_object() || json.size() != 1 || !json.begin().value().is_string()) {
        return std::nullopt;
    }
    const std::string &type = json.begin().key();
    const auto text = json.begin().value().get<std::string>();
    if (type == "S") {
        return text;
    }
    if (type == "N") {
        std::int64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size()) {
            return std::nullopt;
        }
        return number;
    }
    if (type == "B") {
        if (auto bytes = decodeBase64(text)) {
            return Binary{std::move(*bytes)};
        }
    }
    return std::nullopt;
}

Json encodeKey(const ItemKey &key)
{
    return {{PartitionAttribute, encodeValue(key.partition)}, {SortAttribute, encodeValue(key.sort)}};
}

Json encodeItem(const Item &item)
{
    Json json = encodeKey(item.key);
    for (const auto &[name, value] : item.attributes) {
        json[name] = encodeValue(value);
    }
    return json;
}

std::optional<Item> decodeItem(const Json &json)
{
    if (!json.is_object()) {
        return std::nullopt;
    }
    Item item;
    for (const auto &[name, encoded] : json.items()) {
        auto value = decodeValue(encoded);
        if (!value) {
            return std::nullopt;
        }
        item.attributes.emplace(name, std::move(*value));
    }
    const std::string *partition = item.findString(PartitionAttribute);
    const std::string *sort = item.findString(SortAttribute);
    if (!partition || !sort) {
        return std::nullopt;
    }
    item.key = {*partition, *sort};
    item.attributes.erase(PartitionAttribute);
    item.attributes.erase(SortAttribute);
    return item;
}

Json encodeGetItem(const std::string &tableName, const ItemKey &key)
{
    return {{"TableName", tableName}, {"Key", encodeKey(key)}, {"ConsistentRead", true}};
}

Json encodeQuery(const std::string &tableName, const KeyRange &range, std::uint32_t limit, const std::optional<ItemKey> &startAfter)
{
    Json call = {{"TableName", tableName},
                 {"ConsistentRead", true},
                 {"Limit", limit},
                 {"KeyConditionExpression", "#pk = :pk AND #sk BETWEEN :first AND :last"},
                 {"ExpressionAttributeNames", {{"#pk", PartitionAttribute}, {"#sk", SortAttribute}}},
                 {"ExpressionAttributeValues",
                  {{":pk", encodeValue(range.partition)}, {":first", encodeValue(range.first)}, {":last", encodeValue(range.last)}}}};
    if (startAfter) {
        call["ExclusiveStartKey"] = encodeKey(*startAfter);
    }
    return call;
}

static void encodeCondition(const Condition &condition, Json &call)
{
    if (std::holds_alternative<ItemAbsent>(condition)) {
        call["ConditionExpression"] = "attribute_not_exists(#pk)";
        call["ExpressionAttributeNames"]["#pk"] = PartitionAttribute;
    } else if (const auto *equals = std::get_if<AttributeEquals>(&condition)) {
        call["ConditionExpression"] = "#condition = :condition";
        call["ExpressionAttributeNames"]["#condition"] = equals->name;
        call["ExpressionAttributeValues"][":condition"] = encodeValue(equals->value);
    }
}

static Json encodeWrite(const std::string &tableName, const PutItem &put)
{
    Json call = {{"TableName", tableName}, {"Item", encodeItem(put.item)}};
    encodeCondition(put.condition, call);
    return {{"Put", std::move(call)}};
}

static Json encodeWrite(const std::string &tableName, const UpdateItem &update)
{
    Json call = {{"TableName", tableName}, {"Key", encodeKey(update.key)}};
    encodeCondition(update.condition, call);
    std::string expression;
    std::size_t position = 0;
    for (const auto &[name, value] : update.set) {
        const std::string number = std::to_string(position++);
        expression += expression.empty() ? "SET #set" : ", #set";
        expression += number;
        expression += " = :set";
        expression += number;
        call["ExpressionAttributeNames"]["#set" + number] = name;
        call["ExpressionAttributeValues"][":set" + number] = encodeValue(value);
    }
    if (!expression.empty()) {
        call["UpdateExpression"] = std::move(expression);
    }
    return {{"Update", std::move(call)}};
}

static Json encodeWrite(const std::string &tableName, const DeleteItem &deletion)
{
    Json call = {{"TableName", tableName}, {"Key", encodeKey(deletion.key)}};
    encodeCondition(deletion.condition, call);
    return {{"Delete", std::move(call)}};
}

Json encodeTransactWriteItems(const std::string &tableName, const Transaction &transaction)
{
    Json elements = Json::array();
    for (const auto &write : transaction.writes) {
        elements.push_back(std::visit(
            [&tableName](const auto &each) {
                return encodeWrite(tableName, each);
            },
            write));
    }
    return {{"TransactItems", std::move(elements)}, {"ClientRequestToken", transaction.clientRequestToken}};
}

} // namespace rhubarbtiller::tablestore
