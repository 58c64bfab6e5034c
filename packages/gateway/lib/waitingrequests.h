#pragma once

#include <rhubarbtiller/balance/requestqueue.h>

#include <map>
#include <memory>

namespace rhubarbtiller::gateway {

/// The requests that wait for a server with room, in the order of the waiting line.
///
/// Thread safety: one thread.
class WaitingRequests
{
public:
    /// A request that waits.
    class Waiter
    {
    public:
        Waiter() = default;
        Waiter(const Waiter &) = delete;
        Waiter &operator=(const Waiter &) = delete;
        virtual ~Waiter() = default;

        /// Tries to send the request; returns false while no server has room. Precondition: the request waits.
        virtual bool tryStart() = 0;

        /// Tells the request that it cannot start in time; it no longer waits. Precondition: the request waits.
        virtual void turnAway() = 0;
    };

    /// Lets a request wait and turns away those beyond the limit; returns its ticket, or 0 if it found no place.
    ///
    /// A waiter without a place is not told. Precondition: none.
    std::uint64_t join(const catalog::ServiceName &service,
                       int priority,
                       MonotonicTime latestStart,
                       std::size_t limit,
                       const std::shared_ptr<Waiter> &waiter);

    /// Removes a request from the line. Precondition: none.
    void leave(const catalog::ServiceName &service, std::uint64_t ticket);

    /// Starts requests while servers have room, and turns away those that are too late. Precondition: none.
    void pump(MonotonicTime now);

    bool isEmpty() const
    {
        return this->line.isEmpty();
    }

private:
    std::shared_ptr<Waiter> take(std::uint64_t ticket);

    balance::RequestQueue line;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
    std::uint64_t nextTicket = 1;
    bool isPumping = false;
};

} // namespace rhubarbtiller::gateway
