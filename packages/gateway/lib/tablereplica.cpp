#include "tablereplica.h"

#include <algorithm>
#include <set>

namespace rhubarbtiller::gateway {

/// Removals that are kept; more than the servers that a fleet loses within the time that a peer may lag.
static constexpr std::size_t MaxRemovals = 1000;

/// Notes that the copy changed, with the rows that were removed in this call.
void TableReplica::changed(std::uint64_t version)
{
    if (this->changedAtVersion == 0) {
        this->removalsAfter = version;
    }
    this->changedAtVersion = version;
    for (const auto &[key, row] : this->removed) {
        this->removals.push_back({version, key});
    }
    while (this->removals.size() > MaxRemovals) {
        this->removalsAfter = this->removals.front().version;
        this->removals.pop_front();
    }
}

bool TableReplica::put(const std::string &key, std::string value, std::uint64_t version, MonotonicTime receivedAt)
{
    auto &row = this->held[key];
    if (row.version >= version) {
        return false;
    }
    row = {std::move(value), version, receivedAt};
    return true;
}

bool TableReplica::drop(const std::string &key)
{
    auto node = this->held.extract(key);
    if (node.empty()) {
        return false;
    }
    this->removed.insert(std::move(node));
    return true;
}

/// Drops the rows whose keys are not in the set; returns whether there were some.
bool TableReplica::dropAllBut(const std::set<std::string> &keys)
{
    std::vector<std::string> gone;
    for (const auto &[key, row] : this->held) {
        if (!keys.contains(key)) {
            gone.push_back(key);
        }
    }
    for (const auto &key : gone) {
        this->drop(key);
    }
    return !gone.empty();
}

bool TableReplica::replace(const SourceBatch &batch, MonotonicTime now)
{
    this->removed.clear();
    if (batch.version < this->followedTo) {
        return false;
    }
    bool hasChanged = false;
    std::set<std::string> keys;
    for (const auto &row : batch.rows) {
        keys.insert(row.key);
        hasChanged = this->put(row.key, row.value, row.version, now) || hasChanged;
    }
    hasChanged = this->dropAllBut(keys) || hasChanged;
    this->followedTo = batch.version;
    if (hasChanged) {
        this->changed(batch.version);
    }
    return hasChanged;
}

bool TableReplica::apply(const SourceBatch &batch, MonotonicTime now)
{
    this->removed.clear();
    bool hasChanged = false;
    for (const auto &row : batch.rows) {
        if (!row.isRemoved) {
            hasChanged = this->put(row.key, row.value, row.version, now) || hasChanged;
            continue;
        }
        const auto found = this->held.find(row.key);
        const bool isNewer = found != this->held.end() && found->second.version > row.version;
        hasChanged = (!isNewer && this->drop(row.key)) || hasChanged;
    }
    this->followedTo = std::max(this->followedTo, batch.version);
    if (hasChanged) {
        this->changed(this->followedTo);
    }
    return hasChanged;
}

bool TableReplica::adopt(const wire::ReplicaAnswer &answer, MonotonicTime now)
{
    this->removed.clear();
    const auto version = static_cast<std::uint64_t>(answer.version);
    if (version <= this->changedAtVersion || version < this->followedTo) {
        return false;
    }
    bool hasChanged = false;
    for (const auto &key : answer.removed) {
        hasChanged = this->drop(key) || hasChanged;
    }
    for (const auto &row : answer.rows) {
        const auto receivedAt = now - std::chrono::milliseconds(row.ageMs);
        hasChanged = this->put(row.key, row.value, static_cast<std::uint64_t>(row.version), receivedAt) || hasChanged;
    }
    if (answer.__isset.keys) {
        hasChanged = this->dropAllBut({answer.keys.begin(), answer.keys.end()}) || hasChanged;
    }
    this->followedTo = version;
    this->changed(version);
    return hasChanged;
}

wire::ReplicaAnswer TableReplica::answer(std::uint64_t after, MonotonicTime now) const
{
    wire::ReplicaAnswer answer;
    answer.version = static_cast<std::int64_t>(this->changedAtVersion);
    const bool knowsRemovals = after >= this->removalsAfter && after > 0;
    answer.__isset.keys = !knowsRemovals;
    answer.__isset.removed = knowsRemovals;
    for (const auto &removal : this->removals) {
        // A key that was written again is among the rows, or the peer has it already.
        if (knowsRemovals && removal.version > after && !this->held.contains(removal.key)) {
            answer.removed.push_back(removal.key);
        }
    }
    for (const auto &[key, row] : this->held) {
        if (!knowsRemovals) {
            answer.keys.push_back(key);
        }
        if (row.version <= after) {
            continue;
        }
        wire::ReplicaRow copy;
        copy.key = key;
        copy.value = row.value;
        copy.version = static_cast<std::int64_t>(row.version);
        copy.ageMs = std::chrono::duration_cast<std::chrono::milliseconds>(now - row.receivedAt).count();
        answer.rows.push_back(std::move(copy));
    }
    return answer;
}

} // namespace rhubarbtiller::gateway
