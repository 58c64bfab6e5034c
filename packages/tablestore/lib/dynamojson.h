#pragma once

#include <rhubarbtiller/base/result.h>
#include <rhubarbtiller/tablestore/tableservice.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace rhubarbtiller::tablestore {

/// The names of the key attributes in the table.
inline constexpr const char *PartitionAttribute = "pk";
inline constexpr const char *SortAttribute = "sk";

/// Returns a key as the attributes of the JSON API. Thread safety: any thread.
nlohmann::json encodeKey(const ItemKey &key);

/// Returns an attribute value with its type, such as {"N":"5"}. Thread safety: any thread.
nlohmann::json encodeValue(const AttributeValue &value);

/// Returns an item with its key attributes. Thread safety: any thread.
nlohmann::json encodeItem(const Item &item);

/// Reads an item; nothing if it is malformed or has attributes of other types. Thread safety: any thread.
std::optional<Item> decodeItem(const nlohmann::json &json);

/// Returns the body of a GetItem call. Thread safety: any thread.
nlohmann::json encodeGetItem(const std::string &tableName, const ItemKey &key);

/// Returns the body of a Query call for the items of \p range behind \p startAfter, if that is set. Thread safety: any thread.
nlohmann::json
encodeQuery(const std::string &tableName, const KeyRange &range, std::uint32_t limit, const std::optional<ItemKey> &startAfter);

/// Returns the body of a TransactWriteItems call. Thread safety: any thread.
nlohmann::json encodeTransactWriteItems(const std::string &tableName, const Transaction &transaction);

} // namespace rhubarbtiller::tablestore
