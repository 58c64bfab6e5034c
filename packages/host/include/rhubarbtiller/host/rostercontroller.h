#pragma once

#include <rhubarbtiller/base/random.h>
#include <rhubarbtiller/host/configcontroller.h>
#include <rhubarbtiller/host/leasecontroller.h>
#include <rhubarbtiller/tablestore/changelogstore.h>
#include <rhubarbtiller/tablestore/hostlist.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <map>
#include <optional>
#include <vector>

namespace rhubarbtiller::host {

/// Keeps the roster of hosts in the change log true: joins, removal of dead hosts, witnesses, snapshots.
///
/// Every host runs one; compare-and-set on the head decides between hosts that act at once, and each waits by its
/// rank so that usually only one acts. Thread safety: all methods on the control strand.
class RosterController
{
public:
    /// Precondition: \p controlStrand serialises all controllers; the references outlive this object.
    RosterController(asio::any_io_executor controlStrand,
                     const Clock &systemClock,
                     tablestore::ChangeLogStore &changeLog,
                     tablestore::HostList &platformHosts,
                     ConfigController &configController,
                     LeaseController &leaseController,
                     RandomSource &random,
                     std::uint32_t shardCount);

    /// Sets the row that this host puts into the roster. Precondition: called before the first onPolled().
    void setOwnRow(config::Host ownRow)
    {
        this->self = std::move(ownRow);
    }

    /// Looks for work; called after each poll of the store. Precondition: none.
    void onPolled();

    /// Stops to put this host into the roster. Precondition: none.
    void beginLeaving()
    {
        this->isLeaving = true;
    }

    /// Returns whether the roster shows this run of this host. Precondition: none.
    bool isListed() const;

private:
    asio::awaitable<void> work();
    std::vector<config::Mutation> joinMutations() const;
    std::vector<config::Mutation> witnessMutations();
    asio::awaitable<std::vector<config::Mutation>> removalMutations();
    asio::awaitable<void> append(std::vector<config::Mutation> mutations, const char *purpose);
    asio::awaitable<void> writeSnapshotIfDue();
    std::vector<config::Host> activeHosts() const;
    bool isDue(const char *purpose, std::size_t rank);

    asio::any_io_executor strand;
    const Clock &clock;
    tablestore::ChangeLogStore &store;
    tablestore::HostList &hostList;
    ConfigController &configs;
    LeaseController &leases;
    RandomSource &randomSource;
    config::Host self;
    std::uint32_t initialShardCount;
    /// When each kind of work is this host's turn, from when its need was first seen.
    std::map<std::string, MonotonicTime> dueAt;
    /// Since when each peer has been silent.
    std::map<HostId, MonotonicTime> silentSince;
    bool isWorking = false;
    bool isLeaving = false;
};

} // namespace rhubarbtiller::host
