#pragma once

#include <rhubarbtiller/base/strongid.h>

#include <asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace rhubarbtiller::gateway {

/// Sends and receives the datagrams between hosts.
///
/// Thread safety: one thread.
class DatagramSocket
{
public:
    using Receiver = std::function<void(std::string_view bytes, const Endpoint &from)>;

    DatagramSocket() = default;
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;
    virtual ~DatagramSocket() = default;

    /// Binds \p address and passes each received datagram to \p receiver. Precondition: called once.
    virtual std::error_code open(const Endpoint &address, Receiver receiver) = 0;

    /// Sends a datagram without blocking; it may be lost. Precondition: open.
    virtual std::error_code send(std::string_view bytes, const Endpoint &target) = 0;
};

/// Returns a UDP socket whose receiver runs on \p context. Precondition: \p context outlives the socket.
std::unique_ptr<DatagramSocket> makeUdpSocket(asio::io_context &context);

} // namespace rhubarbtiller::gateway
