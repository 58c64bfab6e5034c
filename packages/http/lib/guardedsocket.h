#pragma once

#include "requestframing.h"

#include <rhubarbtiller/http/httpserver.h>

#include <asio/any_io_executor.hpp>
#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/error.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace rhubarbtiller::http {

/// One accepted connection, below RESTinio's own connection object.
///
/// Thread safety: the executor of the connection, unless a method says otherwise.
class AcceptedConnection : public std::enable_shared_from_this<AcceptedConnection>
{
public:
    AcceptedConnection(asio::ip::tcp::socket accepted, const ServerLimits &serverLimits);
    AcceptedConnection(const AcceptedConnection &) = delete;
    AcceptedConnection &operator=(const AcceptedConnection &) = delete;
    ~AcceptedConnection();

    /// Sets the executor that all work of the connection runs on. Precondition: called before any other method.
    void setExecutor(asio::any_io_executor connectionExecutor);

    /// Returns the executor of the connection. Thread safety: any thread after setExecutor().
    asio::any_io_executor executor() const;

    /// Has \p handler called when RESTinio lets go of the connection, and \p gone when the socket is closed.
    void onEnd(std::function<void()> handler, std::function<void()> gone);

    /// Notes that RESTinio is about to read, and bounds the wait.
    void beginRead();

    /// Checks bytes that were read; returns the error to give to RESTinio instead of them, if any.
    ///
    /// What RESTinio gets otherwise comes from takePassedOn(), which may have nothing yet.
    std::error_code endRead(std::error_code error, std::string_view bytes);

    /// Copies bytes for RESTinio to \p target; returns how many. Precondition: none.
    std::size_t takePassedOn(char *target, std::size_t size);

    /// Returns whether takePassedOn() has bytes. Precondition: none.
    bool hasPassedOn() const
    {
        return this->passedOnBegin < this->passedOn.size();
    }

    /// Returns whether a body is not read further until the responses to earlier requests have been written.
    ///
    /// The memory of such a body cannot be freed before, since the connection must stay open for these responses.
    bool pausesReading() const;

    /// Has \p handler called when reading goes on, or when the connection is released. Precondition: pausesReading().
    void resumeWith(std::function<void()> handler);

    /// Adds the connection to the account of the limits. Precondition: setExecutor() was called, and this method was not.
    void joinAccount(std::uint32_t server);

    /// Returns the number of the connection in the account. Precondition: joinAccount() was called.
    LedgerNumber ledgerNumber() const
    {
        return this->accountNumber;
    }

    /// Returns the body of the next request that RESTinio hands over, which has only seen its header. Precondition: called once for each.
    std::string takeBody();

    /// Marks that RESTinio is handling what was read.
    void setHandlingRead(bool isHandling);

    /// Notes that RESTinio handed a request over; returns its number on the connection, from 1 on.
    std::uint64_t onRequestDispatched();

    /// Notes that the response to a request is ready; returns whether the connection closes with it.
    ///
    /// With \p shouldEnd no further request is begun, and the response to the newest one that was begun closes the connection. If that
    /// response was ready before, the one to the next request does.
    bool onResponseReady(std::uint64_t number, bool shouldEnd);

    /// Notes that a response was written or given up.
    void onResponseWritten();

    /// Lets RESTinio go: sends a refusal if one is due and closes the socket after the caller has read it.
    void release();

    /// Breaks the connection off. Thread safety: any thread.
    void abort();

    /// Has \p handler called if the connection ends first; returns its number. Thread safety: any thread.
    std::uint64_t addDisconnectHandler(std::function<void()> handler);

    /// Drops a handler. Thread safety: any thread.
    void removeDisconnectHandler(std::uint64_t number);

    /// Runs \p work now or when earlier requests of the connection have been answered; with \p isLast no request behind it is begun.
    void enqueue(std::function<void()> work, bool isLast, std::size_t maxConcurrent);

    bool isReleased = false;
    asio::ip::tcp::socket socket;

private:
    struct QueuedRequest
    {
        std::function<void()> work;
        /// Whether its caller ends the connection after the response.
        bool isLast = false;
    };

    void updateTimer();
    void onTimer();
    void sendContinue();
    void lingerAfter(std::string text);
    void drain();
    void closeNow();
    void startQueued();
    void endFor(ClosureReason reason);
    void leaveAccount();
    void resumeReading();
    std::chrono::milliseconds headerTimeLimit() const;
    std::chrono::milliseconds idleTimeLimit() const;

    const ServerLimits limits;
    RequestFraming framing;
    asio::steady_timer timer;
    asio::any_io_executor strand;
    std::function<void()> endHandler;
    std::function<void()> goneHandler;
    std::chrono::steady_clock::time_point requestDeadline;
    std::chrono::steady_clock::time_point headerDeadline;
    /// When the connection was accepted, or the last response was written.
    std::chrono::steady_clock::time_point idleSince = std::chrono::steady_clock::now();
    std::function<void()> resumeHandler;
    /// Checked bytes that RESTinio has not taken yet, from passedOnBegin on.
    std::string passedOn;
    std::size_t passedOnBegin = 0;
    LedgerNumber accountNumber = 0;
    std::uint64_t timerGeneration = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t answered = 0;
    std::uint64_t readTotal = 0;
    int refusal = 0;
    bool isReading = false;
    bool isHandlingRead = false;
    bool hasTimedOut = false;
    bool isPeerGone = false;
    std::string outgoing;
    std::array<char, 4096> discarded{};
    std::deque<QueuedRequest> queued;
    std::size_t running = 0;
    std::size_t maxRunning = 1;
    /// Number of the newest request that was begun.
    std::uint64_t begun = 0;
    /// Number of the newest request whose response is ready.
    std::uint64_t newestReady = 0;
    /// Whether the connection closes with the response to the newest request that was begun.
    bool isEnding = false;
    /// Whether further bytes are dropped, and the connection closes after the responses to the requests that were begun.
    bool isDiscarding = false;
    /// Whether the socket is closed without waiting for the caller, who has read all responses.
    bool closesAtOnce = false;

    std::mutex disconnectMutex;
    bool hasEnded = false;
    std::uint64_t nextDisconnectHandler = 1;
    std::map<std::uint64_t, std::function<void()>> disconnectHandlers;
};

/// The socket type that RESTinio reads and writes through; passes only bytes on that the framing check accepted.
class GuardedSocket
{
public:
    using executor_type = asio::any_io_executor; // NOLINT(readability-identifier-naming): name given by Asio's stream requirements

    explicit GuardedSocket(std::shared_ptr<AcceptedConnection> accepted) : connection(std::move(accepted))
    {
    }

    // NOLINTBEGIN(readability-identifier-naming): names given by Asio's stream requirements
    executor_type get_executor()
    {
        return this->connection->socket.get_executor();
    }

    asio::ip::tcp::socket &lowest_layer()
    {
        return this->connection->socket;
    }

    bool is_open() const
    {
        return !this->connection->isReleased;
    }

    template<class Buffer, class Handler>
    void async_read_some(const Buffer &buffer, Handler &&handler)
    {
        readNext(this->connection, asio::mutable_buffer(buffer), std::forward<Handler>(handler));
    }

    template<class Buffers, class Handler>
    auto async_write_some(const Buffers &buffers, Handler &&handler)
    {
        return this->connection->socket.async_write_some(buffers, std::forward<Handler>(handler));
    }
    // NOLINTEND(readability-identifier-naming)

    /// Stops reading. Writes that are under way are stopped as well, as with any socket.
    void cancel(std::error_code &error)
    {
        this->connection->socket.cancel(error);
    }

    /// Does nothing: close() decides whether the caller still gets a refusal.
    void shutdown(asio::socket_base::shutdown_type, std::error_code &)
    {
    }

    void close()
    {
        this->connection->release();
    }

private:
    /// Reads until there are bytes for RESTinio or an error.
    template<class Handler>
    static void readNext(const std::shared_ptr<AcceptedConnection> &owner, const asio::mutable_buffer &buffer, Handler handler)
    {
        const auto handlerExecutor = asio::get_associated_executor(handler);
        if (owner->hasPassedOn()) {
            asio::post(asio::bind_executor(handlerExecutor, [owner, buffer, next = std::move(handler)]() mutable {
                deliver(owner, buffer, next);
            }));
            return;
        }
        if (owner->pausesReading()) {
            owner->resumeWith([owner, buffer, next = std::make_shared<Handler>(std::move(handler))] {
                readNext(owner, buffer, std::move(*next));
            });
            return;
        }
        if (owner->isReleased) {
            asio::post(asio::bind_executor(handlerExecutor, [next = std::move(handler)]() mutable {
                next(asio::error::operation_aborted, std::size_t(0));
            }));
            return;
        }
        owner->beginRead();
        owner->socket.async_read_some(
            buffer,
            asio::bind_executor(handlerExecutor,
                                [owner, buffer, next = std::move(handler)](std::error_code error, std::size_t size) mutable {
                                    error = owner->endRead(error, std::string_view(static_cast<const char *>(buffer.data()), size));
                                    if (!error && !owner->hasPassedOn()) {
                                        readNext(owner, buffer, std::move(next));
                                        return;
                                    }
                                    if (!error) {
                                        deliver(owner, buffer, next);
                                        return;
                                    }
                                    owner->setHandlingRead(true);
                                    next(error, std::size_t(0));
                                    owner->setHandlingRead(false);
                                }));
    }

    template<class Handler>
    static void deliver(const std::shared_ptr<AcceptedConnection> &owner, const asio::mutable_buffer &buffer, Handler &handler)
    {
        if (owner->isReleased) {
            handler(asio::error::operation_aborted, std::size_t(0));
            return;
        }
        if (!owner->hasPassedOn()) {
            // Dropped meanwhile; RESTinio would take a read of no bytes for the end of the connection.
            readNext(owner, buffer, std::move(handler));
            return;
        }
        const auto size = owner->takePassedOn(static_cast<char *>(buffer.data()), buffer.size());
        owner->setHandlingRead(true);
        handler(std::error_code(), size);
        owner->setHandlingRead(false);
    }

    std::shared_ptr<AcceptedConnection> connection;
};

} // namespace rhubarbtiller::http
