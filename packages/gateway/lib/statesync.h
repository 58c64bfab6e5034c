#pragma once

#include "pullschedule.h"
#include "tablereplica.h"

#include <rhubarbtiller/base/random.h>
#include <rhubarbtiller/base/rcucell.h>
#include <rhubarbtiller/http/httpclient.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <mutex>

namespace rhubarbtiller::gateway {

/// Replica versions and store contact that a peer reports.
struct PeerReplicaStatus
{
    HostId host;
    FailureDomainId failureDomain;
    Endpoint controlAddress;
    StoreVersion configurationVersion;
    StoreVersion serversVersion;
    /// Time since the store answered the peer for each table; unset if it does not read the store itself.
    std::optional<Duration> storeContactAge;
    /// Longest time until the peer's next heartbeat.
    Duration heartbeatInterval = std::chrono::milliseconds(250);
};

/// Replica versions and store contact that this host reports.
struct OwnReplicaStatus
{
    StoreVersion configurationVersion;
    StoreVersion serversVersion;
    /// Whether this host reads the store, which may not have answered yet for both tables.
    bool isReadingStore = false;
    std::optional<Duration> storeContactAge;
    /// The newest store version of the configuration that a peer announced.
    StoreVersion announcedConfigurationVersion;
};

/// Updates the host's replicas of the configuration and of the servers, and publishes the state that the request path reads.
///
/// The first host of each failure domain watches the store. The others pull changes from peers, and read the store themselves only
/// while no other host of the domain reports recent contact with it, or while they have no replica yet.
/// Thread safety: the thread of the control context, unless a method says otherwise.
class StateSync
{
public:
    struct Parts
    {
        asio::io_context &context;
        const Clock &clock;
        RandomSource &random;
        StateSource &source;
        const StateDecoder &decoder;
        http::HttpClient &peerClient;
        RcuCell<catalog::FleetState> &published;
        FailureDomainId ownDomain;
        /// Called after each publication.
        std::function<void()> onStatePublished;
    };

    /// Precondition: the objects that \p syncParts refers to outlive this object.
    explicit StateSync(Parts syncParts);

    /// Starts reading, and calls update() periodically. Precondition: called once.
    void start();

    /// Defers the first read of the tables until \p time, since a peer that is in contact with the store may deliver them before.
    ///
    /// Without a call the first read is not deferred. Precondition: none.
    void deferFirstRead(MonotonicTime time);

    /// Requests changes where they are due, and publishes what expired; to be called every 100 ms. Precondition: none.
    void update();

    /// Returns whether this host reads the store and had a response lately. Thread safety: any thread.
    bool isInContact() const;

    /// Sets the position among the hosts of the failure domain; the first watches the store. Thread safety: any thread.
    void setRank(std::size_t position);

    /// Processes the replica status of a peer. Precondition: none.
    void onPeerReplicaStatus(const PeerReplicaStatus &peer);

    /// Returns the replica status to report to peers. Thread safety: any thread.
    OwnReplicaStatus replicaStatus() const;

    /// Responds to a peer whose replica has version \p after with the newer rows, compressed if \p request accepts that.
    ///
    /// Precondition: none.
    http::HttpResponse handleReplicaRequest(const http::HttpRequest &request, SourceTable table, StoreVersion after);

private:
    struct TableState
    {
        TableState(SourceTable sourceTable, const StateDecoder &decoder, FailureDomainId ownDomain)
            : table(sourceTable), pulls(std::move(ownDomain)), replica(sourceTable, decoder)
        {
        }

        const SourceTable table;
        PullSchedule pulls;
        TableReplica replica;
        bool hasPendingRead = false;
        bool needsFullRead = true;
        /// Whether the version of the last response was older than the replica.
        bool isStoreBehind = false;
        MonotonicTime nextReadAt{};
        unsigned consecutiveFailures = 0;
        /// When the store last answered a call for this table.
        MonotonicTime lastResponseAt{};
        /// When a peer first announced the newest announced version, and which.
        MonotonicTime announcedAt{};
        HostId announcedBy;
    };

    /// The compressed rows of a table for peers at one version, since most peers are at the same version.
    struct CompressedRows
    {
        StoreVersion after;
        StoreVersion version;
        MonotonicTime composedAt{};
        std::string bytes;
    };

    /// An entry as decoded from one version of its row; none if the row describes no server.
    struct DecodedEntry
    {
        StoreVersion version;
        std::optional<catalog::ServerEntry> entry;
    };

    struct PeerInDomain
    {
        PeerReplicaStatus replicaStatus;
        MonotonicTime receivedAt{};
    };

    void tick();
    void requestChanges(TableState &state);
    void resetRetryDelays();
    bool hasPeerInContact(Duration limit, MonotonicTime now) const;
    bool shouldReadStore(MonotonicTime now) const;
    bool mayLackEntries(MonotonicTime now) const;
    bool deliversChanges(const PeerReplicaStatus &peer) const;
    void onBatch(TableState &state, std::optional<StoreVersion> watchedFrom, const Result<SourceBatch> &batch);
    void onStoreResponse(TableState &state, MonotonicTime now);
    void onAnnouncedVersion(TableState &state, StoreVersion version, const PeerReplicaStatus &peer, MonotonicTime now);
    void onProgress(TableState &state, MonotonicTime now);
    bool isWaitingInVain(const TableState &state, MonotonicTime now) const;
    bool shouldMakeFirstRead(const TableState &state, MonotonicTime now) const;
    void logReaderRole(bool reads, MonotonicTime now);
    void onStoreFailure(TableState &state, const std::error_code &error, MonotonicTime now);
    bool followsReplica(TableState &state, std::optional<StoreVersion> watchedFrom, StoreVersion version, MonotonicTime now);
    void delayNextRead(TableState &state, MonotonicTime now);
    void settle(TableState &state, MonotonicTime now);
    void pullFromPeers(TableState &state);
    void onPullResponse(TableState &state, const HostId &host, const Result<http::HttpResponse> &response);
    std::string compressedRows(const TableState &state, StoreVersion after);
    void onTableChanged(const TableState &state, std::string_view from);
    void setOwnVersion(const TableState &state);
    void retainExpiredServers(const ReplicatedRows &removed, MonotonicTime now);
    void publish();
    std::shared_ptr<const catalog::ServerTable> buildServers(MonotonicTime now);
    void logEvacuations(const std::set<FailureDomainId> &next);
    void logServerChanges(const catalog::ServerTable &next);

    Parts parts;
    asio::steady_timer timer;
    TableState configuration;
    TableState servers;
    std::map<SourceTable, CompressedRows> lastCompressed;
    MonotonicTime firstReadAt = MonotonicTime::min();
    std::map<HostId, PeerInDomain> peersInDomain;
    std::shared_ptr<const catalog::Catalog> catalog;
    std::shared_ptr<const catalog::ServerTable> lastServers;
    std::map<std::string, DecodedEntry> decodedServers;
    std::set<FailureDomainId> loggedEvacuations;
    /// Entries that expired while the store was unreachable, with the time until which their servers may still be used.
    std::map<std::string, std::pair<ReplicatedRow, MonotonicTime>> expiredServers;
    MonotonicTime storeUnavailableSince{};
    MonotonicTime storeRecoveredAt{};
    bool isStoreUnavailable = false;
    std::set<std::string> loggedUnreadableRows;

    std::atomic<std::size_t> rank{0};
    mutable std::mutex versionsMutex;
    /// Only the versions are set.
    OwnReplicaStatus versions;
    /// When the store last answered a call for each of the tables; 0 before.
    std::atomic<std::int64_t> lastContact{0};
    std::atomic<bool> isReadingStore{false};
};

} // namespace rhubarbtiller::gateway
