#pragma once

#include <rhubarbtiller/base/strongid.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace rhubarbtiller::testing {

/// One connection to a stand-in that runs in the same io_context; keeps all bytes that it receives.
class LoopbackClient
{
public:
    LoopbackClient(asio::io_context &ioContext, const Endpoint &server) : context(ioContext), socket(ioContext)
    {
        const auto colon = server.text().rfind(':');
        this->socket.connect({asio::ip::make_address(server.text().substr(0, colon)),
                              static_cast<std::uint16_t>(std::stoul(server.text().substr(colon + 1)))});
        this->read();
    }

    /// Sends a request with the given header lines, each ended by "\r\n".
    void send(const std::string &method, const std::string &target, const std::string &headers = "", const std::string &body = "")
    {
        const std::string text = method + " " + target + " HTTP/1.1\r\nHost: standin\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        asio::write(this->socket, asio::buffer(text));
    }

    /// Runs the context until the predicate holds; returns false if it does not within ten seconds.
    template<class Predicate>
    bool runUntil(Predicate holds)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!holds()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            this->context.run_one_for(std::chrono::milliseconds(50));
        }
        return true;
    }

    /// Waits for a whole response or the end of the connection and removes it from the received bytes.
    std::string response()
    {
        std::size_t length = 0;
        this->runUntil([this, &length] {
            const auto headerEnd = this->received.find("\r\n\r\n");
            const auto field = this->received.find("Content-Length: ");
            if (headerEnd != std::string::npos && field != std::string::npos) {
                length = headerEnd + 4 + std::stoul(this->received.substr(field + 16));
            }
            return this->isClosed || (length > 0 && this->received.size() >= length);
        });
        const std::string text = this->received.substr(0, length);
        this->received.erase(0, text.size());
        return text;
    }

    /// Sends a request and waits for its response.
    std::string call(const std::string &method, const std::string &target, const std::string &headers = "", const std::string &body = "")
    {
        this->send(method, target, headers, body);
        return this->response();
    }

    /// Waits for the end of the connection.
    bool waitForClose()
    {
        return this->runUntil([this] {
            return this->isClosed;
        });
    }

    std::string received;
    bool isClosed = false;
    std::error_code closeReason;

    void close()
    {
        this->socket.close();
    }

private:
    void read()
    {
        this->socket.async_read_some(asio::buffer(this->buffer), [this](std::error_code error, std::size_t count) {
            if (error) {
                this->isClosed = true;
                this->closeReason = error;
                return;
            }
            this->received.append(this->buffer, count);
            this->read();
        });
    }

    asio::io_context &context;
    asio::ip::tcp::socket socket;
    char buffer[4096];
};

} // namespace rhubarbtiller::testing
