#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace rhubarbtiller::soak {

/// What a link does to the connections that cross it.
enum class LinkMode {
    Pass,
    /// Bytes arrive late.
    Delay,
    /// Nothing arrives in either direction, and nothing is closed.
    Silent,
    /// Only what the connecting side sends is held back.
    SilentForward,
    /// Only what the accepting side sends is held back.
    SilentBackward,
    /// Connections are reset, new ones at once.
    Reset,
};

/// Returns the word for the log of a run. Thread safety: any thread.
const char *linkModeWord(LinkMode mode);

/// A loopback proxy that harms the connections through it.
///
/// Thread safety: the thread of the io_context.
class FaultProxy
{
public:
    /// Listens on a free port of 127.0.0.1. Precondition: \p ioContext outlives the proxy and its connections.
    FaultProxy(asio::io_context &ioContext, Endpoint target);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /// Returns the address that leads to the target. Precondition: none.
    Endpoint address() const;

    /// Changes what happens to open and new connections. Precondition: none.
    void setMode(LinkMode mode);

private:
    class Link;
    struct State;

    void accept();

    std::shared_ptr<State> state;
    /// Expires with the proxy, for an accepted connection whose handler is still due.
    std::shared_ptr<bool> lifetime = std::make_shared<bool>(true);
    asio::ip::tcp::acceptor acceptor;
};

} // namespace rhubarbtiller::soak
