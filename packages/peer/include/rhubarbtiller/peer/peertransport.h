#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/result.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/peer/linkfilter.h>
#include <rhubarbtiller/peer/peernetwork.h>

#include <asio/io_context.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace rhubarbtiller::peer {

/// Counts the traffic between this host and its peers. Thread safety: any thread.
struct PeerTraffic
{
    /// Bytes of everything but Forward messages and their replies, handshakes included.
    std::atomic<std::uint64_t> controlBytesSent{0};
    std::atomic<std::uint64_t> controlBytesReceived{0};
    std::atomic<std::uint64_t> forwardBytesSent{0};
    std::atomic<std::uint64_t> forwardBytesReceived{0};
    /// Authenticated connections that this host made.
    std::atomic<std::uint64_t> connectedPeers{0};
};

struct PeerOptions
{
    HostId self;
    /// The address that the server binds; port 0 takes any.
    Endpoint bind;
    /// The credential that all hosts share.
    std::string credential;
    std::shared_ptr<PeerTraffic> traffic = std::make_shared<PeerTraffic>();
    std::shared_ptr<const LinkFilter> filter = std::make_shared<LinkFilter>();
    std::uint32_t maxConnections = 2000;
    std::chrono::milliseconds handshakeTimeLimit{2000};
    std::chrono::milliseconds minReconnectDelay{50};
    std::chrono::milliseconds maxReconnectDelay{1000};
    /// Messages beyond this size that wait for one connection are refused.
    std::uint64_t maxQueuedBytes = 64 * 1024 * 1024;
};

/// Accepts the connections of peers.
class PeerServer
{
public:
    PeerServer() = default;
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;
    virtual ~PeerServer() = default;

    /// Binds the address and begins to accept. Precondition: not started before. Thread safety: one thread.
    virtual Status start() = 0;

    /// Returns the address with the port that was bound. Precondition: started. Thread safety: any thread.
    virtual Endpoint boundAddress() const = 0;

    /// Closes everything. Precondition: none. Thread safety: any thread.
    virtual void stop() = 0;
};

/// Returns a server that hands the messages of authenticated peers to \p handler.
///
/// Precondition: \p context outlives the server and its reply functions; \p handler outlives the work of \p context.
/// Thread safety: any thread.
std::unique_ptr<PeerServer> makePeerServer(asio::io_context &context, const PeerOptions &options, PeerMessageHandler &handler);

/// Returns a network that keeps one connection to each peer that it calls; pending calls fail when it is destroyed.
///
/// Precondition: \p context and \p clock outlive the work of the network. Thread safety: any thread.
std::unique_ptr<PeerNetwork> makePeerNetwork(asio::io_context &context, const Clock &clock, const PeerOptions &options);

} // namespace rhubarbtiller::peer
