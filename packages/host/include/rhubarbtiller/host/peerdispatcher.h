#pragma once

#include <rhubarbtiller/host/configcontroller.h>
#include <rhubarbtiller/host/homeservice.h>
#include <rhubarbtiller/host/leasecontroller.h>
#include <rhubarbtiller/host/poolcontroller.h>
#include <rhubarbtiller/host/serverowner.h>
#include <rhubarbtiller/peer/messagededuplicator.h>
#include <rhubarbtiller/peer/peernetwork.h>
#include <rhubarbtiller/telemetry/span.h>

#include <asio/any_io_executor.hpp>

#include <atomic>
#include <mutex>
#include <unordered_map>

namespace rhubarbtiller::peer::wire {
class CancelRequest;
class ForwardRequest;
} // namespace rhubarbtiller::peer::wire

namespace rhubarbtiller::host {

/// Hands the messages of peers to the parts that answer them.
///
/// Thread safety: any thread.
class PeerDispatcher : public peer::PeerMessageHandler
{
public:
    /// The objects that answer messages.
    struct Parts
    {
        asio::any_io_executor executor;
        asio::any_io_executor controlStrand;
        const Clock &clock;
        LeaseController &leases;
        ConfigController &configs;
        PoolController &pools;
        HomeService &home;
        ServerOwner &serverOwner;
        RandomSource &random;
        telemetry::SpanExporter &spans;
    };

    /// Precondition: what \p dispatcherParts refers to outlives this object.
    explicit PeerDispatcher(const Parts &dispatcherParts);

    void onMessage(const HostId &sender, const peer::wire::Envelope &message, peer::PeerReplyFunction reply) override;

    /// Returns the forwarded requests that are not answered yet. Precondition: none.
    std::uint32_t requestsInProgress() const
    {
        return this->inProgress.load(std::memory_order_relaxed);
    }

private:
    void onForward(const peer::wire::ForwardRequest &message, peer::PeerReplyFunction reply);
    void onCancel(const peer::wire::CancelRequest &message, const peer::PeerReplyFunction &reply);

    Parts parts;
    std::atomic<std::uint32_t> inProgress{0};
    std::mutex mutex;
    peer::MessageDeduplicator deduplicator;
    std::unordered_map<RequestId, std::shared_ptr<CancelToken>> running;
};

} // namespace rhubarbtiller::host
