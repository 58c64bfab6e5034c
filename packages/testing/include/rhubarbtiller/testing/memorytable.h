#pragma once

#include <rhubarbtiller/tablestore/errors.h>
#include <rhubarbtiller/tablestore/tableservice.h>

#include <map>
#include <set>
#include <string>
#include <variant>

namespace rhubarbtiller::testing {

/// The items of a table in memory, with the conditions and transactions of the table service.
///
/// Thread safety: one thread.
class MemoryTable
{
public:
    /// Returns the item, or nullptr. Precondition: none.
    const tablestore::Item *find(const tablestore::ItemKey &key) const
    {
        const auto found = this->items.find(key);
        return found == this->items.end() ? nullptr : &found->second;
    }

    /// Returns the items of a range in order. Precondition: none.
    tablestore::ItemPage query(const tablestore::KeyRange &range) const
    {
        tablestore::ItemPage page;
        for (auto at = this->items.lower_bound({range.partition, range.first}); at != this->items.end(); ++at) {
            if (at->first.partition != range.partition || at->first.sort > range.last) {
                break;
            }
            if (page.items.size() == range.maxItems) {
                page.isComplete = false;
                break;
            }
            page.items.push_back(at->second);
        }
        return page;
    }

    /// Executes a transaction all or nothing; a token that was executed before succeeds without effect.
    Status write(const tablestore::Transaction &transaction)
    {
        if (this->executedTokens.contains(transaction.clientRequestToken)) {
            return {};
        }
        for (const auto &write : transaction.writes) {
            const bool holds = std::visit(
                [this](const auto &each) {
                    return this->conditionHolds(keyOf(each), each.condition);
                },
                write);
            if (!holds) {
                return tablestore::PlatformError::ConditionFailed;
            }
        }
        for (const auto &write : transaction.writes) {
            std::visit(
                [this](const auto &each) {
                    this->apply(each);
                },
                write);
        }
        if (!transaction.clientRequestToken.empty()) {
            this->executedTokens.insert(transaction.clientRequestToken);
        }
        ++this->writes;
        return {};
    }

    /// Forgets the tokens of executed transactions, as the service does after ten minutes.
    void forgetTokens()
    {
        this->executedTokens.clear();
    }

    /// Returns how many transactions took effect. Precondition: none.
    std::size_t writeCount() const
    {
        return this->writes;
    }

private:
    static const tablestore::ItemKey &keyOf(const tablestore::PutItem &put)
    {
        return put.item.key;
    }

    static const tablestore::ItemKey &keyOf(const tablestore::UpdateItem &update)
    {
        return update.key;
    }

    static const tablestore::ItemKey &keyOf(const tablestore::DeleteItem &deletion)
    {
        return deletion.key;
    }

    bool conditionHolds(const tablestore::ItemKey &key, const tablestore::Condition &condition) const
    {
        const tablestore::Item *item = this->find(key);
        if (std::holds_alternative<tablestore::ItemAbsent>(condition)) {
            return item == nullptr;
        }
        if (const auto *equals = std::get_if<tablestore::AttributeEquals>(&condition)) {
            if (!item) {
                return false;
            }
            const auto found = item->attributes.find(equals->name);
            return found != item->attributes.end() && found->second == equals->value;
        }
        return true;
    }

    void apply(const tablestore::PutItem &put)
    {
        this->items[put.item.key] = put.item;
    }

    void apply(const tablestore::UpdateItem &update)
    {
        auto &item = this->items[update.key];
        item.key = update.key;
        for (const auto &[name, value] : update.set) {
            item.attributes[name] = value;
        }
    }

    void apply(const tablestore::DeleteItem &deletion)
    {
        this->items.erase(deletion.key);
    }

    std::map<tablestore::ItemKey, tablestore::Item> items;
    std::set<std::string> executedTokens;
    std::size_t writes = 0;
};

} // namespace rhubarbtiller::testing
