#pragma once

#include <rhubarbtiller/base/strongid.h>

#include <asio/ip/tcp.hpp>

#include <optional>

namespace rhubarbtiller::http {

/// Parses "ip:port" or "[ip]:port"; empty for anything else, host names included. Thread safety: any thread.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const Endpoint &endpoint);

/// Returns the text form of an address. Thread safety: any thread.
Endpoint formatEndpoint(const asio::ip::tcp::endpoint &address);

} // namespace rhubarbtiller::http
