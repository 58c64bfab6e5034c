#include "logitems.h"

#include <rhubarbtiller/base/digest.h>
#include <rhubarbtiller/config/codec.h>

#include <algorithm>
#include <cassert>
#include <cstdio>
#include <utility>

namespace rhubarbtiller::tablestore {

static constexpr const char *TablesVersionAttribute = "tablesVersion";
static constexpr const char *OperatorRevisionAttribute = "operatorRevision";
static constexpr const char *PartAttribute = "part";
static constexpr const char *PartCountAttribute = "partCount";
static constexpr const char *BodyAttribute = "body";

// An item of the table service holds at most 400 KB, names and key included.
static constexpr std::size_t MaxPartSize = 300 * 1000;

ItemKey headKey()
{
    return {LogPartition, "head"};
}

ItemKey changeKey(ConfigVersion version)
{
    char text[32];
    std::snprintf(text, sizeof(text), "change#%020llu", static_cast<unsigned long long>(version.count()));
    return {LogPartition, text};
}

static ItemKey partKey(ConfigVersion version, std::size_t part)
{
    auto key = changeKey(version);
    if (part > 0) {
        char text[32];
        std::snprintf(text, sizeof(text), "#%04zu", part);
        key.sort += text;
    }
    return key;
}

KeyRange changeRange(ConfigVersion first, ConfigVersion last)
{
    KeyRange range;
    range.partition = LogPartition;
    range.first = changeKey(first).sort;
    // "~" sorts behind the digits of every part.
    range.last = changeKey(last).sort + "#~";
    return range;
}

std::vector<Item> encodeChangeItems(const config::Change &change)
{
    const std::string body = config::encodeChange(change);
    const std::size_t count = std::max<std::size_t>(1, (body.size() + MaxPartSize - 1) / MaxPartSize);
    std::vector<Item> items;
    for (std::size_t part = 0; part < count; ++part) {
        Item item;
        item.key = partKey(change.version, part);
        item.attributes[VersionAttribute] = static_cast<std::int64_t>(change.version.count());
        item.attributes[ChangeIdAttribute] = change.id.text();
        item.attributes[PartAttribute] = static_cast<std::int64_t>(part);
        item.attributes[PartCountAttribute] = static_cast<std::int64_t>(count);
        // A part may end inside a character of several bytes, so it is not stored as text.
        item.attributes[BodyAttribute] = Binary{body.substr(part * MaxPartSize, MaxPartSize)};
        items.push_back(std::move(item));
    }
    return items;
}

static std::optional<std::uint64_t> positiveNumber(const Item &item, const char *name)
{
    const auto *number = item.findNumber(name);
    if (!number || *number < 0) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(*number);
}

bool takeChanges(std::vector<Item> &items, ConfigVersion next, std::vector<config::Change> &changes)
{
    std::size_t used = 0;
    while (used < items.size()) {
        const auto count = positiveNumber(items[used], PartCountAttribute);
        if (!count || *count == 0) {
            return false;
        }
        if (items.size() - used < *count) {
            break;
        }
        std::string body;
        for (std::size_t part = 0; part < *count; ++part) {
            const Item &item = items[used + part];
            const Binary *bytes = item.findBinary(BodyAttribute);
            if (item.key != partKey(next, part) || !bytes || positiveNumber(item, PartAttribute) != part) {
                return false;
            }
            body += bytes->bytes;
        }
        auto change = config::decodeChange(body);
        const std::string *id = items[used].findString(ChangeIdAttribute);
        if (!change || change->version != next || !id || change->id.text() != *id) {
            return false;
        }
        changes.push_back(std::move(change).value());
        used += *count;
        next = ConfigVersion(next.count() + 1);
    }
    items.erase(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(used));
    return true;
}

std::optional<LogHead> decodeHead(const Item &item)
{
    const auto version = positiveNumber(item, VersionAttribute);
    const auto tablesVersion = positiveNumber(item, TablesVersionAttribute);
    const auto operatorRevision = positiveNumber(item, OperatorRevisionAttribute);
    const auto snapshotVersion = positiveNumber(item, SnapshotVersionAttribute);
    const auto *digest = item.findString(SnapshotDigestAttribute);
    if (!version || !tablesVersion || !operatorRevision || !snapshotVersion || (*snapshotVersion > 0 && !digest)) {
        return std::nullopt;
    }
    return LogHead{ConfigVersion(*version),
                   ConfigVersion(*tablesVersion),
                   ConfigVersion(*operatorRevision),
                   ConfigVersion(*snapshotVersion),
                   digest ? *digest : ""};
}

static config::Table tableOf(const config::Mutation &mutation)
{
    if (const auto *put = std::get_if<config::PutRow>(&mutation)) {
        return config::tableOf(put->row);
    }
    return std::get<config::DeleteRow>(mutation).table;
}

Write advanceHead(const config::Change &change, ConfigVersion expected)
{
    const auto version = static_cast<std::int64_t>(change.version.count());
    const bool changesTables = std::any_of(change.mutations.begin(), change.mutations.end(), [](const auto &mutation) {
        return tableOf(mutation) == config::Table::Routes || tableOf(mutation) == config::Table::Pools;
    });
    const bool changesOperatorTables = std::any_of(change.mutations.begin(), change.mutations.end(), [](const auto &mutation) {
        return tableOf(mutation) != config::Table::Hosts && tableOf(mutation) != config::Table::FleetParameters;
    });
    Attributes attributes = {{VersionAttribute, version}};
    if (changesTables) {
        attributes[TablesVersionAttribute] = version;
    }
    if (changesOperatorTables) {
        attributes[OperatorRevisionAttribute] = version;
    }
    if (expected.count() > 0) {
        return UpdateItem{headKey(), std::move(attributes), AttributeEquals{VersionAttribute, static_cast<std::int64_t>(expected.count())}};
    }
    attributes.emplace(TablesVersionAttribute, std::int64_t{0});
    attributes.emplace(OperatorRevisionAttribute, std::int64_t{0});
    attributes.emplace(SnapshotVersionAttribute, std::int64_t{0});
    return PutItem{Item{headKey(), std::move(attributes)}, ItemAbsent{}};
}

Transaction appendTransaction(const config::Change &change, ConfigVersion expected)
{
    assert(change.version.count() == expected.count() + 1 && "a change stands one version behind the expected head");
    Transaction transaction;
    for (auto &item : encodeChangeItems(change)) {
        transaction.writes.emplace_back(PutItem{std::move(item), ItemAbsent{}});
    }
    transaction.writes.push_back(advanceHead(change, expected));
    transaction.clientRequestToken = requestToken("append#" + std::to_string(change.version.count()) + "#" + change.id.text());
    return transaction;
}

std::string requestToken(const std::string &text)
{
    return sha256Hex(text).substr(0, 32);
}

} // namespace rhubarbtiller::tablestore
