#pragma once

#include <rhubarbtiller/http/connectionledger.h>

#include <functional>
#include <mutex>
#include <string_view>

namespace rhubarbtiller::http {

/// Why a server ended the connection of a caller that had not ended it itself.
enum class ClosureReason {
    /// The memory of all callers is exhausted.
    RequestMemory,
    /// A new caller needs the connection.
    ConnectionLimit,
    /// The header did not arrive in time.
    HeaderTimeout,
    /// The request did not arrive in time.
    RequestTimeout,
    /// Responses that callers have not read use too much memory.
    UnreadResponses,
};

/// Returns the word for logs and metrics. Thread safety: any thread.
std::string_view closureReasonName(ClosureReason reason);

struct CallerClosure
{
    ClosureReason reason{};
    /// The memory of the request that was being read, or of the unread responses.
    ByteCount held;
    /// Whether the connection ends only after the responses to its earlier requests.
    bool isAfterResponses = false;
};

/// The memory that the callers of all servers of a process use together; ends connections when it is exhausted.
///
/// Thread safety: any thread.
class CallerAccount
{
public:
    /// Called with the reason, on any thread and without a lock.
    using EndHandler = std::function<void(ClosureReason)>;

    /// \p closureObserver is called once for each closure, on any thread. Precondition: none.
    CallerAccount(const CallerMemoryLimits &memoryLimits, std::function<void(const CallerClosure &)> closureObserver);
    CallerAccount(const CallerAccount &) = delete;
    CallerAccount &operator=(const CallerAccount &) = delete;

    /// Returns the number for the connections of one more server. Precondition: none.
    std::uint32_t addServer();

    /// Adds a connection. \p end ends it and is dropped by close(). Precondition: none.
    LedgerNumber open(std::uint32_t server, EndHandler end);

    /// Removes a connection; does nothing if that was done before. Precondition: none.
    void close(LedgerNumber number);

    /// See ConnectionLedger. Precondition: none.
    void onRead(LedgerNumber number, ByteCount held, ByteCount received);
    void onRequestRead(LedgerNumber number, ByteCount held);
    void onRequest(LedgerNumber number, ByteCount bytes);
    void onResponse(LedgerNumber number);
    void onReleased(ByteCount bytes);
    void chargeUnread(ByteCount bytes);
    void removeUnread(ByteCount bytes);

    /// Ends a connection of a server so that another one can be accepted; returns whether one may end. Precondition: none.
    bool replaceConnection(std::uint32_t server);

    /// Reports a closure that the account did not decide. Precondition: none.
    void report(const CallerClosure &closure) const;

private:
    void endVictims(std::unique_lock<std::mutex> lock);

    const std::function<void(const CallerClosure &)> observer;
    const SystemClock clock;
    std::mutex mutex;
    ConnectionLedger ledger;
    std::unordered_map<LedgerNumber, EndHandler> endHandlers;
    LedgerNumber nextNumber = 1;
    std::uint32_t nextServer = 1;
};

} // namespace rhubarbtiller::http
