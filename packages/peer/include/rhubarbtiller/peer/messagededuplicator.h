#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>

#include <cstddef>
#include <deque>
#include <unordered_map>
#include <utility>

namespace rhubarbtiller::peer {

enum class StartDecision {
    /// The request is new; it is now running.
    Start,
    /// The request runs or has run.
    Duplicate,
    /// The request was cancelled before it arrived and must not run.
    Barred,
    /// The table is full of requests that it must not forget.
    TableFull,
};

enum class CancelDecision {
    /// The request never started here and never will.
    NeverStarted,
    /// The request runs, or it cannot be told that it never did.
    Running,
    Finished,
};

/// Remembers the ids of Forward messages, so that none runs twice and a cancelled one never starts.
///
/// Thread safety: one thread.
class MessageDeduplicator
{
public:
    /// Makes an empty table of a process that began at \p startedAt.
    ///
    /// Precondition: \p retention is longer than the time in which a message or its Cancel can still arrive.
    MessageDeduplicator(std::size_t capacity, Duration retention, MonotonicTime startedAt);

    /// Decides whether a request may start. Precondition: \p now does not decrease from call to call.
    StartDecision onForward(const RequestId &request, MonotonicTime now);

    /// Notes the end of a request. Precondition: onForward() said that it may start.
    void onFinished(const RequestId &request, MonotonicTime now);

    /// Decides about a Cancel; a request that never started is barred from now on.
    ///
    /// A process that has started less than the retention ago does not know what its predecessor ran, and does not
    /// answer NeverStarted. Precondition: \p now does not decrease from call to call.
    CancelDecision onCancel(const RequestId &request, MonotonicTime now);

    /// Returns the number of requests remembered. Precondition: none.
    std::size_t size() const;

private:
    enum class State {
        Running,
        Finished,
        Barred,
    };

    void forgetOld(MonotonicTime now);

    const std::size_t capacity;
    const Duration retention;
    const MonotonicTime knownFrom;
    std::unordered_map<RequestId, State> states;
    /// Ended and barred requests with the time when they may be forgotten, in rising order.
    std::deque<std::pair<MonotonicTime, RequestId>> forgettable;
};

} // namespace rhubarbtiller::peer
