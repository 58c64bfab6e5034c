#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

namespace rhubarbtiller::config {

/// An immutable table that shares its unchanged parts with the table it was made from.
///
/// A change of one row copies one of 256 parts, so it costs a small part of a table of 22,000 organisations.
/// Thread safety: reading from any thread; with() and without() return a new table.
template<class Key, class Row>
class ShardedTable
{
public:
    static constexpr std::size_t PartCount = 256;

    /// Returns the row with this key, or nullptr. Precondition: none.
    const Row *find(const Key &key) const
    {
        const auto &part = this->parts[partOf(key)];
        if (!part) {
            return nullptr;
        }
        const auto found = part->find(key);
        return found == part->end() ? nullptr : &found->second;
    }

    /// Returns a table in which \p row stands under \p key. Precondition: none.
    ShardedTable with(const Key &key, Row row) const
    {
        ShardedTable changed = *this;
        auto part = this->copyPart(key);
        if (!part->insert_or_assign(key, std::move(row)).second) {
            --changed.rowCount;
        }
        ++changed.rowCount;
        changed.parts[partOf(key)] = std::move(part);
        return changed;
    }

    /// Returns a table without the row under \p key. Precondition: none.
    ShardedTable without(const Key &key) const
    {
        if (!this->find(key)) {
            return *this;
        }
        ShardedTable changed = *this;
        auto part = this->copyPart(key);
        part->erase(key);
        --changed.rowCount;
        changed.parts[partOf(key)] = std::move(part);
        return changed;
    }

    /// Returns the number of rows. Precondition: none.
    std::size_t size() const
    {
        return this->rowCount;
    }

    /// Calls \p visit with each key and row, in no particular order. Precondition: none.
    template<class Visitor>
    void forEach(Visitor visit) const
    {
        for (const auto &part : this->parts) {
            if (!part) {
                continue;
            }
            for (const auto &[key, row] : *part) {
                visit(key, row);
            }
        }
    }

private:
    using Part = std::unordered_map<Key, Row>;

    static std::size_t partOf(const Key &key)
    {
        return std::hash<Key>{}(key) % PartCount;
    }

    std::shared_ptr<Part> copyPart(const Key &key) const
    {
        const auto &part = this->parts[partOf(key)];
        return part ? std::make_shared<Part>(*part) : std::make_shared<Part>();
    }

    std::array<std::shared_ptr<const Part>, PartCount> parts;
    std::size_t rowCount = 0;
};

} // namespace rhubarbtiller::config
