#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/catalog/catalog.h>

#include <list>
#include <map>

namespace rhubarbtiller::balance {

/// A request that waits for a free server.
struct QueuedRequest
{
    std::uint64_t id = 0;
    /// 0 is the most urgent.
    int priority = 0;
    /// A request that has not started by then cannot be completed in time.
    MonotonicTime startDeadline{};
};

/// The requests of one host that are queued until a backend server has a free slot, under overload.
///
/// Ordered by priority, and first in, first out among equals. The queue is no longer than what the servers can
/// start in time: what does not fit is refused at once, the least urgent first, rather than kept until its time is over.
/// Thread safety: one thread.
class RequestQueue
{
public:
    /// Adds a request, and returns the ids of those that no longer fit; its own id among them refuses it.
    ///
    /// \p limit is the number of requests that may be queued for the service. Precondition: the id is not queued.
    std::vector<std::uint64_t> push(const catalog::ServiceName &service, const QueuedRequest &request, std::size_t limit);

    /// Removes a request. Precondition: none.
    void remove(const catalog::ServiceName &service, std::uint64_t id);

    /// Returns the services that requests wait for. Precondition: none.
    std::vector<catalog::ServiceName> services() const;

    /// Returns the id of the next request, or nothing. Precondition: none.
    std::optional<std::uint64_t> nextId(const catalog::ServiceName &service) const;

    /// Removes the requests that can no longer start in time, and returns their ids. Precondition: none.
    std::vector<std::uint64_t> removeExpired(MonotonicTime now);

    bool isEmpty() const
    {
        return this->queues.empty();
    }

private:
    std::map<catalog::ServiceName, std::list<QueuedRequest>> queues;
};

/// Returns how long a request may be queued, given the time that remains until its caller's time limit. Thread safety: any thread.
Duration maxQueueTime(Duration remaining);

/// Returns how many requests may wait at one of \p hosts that share \p usableSlots. Precondition: \p hosts is above 0.
std::size_t maxQueueLength(std::uint32_t usableSlots, Duration queueTime, std::size_t hosts);

} // namespace rhubarbtiller::balance
