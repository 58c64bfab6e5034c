#pragma once

#include <rhubarbtiller/http/httpserver.h>

#include <asio/io_context.hpp>

#include <memory>

namespace rhubarbtiller::http {

/// Returns a server that does its work on \p context and hands whole, well-formed requests to \p handler.
///
/// Precondition: \p context outlives the server and its responders; \p handler outlives the work of \p context.
/// Thread safety: any thread.
std::unique_ptr<HttpServer>
makeRestinioServer(asio::io_context &context, const Endpoint &bind, const ServerLimits &limits, RequestHandler &handler);

} // namespace rhubarbtiller::http
