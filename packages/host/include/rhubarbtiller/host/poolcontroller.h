#pragma once

#include <rhubarbtiller/blackboard/blackboard.h>
#include <rhubarbtiller/health/ejectionbudget.h>
#include <rhubarbtiller/health/outlierdetector.h>
#include <rhubarbtiller/host/serverowner.h>
#include <rhubarbtiller/peer/peernetwork.h>
#include <rhubarbtiller/telemetry/metrics.h>

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace rhubarbtiller::peer::wire {
class EjectionReply;
class ServerReport;
} // namespace rhubarbtiller::peer::wire

namespace rhubarbtiller::host {

/// Reports the servers that this host owns to the owners of their pools, and judges the servers of the pools it owns.
///
/// Thread safety: all methods on the control strand.
class PoolController
{
public:
    /// Precondition: \p controlStrand serialises all controllers; the references outlive this object.
    PoolController(asio::any_io_executor controlStrand,
                   const Clock &systemClock,
                   const blackboard::Blackboard &blackboard,
                   HostId ownId,
                   peer::PeerNetwork &peerNetwork,
                   ServerOwner &owner,
                   health::EjectionHolder &ejectionHolder,
                   RandomSource &random,
                   telemetry::Metrics &hostMetrics);

    /// Begins to report every second. Precondition: called once.
    void start();

    /// Stops the timers. Precondition: none.
    void stop();

    /// Answers the report of a server owner. Precondition: none.
    void onServerReport(const peer::wire::ServerReport &message, const peer::PeerReplyFunction &reply);

    /// Returns the servers that may be ejected in the pools that this host owns, with the evidence. Precondition: none.
    std::map<BackendServerId, std::string> ejections() const;

private:
    /// The judgement of one pool that this host owns.
    struct Judgement
    {
        std::shared_ptr<const config::Pool> pool;
        std::unique_ptr<health::OutlierPolicy> policy;
        std::unique_ptr<health::EjectionBudget> budget;
        std::map<BackendServerId, health::Verdict> verdicts;
        MonotonicTime judgedAt{MonotonicTime::min()};
    };

    void tick();
    void followOwnership();
    void sendReport(const config::Host &guardian,
                    const peer::wire::ServerReport &report,
                    const std::vector<BackendServerId> &servers,
                    MonotonicTime now);
    void forgetOwner(const PoolName &pool, const HostId &owner);
    void reportPool(const PoolName &pool, const std::vector<BackendServerId> &servers);
    void takeReply(const std::vector<BackendServerId> &servers,
                   const PoolName &pool,
                   MonotonicTime sentAt,
                   const peer::wire::EjectionReply &reply);
    peer::wire::EjectionReply answer(const peer::wire::ServerReport &message);
    void judge(Judgement &judgement, MonotonicTime now);

    asio::any_io_executor strand;
    const Clock &clock;
    const blackboard::Blackboard &board;
    HostId self;
    peer::PeerNetwork &network;
    ServerOwner &serverOwner;
    health::EjectionHolder &ejectionHolder;
    RandomSource &randomSource;
    telemetry::Metrics &metrics;
    asio::steady_timer timer;
    std::map<PoolName, Judgement> judgements;
    std::map<PoolName, health::PoolOwnerEpoch> knownEpochs;
    /// The host that last answered as the owner of a pool.
    std::map<PoolName, HostId> knownOwners;
    bool isStopped = false;
};

} // namespace rhubarbtiller::host
