#include <rhubarbtiller/host/rostercontroller.h>

#include "awaiting.h"

#include <rhubarbtiller/telemetry/log.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>
#include <set>

namespace rhubarbtiller::host {

using telemetry::logEvent;
using telemetry::LogLevel;

static constexpr Duration StoreTimeout = std::chrono::seconds(2);
static constexpr Duration SnapshotTimeout = std::chrono::seconds(10);

/// Hosts act in turns this far apart, so that compare-and-set rarely fails.
static constexpr Duration RankDelay = std::chrono::seconds(2);

/// A restart takes less; a host that is back by then keeps its shards.
static constexpr Duration SilenceBeforeRemoval = std::chrono::seconds(10);

/// Without the platform's list, silence alone must be long: a cut between two hosts looks the same from one of them.
static constexpr Duration SilenceWithoutList = std::chrono::seconds(60);

/// A fresh host reads at most this many changes after the snapshot.
static constexpr std::uint64_t ChangesPerSnapshot = 256;

static constexpr std::size_t ChangeIdDigits = 24;

RosterController::RosterController(asio::any_io_executor controlStrand,
                                   const Clock &systemClock,
                                   tablestore::ChangeLogStore &changeLog,
                                   tablestore::HostList &platformHosts,
                                   ConfigController &configController,
                                   LeaseController &leaseController,
                                   RandomSource &random,
                                   std::uint32_t shardCount)
    : strand(std::move(controlStrand))
    , clock(systemClock)
    , store(changeLog)
    , hostList(platformHosts)
    , configs(configController)
    , leases(leaseController)
    , randomSource(random)
    , initialShardCount(shardCount)
{
}

bool RosterController::isListed() const
{
    const auto &hosts = this->configs.snapshot()->hosts();
    const auto found = hosts.find(this->self.id);
    return found != hosts.end() && found->second == this->self;
}

void RosterController::onPolled()
{
    if (this->isWorking || this->isLeaving || !this->configs.isStoreReachable()) {
        return;
    }
    this->isWorking = true;
    asio::co_spawn(this->strand, this->work(), asio::detached);
}

asio::awaitable<void> RosterController::work()
{
    if (auto mutations = this->joinMutations(); !mutations.empty()) {
        co_await this->append(std::move(mutations), "join");
    } else if (auto changes = this->witnessMutations(); !changes.empty()) {
        co_await this->append(std::move(changes), "witnesses");
    } else if (auto removals = co_await this->removalMutations(); !removals.empty()) {
        co_await this->append(std::move(removals), "removal");
    } else {
        co_await this->writeSnapshotIfDue();
    }
    this->isWorking = false;
}

std::vector<config::Mutation> RosterController::joinMutations() const
{
    const auto &snapshot = *this->configs.snapshot();
    if (this->configs.head().version != snapshot.version() || this->isListed()) {
        return {};
    }
    std::vector<config::Mutation> mutations;
    if (snapshot.version().count() == 0) {
        config::FleetParameters fleet;
        fleet.shardCount = this->initialShardCount;
        mutations.emplace_back(config::PutRow{fleet});
    }
    mutations.emplace_back(config::PutRow{this->self});
    return mutations;
}

std::vector<config::Host> RosterController::activeHosts() const
{
    std::vector<config::Host> hosts;
    for (const auto &[id, host] : this->configs.snapshot()->hosts()) {
        if (host.state == config::HostState::Active) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

bool RosterController::isDue(const char *purpose, std::size_t rank)
{
    const auto now = this->clock.now();
    const auto [entry, isNew] = this->dueAt.try_emplace(purpose, now + RankDelay * static_cast<std::int64_t>(rank));
    return now >= entry->second;
}

static std::size_t rankIn(const std::vector<HostId> &hosts, const HostId &host)
{
    return static_cast<std::size_t>(std::ranges::find(hosts, host) - hosts.begin());
}

std::vector<config::Mutation> RosterController::witnessMutations()
{
    const auto &fleet = this->configs.snapshot()->fleetParameters();
    const auto wanted = membership::chooseWitnesses(this->activeHosts());
    const auto isSame = std::set(wanted.begin(), wanted.end()) == std::set(fleet.witnesses.begin(), fleet.witnesses.end());
    const auto freshness = this->leases.freshness();
    // The evidence rule needs the version before a change of witnesses to be settled.
    const bool isSettled = freshness.settled == freshness.version && freshness.version == this->configs.snapshot()->version();
    const bool isDone = isSame && fleet.previousWitnesses.empty();
    if (isDone) {
        this->dueAt.erase("witnesses");
    }
    if (isDone || !isSettled) {
        return {};
    }
    if (!this->isDue("witnesses", rankIn(wanted, this->self.id))) {
        return {};
    }
    auto next = fleet;
    // Once the change of witnesses is settled nobody relies on the previous ones, so they are cleared by a change of its own.
    next.previousWitnesses = isSame ? std::vector<HostId>() : fleet.witnesses;
    next.witnesses = wanted;
    return {config::PutRow{next}};
}

asio::awaitable<std::vector<config::Mutation>> RosterController::removalMutations()
{
    const auto now = this->clock.now();
    const auto placement = this->leases.currentPlacement();
    if (!placement) {
        co_return std::vector<config::Mutation>();
    }
    std::vector<HostId> silent;
    for (const auto &peer : placement->peersOf(this->self.id)) {
        const auto heard = this->leases.lastHeard(peer);
        auto &since = this->silentSince.try_emplace(peer, now).first->second;
        since = std::max(since, heard);
        if (now - since > SilenceBeforeRemoval) {
            silent.push_back(peer);
        }
    }
    std::erase_if(this->silentSince, [&](const auto &entry) {
        return !this->configs.snapshot()->hosts().contains(entry.first);
    });
    if (silent.empty()) {
        this->dueAt.erase("removal");
        co_return std::vector<config::Mutation>();
    }
    auto listed = co_await awaitHandler<Result<std::vector<tablestore::ListedHost>>>([&](auto handler) {
        this->hostList.readHosts(now + StoreTimeout, std::move(handler));
    });
    std::vector<config::Mutation> mutations;
    for (const auto &peer : silent) {
        const bool isListedLive = listed && std::ranges::any_of(*listed, [&](const tablestore::ListedHost &host) {
                                      return host.id == peer && host.state == tablestore::ListedHostState::Live;
                                  });
        const bool mayRemove = listed ? !isListedLive : now - this->silentSince[peer] > SilenceWithoutList;
        // One host for each change: the rule about witnesses holds for a single removal.
        const bool isNeeded = !membership::keepsWitnessMajority(*this->configs.snapshot(), peer);
        if (mayRemove && !isNeeded && mutations.empty() && this->configs.snapshot()->hosts().contains(peer)) {
            mutations.emplace_back(config::DeleteRow{config::Table::Hosts, peer.text()});
        }
    }
    if (mutations.empty() || !this->isDue("removal", rankIn(placement->peersOf(silent.front()), this->self.id))) {
        co_return std::vector<config::Mutation>();
    }
    co_return mutations;
}

asio::awaitable<void> RosterController::append(std::vector<config::Mutation> mutations, const char *purpose)
{
    this->dueAt.erase(purpose);
    config::Change change;
    change.id = ChangeId(randomHex(this->randomSource, ChangeIdDigits));
    change.author = "host " + this->self.id.text();
    change.mutations = std::move(mutations);
    const auto expected = this->configs.snapshot()->version();
    auto result = co_await awaitHandler<tablestore::AppendResult>([&](auto handler) {
        this->store.append(change, expected, this->clock.now() + StoreTimeout, std::move(handler));
    });
    // After a conflict or an unknown outcome the next poll shows what stands in the log, and the need is judged anew.
    const char *outcome = result.outcome == tablestore::AppendOutcome::Committed ? "committed"
        : result.outcome == tablestore::AppendOutcome::Conflict                  ? "conflict"
                                                                                 : "unresolved";
    logEvent(LogLevel::Info, "roster_change", {{"purpose", purpose}, {"outcome", outcome}, {"version", expected.count() + 1}});
    this->configs.pollSoon();
}

asio::awaitable<void> RosterController::writeSnapshotIfDue()
{
    const auto snapshot = this->configs.snapshot();
    const auto stored = this->configs.head().snapshotVersion;
    if (snapshot->version().count() < stored.count() + ChangesPerSnapshot) {
        this->dueAt.erase("snapshot");
        co_return;
    }
    if (!this->isDue("snapshot", rankIn(membership::chooseWitnesses(this->activeHosts()), this->self.id))) {
        co_return;
    }
    this->dueAt.erase("snapshot");
    auto status = co_await awaitHandler<Status>([&](auto handler) {
        this->store.writeSnapshot(snapshot, this->clock.now() + SnapshotTimeout, std::move(handler));
    });
    logEvent(status ? LogLevel::Warning : LogLevel::Info,
             "snapshot_written",
             {{"version", snapshot->version().count()}, {"error", status ? status.message() : "none"}});
}

} // namespace rhubarbtiller::host
