#include "datagramsocket.h"

#include <rhubarbtiller/http/endpoints.h>

#include <asio/ip/udp.hpp>

#include <array>
#include <optional>

namespace rhubarbtiller::gateway {

static std::optional<asio::ip::udp::endpoint> parseUdp(const Endpoint &endpoint)
{
    const auto address = http::parseEndpoint(endpoint);
    return address ? std::optional(asio::ip::udp::endpoint(address->address(), address->port())) : std::nullopt;
}

namespace {

class UdpSocket : public DatagramSocket
{
public:
    explicit UdpSocket(asio::io_context &context) : socket(context)
    {
    }

    std::error_code open(const Endpoint &address, Receiver datagramReceiver) override
    {
        const auto local = parseUdp(address);
        if (!local) {
            return std::make_error_code(std::errc::invalid_argument);
        }
        std::error_code error;
        this->socket.open(local->protocol(), error);
        if (!error) {
            this->socket.bind(*local, error);
        }
        if (!error) {
            // A full send buffer must not block requests.
            this->socket.non_blocking(true, error);
        }
        if (!error) {
            this->receiver = std::move(datagramReceiver);
            this->receive();
        }
        return error;
    }

    std::error_code send(std::string_view bytes, const Endpoint &target) override
    {
        const auto address = parseUdp(target);
        if (!address) {
            return std::make_error_code(std::errc::invalid_argument);
        }
        std::error_code error;
        this->socket.send_to(asio::buffer(bytes), *address, 0, error);
        return error;
    }

private:
    void receive()
    {
        this->socket.async_receive_from(asio::buffer(this->incoming), this->sender, [this](std::error_code error, std::size_t size) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            // Other errors report that an earlier datagram was not delivered.
            if (!error) {
                const Endpoint from(this->sender.address().to_string() + ":" + std::to_string(this->sender.port()));
                this->receiver(std::string_view(this->incoming.data(), size), from);
            }
            this->receive();
        });
    }

    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::array<char, 65536> incoming{};
    Receiver receiver;
};

} // namespace

std::unique_ptr<DatagramSocket> makeUdpSocket(asio::io_context &context)
{
    return std::make_unique<UdpSocket>(context);
}

} // namespace rhubarbtiller::gateway
