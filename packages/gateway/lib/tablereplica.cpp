#include "tablereplica.h"

#include <algorithm>
#include <set>

namespace rhubarbtiller::gateway {

/// Length of the removal history; exceeds the number of servers that a fleet loses within the time that a peer may lag.
static constexpr std::size_t MaxRemovals = 1000;

/// Older rows have the same effect; bounds what a peer may send.
static constexpr std::chrono::milliseconds MaxRowAge = std::chrono::hours(24);

/// Records a change of the replica.
void TableReplica::recordChange(std::uint64_t version)
{
    if (this->newestChangeVersion == 0) {
        this->removalHistoryStart = version;
    }
    this->newestChangeVersion = version;
}

/// Records the removal of a row for peers that may have it, whether or not this replica had it.
void TableReplica::recordRemoval(const std::string &key, std::uint64_t version)
{
    this->removals.push_back({version, key});
    while (this->removals.size() > MaxRemovals) {
        this->removalHistoryStart = this->removals.front().version;
        this->removals.pop_front();
    }
}

/// Discards the removals up to \p version, since some before it are unknown.
void TableReplica::forgetRemovals(std::uint64_t version)
{
    this->removals.clear();
    this->removalHistoryStart = version;
}

bool TableReplica::upsert(const std::string &key, std::string value, std::uint64_t version, MonotonicTime receivedAt)
{
    auto &row = this->currentRows[key];
    if (row.version >= version) {
        return false;
    }
    row = {std::move(value), version, receivedAt};
    return true;
}

bool TableReplica::eraseRow(const std::string &key)
{
    auto node = this->currentRows.extract(key);
    if (node.empty()) {
        return false;
    }
    this->removed.insert(std::move(node));
    return true;
}

/// Erases the rows whose keys are not in \p keys; returns whether there were any.
bool TableReplica::eraseAllExcept(const std::set<std::string> &keys)
{
    std::vector<std::string> obsoleteKeys;
    for (const auto &[key, row] : this->currentRows) {
        if (!keys.contains(key)) {
            obsoleteKeys.push_back(key);
        }
    }
    for (const auto &key : obsoleteKeys) {
        this->eraseRow(key);
    }
    return !obsoleteKeys.empty();
}

bool TableReplica::replace(const SourceBatch &batch, MonotonicTime now)
{
    this->removed.clear();
    if (batch.version < this->watchPosition) {
        return false;
    }
    std::set<std::string> keys;
    for (const auto &row : batch.rows) {
        keys.insert(row.key);
        this->upsert(row.key, row.value, row.version, now);
    }
    this->eraseAllExcept(keys);
    this->watchPosition = batch.version;
    const bool isNewer = batch.version > this->newestChangeVersion;
    this->recordChange(batch.version);
    this->forgetRemovals(batch.version);
    return isNewer;
}

bool TableReplica::apply(const SourceBatch &batch, MonotonicTime now)
{
    this->removed.clear();
    bool hasChanged = false;
    // The response of a peer may have overtaken the batch; of its rows, those that the replica lacks have been removed since.
    const auto completeUntil = this->watchPosition;
    for (const auto &row : batch.rows) {
        if (!row.isRemoved && row.version <= completeUntil) {
            continue;
        }
        if (!row.isRemoved) {
            hasChanged = this->upsert(row.key, row.value, row.version, now) || hasChanged;
            continue;
        }
        const auto found = this->currentRows.find(row.key);
        if (found != this->currentRows.end() && found->second.version > row.version) {
            continue;
        }
        this->recordRemoval(row.key, std::max(completeUntil, batch.version));
        // A peer may have the row although this replica never did.
        hasChanged = this->eraseRow(row.key) || row.version > completeUntil || hasChanged;
    }
    this->watchPosition = std::max(this->watchPosition, batch.version);
    if (hasChanged) {
        this->recordChange(this->watchPosition);
    }
    return hasChanged;
}

bool TableReplica::applyPeerResponse(const wire::ReplicaAnswer &response, MonotonicTime now)
{
    this->removed.clear();
    const auto version = static_cast<std::uint64_t>(response.version);
    if (version <= this->newestChangeVersion || version < this->watchPosition) {
        return false;
    }
    bool hasChanged = false;
    for (const auto &key : response.removed) {
        this->recordRemoval(key, version);
        hasChanged = this->eraseRow(key) || hasChanged;
    }
    for (const auto &row : response.rows) {
        const auto receivedAt = now - std::min(MaxRowAge, std::chrono::milliseconds(std::max<std::int64_t>(0, row.ageMs)));
        hasChanged = this->upsert(row.key, row.value, static_cast<std::uint64_t>(row.version), receivedAt) || hasChanged;
    }
    if (response.__isset.keys) {
        hasChanged = this->eraseAllExcept({response.keys.begin(), response.keys.end()}) || hasChanged;
        this->forgetRemovals(version);
    }
    this->watchPosition = version;
    this->recordChange(version);
    return hasChanged;
}

wire::ReplicaAnswer TableReplica::changesSince(std::uint64_t after, MonotonicTime now) const
{
    wire::ReplicaAnswer response;
    response.version = static_cast<std::int64_t>(this->newestChangeVersion);
    const bool hasRemovalHistory = after >= this->removalHistoryStart && after > 0;
    response.__isset.keys = !hasRemovalHistory;
    response.__isset.removed = hasRemovalHistory;
    for (const auto &removal : this->removals) {
        // A key that was written again is among the rows, or the replica of the peer already contains it.
        if (hasRemovalHistory && removal.version > after && !this->currentRows.contains(removal.key)) {
            response.removed.push_back(removal.key);
        }
    }
    for (const auto &[key, row] : this->currentRows) {
        if (!hasRemovalHistory) {
            response.keys.push_back(key);
        }
        if (row.version <= after) {
            continue;
        }
        wire::ReplicaRow wireRow;
        wireRow.key = key;
        wireRow.value = row.value;
        wireRow.version = static_cast<std::int64_t>(row.version);
        wireRow.ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - row.receivedAt).count();
        response.rows.push_back(std::move(wireRow));
    }
    return response;
}

} // namespace rhubarbtiller::gateway
