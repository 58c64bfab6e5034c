#pragma once

#include <rhubarbtiller/gateway/statesource.h>

#include <fleet_types.h>

#include <deque>
#include <set>

namespace rhubarbtiller::gateway {

/// Returns the version in a message of a peer. Precondition: none. Thread safety: any thread.
StoreVersion toStoreVersion(std::int64_t era, std::int64_t number);

/// A replica of one table of the store, updated by the store or by a peer with a newer replica.
///
/// When the store returns from an older copy, its rows of the new era may be older than those of the replica, until their writers have
/// written them again. A row stays as it is while the store has an older value of it, unless that was written long after the return; a row
/// that the store lacks stays for RewriteTime, and one that was removed before stays removed for EntryLifetime. Thread safety: one thread.
class TableReplica
{
public:
    /// What the store lost is written again within this time after its return.
    static constexpr Duration RewriteTime = std::chrono::milliseconds(2200);

    /// The store removes an entry that its server does not write again within this time; three heartbeats of a server and a margin.
    static constexpr Duration EntryLifetime = std::chrono::milliseconds(6000);

    /// Precondition: \p stateDecoder outlives the replica.
    TableReplica(SourceTable sourceTable, const StateDecoder &stateDecoder);

    /// Replaces the replica by the full table; returns whether it was newer. A batch older than the replica is ignored.
    ///
    /// Precondition: \p now does not go back.
    bool replace(const SourceBatch &batch, MonotonicTime now);

    /// Applies changes; returns whether the replica changed. Precondition: the batch follows position(), in the same era.
    bool apply(const SourceBatch &batch, MonotonicTime now);

    /// Applies the response of a peer; returns whether the replica changed. Precondition: the request contained version().
    bool applyPeerResponse(const wire::ReplicaAnswer &response, MonotonicTime now);

    /// Removes the rows that nobody wrote again after a return of the store, and adds those that the store still has; returns whether the
    /// replica changed. Precondition: \p now does not go back.
    bool settle(MonotonicTime now);

    /// Returns the changes after version \p after, for a peer. Precondition: none.
    wire::ReplicaAnswer changesSince(StoreVersion after, MonotonicTime now) const;

    /// Returns the store's version at the newest change in the replica; number 0 if there is none. Precondition: none.
    StoreVersion version() const
    {
        return this->newestChangeVersion;
    }

    /// Returns the version after which to request changes. Precondition: none.
    StoreVersion position() const
    {
        return this->watchPosition;
    }

    const ReplicatedRows &rows() const
    {
        return this->currentRows;
    }

    /// Returns the rows that the last call of replace(), apply(), applyPeerResponse() or settle() removed. Precondition: none.
    const ReplicatedRows &removedRows() const
    {
        return this->removed;
    }

private:
    struct Removal
    {
        StoreVersion version;
        std::string key;
    };

    /// A row as it was when it was removed.
    struct ErasedRow
    {
        ReplicatedRow row;
        MonotonicTime erasedAt{};
    };

    void recordChange(StoreVersion version);
    void recordRemoval(const std::string &key, StoreVersion version);
    void forgetRemovals(StoreVersion version);
    void beginEra(StoreVersion version, MonotonicTime now);
    bool staysInForce(const std::string &key, const ReplicatedRow &held, const ReplicatedRow &offered, MonotonicTime now) const;
    bool isWithheld(const std::string &key, const ReplicatedRow &offered, MonotonicTime now) const;
    bool upsertOfTable(const std::string &key, ReplicatedRow offered, MonotonicTime now);
    bool upsert(const std::string &key, ReplicatedRow offered, MonotonicTime now);
    void withhold(const wire::ReplicaAnswer &response, MonotonicTime now);
    bool eraseRow(const std::string &key, MonotonicTime now);
    bool eraseAllExcept(const std::set<std::string> &keys, StoreEra era, MonotonicTime now);

    const SourceTable table;
    const StateDecoder &decoder;
    ReplicatedRows currentRows;
    ReplicatedRows removed;
    /// Recent removals, oldest first, for peers that are slightly behind; also of rows that this replica never had.
    std::deque<Removal> removals;
    /// Removals up to this version are not in the history.
    StoreVersion removalHistoryStart;
    StoreVersion newestChangeVersion;
    StoreVersion watchPosition;
    /// Rows that were removed recently, by which rows of an older copy are recognized.
    std::map<std::string, ErasedRow> erasedRows;
    /// Rows that the store lacks since its return; they stay until rewrittenBy.
    std::set<std::string> unconfirmed;
    MonotonicTime rewrittenBy{};
    /// Rows that the store still lists since its return although they were removed before; they count from withheldUntil on.
    ReplicatedRows withheld;
    MonotonicTime withheldUntil{};
    /// The position at the first read of the current era; later rows are from after the return of the store.
    StoreVersion eraBegin;
};

} // namespace rhubarbtiller::gateway
