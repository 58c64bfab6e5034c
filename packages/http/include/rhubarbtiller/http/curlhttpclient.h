#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/http/httpclient.h>

#include <asio/io_context.hpp>

#include <chrono>
#include <memory>

namespace rhubarbtiller::http {

struct CurlClientOptions
{
    /// Connections to one server; calls beyond this wait for a connection.
    std::uint32_t maxConnectionsPerServer = 16;
    /// Idle connections that are kept over all servers.
    std::uint32_t maxIdleConnections = 256;
    /// An idle connection older than this is not used again.
    std::chrono::seconds maxIdleTime{20};
    std::uint64_t maxResponseHeader = 64 * 1024;
    /// Sends methods that are not idempotent on a new connection only.
    ///
    /// A server may close an idle connection while a request is on its way, which leaves the outcome unknown.
    bool freshConnectionForNonIdempotent = true;
};

/// Returns a client that does its work on \p context; calls in flight are cancelled when it is destroyed.
///
/// It follows no redirect, uses no proxy, sends no request a second time and connects to IP addresses only.
/// Precondition: \p context and \p clock outlive the client, and \p context outlives its handlers.
/// Thread safety: any thread.
std::unique_ptr<HttpClient> makeCurlHttpClient(asio::io_context &context, const Clock &clock, const CurlClientOptions &options = {});

} // namespace rhubarbtiller::http
