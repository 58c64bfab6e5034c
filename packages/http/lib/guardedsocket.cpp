#include "guardedsocket.h"

#include <asio/buffer.hpp>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <http_parser.h>

#include <algorithm>

namespace rhubarbtiller::http {

// A caller that keeps sending is cut off after this time; closing earlier could reset the connection before the
// caller has read the response.
static constexpr std::chrono::seconds LingerTime{1};

AcceptedConnection::AcceptedConnection(asio::ip::tcp::socket accepted, const ServerLimits &serverLimits)
    : socket(std::move(accepted))
    , limits(serverLimits)
    , framing(serverLimits.maxHeader, serverLimits.maxBody)
    , timer(socket.get_executor())
    , strand(socket.get_executor())
{
}

AcceptedConnection::~AcceptedConnection()
{
    this->closeNow();
}

void AcceptedConnection::setExecutor(asio::any_io_executor connectionExecutor)
{
    this->strand = std::move(connectionExecutor);
}

asio::any_io_executor AcceptedConnection::executor() const
{
    return this->strand;
}

void AcceptedConnection::onEnd(std::function<void()> handler, std::function<void()> gone)
{
    this->endHandler = std::move(handler);
    this->goneHandler = std::move(gone);
}

void AcceptedConnection::beginRead()
{
    this->isReading = true;
    this->updateTimer();
}

std::error_code AcceptedConnection::endRead(std::error_code error, std::string_view bytes)
{
    this->isReading = false;
    ++this->timerGeneration;
    this->timer.cancel();
    if (this->hasTimedOut) {
        return asio::error::timed_out;
    }
    if (error) {
        this->isPeerGone = error != asio::error::operation_aborted;
        return error;
    }
    this->readTotal += bytes.size();
    const std::uint64_t finishedBefore = this->framing.finishedRequests();
    const bool wasInside = this->framing.isInsideRequest();
    this->refusal = this->framing.accept(bytes);
    if (this->refusal != 0) {
        return asio::error::connection_aborted;
    }
    if (this->framing.isInsideRequest() && (!wasInside || this->framing.finishedRequests() != finishedBefore)) {
        this->requestDeadline = std::chrono::steady_clock::now() + this->limits.readTimeLimit;
    }
    if (this->framing.takeContinueWish() && this->dispatched == this->answered) {
        this->sendContinue();
    }
    return {};
}

void AcceptedConnection::setHandlingRead(bool isHandling)
{
    this->isHandlingRead = isHandling;
}

std::uint64_t AcceptedConnection::onRequestDispatched()
{
    return ++this->dispatched;
}

bool AcceptedConnection::onResponseReady(std::uint64_t number, bool shouldEnd)
{
    const bool isNewest = number == this->begun;
    this->newestReady = std::max(this->newestReady, number);
    // A response that is ready cannot announce the close any more.
    const bool canAnnounceEnd = isNewest || this->newestReady < this->begun;
    this->isEnding = this->isEnding || (shouldEnd && canAnnounceEnd);
    return this->isEnding && isNewest;
}

void AcceptedConnection::onResponseWritten()
{
    ++this->answered;
    if (!this->isReleased && this->isReading) {
        this->updateTimer();
    }
    this->running -= this->running > 0 ? 1 : 0;
    this->startQueued();
}

void AcceptedConnection::updateTimer()
{
    const std::uint64_t generation = ++this->timerGeneration;
    this->timer.cancel();
    if (this->dispatched != this->answered) {
        return;
    }
    if (this->framing.isInsideRequest()) {
        this->timer.expires_at(this->requestDeadline);
    } else {
        this->timer.expires_after(this->limits.idleTimeLimit);
    }
    this->timer.async_wait(asio::bind_executor(this->strand, [owner = this->weak_from_this(), generation](std::error_code error) {
        const auto self = owner.lock();
        if (!error && self && self->timerGeneration == generation) {
            self->onTimer();
        }
    }));
}

void AcceptedConnection::onTimer()
{
    if (this->isReleased || !this->isReading) {
        return;
    }
    this->hasTimedOut = true;
    if (this->framing.isInsideRequest()) {
        this->refusal = 408;
    }
    std::error_code ignored;
    this->socket.cancel(ignored);
}

void AcceptedConnection::sendContinue()
{
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    // Nothing else is being written; a full send buffer only costs the caller its own waiting time.
    std::error_code ignored;
    this->socket.non_blocking(true, ignored);
    this->socket.write_some(asio::buffer(Continue), ignored);
}

void AcceptedConnection::release()
{
    if (this->isReleased) {
        return;
    }
    this->isReleased = true;
    ++this->timerGeneration;
    this->timer.cancel();
    std::error_code ignored;
    this->socket.cancel(ignored);
    this->queued.clear();

    std::map<std::uint64_t, std::function<void()>> handlers;
    {
        const std::lock_guard lock(this->disconnectMutex);
        this->hasEnded = true;
        handlers.swap(this->disconnectHandlers);
    }
    for (auto &[number, handler] : handlers) {
        asio::post(this->strand, std::move(handler));
    }
    if (const auto handler = std::exchange(this->endHandler, nullptr)) {
        handler();
    }

    // Bytes that RESTinio itself refuses show as a close from inside the handling of a read.
    if (this->refusal == 0 && this->isHandlingRead && !this->isPeerGone && !this->hasTimedOut && this->readTotal > 0) {
        this->refusal = 400;
    }
    const bool isUnanswered = this->dispatched != this->answered;
    if (this->isPeerGone || isUnanswered) {
        // With a request still unanswered, a refusal would be taken for the response to that request.
        this->closeNow();
        return;
    }
    if (this->refusal == 0) {
        this->lingerAfter({});
        return;
    }
    const std::string status = std::to_string(this->refusal);
    const std::string reason = http_status_str(static_cast<http_status>(this->refusal));
    const std::string body = R"({"type":"about:blank","title":")" + reason + R"(","status":)" + status + "}";
    this->lingerAfter("HTTP/1.1 " + status + " " + reason
                      + "\r\nContent-Type: application/problem+json\r\nRhubarbtiller-Executed: not_run\r\nRhubarbtiller-Reason: "
                      + (this->refusal == 408 ? "request_timeout" : "malformed_request")
                      + "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void AcceptedConnection::lingerAfter(std::string text)
{
    this->timer.expires_after(LingerTime);
    this->timer.async_wait(asio::bind_executor(this->strand, [self = this->shared_from_this()](std::error_code error) {
        if (!error) {
            self->closeNow();
        }
    }));
    this->outgoing = std::move(text);
    asio::async_write(this->socket,
                      asio::buffer(this->outgoing),
                      asio::bind_executor(this->strand, [self = this->shared_from_this()](std::error_code error, std::size_t) {
                          if (error) {
                              self->closeNow();
                              return;
                          }
                          std::error_code ignored;
                          self->socket.shutdown(asio::socket_base::shutdown_send, ignored);
                          self->drain();
                      }));
}

void AcceptedConnection::drain()
{
    this->socket.async_read_some(asio::buffer(this->discarded),
                                 asio::bind_executor(this->strand, [self = this->shared_from_this()](std::error_code error, std::size_t) {
                                     if (error) {
                                         self->closeNow();
                                         return;
                                     }
                                     self->drain();
                                 }));
}

void AcceptedConnection::closeNow()
{
    this->timer.cancel();
    std::error_code ignored;
    this->socket.close(ignored);
    if (const auto handler = std::exchange(this->goneHandler, nullptr)) {
        handler();
    }
}

void AcceptedConnection::abort()
{
    asio::post(this->strand, [self = this->shared_from_this()] {
        // RESTinio learns of it from its next read or write.
        std::error_code ignored;
        self->socket.shutdown(asio::socket_base::shutdown_both, ignored);
        if (self->isReleased) {
            self->closeNow();
        }
    });
}

std::uint64_t AcceptedConnection::addDisconnectHandler(std::function<void()> handler)
{
    const std::lock_guard lock(this->disconnectMutex);
    if (this->hasEnded) {
        asio::post(this->strand, std::move(handler));
        return 0;
    }
    const std::uint64_t number = this->nextDisconnectHandler++;
    this->disconnectHandlers.emplace(number, std::move(handler));
    return number;
}

void AcceptedConnection::removeDisconnectHandler(std::uint64_t number)
{
    const std::lock_guard lock(this->disconnectMutex);
    this->disconnectHandlers.erase(number);
}

void AcceptedConnection::enqueue(std::function<void()> work, bool isLast, std::size_t maxConcurrent)
{
    this->maxRunning = maxConcurrent;
    this->queued.push_back({std::move(work), isLast});
    this->startQueued();
}

void AcceptedConnection::startQueued()
{
    while (!this->isReleased && !this->isEnding && !this->queued.empty() && this->running < this->maxRunning) {
        ++this->running;
        ++this->begun;
        const auto next = std::move(this->queued.front());
        this->queued.pop_front();
        this->isEnding = next.isLast;
        next.work();
    }
}

} // namespace rhubarbtiller::http
