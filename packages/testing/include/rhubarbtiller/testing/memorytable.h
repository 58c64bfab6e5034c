#pragma once

#include <rhubarbtiller/platform/errors.h>
#include <rhubarbtiller/platform/tableservice.h>

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
    const platform::Item *find(const platform::ItemKey &key) const
    {
        const auto found = this->items.find(key);
        return found == this->items.end() ? nullptr : &found->second;
    }

    /// Returns the items of a range in order. Precondition: none.
    platform::ItemPage query(const platform::KeyRange &range) const
    {
        platform::ItemPage page;
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
    Status write(const platform::Transaction &transaction)
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
                return platform::PlatformError::ConditionFailed;
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
    static const platform::ItemKey &keyOf(const platform::PutItem &put)
    {
        return put.item.key;
    }

    static const platform::ItemKey &keyOf(const platform::UpdateItem &update)
    {
        return update.key;
    }

    static const platform::ItemKey &keyOf(const platform::DeleteItem &deletion)
    {
        return deletion.key;
    }

    bool conditionHolds(const platform::ItemKey &key, const platform::Condition &condition) const
    {
        const platform::Item *item = this->find(key);
        if (std::holds_alternative<platform::ItemAbsent>(condition)) {
            return item == nullptr;
        }
        if (const auto *equals = std::get_if<platform::AttributeEquals>(&condition)) {
            if (!item) {
                return false;
            }
            const auto found = item->attributes.find(equals->name);
            return found != item->attributes.end() && found->second == equals->value;
        }
        return true;
    }

    void apply(const platform::PutItem &put)
    {
        this->items[put.item.key] = put.item;
    }

    void apply(const platform::UpdateItem &update)
    {
        auto &item = this->items[update.key];
        item.key = update.key;
        for (const auto &[name, value] : update.set) {
            item.attributes[name] = value;
        }
    }

    void apply(const platform::DeleteItem &deletion)
    {
        this->items.erase(deletion.key);
    }

    std::map<platform::ItemKey, platform::Item> items;
    std::set<std::string> executedTokens;
    std::size_t writes = 0;
};

} // namespace rhubarbtiller::testing
