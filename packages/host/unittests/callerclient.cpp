#include "callerclient.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <chrono>
#include <thread>

using std::chrono::milliseconds;

namespace rhubarbtiller::host {

/// Above the time limits of all routes, so that a host that never answers shows as a broken exchange.
static constexpr std::chrono::seconds WaitLimit{8};

/// Takes a whole response out of the received bytes; false while it is not there yet.
static bool parseResponse(const std::string &received, http::HttpResponse &response)
{
    const auto headerEnd = received.find("\r\n\r\n");
    if (headerEnd == std::string::npos) {
        return false;
    }
    response = {std::stoi(received.substr(received.find(' '))), {}, received.substr(headerEnd + 4)};
    std::size_t at = received.find("\r\n") + 2;
    while (at < headerEnd + 2) {
        const auto end = received.find("\r\n", at);
        const auto colon = received.find(": ", at);
        response.headers.push_back({received.substr(at, colon - at), received.substr(colon + 2, end - colon - 2)});
        at = end + 2;
    }
    const auto length = findHeader(response.headers, "Content-Length");
    return !length.empty() && response.body.size() == std::stoul(std::string(length));
}

Exchange exchange(const Endpoint &server, const std::string &bytes, const std::function<bool()> &isAbandoned)
{
    Exchange result;
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    const auto colon = server.text().rfind(':');
    std::error_code error;
    socket.connect(
        {asio::ip::make_address(server.text().substr(0, colon)), static_cast<std::uint16_t>(std::stoul(server.text().substr(colon + 1)))},
        error);
    result.wasConnected = !error;
    std::string received;
    bool hasEnded = static_cast<bool>(error);
    std::array<char, 16384> buffer;
    std::function<void()> read = [&] {
        socket.async_read_some(asio::buffer(buffer), [&](std::error_code readError, std::size_t count) {
            received.append(buffer.data(), count);
            result.isWhole = parseResponse(received, result.response);
            hasEnded = readError || result.isWhole;
            if (!hasEnded) {
                read();
            }
        });
    };
    if (!hasEnded) {
        asio::async_write(socket, asio::buffer(bytes), [](std::error_code, std::size_t) {
        });
        read();
    }
    const auto end = std::chrono::steady_clock::now() + WaitLimit;
    while (!hasEnded && std::chrono::steady_clock::now() < end && !(isAbandoned && isAbandoned())) {
        context.run_one_for(milliseconds(5));
    }
    socket.close(error);
    context.restart();
    context.poll();
    return result;
}

Exchange send(const Endpoint &server, http::HttpRequest request, const std::function<bool()> &isAbandoned)
{
    std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\nHost: service\r\n";
    for (const auto &header : request.headers) {
        bytes += header.name + ": " + header.value + "\r\n";
    }
    bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body.text();
    return exchange(server, bytes, isAbandoned);
}

bool eventually(const std::function<bool()> &holds)
{
    const auto end = std::chrono::steady_clock::now() + WaitLimit;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

} // namespace rhubarbtiller::host
