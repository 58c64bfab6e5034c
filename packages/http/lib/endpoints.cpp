#include <rhubarbtiller/http/endpoints.h>

#include <asio/ip/address.hpp>

#include <charconv>
#include <string>

namespace rhubarbtiller::http {

std::optional<asio::ip::tcp::endpoint> parseEndpoint(const Endpoint &endpoint)
{
    const std::string &text = endpoint.text();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon + 1 == text.size()) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    } else if (host.find(':') != std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    if (const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, port); error != std::errc() || stop != end) {
        return std::nullopt;
    }
    asio::error_code failure;
    const auto address = asio::ip::make_address(host, failure);
    if (failure) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(address, port);
}

Endpoint formatEndpoint(const asio::ip::tcp::endpoint &address)
{
    const std::string host = address.address().to_string();
    return Endpoint((address.address().is_v6() ? "[" + host + "]" : host) + ":" + std::to_string(address.port()));
}

} // namespace rhubarbtiller::http
