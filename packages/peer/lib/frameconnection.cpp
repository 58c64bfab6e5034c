#include "frameconnection.h"

#include <rhubarbtiller/peer/errors.h>

#include <asio/bind_executor.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rhubarbtiller::peer {

// Unacknowledged bytes end the connection after this time; the default of the kernel is about a quarter of an hour.
static constexpr unsigned UnacknowledgedTimeMs = 5000;

FrameConnection::FrameConnection(asio::ip::tcp::socket connected, Strand connectionStrand)
    : socket(std::move(connected)), strand(std::move(connectionStrand))
{
    std::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->socket.set_option(asio::socket_base::keep_alive(true), ignored);
    setsockopt(this->socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedTimeMs, sizeof(UnacknowledgedTimeMs));
}

void FrameConnection::start(Callbacks eventCallbacks, std::size_t maxFrame)
{
    this->callbacks = std::move(eventCallbacks);
    this->frameLimit = maxFrame;
    this->readSize();
}

void FrameConnection::setMaxFrame(std::size_t maxFrame)
{
    this->frameLimit = maxFrame;
}

void FrameConnection::send(std::string payload, std::function<bool()> onWrite)
{
    if (this->isClosed) {
        return;
    }
    OutgoingFrame frame;
    const auto size = static_cast<std::uint32_t>(payload.size());
    frame.size = {static_cast<unsigned char>(size >> 24),
                  static_cast<unsigned char>(size >> 16),
                  static_cast<unsigned char>(size >> 8),
                  static_cast<unsigned char>(size)};
    frame.payload = std::move(payload);
    frame.onWrite = std::move(onWrite);
    this->outgoingBytes += frame.payload.size();
    this->outgoing.push_back(std::move(frame));
    this->writeNext();
}

std::uint64_t FrameConnection::queuedBytes() const
{
    return this->outgoingBytes;
}

void FrameConnection::close()
{
    this->isClosed = true;
    this->callbacks = {};
    this->outgoing.clear();
    std::error_code ignored;
    this->socket.close(ignored);
}

const FrameConnection::Strand &FrameConnection::executor() const
{
    return this->strand;
}

void FrameConnection::readSize()
{
    asio::async_read(this->socket,
                     asio::buffer(this->incomingSize),
                     asio::bind_executor(this->strand, [self = this->shared_from_this()](std::error_code error, std::size_t) {
                         if (error) {
                             self->fail(PeerError::ConnectionBroken);
                             return;
                         }
                         std::size_t size = 0;
                         for (const unsigned char byte : self->incomingSize) {
                             size = size << 8 | byte;
                         }
                         if (size > self->frameLimit) {
                             self->fail(PeerError::OversizedMessage);
                             return;
                         }
                         self->readPayload(size);
                     }));
}

void FrameConnection::readPayload(std::size_t size)
{
    if (this->isClosed) {
        return;
    }
    this->incoming.resize(size);
    asio::async_read(this->socket,
                     asio::buffer(this->incoming),
                     asio::bind_executor(this->strand, [self = this->shared_from_this()](std::error_code error, std::size_t) {
                         if (error) {
                             self->fail(PeerError::ConnectionBroken);
                             return;
                         }
                         if (self->isClosed) {
                             return;
                         }
                         // The callback may replace or clear the callbacks.
                         const auto onFrame = self->callbacks.onFrame;
                         onFrame(std::exchange(self->incoming, {}));
                         if (!self->isClosed) {
                             self->readSize();
                         }
                     }));
}

void FrameConnection::writeNext()
{
    if (this->isWriting || this->isClosed) {
        return;
    }
    while (!this->outgoing.empty() && this->outgoing.front().onWrite && !this->outgoing.front().onWrite()) {
        this->outgoingBytes -= this->outgoing.front().payload.size();
        this->outgoing.pop_front();
    }
    if (this->outgoing.empty()) {
        return;
    }
    this->isWriting = true;
    const auto frame = std::make_shared<OutgoingFrame>(std::move(this->outgoing.front()));
    this->outgoing.pop_front();
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(frame->size), asio::buffer(frame->payload)};
    asio::async_write(this->socket,
                      buffers,
                      asio::bind_executor(this->strand, [self = this->shared_from_this(), frame](std::error_code error, std::size_t) {
                          self->isWriting = false;
                          self->outgoingBytes -= frame->payload.size();
                          if (error) {
                              self->fail(PeerError::ConnectionBroken);
                              return;
                          }
                          self->writeNext();
                      }));
}

void FrameConnection::fail(std::error_code error)
{
    if (this->isClosed) {
        return;
    }
    const auto onEnd = std::move(this->callbacks.onEnd);
    this->close();
    if (onEnd) {
        onEnd(error);
    }
}

} // namespace rhubarbtiller::peer
