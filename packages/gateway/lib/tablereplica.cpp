#include "tablereplica.h"

#include <algorithm>
#include <set>

namespace rhubarbtiller::gateway {

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
        this->changedAtVersion = batch.version;
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
        this->changedAtVersion = this->followedTo;
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
    for (const auto &row : answer.rows) {
        const auto receivedAt = now - std::chrono::milliseconds(row.ageMs);
        hasChanged = this->put(row.key, row.value, static_cast<std::uint64_t>(row.version), receivedAt) || hasChanged;
    }
    const std::set<std::string> keys(answer.keys.begin(), answer.keys.end());
    hasChanged = this->dropAllBut(keys) || hasChanged;
    this->followedTo = version;
    this->changedAtVersion = version;
    return hasChanged;
}

wire::ReplicaAnswer TableReplica::answer(std::uint64_t after, MonotonicTime now) const
{
    wire::ReplicaAnswer answer;
    answer.version = static_cast<std::int64_t>(this->changedAtVersion);
    for (const auto &[key, row] : this->held) {
        answer.keys.push_back(key);
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
