#pragma once

#include <rhubarbtiller/gateway/statesource.h>

#include <fleet_types.h>

#include <deque>

namespace rhubarbtiller::gateway {

/// A replica of one table of the store, updated by the store or by a peer with a newer replica.
///
/// Thread safety: one thread.
class TableReplica
{
public:
    /// Replaces the replica by the full table; returns whether it was newer. A batch older than the replica is ignored.
    ///
    /// Precondition: \p now does not go back.
    bool replace(const SourceBatch &batch, MonotonicTime now);

    /// Applies changes; returns whether the replica changed. Precondition: the batch follows position().
    bool apply(const SourceBatch &batch, MonotonicTime now);

    /// Applies the response of a peer; returns whether the replica changed. Precondition: the request contained version().
    bool applyPeerResponse(const wire::ReplicaAnswer &response, MonotonicTime now);

    /// Returns the changes after version \p after, for a peer. Precondition: none.
    wire::ReplicaAnswer changesSince(std::uint64_t after, MonotonicTime now) const;

    /// Returns the store's version at the newest change in the replica; 0 if there is none. Precondition: none.
    std::uint64_t version() const
    {
        return this->newestChangeVersion;
    }

    /// Returns the version after which to request changes. Precondition: none.
    std::uint64_t position() const
    {
        return this->watchPosition;
    }

    const ReplicatedRows &rows() const
    {
        return this->currentRows;
    }

    /// Returns the rows that the last call of replace(), apply() or applyPeerResponse() removed. Precondition: none.
    const ReplicatedRows &removedRows() const
    {
        return this->removed;
    }

private:
    struct Removal
    {
        std::uint64_t version = 0;
        std::string key;
    };

    void recordChange(std::uint64_t version);
    void recordRemoval(const std::string &key, std::uint64_t version);
    void forgetRemovals(std::uint64_t version);
    bool upsert(const std::string &key, std::string value, std::uint64_t version, MonotonicTime receivedAt);
    bool eraseRow(const std::string &key);
    bool eraseAllExcept(const std::set<std::string> &keys);

    ReplicatedRows currentRows;
    ReplicatedRows removed;
    /// Recent removals, oldest first, for peers that are slightly behind; also of rows that this replica never had.
    std::deque<Removal> removals;
    /// Removals up to this version are not in the history.
    std::uint64_t removalHistoryStart = 0;
    std::uint64_t newestChangeVersion = 0;
    std::uint64_t watchPosition = 0;
};

} // namespace rhubarbtiller::gateway
