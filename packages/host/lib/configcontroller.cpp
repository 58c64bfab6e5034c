#include <rhubarbtiller/host/configcontroller.h>

#include "awaiting.h"

#include <rhubarbtiller/config/codec.h>
#include <rhubarbtiller/telemetry/log.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <rhubarbtiller/peer/messages.h>

#include <algorithm>

namespace rhubarbtiller::host {

using telemetry::logEvent;
using telemetry::LogLevel;

/// A read that takes longer cannot renew the lease in time for the next one.
static constexpr Duration ReadTimeout = std::chrono::milliseconds(1500);

/// Reading a large snapshot may take longer than a poll.
static constexpr Duration SnapshotTimeout = std::chrono::seconds(10);

static constexpr Duration PeerTimeout = std::chrono::milliseconds(900);

/// Changes kept for peers that are behind; at 1,500 changes a day this covers hours.
static constexpr std::size_t RecentChangeCount = 512;

/// Peers asked in one round while the store does not answer.
static constexpr std::size_t PeersAsked = 3;

ConfigController::ConfigController(asio::any_io_executor controlStrand,
                                   const Clock &systemClock,
                                   tablestore::ChangeLogStore &changeLog,
                                   peer::PeerNetwork &peerNetwork,
                                   blackboard::Blackboard &blackboard,
                                   LeaseController &leaseController,
                                   std::chrono::milliseconds pollEvery)
    : strand(std::move(controlStrand))
    , clock(systemClock)
    , store(changeLog)
    , network(peerNetwork)
    , board(blackboard)
    , leases(leaseController)
    , pollInterval(pollEvery)
    , timer(this->strand)
{
}

void ConfigController::start()
{
    asio::co_spawn(this->strand, this->run(), asio::detached);
}

void ConfigController::stop()
{
    this->isStopped = true;
    this->timer.cancel();
}

void ConfigController::pollSoon()
{
    this->timer.cancel();
}

asio::awaitable<void> ConfigController::run()
{
    while (!this->isStopped) {
        const auto next = std::chrono::steady_clock::now() + this->pollInterval;
        co_await this->poll();
        if (this->pollHandler) {
            this->pollHandler();
        }
        this->timer.expires_at(next);
        std::error_code ignored;
        co_await this->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> ConfigController::poll()
{
    const auto sentAt = this->clock.now();
    auto head = co_await awaitHandler<Result<tablestore::LogHead>>([&](auto handler) {
        this->store.readHead(sentAt + ReadTimeout, std::move(handler));
    });
    if (!head) {
        if (this->storeReachable || !this->lastError) {
            logEvent(LogLevel::Warning, "store_unreachable", {{"error", head.error().message()}});
        }
        this->storeReachable = false;
        this->lastError = head.error();
        co_await this->catchUpFromPeers();
        co_return;
    }
    if (!this->storeReachable) {
        logEvent(LogLevel::Info, "store_reachable", {{"version", head->version.count()}});
    }
    this->storeReachable = true;
    this->lastError = {};
    this->lastHead = *head;
    if (head->version > this->current->version()) {
        co_await this->catchUp(*head);
    }
    this->leases.onStoreRead(head->version, sentAt);
}

asio::awaitable<bool> ConfigController::loadSnapshot(tablestore::LogHead head)
{
    auto loaded = co_await awaitHandler<Result<std::shared_ptr<const config::Snapshot>>>([&](auto handler) {
        this->store.readSnapshot(head, this->clock.now() + SnapshotTimeout, std::move(handler));
    });
    if (!loaded) {
        logEvent(LogLevel::Warning, "snapshot_unreadable", {{"error", loaded.error().message()}});
        co_return false;
    }
    if (loaded.value()->version() > this->current->version()) {
        this->adopt(std::move(loaded).value());
    }
    co_return true;
}

asio::awaitable<bool> ConfigController::catchUp(tablestore::LogHead head)
{
    // A host that is far behind reads the snapshot; if it cannot be read, all changes lead to the same state.
    if (head.snapshotVersion.count() > this->current->version().count() + RecentChangeCount || this->current->version().count() == 0) {
        if (head.snapshotVersion.count() > 0) {
            co_await this->loadSnapshot(head);
        }
    }
    while (this->current->version() < head.version) {
        auto changes = co_await awaitHandler<Result<std::vector<config::Change>>>([&](auto handler) {
            this->store.readChanges(this->current->version(), head.version, this->clock.now() + ReadTimeout, std::move(handler));
        });
        if (!changes || changes->empty()) {
            logEvent(LogLevel::Warning, "changes_unreadable", {{"error", changes ? "none" : changes.error().message()}});
            co_return false;
        }
        this->apply(changes.value());
    }
    co_return true;
}

asio::awaitable<void> ConfigController::catchUpFromPeers()
{
    if (this->leases.highestKnownVersion() <= this->current->version()) {
        co_return;
    }
    std::vector<Endpoint> peers;
    for (const auto &[id, host] : this->current->hosts()) {
        if (this->leases.lastHeard(id) != MonotonicTime::min()) {
            peers.push_back(host.peerAddress);
        }
    }
    if (peers.size() > PeersAsked) {
        peers.resize(PeersAsked);
    }
    for (const auto &peer : peers) {
        peer::wire::Envelope message;
        peer::wire::ConfigRequest body;
        body.afterVersion = static_cast<std::int64_t>(this->current->version().count());
        message.__set_configRequest(body);
        auto outcome = co_await awaitHandler<peer::PeerOutcome>([&](auto handler) {
            this->network.call(peer, message, this->clock.now() + PeerTimeout, std::move(handler));
        });
        if (!outcome.reply || !(*outcome.reply)->__isset.configReply) {
            continue;
        }
        std::vector<config::Change> changes;
        for (const auto &text : (*outcome.reply)->configReply.changes) {
            if (auto change = config::decodeChange(text)) {
                changes.push_back(std::move(change).value());
            }
        }
        this->apply(changes);
    }
}

void ConfigController::onConfigRequest(const peer::wire::ConfigRequest &message, const peer::PeerReplyFunction &reply) const
{
    peer::wire::ConfigReply body;
    body.version = static_cast<std::int64_t>(this->current->version().count());
    for (const auto &change : this->recentChanges) {
        if (change.version.count() > static_cast<std::uint64_t>(message.afterVersion)) {
            body.changes.push_back(config::encodeChange(change));
        }
    }
    peer::wire::Envelope envelope;
    envelope.__set_configReply(body);
    reply(std::move(envelope));
}

void ConfigController::announceLimits(const config::Change &change) const
{
    if (!this->limitHandler) {
        return;
    }
    for (const auto &mutation : change.mutations) {
        if (const auto *put = std::get_if<config::PutRow>(&mutation)) {
            if (const auto *organisation = std::get_if<config::Organisation>(&put->row)) {
                this->limitHandler(organisation->id);
            }
            continue;
        }
        const auto &deletion = std::get<config::DeleteRow>(mutation);
        if (deletion.table == config::Table::Organisations) {
            this->limitHandler(OrganisationId(deletion.primaryKey));
        }
    }
}

void ConfigController::apply(const std::vector<config::Change> &changes)
{
    using Applied = std::pair<std::shared_ptr<const config::Snapshot>, std::shared_ptr<const membership::Placement>>;
    std::vector<Applied> applied;
    for (const auto &change : changes) {
        if (change.version.count() != this->current->version().count() + 1) {
            continue;
        }
        this->announceLimits(change);
        this->current = this->current->apply(change);
        this->placement = membership::Placement::build(*this->current, this->placement);
        applied.emplace_back(this->current, this->placement);
        this->recentChanges.push_back(change);
        if (this->recentChanges.size() > RecentChangeCount) {
            this->recentChanges.pop_front();
        }
    }
    if (applied.empty()) {
        return;
    }
    // The routing view must be in force before the lease says that its version is.
    this->publishRouting();
    for (const auto &[snapshot, itsPlacement] : applied) {
        this->leases.onApplied(*snapshot, itsPlacement);
    }
    logEvent(LogLevel::Info, "config_applied", {{"version", this->current->version().count()}});
}

void ConfigController::adopt(std::shared_ptr<const config::Snapshot> next)
{
    this->current = std::move(next);
    this->placement = membership::Placement::build(*this->current, this->placement);
    this->recentChanges.clear();
    this->publishRouting();
    this->leases.onApplied(*this->current, this->placement);
    logEvent(LogLevel::Info, "snapshot_applied", {{"version", this->current->version().count()}});
}

void ConfigController::publishRouting()
{
    const auto previous = this->board.routing.read();
    this->board.routing.publish(blackboard::buildRoutingView(this->current, previous.get()));
}

} // namespace rhubarbtiller::host
