#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>

#include <cstddef>
#include <deque>
#include <unordered_map>

namespace rhubarbtiller::peer {

/// What a cancellation found.
enum class CancelOutcome {
    /// The request had not started and will not start.
    NeverStarted,
    Running,
    Finished,
};

/// Lets each forwarded request start at most once, and bars requests that were cancelled before they arrived.
///
/// Ids are remembered for RetentionTime after a request finished or was barred, longer than a message can wait in the
/// buffers of a paused host whose sender still acts on the answer. Thread safety: one thread at a time.
class MessageDeduplicator
{
public:
    static constexpr Duration RetentionTime = std::chrono::minutes(2);

    /// Bounds the memory; at 500 forwarded requests a second RetentionTime needs 60,000 entries.
    static constexpr std::size_t MaxEntries = 200'000;

    /// Returns whether the request may start, and notes that it runs. Precondition: \p now does not go back.
    bool start(const RequestId &id, MonotonicTime now);

    /// Notes that a request has finished. Precondition: it was started.
    void finish(const RequestId &id, MonotonicTime now);

    /// Bars a request that has not started, and tells what is known of it. Precondition: \p now does not go back.
    CancelOutcome cancel(const RequestId &id, MonotonicTime now);

    /// Returns the number of ids that are remembered. Precondition: none.
    std::size_t entryCount() const
    {
        return this->states.size();
    }

private:
    enum class State {
        Running,
        Finished,
        Barred,
    };

    struct Expiry
    {
        MonotonicTime at;
        RequestId id;
    };

    void remember(const RequestId &id, State state, MonotonicTime now);
    void dropExpired(MonotonicTime now);

    std::unordered_map<RequestId, State> states;
    std::deque<Expiry> expiries;
};

} // namespace rhubarbtiller::peer
