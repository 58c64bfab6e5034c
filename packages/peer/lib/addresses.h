#pragma once

#include <rhubarbtiller/base/strongid.h>

#include <asio/ip/tcp.hpp>

#include <optional>

namespace rhubarbtiller::peer {

/// Parses "ip:port" or "[ip]:port"; empty for anything else. Thread safety: any thread.
std::optional<asio::ip::tcp::endpoint> parseAddress(const Endpoint &endpoint);

/// Returns the text form of an address. Thread safety: any thread.
Endpoint formatAddress(const asio::ip::tcp::endpoint &address);

} // namespace rhubarbtiller::peer
