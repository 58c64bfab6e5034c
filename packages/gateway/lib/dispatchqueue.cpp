#include "dispatchqueue.h"

#include <utility>

namespace rhubarbtiller::gateway {

std::shared_ptr<WaitingRequests::Waiter> WaitingRequests::take(std::uint64_t ticket)
{
    auto node = this->waiters.extract(ticket);
    return node.empty() ? nullptr : node.mapped();
}

std::uint64_t WaitingRequests::join(const catalog::ServiceName &service,
                                    int priority,
                                    MonotonicTime latestStart,
                                    std::size_t limit,
                                    const std::shared_ptr<Waiter> &waiter)
{
    const auto own = this->nextTicket++;
    this->waiters.emplace(own, waiter);
    bool hasPlace = true;
    for (const auto ticket : this->line.join(service, {own, priority, latestStart}, limit)) {
        const auto refused = this->take(ticket);
        if (ticket == own) {
            hasPlace = false;
        } else if (refused) {
            refused->turnAway();
        }
    }
    return hasPlace ? own : 0;
}

void WaitingRequests::leave(const catalog::ServiceName &service, std::uint64_t ticket)
{
    this->line.leave(service, ticket);
    this->waiters.erase(ticket);
}

void WaitingRequests::pump(MonotonicTime now)
{
    // A request that starts or ends may free a slot and call this function again.
    if (this->line.isEmpty() || std::exchange(this->isPumping, true)) {
        return;
    }
    for (const auto ticket : this->line.takeExpired(now)) {
        if (const auto late = this->take(ticket)) {
            late->turnAway();
        }
    }
    for (const auto &service : this->line.services()) {
        while (const auto ticket = this->line.first(service)) {
            const auto next = this->waiters.at(*ticket);
            if (!next->tryStart()) {
                break;
            }
            this->leave(service, *ticket);
        }
    }
    this->isPumping = false;
}

} // namespace rhubarbtiller::gateway
