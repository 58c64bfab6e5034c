#pragma once

#include <rhubarbtiller/blackboard/blackboard.h>
#include <rhubarbtiller/health/ejectionholder.h>
#include <rhubarbtiller/health/evidence.h>
#include <rhubarbtiller/health/serverslots.h>
#include <rhubarbtiller/host/work.h>
#include <rhubarbtiller/http/httpclient.h>
#include <rhubarbtiller/telemetry/span.h>

#include <asio/awaitable.hpp>

#include <map>
#include <mutex>
#include <vector>

namespace rhubarbtiller::host {

/// Runs requests on the backend servers that this host owns.
///
/// All concurrency of a backend server passes through its one owner, which grants slots, sends the request and judges
/// the answer. Thread safety: run() from any thread; the other methods on the control strand.
class ServerOwner
{
public:
    /// Precondition: the references outlive this object.
    ServerOwner(const Clock &systemClock,
                const blackboard::Blackboard &blackboard,
                http::HttpClient &httpClient,
                health::ServerSlots &serverSlots,
                health::EjectionHolder &ejectionHolder,
                RandomSource &random,
                telemetry::SpanExporter &spanExporter);

    /// Runs a request on a server, or refuses it.
    ///
    /// Precondition: the work carries no key. The route and the key digest are checked again here, under this host's
    /// own configuration.
    asio::awaitable<WorkOutcome> run(Work work, BackendServerId server);

    /// Follows the published leases: takes over servers of shards that were won and stops acting for those lost.
    void onLeasesChanged();

    /// Refuses waiting requests that are late and lets servers return from ejection. Precondition: called every 100 ms or so.
    void advance();

    /// Returns the servers that this host owns, with their pools. Precondition: none.
    std::map<BackendServerId, std::shared_ptr<const config::Pool>> ownedServers() const
    {
        return this->owned;
    }

    /// Returns the samples of a server since the last call. Precondition: none. Thread safety: any thread.
    std::vector<health::ServerSample> takeSamples(const BackendServerId &server);

private:
    void keepOwning(const BackendServerId &server,
                    const config::Pool &pool,
                    const config::Snapshot &snapshot,
                    MonotonicTime ownedUntil,
                    MonotonicTime now);
    struct Target
    {
        std::shared_ptr<const config::Pool> pool;
        const config::Route *route = nullptr;
        config::BackendServer server;
    };

    std::optional<routing::Reason>
    findTarget(const Work &work, const BackendServerId &server, const blackboard::RoutingView &view, Target &target) const;
    bool mayActFor(const Target &target, MonotonicTime now) const;
    asio::awaitable<Result<health::SlotLease>> acquireSlot(const Work &work, const BackendServerId &server);
    asio::awaitable<WorkOutcome> send(const Work &work, const Target &target, const health::SlotLease &lease);
    WorkOutcome
    judge(const Work &work, const Target &target, const health::SlotLease &lease, http::HttpOutcome outcome, MonotonicTime sentAt);
    void observe(const Work &work, const BackendServerId &server, health::Observation observation, Duration latency, MonotonicTime now);

    const Clock &clock;
    const blackboard::Blackboard &board;
    http::HttpClient &client;
    health::ServerSlots &slots;
    health::EjectionHolder &ejections;
    RandomSource &randomSource;
    telemetry::SpanExporter &spans;
    std::map<BackendServerId, std::shared_ptr<const config::Pool>> owned;
    std::mutex evidenceMutex;
    std::map<BackendServerId, health::EvidenceWindow> evidence;
};

} // namespace rhubarbtiller::host
