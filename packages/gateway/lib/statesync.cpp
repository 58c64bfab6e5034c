#include "statesync.h"

#include "thriftcodec.h"

#include <rhubarbtiller/http/compression.h>
#include <rhubarbtiller/http/errors.h>
#include <rhubarbtiller/telemetry/log.h>

#include <asio/post.hpp>

namespace rhubarbtiller::gateway {

using telemetry::logEvent;
using telemetry::LogLevel;

/// How long one call waits for changes; bounds the age of a reader's contact with the store while nothing changes.
///
/// docs/platform.md adds up the times until a change is in force on all hosts after a reader fails.
static constexpr std::chrono::milliseconds WatchTimeout{800};

/// Interval of the checks whether this host has to read the store itself.
static constexpr std::chrono::milliseconds TickInterval{100};

/// A peer whose last contact with the store is older does not count as watching it.
static constexpr Duration MaxStoreContactAge = std::chrono::milliseconds(1100);

/// Heartbeat intervals without a heartbeat after which the contact that a peer announced no longer counts.
static constexpr int MaxMissedHeartbeats = 3;
static constexpr Duration TakeoverInterval = std::chrono::milliseconds(50);
static constexpr std::size_t MaxTakeoverRank = 8;

/// Delay after a failed call; its random part spreads the retries of a fleet's hosts.
static constexpr std::chrono::milliseconds InitialRetryDelay{100};
static constexpr std::chrono::milliseconds MaxRetryDelay{800};

/// Hosts of higher rank retry an unreachable store less often, since the first hosts report its recovery.
static constexpr std::size_t FastRetryRanks = 2;
static constexpr std::chrono::milliseconds MaxStandbyRetryDelay{3200};
static constexpr unsigned MaxRetryDelayDoublings = 5;

/// Servers whose entries expired during a store outage write them again within 2 s of its recovery.
static constexpr Duration ReregistrationTime = std::chrono::milliseconds(2200);

/// Consecutive failures after which the store counts as unreachable.
static constexpr unsigned OutageFailureThreshold = 2;

/// Delay after a response with changes.
static constexpr Duration ChangeBatchDelay = std::chrono::milliseconds(120);

/// A host that is behind an announced version for this long, without a promising pull, reads the store itself.
static constexpr Duration StoreFallbackDelay = std::chrono::milliseconds(600);

/// How long compressed rows of servers are reused while a fleet starts; their age, which determines how long a server counts as cold, is
/// understated by this much at most.
static constexpr Duration CompressedServersValidity = std::chrono::milliseconds(250);

/// Smaller responses, in bytes, are sent uncompressed.
static constexpr std::size_t MinBytesToCompress = 1024;

/// The largest replica of a table that is accepted from a peer.
static constexpr ByteCount MaxReplicaSize{64 * 1024 * 1024};

/// Bounds the memory for the keys of rows that were logged as unreadable.
static constexpr std::size_t MaxLoggedUnreadableRows = 1000;

/// Identifies the store as the source of a change.
static constexpr std::string_view StoreSource = "store";

/// Identifies rows that nobody wrote again after a return of the store, or that the store kept, as the source of a change.
static constexpr std::string_view SettledReturnSource = "settled_return";

static std::string_view tableName(SourceTable table)
{
    switch (table) {
    case SourceTable::Configuration:
        return "configuration";
    case SourceTable::Servers:
        return "servers";
    case SourceTable::Hosts:
        return "hosts";
    case SourceTable::Status:
        return "status";
    }
    return "unknown";
}

/// Returns \p duration in seconds.
static double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

static bool hasRows(const TableReplica &replica)
{
    return replica.version().number > 0;
}

StateSync::StateSync(Parts syncParts)
    : parts(std::move(syncParts))
    , timer(parts.context)
    , configuration(SourceTable::Configuration, parts.decoder, parts.ownDomain)
    , servers(SourceTable::Servers, parts.decoder, parts.ownDomain)
{
}

void StateSync::start()
{
    this->tick();
}

void StateSync::deferFirstRead(MonotonicTime time)
{
    this->firstReadAt = time;
}

/// Returns whether the store has to deliver the whole table to this host, which has nothing of it yet.
bool StateSync::shouldMakeFirstRead(const TableState &state, MonotonicTime now) const
{
    const auto behindSince = state.pulls.behindSince();
    const bool isReceiving = behindSince && now - *behindSince < StoreFallbackDelay && state.pulls.isPullPromising(now);
    return now >= this->firstReadAt && !isReceiving;
}

void StateSync::setRank(std::size_t position)
{
    if (this->rank.exchange(position) != position && position == 0) {
        asio::post(this->parts.context, [this] {
            this->resetRetryDelays();
            this->requestChanges(this->configuration);
            this->requestChanges(this->servers);
        });
    }
}

/// Ends the delays after failed calls, which grow while the store cannot be reached.
void StateSync::resetRetryDelays()
{
    for (auto *const state : {&this->configuration, &this->servers}) {
        if (std::exchange(state->consecutiveFailures, 0) > 0) {
            state->nextReadAt = this->parts.clock.now();
        }
    }
}

/// Ends the time in which rows of the store may be older than those of the replica.
void StateSync::settle(TableState &state, MonotonicTime now)
{
    if (state.replica.settle(now)) {
        this->onTableChanged(state, SettledReturnSource);
    }
}

void StateSync::update()
{
    this->settle(this->configuration, this->parts.clock.now());
    this->settle(this->servers, this->parts.clock.now());
    this->requestChanges(this->configuration);
    this->requestChanges(this->servers);
    this->pullFromPeers(this->configuration);
    this->pullFromPeers(this->servers);
    const auto now = this->parts.clock.now();
    const bool hasExpired = std::any_of(this->expiredServers.begin(), this->expiredServers.end(), [now](const auto &entry) {
        return now >= entry.second.second;
    });
    if (hasExpired && !this->mayLackEntries(now)) {
        this->publish();
    }
}

void StateSync::tick()
{
    this->update();
    this->timer.expires_after(TickInterval);
    this->timer.async_wait([this](std::error_code error) {
        if (!error) {
            this->tick();
        }
    });
}

/// Returns whether this host can follow the changes that a reader announces: not those of an earlier era, which a host of an earlier
/// release announces too.
bool StateSync::deliversChanges(const PeerReplicaStatus &peer) const
{
    return peer.configurationVersion.era >= this->configuration.replica.version().era
        && peer.serversVersion.era >= this->servers.replica.version().era;
}

/// Returns whether a peer of the failure domain announces a contact with the store that is more recent than \p limit.
bool StateSync::hasPeerInContact(Duration limit, MonotonicTime now) const
{
    return std::any_of(this->peersInDomain.begin(), this->peersInDomain.end(), [this, now, limit](const auto &entry) {
        const auto &[peerStatus, receivedAt] = entry.second;
        const auto silence = now - receivedAt;
        return peerStatus.storeContactAge && this->deliversChanges(peerStatus)
            && silence < peerStatus.heartbeatInterval * MaxMissedHeartbeats && *peerStatus.storeContactAge + silence < limit;
    });
}

bool StateSync::shouldReadStore(MonotonicTime now) const
{
    const auto position = this->rank.load();
    // The limit grows with the rank, so that hosts take over one after the other.
    return position == 0 || !this->hasPeerInContact(MaxStoreContactAge + TakeoverInterval * std::min(position, MaxTakeoverRank), now);
}

/// Returns whether servers may be unable to write entries that have expired: no host of the domain is in contact with the store.
bool StateSync::mayLackEntries(MonotonicTime now) const
{
    return this->isStoreUnavailable && !this->hasPeerInContact(MaxStoreContactAge, now);
}

void StateSync::requestChanges(TableState &state)
{
    const auto now = this->parts.clock.now();
    const bool reads = this->shouldReadStore(now);
    // A host that starts may still receive the tables from a peer.
    const bool isReader = reads && (hasRows(this->configuration.replica) || hasRows(this->servers.replica));
    this->logReaderRole(isReader, now);
    this->isReadingStore = isReader;
    if (!reads && std::exchange(this->isStoreUnavailable, false)) {
        // A peer is in contact with the store, so entries that are removed from now on are not retained as expired during an outage.
        logEvent(LogLevel::Info, "store_regained", {{"through", "peer"}, {"servers_version", this->servers.replica.version().number}});
    }
    const bool isFirstRead = !hasRows(state.replica);
    const bool isDue = isFirstRead ? this->shouldMakeFirstRead(state, now) : reads || this->isWaitingInVain(state, now);
    if (state.hasPendingRead || now < state.nextReadAt || !isDue) {
        return;
    }
    state.hasPendingRead = true;
    const auto watchedFrom = state.needsFullRead ? std::nullopt : std::optional(state.replica.position());
    const auto handler = [this, &state, watchedFrom](const Result<SourceBatch> &batch) {
        this->onBatch(state, watchedFrom, batch);
    };
    if (!watchedFrom) {
        this->parts.source.read(state.table, handler);
        return;
    }
    this->parts.source.watch(state.table, watchedFrom->number, WatchTimeout, handler);
}

/// Returns whether peers announce a newer version for some time, and none of them is likely to deliver it soon.
bool StateSync::isWaitingInVain(const TableState &state, MonotonicTime now) const
{
    const auto behindSince = state.pulls.behindSince();
    return behindSince && now - *behindSince >= StoreFallbackDelay && !state.pulls.isPullPromising(now);
}

/// Returns the version up to which the replica is complete.
static StoreVersion completeVersion(const TableReplica &replica)
{
    return std::max(replica.version(), replica.position());
}

void StateSync::onProgress(TableState &state, MonotonicTime now)
{
    state.pulls.onOwnVersion(completeVersion(state.replica), now);
}

/// Returns the age of the last response in seconds; negative if there was none.
static double responseAge(MonotonicTime lastResponseAt, MonotonicTime now)
{
    return lastResponseAt == MonotonicTime() ? -1 : seconds(now - lastResponseAt);
}

/// Logs that this host starts or stops to read the store, and what it last received from peers of its failure domain.
void StateSync::logReaderRole(bool reads, MonotonicTime now)
{
    if (reads == this->isReadingStore.load()) {
        return;
    }
    std::string contacts;
    for (const auto &[host, peer] : this->peersInDomain) {
        if (peer.replicaStatus.storeContactAge) {
            contacts += (contacts.empty() ? "" : ",") + host.text() + ":"
                + std::to_string((*peer.replicaStatus.storeContactAge + (now - peer.receivedAt)) / std::chrono::milliseconds(1));
        }
    }
    logEvent(LogLevel::Info,
             reads ? "store_reading_started" : "store_reading_ended",
             {{"rank", static_cast<std::uint64_t>(this->rank.load())},
              {"contact_ms_of_peers", contacts},
              {"configuration_response_age_s", responseAge(this->configuration.lastResponseAt, now)},
              {"servers_response_age_s", responseAge(this->servers.lastResponseAt, now)}});
}

/// Processes a response to a watch from \p watchedFrom, or to a read of the whole table.
void StateSync::onBatch(TableState &state, std::optional<StoreVersion> watchedFrom, const Result<SourceBatch> &batch)
{
    const auto now = this->parts.clock.now();
    state.hasPendingRead = false;
    if (!batch) {
        this->onStoreFailure(state, batch.error(), now);
        return;
    }
    if (!this->followsReplica(state, watchedFrom, batch->storeVersion(), now)) {
        return;
    }
    this->onStoreResponse(state, now);
    state.consecutiveFailures = 0;
    const bool hasChanged = watchedFrom ? state.replica.apply(*batch, now) : state.replica.replace(*batch, now);
    state.needsFullRead = false;
    this->onProgress(state, now);
    if (hasChanged) {
        this->onTableChanged(state, StoreSource);
        // Changes often arrive in groups; the delay lets one call return several.
        state.nextReadAt = now + ChangeBatchDelay;
    }
    this->requestChanges(state);
}

/// Returns whether a response of the store can be applied to the replica; plans the next read if not.
bool StateSync::followsReplica(TableState &state, std::optional<StoreVersion> watchedFrom, StoreVersion version, MonotonicTime now)
{
    const auto position = state.replica.position();
    if (version.era > position.era && hasRows(state.replica)) {
        logEvent(LogLevel::Warning,
                 "store_returned",
                 {{"table", tableName(state.table)},
                  {"store_era", version.era.count()},
                  {"store_version", version.number},
                  {"era_before", position.era.count()},
                  {"position_before", position.number}});
    }
    if (watchedFrom && version.era > watchedFrom->era) {
        // The changes follow a position of the earlier era.
        state.isStoreBehind = false;
        state.needsFullRead = true;
        this->requestChanges(state);
        return false;
    }
    const bool isOlder = watchedFrom ? version.era < position.era : version < position;
    if (isOlder && !state.isStoreBehind) {
        logEvent(LogLevel::Warning,
                 "store_version_went_back",
                 {{"table", tableName(state.table)},
                  {"is_whole_table", !watchedFrom},
                  {"store_version", version.number},
                  {"store_era", version.era.count()},
                  {"position", position.number}});
    }
    state.isStoreBehind = isOlder;
    if (isOlder) {
        // A response that the replica ignores is no contact with the store: another host of the domain has to read it. The store
        // responds, so the delay does not grow.
        state.consecutiveFailures = 0;
        this->delayNextRead(state, now);
    }
    return !isOlder;
}

void StateSync::onStoreResponse(TableState &state, MonotonicTime now)
{
    state.lastResponseAt = now;
    // The table that fails bounds the contact: the other hosts of the domain have to read it in place of this one.
    this->lastContact = std::min(this->configuration.lastResponseAt, this->servers.lastResponseAt).time_since_epoch().count();
    if (std::exchange(this->isStoreUnavailable, false)) {
        this->storeRecoveredAt = now;
        logEvent(LogLevel::Info,
                 "store_regained",
                 {{"away_s", seconds(now - this->storeUnavailableSince)},
                  {"configuration_version", this->configuration.replica.version().number},
                  {"servers_version", this->servers.replica.version().number}});
    }
}

void StateSync::onStoreFailure(TableState &state, const std::error_code &error, MonotonicTime now)
{
    if (error == SourceError::HistoryGone) {
        logEvent(LogLevel::Info, "store_history_gone", {{"table", tableName(state.table)}, {"position", state.replica.position().number}});
        state.needsFullRead = true;
        this->requestChanges(state);
        return;
    }
    if (state.consecutiveFailures + 1 >= OutageFailureThreshold && !std::exchange(this->isStoreUnavailable, true)) {
        this->storeUnavailableSince = now;
        logEvent(LogLevel::Warning,
                 "store_lost",
                 {{"table", tableName(state.table)},
                  {"error", error.message()},
                  {"configuration_version", this->configuration.replica.version().number},
                  {"servers_version", this->servers.replica.version().number}});
    }
    this->delayNextRead(state, now);
}

/// Delays the next call after one that did not advance the replica.
void StateSync::delayNextRead(TableState &state, MonotonicTime now)
{
    ++state.consecutiveFailures;
    const auto maxDelay = this->rank.load() < FastRetryRanks ? MaxRetryDelay : MaxStandbyRetryDelay;
    const auto delay = std::min(maxDelay, InitialRetryDelay * (1 << std::min(state.consecutiveFailures, MaxRetryDelayDoublings)));
    state.nextReadAt = now + delay / 2 + std::chrono::milliseconds(this->parts.random.below(static_cast<std::uint64_t>(delay.count())));
}

void StateSync::onPeerReplicaStatus(const PeerReplicaStatus &peer)
{
    const auto now = this->parts.clock.now();
    if (peer.failureDomain == this->parts.ownDomain) {
        this->peersInDomain[peer.host] = {peer, now};
        const bool isReader = peer.storeContactAge && *peer.storeContactAge < MaxStoreContactAge;
        if (isReader && this->rank.load() != 0) {
            // The store is reachable again; this host reads it without delay if the peer fails.
            this->resetRetryDelays();
        }
    }
    const bool isInContact = peer.storeContactAge && *peer.storeContactAge < MaxStoreContactAge;
    for (auto *const state : {&this->configuration, &this->servers}) {
        // A host that has nothing yet would not recognize rows that were removed or withdrawn long ago. If the store does not serve it,
        // the rows that the other hosts use are the best that there are.
        if (hasRows(state->replica) || isInContact || state->consecutiveFailures > 0) {
            const auto version = state->table == SourceTable::Configuration ? peer.configurationVersion : peer.serversVersion;
            this->onAnnouncedVersion(*state, version, peer, now);
        }
    }
    this->pullFromPeers(this->configuration);
    this->pullFromPeers(this->servers);
}

void StateSync::onAnnouncedVersion(TableState &state, StoreVersion version, const PeerReplicaStatus &peer, MonotonicTime now)
{
    const bool isNewest = version > state.pulls.announcedVersion();
    const auto ownVersion = completeVersion(state.replica);
    state.pulls.onAnnouncement({peer.host, peer.failureDomain, peer.controlAddress, version, peer.heartbeatInterval}, ownVersion, now);
    if (!isNewest) {
        return;
    }
    state.announcedAt = now;
    state.announcedBy = peer.host;
    if (state.table != SourceTable::Configuration) {
        return;
    }
    {
        const std::lock_guard lock(this->versionsMutex);
        this->versions.announcedConfigurationVersion = version;
    }
    if (version > ownVersion) {
        logEvent(LogLevel::Info,
                 "configuration_announced",
                 {{"store_version", version.number},
                  {"store_era", version.era.count()},
                  {"own_store_version", state.replica.version().number},
                  {"from", peer.host.text()}});
    }
}

void StateSync::pullFromPeers(TableState &state)
{
    const auto pull = state.pulls.next(completeVersion(state.replica), this->parts.clock.now());
    if (!pull) {
        return;
    }
    http::HttpCall call;
    call.server = pull->address;
    call.request.method = "GET";
    call.request.target = "/replica/" + std::string(tableName(state.table)) + "?after=" + std::to_string(state.replica.version().number)
        + "&era=" + std::to_string(state.replica.version().era.count());
    call.request.headers.push_back({"Accept-Encoding", std::string(http::DeflateCoding)});
    call.deadline = pull->deadline;
    call.maxAnswer = MaxReplicaSize;
    this->parts.peerClient.send(std::move(call), [this, &state, host = pull->host](const http::HttpOutcome &outcome) {
        asio::post(this->parts.context, [this, &state, host, response = outcome.response] {
            this->onPullResponse(state, host, response);
        });
    });
}

void StateSync::onPullResponse(TableState &state, const HostId &host, const Result<http::HttpResponse> &response)
{
    const auto now = this->parts.clock.now();
    if (!response || response->status != 200) {
        const bool hasTimedOut = !response && response.error() == http::HttpError::Timeout;
        state.pulls.onEnd(host, hasTimedOut ? PullOutcome::TimedOut : PullOutcome::Failed, now);
        logEvent(LogLevel::Warning,
                 "peer_copy_failed",
                 {{"host", host.text()},
                  {"table", tableName(state.table)},
                  {"late_in_a_row", static_cast<std::uint64_t>(state.pulls.consecutiveTimeouts())},
                  {"error", response ? std::to_string(response->status) : response.error().message()}});
        return;
    }
    std::optional<std::string> body(response->body);
    if (http::findHeader(response->headers, "Content-Encoding") == http::DeflateCoding) {
        body = http::inflated(response->body, MaxReplicaSize);
    }
    const auto changes = body ? decodeThrift<wire::ReplicaAnswer>(*body) : std::nullopt;
    state.pulls.onEnd(host, changes ? PullOutcome::Received : PullOutcome::Failed, now);
    if (!changes) {
        logEvent(LogLevel::Warning, "peer_copy_malformed", {{"host", host.text()}, {"table", tableName(state.table)}});
        return;
    }
    const bool hasChanged = state.replica.applyPeerResponse(*changes, now);
    this->onProgress(state, now);
    if (hasChanged) {
        state.needsFullRead = false;
        this->onTableChanged(state, host.text());
    } else {
        // Rows that were written and removed again since the last pull change nothing but the version.
        this->setOwnVersion(state);
    }
}

void StateSync::retainExpiredServers(const ReplicatedRows &removed, MonotonicTime now)
{
    const bool isAfterOutage
        = this->isStoreUnavailable || (this->storeRecoveredAt != MonotonicTime() && now < this->storeRecoveredAt + ReregistrationTime);
    for (const auto &[key, row] : removed) {
        if (!isAfterOutage) {
            continue;
        }
        const auto entry = this->parts.decoder.server(key, row);
        if (entry && !entry->isDraining) {
            this->expiredServers[key] = {row, (this->isStoreUnavailable ? now : this->storeRecoveredAt) + ReregistrationTime};
        }
    }
}

void StateSync::onTableChanged(const TableState &state, std::string_view from)
{
    const auto now = this->parts.clock.now();
    if (state.table == SourceTable::Configuration) {
        if (auto next = this->parts.decoder.catalog(state.replica.rows())) {
            if (!this->catalog || next->version() != this->catalog->version()) {
                const bool wasAnnounced = state.pulls.announcedVersion() == state.replica.version();
                logEvent(LogLevel::Info,
                         "configuration_applied",
                         {{"version", next->version().count()},
                          {"store_version", state.replica.version().number},
                          {"store_era", state.replica.version().era.count()},
                          {"from", from},
                          {"announced_by", wasAnnounced ? state.announcedBy.text() : std::string()},
                          {"announced_ms_ago", wasAnnounced ? (now - state.announcedAt) / std::chrono::milliseconds(1) : 0}});
            }
            this->catalog = std::move(next);
        }
    } else {
        if (from == StoreSource) {
            this->retainExpiredServers(state.replica.removedRows(), now);
        }
    }
    this->setOwnVersion(state);
    this->publish();
}

/// Sets the version that this host announces to that of a replica.
void StateSync::setOwnVersion(const TableState &state)
{
    const std::lock_guard lock(this->versionsMutex);
    (state.table == SourceTable::Configuration ? this->versions.configurationVersion : this->versions.serversVersion)
        = state.replica.version();
}

std::shared_ptr<const catalog::ServerTable> StateSync::buildServers(MonotonicTime now)
{
    std::vector<catalog::ServerEntry> entries;
    const auto &rows = this->servers.replica.rows();
    std::erase_if(this->decodedServers, [&rows](const auto &decoded) {
        return !rows.contains(decoded.first);
    });
    for (const auto &[key, row] : rows) {
        this->expiredServers.erase(key);
        auto &decoded = this->decodedServers[key];
        if (decoded.version != row.version) {
            decoded = {row.version, this->parts.decoder.server(key, row)};
        }
        if (decoded.entry) {
            entries.push_back(*decoded.entry);
        } else if (this->loggedUnreadableRows.size() < MaxLoggedUnreadableRows && this->loggedUnreadableRows.insert(key).second) {
            logEvent(LogLevel::Warning, "server_entry_unreadable", {{"key", key}, {"version", row.version.number}});
        }
    }
    const bool retainsAll = this->mayLackEntries(now);
    std::erase_if(this->expiredServers, [retainsAll, now](const auto &expired) {
        return !retainsAll && now >= expired.second.second;
    });
    for (const auto &[key, expired] : this->expiredServers) {
        if (auto entry = this->parts.decoder.server(key, expired.first)) {
            entries.push_back(std::move(*entry));
        }
    }
    return std::make_shared<const catalog::ServerTable>(std::move(entries));
}

/// Joins \p ids by commas; lists at most MaxListed ids and the number of the others.
static std::string joinIds(const std::vector<std::string> &ids)
{
    static constexpr std::size_t MaxListed = 12;
    std::string text;
    for (std::size_t i = 0; i < std::min(ids.size(), MaxListed); ++i) {
        text += (i == 0 ? "" : ",") + ids[i];
    }
    return ids.size() > MaxListed ? text + ",+" + std::to_string(ids.size() - MaxListed) : text;
}

void StateSync::logServerChanges(const catalog::ServerTable &next)
{
    std::map<BackendServerId, bool> before;
    if (this->lastServers) {
        for (const auto &entry : this->lastServers->entries()) {
            before.emplace(entry.id, entry.isDraining);
        }
    }
    std::vector<std::string> added;
    std::vector<std::string> draining;
    for (const auto &entry : next.entries()) {
        const auto known = before.find(entry.id);
        if (known == before.end()) {
            added.push_back(entry.id.text());
        } else if (entry.isDraining && !known->second) {
            draining.push_back(entry.id.text());
        }
        before.erase(entry.id);
    }
    std::vector<std::string> removed;
    removed.reserve(before.size());
    for (const auto &[id, wasDraining] : before) {
        removed.push_back(id.text());
    }
    if (added.empty() && draining.empty() && removed.empty()) {
        return;
    }
    logEvent(LogLevel::Info,
             "servers_changed",
             {{"store_version", this->servers.replica.version().number},
              {"known", static_cast<std::uint64_t>(next.entries().size())},
              {"lapsed", static_cast<std::uint64_t>(this->expiredServers.size())},
              {"added", joinIds(added)},
              {"draining", joinIds(draining)},
              {"removed", joinIds(removed)}});
}

void StateSync::logEvacuations(const std::set<FailureDomainId> &next)
{
    if (next == this->loggedEvacuations) {
        return;
    }
    std::vector<std::string> names;
    names.reserve(next.size());
    for (const auto &domain : next) {
        names.push_back(domain.text());
    }
    logEvent(LogLevel::Info,
             "evacuations_changed",
             {{"store_version", this->configuration.replica.version().number}, {"evacuated", joinIds(names)}});
    this->loggedEvacuations = next;
}

void StateSync::publish()
{
    const auto now = this->parts.clock.now();
    auto state = std::make_shared<catalog::FleetState>();
    state->catalog = this->catalog;
    state->servers = this->buildServers(now);
    this->logServerChanges(*state->servers);
    this->lastServers = state->servers;
    state->evacuatedDomains = this->parts.decoder.evacuatedDomains(this->configuration.replica.rows());
    this->logEvacuations(state->evacuatedDomains);
    state->rolloutOrders = this->parts.decoder.rolloutOrders(this->configuration.replica.rows());
    state->changedAt = now;
    this->parts.published.publish(std::move(state));
    this->parts.onStatePublished();
}

bool StateSync::isInContact() const
{
    const auto age = this->replicaStatus().storeContactAge;
    return age && *age < MaxStoreContactAge;
}

OwnReplicaStatus StateSync::replicaStatus() const
{
    OwnReplicaStatus ownStatus;
    {
        const std::lock_guard lock(this->versionsMutex);
        ownStatus = this->versions;
    }
    ownStatus.isReadingStore = this->isReadingStore.load();
    if (ownStatus.isReadingStore && this->lastContact.load() != 0) {
        ownStatus.storeContactAge = Duration(this->parts.clock.now().time_since_epoch().count() - this->lastContact.load());
    }
    return ownStatus;
}

http::HttpResponse StateSync::handleReplicaRequest(const http::HttpRequest &request, SourceTable table, StoreVersion after)
{
    const auto &state = table == SourceTable::Configuration ? this->configuration : this->servers;
    http::HttpResponse response{200, {{"Content-Type", "application/octet-stream"}}, {}};
    if (http::findHeader(request.headers, "Accept-Encoding") == http::DeflateCoding) {
        response.body = this->compressedRows(state, after);
        if (!response.body.empty()) {
            response.headers.push_back({"Content-Encoding", std::string(http::DeflateCoding)});
            return response;
        }
    }
    response.body = encodeThrift(state.replica.changesSince(after, this->parts.clock.now()));
    return response;
}

/// Returns the compressed rows for a peer; empty if they are too small to compress.
std::string StateSync::compressedRows(const TableState &state, StoreVersion after)
{
    const auto version = state.replica.version();
    const auto now = this->parts.clock.now();
    auto &last = this->lastCompressed[state.table];
    // The age of a row has no meaning for the configuration.
    const bool isCurrent = state.table == SourceTable::Configuration || now - last.composedAt < CompressedServersValidity;
    if (!last.bytes.empty() && last.after == after && last.version == version && isCurrent) {
        return last.bytes;
    }
    const auto rows = encodeThrift(state.replica.changesSince(after, now));
    if (rows.size() < MinBytesToCompress) {
        return {};
    }
    last = {after, version, now, http::deflated(rows)};
    return last.bytes;
}

} // namespace rhubarbtiller::gateway
