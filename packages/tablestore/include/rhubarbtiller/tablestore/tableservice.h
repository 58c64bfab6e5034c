#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/result.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace rhubarbtiller::tablestore {

/// Receives the outcome of an asynchronous call; runs exactly once, on any thread.
template<class Outcome>
using Handler = std::function<void(Outcome)>;

/// The primary key of an item.
struct ItemKey
{
    std::string partition;
    std::string sort;

    auto operator<=>(const ItemKey &) const = default;
};

/// Bytes without a text encoding.
struct Binary
{
    std::string bytes;

    bool operator==(const Binary &) const = default;
};

using AttributeValue = std::variant<std::string, std::int64_t, Binary>;
using Attributes = std::map<std::string, AttributeValue>;

/// One entry of a table.
struct Item
{
    ItemKey key;
    Attributes attributes;

    bool operator==(const Item &) const = default;

    /// Returns the text of an attribute, or nullptr if it is missing or of another kind. Precondition: none.
    const std::string *findString(const std::string &name) const;

    /// Returns the number of an attribute, or nullptr if it is missing or of another kind. Precondition: none.
    const std::int64_t *findNumber(const std::string &name) const;

    /// Returns the bytes of an attribute, or nullptr if it is missing or of another kind. Precondition: none.
    const Binary *findBinary(const std::string &name) const;
};

/// Items of one partition with a sort key from \c first to \c last, both included.
struct KeyRange
{
    std::string partition;
    std::string first;
    std::string last;
    /// The most items that one call returns.
    std::uint32_t maxItems = 1000;
};

/// The items of a range in the order of their sort keys.
struct ItemPage
{
    std::vector<Item> items;
    /// False if the range may go on after the last item; the next call starts behind it.
    bool isComplete = true;
};

/// Holds if no item stands under the key.
struct ItemAbsent
{
    bool operator==(const ItemAbsent &) const = default;
};

/// Holds if the item exists and has this attribute with this value.
struct AttributeEquals
{
    std::string name;
    AttributeValue value;

    bool operator==(const AttributeEquals &) const = default;
};

/// A condition on the stored item of a write; std::monostate always holds.
using Condition = std::variant<std::monostate, ItemAbsent, AttributeEquals>;

/// Stores an item in place of any item with the same key.
struct PutItem
{
    Item item;
    Condition condition;
};

/// Sets attributes of an item and keeps its other attributes; makes the item if it does not exist.
struct UpdateItem
{
    ItemKey key;
    Attributes set;
    Condition condition;
};

/// Removes an item; removing an item that does not exist changes nothing.
struct DeleteItem
{
    ItemKey key;
    Condition condition;
};

using Write = std::variant<PutItem, UpdateItem, DeleteItem>;

/// Writes that take effect all together or not at all.
struct Transaction
{
    /// At most 100 writes, each of another item.
    std::vector<Write> writes;
    /// Identifies the transaction, 1 to 36 characters; the service executes repetitions with the same token once, for ten minutes.
    std::string clientRequestToken;
};

/// The platform's transactional table service.
///
/// All errors are of PlatformError. Thread safety: any thread; handlers run exactly once and may run before the call returns.
class TableService
{
public:
    TableService() = default;
    TableService(const TableService &) = delete;
    TableService &operator=(const TableService &) = delete;
    virtual ~TableService() = default;

    /// Reads an item consistently: the result contains every write that had succeeded before the call.
    ///
    /// Ends with NotFound if there is no item. Precondition: none. Thread safety: any thread.
    virtual void readItem(ItemKey key, MonotonicTime deadline, Handler<Result<Item>> handler) = 0;

    /// Reads the items of a range consistently and in order. Precondition: first <= last, maxItems > 0. Thread safety: any thread.
    virtual void queryItems(KeyRange range, MonotonicTime deadline, Handler<Result<ItemPage>> handler) = 0;

    /// Executes a transaction.
    ///
    /// The outcome is unknown if isOutcomeUnknown() says so. Precondition: the limits of Transaction. Thread safety: any thread.
    virtual void writeTransaction(Transaction transaction, MonotonicTime deadline, Handler<Status> handler) = 0;
};

} // namespace rhubarbtiller::tablestore
