#include "dispatchqueue.h"

#include <utility>

namespace rhubarbtiller::gateway {

std::shared_ptr<DispatchQueue::Entry> DispatchQueue::take(std::uint64_t ticket)
{
    auto node = this->entries.extract(ticket);
    return node.empty() ? nullptr : node.mapped();
}

std::uint64_t DispatchQueue::enqueue(const catalog::ServiceName &service,
                                     int priority,
                                     MonotonicTime latestStart,
                                     std::size_t limit,
                                     const std::shared_ptr<Entry> &entry)
{
    const auto own = this->nextTicket++;
    this->entries.emplace(own, entry);
    bool isQueued = true;
    for (const auto ticket : this->line.push(service, {own, priority, latestStart}, limit)) {
        const auto rejected = this->take(ticket);
        if (ticket == own) {
            isQueued = false;
        } else if (rejected) {
            rejected->onRejected();
        }
    }
    return isQueued ? own : 0;
}

void DispatchQueue::remove(const catalog::ServiceName &service, std::uint64_t ticket)
{
    this->line.remove(service, ticket);
    this->entries.erase(ticket);
}

void DispatchQueue::dispatch(MonotonicTime now)
{
    // A request that starts or ends may free a slot and call this function again.
    if (this->line.isEmpty() || std::exchange(this->isDispatching, true)) {
        return;
    }
    for (const auto ticket : this->line.removeExpired(now)) {
        if (const auto expired = this->take(ticket)) {
            expired->onRejected();
        }
    }
    for (const auto &service : this->line.services()) {
        while (const auto ticket = this->line.nextId(service)) {
            const auto next = this->entries.at(*ticket);
            if (!next->tryStart()) {
                break;
            }
            this->remove(service, *ticket);
        }
    }
    this->isDispatching = false;
}

} // namespace rhubarbtiller::gateway
