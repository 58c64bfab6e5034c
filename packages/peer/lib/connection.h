#pragma once

#include <asio/any_io_executor.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace rhubarbtiller::peer {

/// A TCP connection that carries frames.
///
/// Thread safety: all methods on the executor of the socket, which is a strand.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    using FrameHandler = std::function<void(std::string body)>;
    using CloseHandler = std::function<void(std::error_code)>;

    explicit Connection(asio::ip::tcp::socket connectedSocket);

    /// Begins to read; \p onFrame is called for each frame and \p onClose once at the end. Precondition: called once.
    void start(FrameHandler onFrame, CloseHandler onClose);

    /// Sends a frame; \p onWriting is called right before its first byte may leave. Precondition: started.
    void send(std::string frame, std::function<void()> onWriting = {});

    /// Allows larger frames from now on. Precondition: none.
    void setMaxFrame(std::uint32_t bytes);

    /// Closes the connection unless disarm() is called in time. Precondition: started.
    void arm(std::chrono::milliseconds timeout);
    void disarm();

    /// Closes the connection. Precondition: none.
    void close(std::error_code reason);

private:
    struct Outgoing
    {
        std::string frame;
        std::function<void()> onWriting;
    };

    void readHeader();
    void readBody(std::uint32_t length);
    void writeNext();

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::uint32_t maxFrame;
    unsigned char header[4]{};
    std::string body;
    std::deque<Outgoing> outgoing;
    bool isWriting = false;
    bool isClosed = false;
    FrameHandler frameHandler;
    CloseHandler closeHandler;
};

} // namespace rhubarbtiller::peer
