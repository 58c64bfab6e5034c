#include "httpconnection.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdint>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace rhubarbtiller::fleettests {

using SteadyClock = std::chrono::steady_clock;

std::string HttpReply::header(const std::string &name) const
{
    const auto at = this->headers.find("\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const auto begin = at + name.size() + 3;
    return this->headers.substr(begin, this->headers.find('\n', begin) - begin);
}

HttpConnection::HttpConnection(std::string address) : peer(std::move(address))
{
}

HttpConnection::~HttpConnection()
{
    this->close();
}

void HttpConnection::close()
{
    if (this->socket >= 0) {
        ::close(this->socket);
        this->socket = -1;
    }
}

HttpReply HttpConnection::fail(CallFault fault)
{
    this->close();
    HttpReply reply;
    reply.fault = fault;
    return reply;
}

bool HttpConnection::waitFor(short events, SteadyClock::time_point deadline) const
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - SteadyClock::now()).count();
    pollfd entry{this->socket, events, 0};
    return ::poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(left, 0))) == 1;
}

bool HttpConnection::connect(SteadyClock::time_point deadline)
{
    const auto colon = this->peer.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(this->peer.substr(colon + 1))));
    ::inet_pton(AF_INET, this->peer.substr(0, colon).c_str(), &address.sin_addr);
    this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(this->socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
        return true;
    }
    int error = errno;
    if (error == EINPROGRESS && this->waitFor(POLLOUT, deadline)) {
        socklen_t length = sizeof(error);
        ::getsockopt(this->socket, SOL_SOCKET, SO_ERROR, &error, &length);
    }
    return error == 0;
}

static std::string lowerCaseNames(const std::string &head)
{
    std::string lines;
    bool isName = true;
    for (const char letter : head) {
        if (letter == '\r') {
            continue;
        }
        isName = letter == '\n' || (isName && letter != ':');
        lines += isName ? static_cast<char>(std::tolower(static_cast<unsigned char>(letter))) : letter;
    }
    return lines + "\n";
}

HttpReply HttpConnection::call(const std::string &method,
                               const std::string &target,
                               const std::string &headers,
                               const std::string &body,
                               std::chrono::milliseconds timeout)
{
    const auto deadline = SteadyClock::now() + timeout;
    // A connection that the other side closed between two calls is not used for the next one.
    if (this->socket >= 0 && this->waitFor(POLLIN, SteadyClock::now())) {
        this->close();
    }
    if (this->socket < 0 && !this->connect(deadline)) {
        return this->fail(CallFault::NotConnected);
    }
    const std::string host = headers.rfind("Host: ", 0) == 0 ? "" : "Host: " + this->peer + "\r\n";
    const std::string text
        = method + " " + target + " HTTP/1.1\r\n" + host + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::size_t sent = 0;
    while (sent < text.size()) {
        const auto count = ::send(this->socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
        } else if (errno != EAGAIN) {
            return this->fail(CallFault::Broken);
        } else if (!this->waitFor(POLLOUT, deadline)) {
            return this->fail(CallFault::TimedOut);
        }
    }

    HttpReply reply;
    std::string received;
    std::size_t headEnd = std::string::npos;
    std::size_t length = 0;
    while (headEnd == std::string::npos || received.size() < headEnd + length) {
        char buffer[16 * 1024];
        const auto count = ::recv(this->socket, buffer, sizeof(buffer), 0);
        if (count == 0 || (count < 0 && errno != EAGAIN)) {
            return this->fail(CallFault::Broken);
        }
        if (count < 0) {
            if (!this->waitFor(POLLIN, deadline)) {
                return this->fail(CallFault::TimedOut);
            }
            continue;
        }
        received.append(buffer, static_cast<std::size_t>(count));
        if (headEnd == std::string::npos && received.find("\r\n\r\n") != std::string::npos) {
            headEnd = received.find("\r\n\r\n") + 4;
            reply.headers = lowerCaseNames(received.substr(0, headEnd - 4));
            reply.status = std::stoi(received.substr(received.find(' ') + 1));
            const auto announced = reply.header("content-length");
            length = announced.empty() ? 0 : std::stoul(announced);
        }
    }
    reply.body = received.substr(headEnd);
    if (reply.header("connection") == "close") {
        this->close();
    }
    return reply;
}

} // namespace rhubarbtiller::fleettests
