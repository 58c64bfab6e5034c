#include "guardedsocket.h"

#include <asio/buffer.hpp>
#include <asio/dispatch.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <http_parser.h>

#include <algorithm>

namespace rhubarbtiller::http {

// A request behind one without a response is read up to this size; larger ones wait, since their memory could not be freed.
static constexpr ByteCount MaxHeldBehindRequest{64 * 1024};

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

void AcceptedConnection::joinAccount(std::uint32_t server)
{
    this->accountNumber = this->limits.account->open(server, [weak = this->weak_from_this()](ClosureReason reason) {
        if (const auto self = weak.lock()) {
            asio::post(self->strand, [self, reason] {
                self->endFor(reason);
            });
        }
    });
}

void AcceptedConnection::leaveAccount()
{
    if (this->accountNumber != 0) {
        this->limits.account->close(this->accountNumber);
    }
}

std::chrono::milliseconds AcceptedConnection::headerTimeLimit() const
{
    return this->limits.times ? std::chrono::milliseconds(this->limits.times->headerMilliseconds.load()) : this->limits.readTimeLimit;
}

std::chrono::milliseconds AcceptedConnection::idleTimeLimit() const
{
    return this->limits.times ? std::chrono::milliseconds(this->limits.times->idleMilliseconds.load()) : this->limits.idleTimeLimit;
}

/// Ends the connection for want of memory or connections: at once, or after the responses to earlier requests.
void AcceptedConnection::endFor(ClosureReason reason)
{
    static constexpr int ServiceUnavailable = 503;
    if (this->isReleased || this->hasTimedOut) {
        return;
    }
    if (this->dispatched != this->answered) {
        this->isDiscarding = true;
        std::string().swap(this->passedOn);
        this->passedOnBegin = 0;
        this->framing.dropBody();
        this->resumeReading();
        return;
    }
    this->hasTimedOut = true;
    this->closesAtOnce = reason == ClosureReason::ConnectionLimit;
    if (reason == ClosureReason::RequestMemory && this->framing.isInsideRequest()) {
        this->refusal = ServiceUnavailable;
    }
    std::error_code ignored;
    this->socket.cancel(ignored);
}

void AcceptedConnection::beginRead()
{
    this->isReading = true;
    this->updateTimer();
    if (this->hasTimedOut && this->running > 0) {
        // A request was handed over since the end was decided; its response comes first.
        this->hasTimedOut = false;
        this->isDiscarding = true;
    }
    if (this->hasTimedOut) {
        // The end was decided while nothing was being read.
        asio::post(this->strand, [self = this->shared_from_this()] {
            std::error_code ignored;
            self->socket.cancel(ignored);
        });
    }
}

bool AcceptedConnection::pausesReading() const
{
    return this->running > 0 && !this->isDiscarding && !this->isReleased && !this->hasTimedOut
        && this->framing.heldBytes() > MaxHeldBehindRequest;
}

void AcceptedConnection::resumeWith(std::function<void()> handler)
{
    this->resumeHandler = std::move(handler);
}

void AcceptedConnection::resumeReading()
{
    const auto handler = std::exchange(this->resumeHandler, nullptr);
    if (!handler) {
        return;
    }
    // The caller could not send while nothing was read.
    const auto now = std::chrono::steady_clock::now();
    this->requestDeadline = now + std::max(this->limits.readTimeLimit, this->headerTimeLimit());
    this->headerDeadline = now + this->headerTimeLimit();
    asio::post(this->strand, handler);
}

std::size_t AcceptedConnection::takePassedOn(char *target, std::size_t size)
{
    const std::size_t taken = this->passedOn.copy(target, size, this->passedOnBegin);
    this->passedOnBegin += taken;
    if (this->passedOnBegin == this->passedOn.size()) {
        static constexpr std::size_t MaxKept = 8192;
        if (this->passedOn.capacity() > MaxKept) {
            // An assignment of an empty string would keep the memory.
            std::string().swap(this->passedOn);
        }
        this->passedOn.clear();
        this->passedOnBegin = 0;
    }
    return taken;
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
    if (this->isDiscarding) {
        return {};
    }
    const std::uint64_t finishedBefore = this->framing.finishedRequests();
    const bool wasInside = this->framing.isInsideRequest();
    this->refusal = this->framing.accept(bytes, this->passedOn);
    if (this->refusal != 0) {
        return asio::error::connection_aborted;
    }
    const bool hasFinished = this->framing.finishedRequests() != finishedBefore;
    if (this->framing.isInsideRequest() && (!wasInside || hasFinished)) {
        const auto now = std::chrono::steady_clock::now();
        this->requestDeadline = now + std::max(this->limits.readTimeLimit, this->headerTimeLimit());
        this->headerDeadline = now + this->headerTimeLimit();
    }
    if (hasFinished) {
        this->limits.account->onRequestRead(this->accountNumber, this->framing.heldBytes());
    } else {
        this->limits.account->onRead(this->accountNumber, this->framing.heldBytes(), ByteCount(bytes.size()));
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

std::string AcceptedConnection::takeBody()
{
    return this->framing.takeBody();
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
    this->isEnding = this->isEnding || ((shouldEnd || this->isDiscarding) && canAnnounceEnd);
    return this->isEnding && isNewest;
}

void AcceptedConnection::onResponseWritten()
{
    ++this->answered;
    this->idleSince = std::chrono::steady_clock::now();
    if (!this->isReleased && this->isReading) {
        this->updateTimer();
    }
    this->running -= this->running > 0 ? 1 : 0;
    if (this->isDiscarding && this->running == 0 && !this->isReleased) {
        // The newest response was ready before the end was decided, and did not close the connection.
        this->hasTimedOut = true;
        this->resumeReading();
        std::error_code ignored;
        this->socket.cancel(ignored);
        return;
    }
    this->startQueued();
    if (this->running == 0) {
        this->resumeReading();
    }
}

void AcceptedConnection::updateTimer()
{
    const std::uint64_t generation = ++this->timerGeneration;
    this->timer.cancel();
    if (this->dispatched != this->answered) {
        return;
    }
    if (this->framing.isInsideRequest()) {
        this->timer.expires_at(this->framing.isInsideHeader() ? std::min(this->requestDeadline, this->headerDeadline)
                                                              : this->requestDeadline);
    } else {
        // Bytes that begin no request, such as empty lines, do not extend it.
        this->timer.expires_at(this->idleSince + this->idleTimeLimit());
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
        this->limits.account->report({this->framing.isInsideHeader() ? ClosureReason::HeaderTimeout : ClosureReason::RequestTimeout,
                                      this->framing.heldBytes(),
                                      false});
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

static std::string refusalReason(int status)
{
    switch (status) {
    case 408:
        return "request_timeout";
    case 503:
        return "server_busy";
    default:
        return "malformed_request";
    }
}

void AcceptedConnection::release()
{
    if (this->isReleased) {
        return;
    }
    this->isReleased = true;
    // The last response counts as written only after RESTinio has closed.
    const bool endsWithResponse = (this->isEnding && this->newestReady == this->begun) || (this->isDiscarding && this->running == 0);
    ++this->timerGeneration;
    this->timer.cancel();
    std::error_code ignored;
    this->socket.cancel(ignored);
    this->queued.clear();

    this->leaveAccount();
    // The socket may stay open for a while.
    this->framing.dropBody();
    this->resumeReading();
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
    if (this->isPeerGone || (isUnanswered && !endsWithResponse) || this->closesAtOnce) {
        // With a request still unanswered, a refusal would be taken for the response to that request.
        this->closeNow();
        return;
    }
    if (this->refusal == 0 || isUnanswered) {
        // A close with unread bytes would reset the connection and drop the end of the last response.
        this->lingerAfter({});
        return;
    }
    const std::string status = std::to_string(this->refusal);
    const std::string reason = http_status_str(static_cast<http_status>(this->refusal));
    const std::string body = R"({"type":"about:blank","title":")" + reason + R"(","status":)" + status + "}";
    this->lingerAfter("HTTP/1.1 " + status + " " + reason
                      + "\r\nContent-Type: application/problem+json\r\nRhubarbtiller-Executed: not_run\r\nRhubarbtiller-Reason: "
                      + refusalReason(this->refusal) + (this->refusal == 503 ? "\r\nRetry-After: 1" : "")
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
    this->leaveAccount();
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
    while (!this->isReleased && !this->isEnding && !this->isDiscarding && !this->queued.empty() && this->running < this->maxRunning) {
        ++this->running;
        ++this->begun;
        const auto next = std::move(this->queued.front());
        this->queued.pop_front();
        this->isEnding = next.isLast;
        next.work();
    }
}

} // namespace rhubarbtiller::http
