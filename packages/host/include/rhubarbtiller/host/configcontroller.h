#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/blackboard/blackboard.h>
#include <rhubarbtiller/host/leasecontroller.h>
#include <rhubarbtiller/peer/peernetwork.h>
#include <rhubarbtiller/tablestore/changelogstore.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <functional>

namespace rhubarbtiller::peer::wire {
class ConfigRequest;
} // namespace rhubarbtiller::peer::wire

namespace rhubarbtiller::host {

/// Follows the change log: reads the head every second, applies new changes and publishes the routing view.
///
/// Versions only rise. While the store does not answer, missing changes are read from peers; they are safe to apply,
/// since a change is in the log before any host can have it.
/// Thread safety: all methods on the control strand.
class ConfigController
{
public:
    /// Precondition: \p controlStrand serialises all controllers; the references outlive this object.
    ConfigController(asio::any_io_executor controlStrand,
                     const Clock &systemClock,
                     tablestore::ChangeLogStore &changeLog,
                     peer::PeerNetwork &peerNetwork,
                     blackboard::Blackboard &blackboard,
                     LeaseController &leaseController,
                     std::chrono::milliseconds pollEvery);

    /// Begins to poll. Precondition: called once.
    void start();

    /// Stops polling. Precondition: none.
    void stop();

    /// Polls at once, because a newer version is known to exist. Precondition: none.
    void pollSoon();

    /// Answers a peer that is behind. Precondition: none.
    void onConfigRequest(const peer::wire::ConfigRequest &message, const peer::PeerReplyFunction &reply) const;

    /// Returns the last head that was read, and whether the last read succeeded. Precondition: none.
    const tablestore::LogHead &head() const
    {
        return this->lastHead;
    }

    bool isStoreReachable() const
    {
        return this->storeReachable;
    }

    /// Returns the error of the last read of the store; unset if it succeeded. Precondition: none.
    std::error_code storeError() const
    {
        return this->lastError;
    }

    /// Returns the applied version. Precondition: none. Thread safety: any thread.
    ConfigVersion appliedVersion() const
    {
        const auto view = this->board.routing.read();
        return view ? view->snapshot->version() : ConfigVersion();
    }

    /// Returns the applied snapshot; version 0 before the first. Precondition: none.
    const std::shared_ptr<const config::Snapshot> &snapshot() const
    {
        return this->current;
    }

    /// Has \p handler called after each poll. Precondition: called before start().
    void onPolled(std::function<void()> handler)
    {
        this->pollHandler = std::move(handler);
    }

    /// Has \p handler called with each organisation whose limit is about to change. Precondition: called before start().
    void onLimitChange(std::function<void(const OrganisationId &)> handler)
    {
        this->limitHandler = std::move(handler);
    }

private:
    asio::awaitable<void> run();
    asio::awaitable<void> poll();
    asio::awaitable<bool> catchUp(tablestore::LogHead head);
    asio::awaitable<bool> loadSnapshot(tablestore::LogHead head);
    asio::awaitable<void> catchUpFromPeers();
    void apply(const std::vector<config::Change> &changes);
    void announceLimits(const config::Change &change) const;
    void adopt(std::shared_ptr<const config::Snapshot> next);
    void publishRouting();

    asio::any_io_executor strand;
    const Clock &clock;
    tablestore::ChangeLogStore &store;
    peer::PeerNetwork &network;
    blackboard::Blackboard &board;
    LeaseController &leases;
    std::chrono::milliseconds pollInterval;
    asio::steady_timer timer;
    std::shared_ptr<const config::Snapshot> current = std::make_shared<const config::Snapshot>();
    std::shared_ptr<const membership::Placement> placement;
    /// The newest changes, for peers that are behind.
    std::deque<config::Change> recentChanges;
    tablestore::LogHead lastHead;
    std::error_code lastError;
    bool storeReachable = false;
    bool isStopped = false;
    std::function<void()> pollHandler;
    std::function<void(const OrganisationId &)> limitHandler;
};

} // namespace rhubarbtiller::host
