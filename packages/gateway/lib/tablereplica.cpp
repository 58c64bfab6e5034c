#include "tablereplica.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace rhubarbtiller::gateway {

/// Length of the removal history, and number of removed rows that are kept; exceeds the number of servers that a fleet loses within the
/// time that a peer may lag.
static constexpr std::size_t MaxRemovals = 1000;

/// The store returns from copies that are some seconds old; removals before that are not in question.
static constexpr Duration ErasedRowRetention = std::chrono::seconds(60);

/// Bounds the memory for removed rows; the entry of a server takes a few hundred bytes.
static constexpr std::size_t MaxErasedRowBytes = 4096;

/// Older rows have the same effect; bounds what a peer may send.
static constexpr std::chrono::milliseconds MaxRowAge = std::chrono::hours(24);

StoreVersion toStoreVersion(std::int64_t era, std::int64_t number)
{
    const auto notNegative = [](std::int64_t value) {
        return static_cast<std::uint64_t>(std::max<std::int64_t>(0, value));
    };
    return {StoreEra(notNegative(era)), notNegative(number)};
}

TableReplica::TableReplica(SourceTable sourceTable, const StateDecoder &stateDecoder) : table(sourceTable), decoder(stateDecoder)
{
}

/// Records a change of the replica.
void TableReplica::recordChange(StoreVersion version)
{
    if (this->newestChangeVersion.number == 0) {
        this->removalHistoryStart = version;
    }
    this->newestChangeVersion = version;
}

/// Records the removal of a row for peers that may have it, whether or not this replica had it.
void TableReplica::recordRemoval(const std::string &key, StoreVersion version)
{
    this->removals.push_back({version, key});
    while (this->removals.size() > MaxRemovals) {
        this->removalHistoryStart = this->removals.front().version;
        this->removals.pop_front();
    }
}

/// Discards the removals up to \p version, since some before it are unknown.
void TableReplica::forgetRemovals(StoreVersion version)
{
    this->removals.clear();
    this->removalHistoryStart = version;
}

/// Begins the time in which rows of the new era may be older than those of the replica.
void TableReplica::beginEra(StoreVersion version, MonotonicTime now)
{
    this->eraBegin = version;
    this->rewrittenBy = now + RewriteTime;
    this->withheldUntil = now + EntryLifetime;
}

/// Returns whether \p offered is from before the removal of a row in an earlier era.
bool TableReplica::isWithheld(const std::string &key, const ReplicatedRow &offered, MonotonicTime now) const
{
    const auto found = this->erasedRows.find(key);
    if (now >= this->withheldUntil || found == this->erasedRows.end()) {
        return false;
    }
    const auto &erased = found->second.row;
    if (erased.version.era >= offered.version.era) {
        return false;
    }
    const auto order = this->decoder.compareValues(this->table, key, offered.value, erased.value);
    const bool isSameChange = offered.version.number == erased.version.number && offered.value == erased.value;
    return std::is_lteq(order) || (order == std::partial_ordering::unordered && isSameChange);
}

/// Returns whether a row of an earlier era was written later than \p offered, which is from the copy of the store or from its writer on the
/// way to the newest value.
bool TableReplica::staysInForce(const std::string &key, const ReplicatedRow &held, const ReplicatedRow &offered, MonotonicTime now) const
{
    const bool isRewriting = offered.version <= this->eraBegin || now < this->withheldUntil;
    return held.version.era != offered.version.era && isRewriting
        && std::is_gt(this->decoder.compareValues(this->table, key, held.value, offered.value));
}

/// Adds a row that may be older than the replica after a return of the store.
bool TableReplica::upsertOfTable(const std::string &key, ReplicatedRow offered, MonotonicTime now)
{
    if (!this->currentRows.contains(key) && this->isWithheld(key, offered, now)) {
        this->withheld[key] = std::move(offered);
        return false;
    }
    return this->upsert(key, std::move(offered), now);
}

bool TableReplica::upsert(const std::string &key, ReplicatedRow offered, MonotonicTime now)
{
    const auto [found, isNew] = this->currentRows.try_emplace(key);
    auto &row = found->second;
    if (!isNew) {
        if (row.version >= offered.version) {
            return false;
        }
        if (this->staysInForce(key, row, offered, now)) {
            this->unconfirmed.erase(key);
            return false;
        }
        if (row.version.era != offered.version.era && row.value == offered.value) {
            offered.receivedAt = row.receivedAt;
        }
    }
    row = std::move(offered);
    this->unconfirmed.erase(key);
    this->withheld.erase(key);
    this->erasedRows.erase(key);
    return true;
}

bool TableReplica::eraseRow(const std::string &key, MonotonicTime now)
{
    this->unconfirmed.erase(key);
    this->withheld.erase(key);
    auto node = this->currentRows.extract(key);
    if (node.empty()) {
        return false;
    }
    if (this->erasedRows.size() >= MaxRemovals) {
        std::erase_if(this->erasedRows, [now](const auto &entry) {
            return now - entry.second.erasedAt >= ErasedRowRetention;
        });
    }
    if (this->erasedRows.size() < MaxRemovals && node.mapped().value.size() <= MaxErasedRowBytes) {
        this->erasedRows[key] = {node.mapped(), now};
    }
    this->removed.insert(std::move(node));
    return true;
}

/// Erases the rows of era \p era whose keys are not in \p keys; returns whether there were any. Those of earlier eras stay until they had
/// the time to be written again.
bool TableReplica::eraseAllExcept(const std::set<std::string> &keys, StoreEra era, MonotonicTime now)
{
    std::vector<std::string> obsoleteKeys;
    for (const auto &[key, row] : this->currentRows) {
        if (keys.contains(key)) {
            continue;
        }
        if (row.version.era < era && now < this->rewrittenBy) {
            this->unconfirmed.insert(key);
        } else {
            obsoleteKeys.push_back(key);
        }
    }
    for (const auto &key : obsoleteKeys) {
        this->eraseRow(key, now);
    }
    std::erase_if(this->withheld, [&keys](const auto &row) {
        return !keys.contains(row.first);
    });
    return !obsoleteKeys.empty();
}

bool TableReplica::replace(const SourceBatch &batch, MonotonicTime now)
{
    this->removed.clear();
    const auto version = batch.storeVersion();
    if (version < this->watchPosition) {
        return false;
    }
    if (version.era != this->watchPosition.era) {
        this->beginEra(version, now);
    }
    std::set<std::string> keys;
    for (const auto &row : batch.rows) {
        keys.insert(row.key);
        this->upsertOfTable(row.key, {row.value, {batch.era, row.version}, now}, now);
    }
    const bool hasErased = this->eraseAllExcept(keys, batch.era, now);
    this->watchPosition = version;
    const bool isNewer = version > this->newestChangeVersion || hasErased;
    this->recordChange(version);
    this->forgetRemovals(version);
    return isNewer;
}

bool TableReplica::apply(const SourceBatch &batch, MonotonicTime now)
{
    this->removed.clear();
    assert(batch.era == this->watchPosition.era && "changes of another era follow a full read");
    bool hasChanged = false;
    // The response of a peer may have overtaken the batch; of its rows, those that the replica lacks have been removed since.
    const auto completeUntil = this->watchPosition;
    const auto version = batch.storeVersion();
    for (const auto &row : batch.rows) {
        const StoreVersion rowVersion{batch.era, row.version};
        if (!row.isRemoved && rowVersion <= completeUntil) {
            continue;
        }
        if (!row.isRemoved) {
            hasChanged = this->upsert(row.key, {row.value, rowVersion, now}, now) || hasChanged;
            continue;
        }
        const auto found = this->currentRows.find(row.key);
        if (found != this->currentRows.end() && found->second.version > rowVersion) {
            continue;
        }
        this->recordRemoval(row.key, std::max(completeUntil, version));
        // A peer may have the row although this replica never did.
        hasChanged = this->eraseRow(row.key, now) || rowVersion > completeUntil || hasChanged;
    }
    this->watchPosition = std::max(this->watchPosition, version);
    if (hasChanged) {
        this->recordChange(this->watchPosition);
    }
    return hasChanged;
}

/// Holds back the rows that the peer holds back.
void TableReplica::withhold(const wire::ReplicaAnswer &response, MonotonicTime now)
{
    if (response.withheld.empty()) {
        return;
    }
    const auto remaining = std::chrono::milliseconds(std::max(0, response.withheldMs));
    this->withheldUntil = std::max(this->withheldUntil, now + std::min<Duration>(remaining, EntryLifetime));
    for (const auto &key : response.withheld) {
        this->eraseRow(key, now);
        // The row follows unless this replica holds it back already.
        this->withheld.try_emplace(key);
    }
}

bool TableReplica::applyPeerResponse(const wire::ReplicaAnswer &response, MonotonicTime now)
{
    this->removed.clear();
    const auto version = toStoreVersion(response.era, response.version);
    if (version <= this->newestChangeVersion || version < this->watchPosition) {
        return false;
    }
    const bool isOtherEra = version.era != this->watchPosition.era;
    if (isOtherEra && !response.__isset.keys) {
        return false;
    }
    if (isOtherEra) {
        this->beginEra(version, now);
    }
    this->withhold(response, now);
    bool hasChanged = false;
    for (const auto &key : response.removed) {
        this->recordRemoval(key, version);
        hasChanged = this->eraseRow(key, now) || hasChanged;
    }
    for (const auto &row : response.rows) {
        const auto receivedAt = now - std::min(MaxRowAge, std::chrono::milliseconds(std::max<std::int64_t>(0, row.ageMs)));
        ReplicatedRow offered{row.value, toStoreVersion(row.era, row.version), receivedAt};
        if (this->withheld.contains(row.key)) {
            this->withheld[row.key] = std::move(offered);
        } else if (offered.version <= version) {
            hasChanged = this->upsertOfTable(row.key, std::move(offered), now) || hasChanged;
        }
    }
    if (response.__isset.keys) {
        hasChanged = this->eraseAllExcept({response.keys.begin(), response.keys.end()}, version.era, now) || hasChanged;
        this->forgetRemovals(version);
    }
    this->watchPosition = version;
    this->recordChange(version);
    return hasChanged || isOtherEra;
}

bool TableReplica::settle(MonotonicTime now)
{
    this->removed.clear();
    bool hasChanged = false;
    if (now >= this->rewrittenBy) {
        for (const auto &key : std::exchange(this->unconfirmed, {})) {
            hasChanged = this->eraseRow(key, now) || hasChanged;
        }
    }
    if (now >= this->withheldUntil) {
        for (auto &[key, row] : std::exchange(this->withheld, {})) {
            hasChanged = (row.version.number > 0 && this->upsert(key, std::move(row), now)) || hasChanged;
        }
    }
    return hasChanged;
}

wire::ReplicaAnswer TableReplica::changesSince(StoreVersion after, MonotonicTime now) const
{
    wire::ReplicaAnswer response;
    response.version = static_cast<std::int64_t>(this->newestChangeVersion.number);
    response.era = static_cast<std::int64_t>(this->newestChangeVersion.era.count());
    const bool hasRemovalHistory = after >= this->removalHistoryStart && after.number > 0;
    response.__isset.keys = !hasRemovalHistory;
    response.__isset.removed = hasRemovalHistory;
    for (const auto &removal : this->removals) {
        // A key that was written again is among the rows, or the replica of the peer already contains it.
        if (hasRemovalHistory && removal.version > after && !this->currentRows.contains(removal.key)) {
            response.removed.push_back(removal.key);
        }
    }
    const auto addRow = [&](const std::string &key, const ReplicatedRow &row) {
        if (!hasRemovalHistory) {
            response.keys.push_back(key);
        }
        if (row.version <= after) {
            return;
        }
        wire::ReplicaRow wireRow;
        wireRow.key = key;
        wireRow.value = row.value;
        wireRow.version = static_cast<std::int64_t>(row.version.number);
        wireRow.era = static_cast<std::int64_t>(row.version.era.count());
        wireRow.ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - row.receivedAt).count();
        response.rows.push_back(std::move(wireRow));
    };
    for (const auto &[key, row] : this->currentRows) {
        // The peer decides by itself how long it keeps a row that the store lacks.
        if (!this->unconfirmed.contains(key)) {
            addRow(key, row);
        }
    }
    for (const auto &[key, row] : this->withheld) {
        addRow(key, row);
        response.withheld.push_back(key);
    }
    response.__isset.withheld = !response.withheld.empty();
    response.withheldMs
        = static_cast<std::int32_t>(std::max<Duration>(Duration(0), this->withheldUntil - now) / std::chrono::milliseconds(1));
    return response;
}

} // namespace rhubarbtiller::gateway
