#pragma once

#include <rhubarbtiller/base/strongid.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rhubarbtiller::http {

/// Runs an io_context on a few threads for the lifetime of the object.
class RunningContext
{
public:
    explicit RunningContext(int threadCount = 2) : guard(asio::make_work_guard(this->context))
    {
        for (int i = 0; i < threadCount; ++i) {
            this->threads.emplace_back([this] {
                this->context.run();
            });
        }
    }

    ~RunningContext()
    {
        this->stop();
    }

    /// Ends the threads; what is still queued never runs.
    void stop()
    {
        this->guard.reset();
        this->context.stop();
        for (auto &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    asio::io_context context;

private:
    asio::executor_work_guard<asio::io_context::executor_type> guard;
    std::vector<std::thread> threads;
};

/// Waits until \p condition holds, for ten seconds at most; returns whether it holds.
inline bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

/// A blocking client socket that sends raw bytes and gives up after ten seconds.
class RawClient
{
public:
    explicit RawClient(const Endpoint &server) : socket(this->context)
    {
        const std::string &text = server.text();
        const auto colon = text.rfind(':');
        this->socket.connect(
            {asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))});
    }

    void send(std::string_view bytes)
    {
        std::error_code ignored;
        asio::write(this->socket, asio::buffer(bytes), ignored);
    }

    /// Reads until the server closes, or until \p count responses have been read by their Content-Length.
    std::string readResponses(int count)
    {
        std::string all;
        std::size_t begin = 0;
        while (count > 0) {
            const auto headerEnd = all.find("\r\n\r\n", begin);
            if (headerEnd != std::string::npos) {
                const std::string header = all.substr(begin, headerEnd - begin);
                const auto field = header.find("Content-Length: ");
                const std::size_t length = field == std::string::npos ? 0 : std::stoul(header.substr(field + 16));
                if (all.size() >= headerEnd + 4 + length) {
                    begin = headerEnd + 4 + length;
                    --count;
                    continue;
                }
            }
            if (!this->readSome(all)) {
                break;
            }
        }
        return all;
    }

    /// Reads until the server closes the connection; sets closed() if it did.
    std::string readToEnd()
    {
        std::string all;
        while (this->readSome(all)) { }
        return all;
    }

    bool closed() const
    {
        return this->isClosed;
    }

    /// Closes with a reset instead of an orderly end.
    void reset()
    {
        this->socket.set_option(asio::socket_base::linger(true, 0));
        this->socket.close();
    }

    void close()
    {
        this->socket.close();
    }

private:
    bool readSome(std::string &target)
    {
        std::array<char, 4096> buffer{};
        std::error_code outcome = asio::error::would_block;
        std::size_t size = 0;
        this->socket.async_read_some(asio::buffer(buffer), [&](std::error_code error, std::size_t count) {
            outcome = error;
            size = count;
        });
        this->context.restart();
        this->context.run_for(std::chrono::seconds(10));
        if (outcome == asio::error::would_block) {
            this->socket.cancel();
            this->context.restart();
            this->context.run();
            return false;
        }
        if (outcome) {
            this->isClosed = true;
            return false;
        }
        target.append(buffer.data(), size);
        return true;
    }

    asio::io_context context;
    asio::ip::tcp::socket socket;
    bool isClosed = false;
};

/// A server whose test code handles each connection on its own thread with blocking calls.
class RawServer
{
public:
    using Session = std::function<void(asio::ip::tcp::socket &, int connectionNumber)>;

    explicit RawServer(Session sessionCode)
        : session(std::move(sessionCode)), acceptor(this->context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        this->thread = std::thread([this] {
            this->acceptAll();
        });
    }

    ~RawServer()
    {
        this->stopping = true;
        try {
            // Wakes the blocking accept.
            asio::ip::tcp::socket wake(this->context);
            wake.connect(this->acceptor.local_endpoint());
        } catch (const std::exception &) {
        }
        this->thread.join();
        {
            const std::lock_guard lock(this->mutex);
            for (const auto &socket : this->sockets) {
                std::error_code ignored;
                socket->shutdown(asio::socket_base::shutdown_both, ignored);
            }
        }
        for (auto &worker : this->workers) {
            worker.join();
        }
    }

    Endpoint endpoint() const
    {
        return Endpoint("127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()));
    }

    int connections() const
    {
        return this->connectionCount.load();
    }

    /// Reads one request with an optional Content-Length body; returns an empty text at the end of the connection.
    static std::string readRequest(asio::ip::tcp::socket &socket)
    {
        std::string text;
        std::error_code error;
        const std::size_t headerSize = asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", error);
        if (error) {
            return {};
        }
        std::size_t length = 0;
        if (const auto field = text.find("Content-Length: "); field != std::string::npos && field < headerSize) {
            length = std::stoul(text.substr(field + 16));
        }
        if (text.size() < headerSize + length) {
            asio::read(socket, asio::dynamic_buffer(text), asio::transfer_exactly(headerSize + length - text.size()), error);
        }
        return text;
    }

    static void write(asio::ip::tcp::socket &socket, std::string_view bytes)
    {
        std::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
    }

    /// Blocks until the client closes the connection.
    static void waitForEnd(asio::ip::tcp::socket &socket)
    {
        std::array<char, 256> buffer{};
        std::error_code error;
        while (!error) {
            socket.read_some(asio::buffer(buffer), error);
        }
    }

private:
    void acceptAll()
    {
        while (true) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(this->context);
            std::error_code error;
            this->acceptor.accept(*socket, error);
            if (error || this->stopping.load()) {
                return;
            }
            const int number = ++this->connectionCount;
            const std::lock_guard lock(this->mutex);
            this->sockets.push_back(socket);
            this->workers.emplace_back([this, socket, number] {
                this->session(*socket, number);
                const std::lock_guard sessionLock(this->mutex);
                std::error_code ignored;
                socket->shutdown(asio::socket_base::shutdown_both, ignored);
                socket->close(ignored);
            });
        }
    }

    Session session;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor;
    std::thread thread;
    std::mutex mutex;
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> sockets;
    std::vector<std::thread> workers;
    std::atomic<int> connectionCount{0};
    std::atomic<bool> stopping{false};
};

} // namespace rhubarbtiller::http
