#pragma once

#include <rhubarbtiller/balance/requestqueue.h>

#include <map>
#include <memory>

namespace rhubarbtiller::gateway {

/// Queues requests until a server has a free slot, and starts them in the order of balance::RequestQueue.
///
/// Thread safety: one thread.
class DispatchQueue
{
public:
    /// A queued request.
    class Entry
    {
    public:
        Entry() = default;
        Entry(const Entry &) = delete;
        Entry &operator=(const Entry &) = delete;
        virtual ~Entry() = default;

        /// Tries to send the request; returns false while no server has a free slot. Precondition: the request is queued.
        virtual bool tryStart() = 0;

        /// Rejects the request, which cannot start in time and is no longer queued. Precondition: the request was queued.
        virtual void onRejected() = 0;
    };

    /// Queues a request; if that exceeds the limit, rejects the last ones.
    ///
    /// Returns the ticket of the request, or 0 if it was itself rejected; onRejected() is then not called for it. Precondition: none.
    std::uint64_t enqueue(const catalog::ServiceName &service,
                          int priority,
                          MonotonicTime latestStart,
                          std::size_t limit,
                          const std::shared_ptr<Entry> &entry);

    /// Removes a request from the queue. Precondition: none.
    void remove(const catalog::ServiceName &service, std::uint64_t ticket);

    /// Starts requests while servers have free slots, and rejects those that are too late. Precondition: none.
    void dispatch(MonotonicTime now);

    bool isEmpty() const
    {
        return this->line.isEmpty();
    }

private:
    std::shared_ptr<Entry> take(std::uint64_t ticket);

    balance::RequestQueue line;
    std::map<std::uint64_t, std::shared_ptr<Entry>> entries;
    std::uint64_t nextTicket = 1;
    bool isDispatching = false;
};

} // namespace rhubarbtiller::gateway
