#pragma once

#include <rhubarbtiller/balance/requestqueue.h>

#include <map>
#include <memory>
#include <optional>

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
        virtual void onRejected(const balance::QueueRefusal &refusal) = 0;
    };

    /// Whether a request was queued.
    struct Admission
    {
        /// 0 if the request was refused.
        std::uint64_t ticket = 0;
        std::optional<balance::QueueRefusal> refusal;
    };

    /// Queues a request; rejects those that can then no longer start in time.
    ///
    /// onRejected() is not called for the request itself. Precondition: \p now does not go back.
    Admission
    enqueue(const catalog::ServiceName &service, balance::QueuedRequest request, const std::shared_ptr<Entry> &entry, MonotonicTime now);

    /// Removes a request from the queue. Precondition: none.
    void remove(const catalog::ServiceName &service, std::uint64_t ticket);

    /// Starts requests while servers have free slots, and rejects those that are too late. Precondition: \p now does not go back.
    void dispatch(MonotonicTime now);

    bool isEmpty() const
    {
        return this->line.isEmpty();
    }

    /// Returns the queue, for the measurements that its decisions are based on. Precondition: none.
    balance::RequestQueue &requests()
    {
        return this->line;
    }

    const balance::RequestQueue &requests() const
    {
        return this->line;
    }

private:
    std::shared_ptr<Entry> take(std::uint64_t ticket);
    void dispatchService(const catalog::ServiceName &service, MonotonicTime now);

    balance::RequestQueue line;
    std::map<std::uint64_t, std::shared_ptr<Entry>> entries;
    std::uint64_t nextTicket = 1;
    MonotonicTime nextReviewAt{};
    bool isDispatching = false;
};

} // namespace rhubarbtiller::gateway
