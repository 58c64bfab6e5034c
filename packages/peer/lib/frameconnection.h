#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/strand.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace rhubarbtiller::peer {

/// Reads and writes length-prefixed frames on one socket.
///
/// Thread safety: every method and callback runs on the strand of the socket.
class FrameConnection : public std::enable_shared_from_this<FrameConnection>
{
public:
    using Strand = asio::strand<asio::io_context::executor_type>;

    struct Callbacks
    {
        std::function<void(std::string)> onFrame;
        /// Called once when the connection has ended, for any reason but close().
        std::function<void(std::error_code)> onEnd;
    };

    FrameConnection(asio::ip::tcp::socket connected, Strand connectionStrand);

    /// Begins to read. Precondition: called once.
    void start(Callbacks eventCallbacks, std::size_t maxFrame);

    /// Changes the largest frame that is read. Precondition: none.
    void setMaxFrame(std::size_t maxFrame);

    /// Queues a frame; \p onWrite runs when its first bytes are about to be handed to the socket, and drops it if it says no.
    void send(std::string payload, std::function<bool()> onWrite = {});

    /// Returns the bytes that are queued. Precondition: none.
    std::uint64_t queuedBytes() const;

    /// Ends the connection without a callback. Precondition: none.
    void close();

    /// Returns the strand. Thread safety: any thread.
    const Strand &executor() const;

private:
    struct OutgoingFrame
    {
        std::array<unsigned char, 4> size{};
        std::string payload;
        std::function<bool()> onWrite;
    };

    void readSize();
    void readPayload(std::size_t size);
    void writeNext();
    void fail(std::error_code error);

    asio::ip::tcp::socket socket;
    Strand strand;
    Callbacks callbacks;
    std::size_t frameLimit = 0;
    std::array<unsigned char, 4> incomingSize{};
    std::string incoming;
    std::deque<OutgoingFrame> outgoing;
    std::uint64_t outgoingBytes = 0;
    bool isWriting = false;
    bool isClosed = false;
};

} // namespace rhubarbtiller::peer
