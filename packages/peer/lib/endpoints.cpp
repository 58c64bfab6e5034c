#include "endpoints.h"

#include <asio/ip/address.hpp>

#include <charconv>

namespace rhubarbtiller::peer {

std::optional<asio::ip::tcp::endpoint> parseEndpoint(const Endpoint &text)
{
    const auto &whole = text.text();
    const auto colon = whole.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    auto host = whole.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char *const end = whole.data() + whole.size();
    if (const auto [stop, code] = std::from_chars(whole.data() + colon + 1, end, port); code != std::errc() || stop != end) {
        return std::nullopt;
    }
    std::error_code error;
    const auto address = asio::ip::make_address(host, error);
    if (error) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(address, port);
}

Endpoint formatEndpoint(const asio::ip::tcp::endpoint &endpoint)
{
    const auto address = endpoint.address().to_string();
    const auto host = endpoint.address().is_v6() ? "[" + address + "]" : address;
    return Endpoint(host + ":" + std::to_string(endpoint.port()));
}

} // namespace rhubarbtiller::peer
