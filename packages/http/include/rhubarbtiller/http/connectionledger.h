#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongnumber.h>

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rhubarbtiller::http {

/// Number of a connection in a ConnectionLedger.
using LedgerNumber = std::uint64_t;

/// The memory that the callers of a process may use together.
struct CallerMemoryLimits
{
    /// Requests that are being read, or whose memory has not been freed yet.
    ByteCount maxRequests{UINT64_MAX};
    /// Requests, and responses that callers have not read yet.
    ByteCount maxTotal{UINT64_MAX};
};

/// The memory that the connections of callers use, and the decision which of them end when it is exhausted.
///
/// Addresses the load of many callers that send large bodies, long headers or tiny chunks and stop short of the end: the connections that
/// hold the most memory for the longest time with the least progress end first. Connections whose requests have all been read are never
/// chosen for their memory, and those with a request without a response never to make room for others. Small requests have a share of
/// the memory that large ones cannot use up. Thread safety: one thread.
class ConnectionLedger
{
public:
    /// A connection that has to end, and why the caller may still get a refusal.
    struct Victim
    {
        LedgerNumber number = 0;
        /// Whether the connection ends only after the responses to its earlier requests.
        bool hasUnanswered = false;
        /// The memory of the request that is being read.
        ByteCount held;
        Duration age{};
    };

    explicit ConnectionLedger(const CallerMemoryLimits &memoryLimits);

    /// Adds a connection of a group, such as those of one server. Precondition: \p number is not in use.
    void open(LedgerNumber number, std::uint32_t group, MonotonicTime now);

    /// Removes a connection; its whole requests stay charged until onReleased(). Precondition: none.
    void close(LedgerNumber number);

    /// Notes \p received bytes of a request that is being read and now uses \p held bytes. Precondition: the connection is open.
    void onRead(LedgerNumber number, ByteCount held, ByteCount received, MonotonicTime now);

    /// Notes that no request is being read any more, or the next one has begun with \p held bytes. Precondition: the connection is open.
    void onRequestRead(LedgerNumber number, ByteCount held, MonotonicTime now);

    /// Charges a whole request of \p bytes until onReleased(), also when the connection closes before. Precondition: none.
    void onRequest(LedgerNumber number, ByteCount bytes);

    /// Notes the response to a whole request. Precondition: none; the connection may be closed already.
    void onResponse(LedgerNumber number, MonotonicTime now);

    /// Removes the charge of a whole request whose memory is free. Precondition: \p bytes were charged by one call.
    void onReleased(ByteCount bytes);

    /// Charges or removes bytes of responses that the caller has not read yet. Precondition: removed bytes were charged before.
    void chargeUnread(ByteCount bytes);
    void removeUnread(ByteCount bytes);

    /// Returns whether memory is exhausted, so that takeVictims() may return connections. Precondition: none.
    bool isExhausted() const;

    /// Returns the connections that end so that the memory is within the limits; each is returned once. Precondition: none.
    std::vector<Victim> takeVictims(MonotonicTime now);

    /// Returns the connection of a group that ends first to make room for a new one, if any may. Precondition: none.
    ///
    /// Connections without any whole request come first, then those that have been idle for longest. A connection that had progress within
    /// MinReplacedIdleTime or has a request without a response is not returned.
    std::optional<LedgerNumber> takeReplaceable(std::uint32_t group, MonotonicTime now);

    /// Returns the memory that is charged, without connections that end at once. Precondition: none.
    ByteCount chargedBytes() const
    {
        return ByteCount(this->small.total() + this->large.total() + this->unread);
    }

    /// A caller whose newest bytes are younger may still be sending.
    static constexpr std::chrono::seconds MinReplacedIdleTime{1};

    /// Requests up to this size are small.
    static constexpr ByteCount MaxSmallRequest{1024 * 1024};

private:
    struct Entry
    {
        std::uint64_t held = 0;
        std::uint32_t group = 0;
        std::uint32_t wholeRequests = 0;
        bool hasSentRequest = false;
        bool isEnding = false;
        MonotonicTime readingSince{};
        MonotonicTime progressAt{};
        /// Decayed bytes per second.
        double rate = 0;
    };

    /// Sums over the connections that do not end at once.
    struct Sums
    {
        std::uint64_t reading = 0;
        std::uint64_t whole = 0;

        std::uint64_t total() const
        {
            return this->reading + this->whole;
        }
    };

    /// Bytes above the limits: the larger of the two excesses.
    struct Excess
    {
        /// Of all requests, and of these with unread responses.
        std::uint64_t all = 0;
        /// The same with no more of the large requests than their share of the memory for requests.
        std::uint64_t small = 0;
    };

    static double costOf(const Entry &entry, MonotonicTime now);
    Sums &sumsOf(std::uint64_t bytes);
    void setHeld(Entry &entry, std::uint64_t held);
    Excess excessOver(std::uint64_t requestLimit, std::uint64_t totalLimit) const;
    Excess currentExcess() const;
    bool isAloneAllowed(const Entry &entry) const;

    const CallerMemoryLimits limits;
    std::unordered_map<LedgerNumber, Entry> entries;
    Sums small;
    Sums large;
    std::uint64_t unread = 0;
};

} // namespace rhubarbtiller::http
