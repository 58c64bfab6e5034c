#pragma once

#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/peer/linkfilter.h>
#include <rhubarbtiller/peer/peernetwork.h>

#include <asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

namespace rhubarbtiller::peer {

struct PeerOptions
{
    HostId self;
    Endpoint bindAddress;
    /// Shared by all hosts; never sent.
    std::string credential;
    /// Lets all messages pass if it is nullptr.
    std::shared_ptr<const LinkFilter> filter;
};

/// Exchanges messages over TCP: frames of Thrift's compact protocol after a mutual proof of the shared credential.
///
/// There is one connection for each peer and direction; replies return on the connection of their request.
/// Thread safety: any thread, unless said otherwise.
class AsioPeerNetwork : public PeerNetwork
{
public:
    /// Precondition: \p context, \p systemClock and \p messageHandler outlive this object.
    AsioPeerNetwork(asio::io_context &context, const Clock &systemClock, PeerOptions peerOptions, PeerMessageHandler &messageHandler);
    ~AsioPeerNetwork() override;

    /// Binds the address and begins to accept. Precondition: called once. Thread safety: one thread.
    std::error_code start();

    /// Returns the address with the port that was bound. Precondition: started.
    Endpoint boundAddress() const;

    void call(const Endpoint &peer, wire::Envelope message, MonotonicTime deadline, PeerOutcomeHandler handler) override;

    /// Returns the bytes of control messages, all but forwarded requests, sent and received. Precondition: none.
    std::uint64_t controlBytes() const;

    /// Closes all connections and the listening socket; pending calls fail. Precondition: none.
    void stop();

private:
    struct Core;

    std::shared_ptr<Core> core;
};

} // namespace rhubarbtiller::peer
