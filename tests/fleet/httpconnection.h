#pragma once

#include <chrono>
#include <string>

namespace rhubarbtiller::fleettests {

enum class CallFault {
    None,
    /// The connection was refused; no request was sent.
    NotConnected,
    /// The connection ended before the whole response.
    Broken,
    TimedOut,
};

/// A response, or why there is none.
struct HttpReply
{
    CallFault fault = CallFault::None;
    int status = 0;
    /// Header lines with names in lower case, each ended by "\n".
    std::string headers;
    std::string body;

    /// Returns the value of a header by its lower-case name, or an empty text.
    std::string header(const std::string &name) const;
};

/// A connection that stays open over calls and never repeats a request.
///
/// libcurl repeats a request by itself when a reused connection turns out to be closed. The caller's tag would then stand
/// for two requests, so that a test could not tell who repeated it. Thread safety: one thread.
class HttpConnection
{
public:
    explicit HttpConnection(std::string address);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Sends a request and reads its response; connects first if needed. \p headers are lines that each end with "\r\n";
    /// the address is the Host unless the first line names one.
    HttpReply call(const std::string &method,
                   const std::string &target,
                   const std::string &headers = "",
                   const std::string &body = "",
                   std::chrono::milliseconds timeout = std::chrono::seconds(5));

    const std::string &address() const
    {
        return this->peer;
    }

private:
    bool connect(std::chrono::steady_clock::time_point deadline);
    void close();
    HttpReply fail(CallFault fault);
    bool waitFor(short events, std::chrono::steady_clock::time_point deadline) const;

    std::string peer;
    int socket = -1;
};

} // namespace rhubarbtiller::fleettests
