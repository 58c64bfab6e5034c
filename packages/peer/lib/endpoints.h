#pragma once

#include <rhubarbtiller/base/strongid.h>

#include <asio/ip/tcp.hpp>

#include <optional>

namespace rhubarbtiller::peer {

/// Returns the address of an "ip:port" text, or nothing if it is malformed.
std::optional<asio::ip::tcp::endpoint> parseEndpoint(const Endpoint &text);

/// Returns the "ip:port" text of an address.
Endpoint formatEndpoint(const asio::ip::tcp::endpoint &endpoint);

} // namespace rhubarbtiller::peer
