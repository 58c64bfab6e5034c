#pragma once

#include "outgoinglink.h"

#include <functional>

namespace rhubarbtiller::peer {

/// A connection that a peer opened, on which its calls arrive.
///
/// Thread safety: start() and stop() from any thread.
class IncomingLink : public std::enable_shared_from_this<IncomingLink>
{
public:
    IncomingLink(std::shared_ptr<LinkContext> linkContext, PeerMessageHandler &messageHandler, asio::ip::tcp::socket acceptedSocket);

    /// Begins with the handshake; \p onClosed is called once at the end. Precondition: called once.
    void start(std::function<void()> onClosed);

    /// Closes the connection. Precondition: started.
    void stop();

private:
    void onFrame(std::string body);
    void onHandshakeFrame(std::string body);
    void reply(std::int64_t callId, wire::Envelope message);

    std::shared_ptr<LinkContext> context;
    PeerMessageHandler &handler;
    asio::any_io_executor strand;
    std::shared_ptr<Connection> connection;
    wire::Challenge challenge;
    std::optional<HostId> peer;
};

} // namespace rhubarbtiller::peer
