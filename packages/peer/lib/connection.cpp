#include "connection.h"

#include "framecodec.h"

#include <rhubarbtiller/peer/errors.h>

#include <asio/read.hpp>
#include <asio/write.hpp>

namespace rhubarbtiller::peer {

Connection::Connection(asio::ip::tcp::socket connectedSocket)
    : socket(std::move(connectedSocket)), timer(this->socket.get_executor()), maxFrame(MaxHandshakeFrameBytes)
{
}

void Connection::start(FrameHandler onFrame, CloseHandler onClose)
{
    this->frameHandler = std::move(onFrame);
    this->closeHandler = std::move(onClose);
    std::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->readHeader();
}

void Connection::setMaxFrame(std::uint32_t bytes)
{
    this->maxFrame = bytes;
}

void Connection::arm(std::chrono::milliseconds timeout)
{
    this->timer.expires_after(timeout);
    this->timer.async_wait([self = this->shared_from_this()](const std::error_code &error) {
        if (!error) {
            self->close(make_error_code(PeerError::Unauthenticated));
        }
    });
}

void Connection::disarm()
{
    this->timer.cancel();
}

void Connection::close(std::error_code reason)
{
    if (this->isClosed) {
        return;
    }
    this->isClosed = true;
    this->timer.cancel();
    std::error_code ignored;
    this->socket.close(ignored);
    this->outgoing.clear();
    // The handlers may hold the last reference to their owner, and the owner one to this connection.
    const auto onClose = std::move(this->closeHandler);
    this->closeHandler = nullptr;
    this->frameHandler = nullptr;
    if (onClose) {
        onClose(reason);
    }
}

void Connection::readHeader()
{
    asio::async_read(
        this->socket, asio::buffer(this->header), [self = this->shared_from_this()](const std::error_code &error, std::size_t) {
            if (error) {
                self->close(make_error_code(PeerError::ConnectionLost));
                return;
            }
            std::uint32_t length = 0;
            for (const unsigned char byte : self->header) {
                length = (length << 8) | byte;
            }
            if (length == 0 || length > self->maxFrame) {
                self->close(make_error_code(PeerError::MalformedMessage));
                return;
            }
            self->readBody(length);
        });
}

void Connection::readBody(std::uint32_t length)
{
    this->body.resize(length);
    asio::async_read(this->socket, asio::buffer(this->body), [self = this->shared_from_this()](const std::error_code &error, std::size_t) {
        if (error) {
            self->close(make_error_code(PeerError::ConnectionLost));
            return;
        }
        if (self->isClosed) {
            return;
        }
        // Copied, since the handler may close the connection and so replace itself.
        const auto onFrame = self->frameHandler;
        onFrame(std::move(self->body));
        if (!self->isClosed) {
            self->body.clear();
            self->readHeader();
        }
    });
}

void Connection::send(std::string frame, std::function<void()> onWriting)
{
    if (this->isClosed) {
        return;
    }
    this->outgoing.push_back({std::move(frame), std::move(onWriting)});
    if (!this->isWriting) {
        this->writeNext();
    }
}

void Connection::writeNext()
{
    if (this->outgoing.empty() || this->isClosed) {
        this->isWriting = false;
        return;
    }
    this->isWriting = true;
    auto next = std::make_shared<Outgoing>(std::move(this->outgoing.front()));
    this->outgoing.pop_front();
    if (next->onWriting) {
        next->onWriting();
    }
    asio::async_write(
        this->socket, asio::buffer(next->frame), [self = this->shared_from_this(), next](const std::error_code &error, std::size_t) {
            if (error) {
                self->close(make_error_code(PeerError::ConnectionLost));
                return;
            }
            self->writeNext();
        });
}

} // namespace rhubarbtiller::peer
