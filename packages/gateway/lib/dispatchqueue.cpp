#include "dispatchqueue.h"

#include <utility>

namespace rhubarbtiller::gateway {

/// Interval of looking for requests that cannot start in time; each response dispatches, which would be too often.
static constexpr Duration ReviewInterval = std::chrono::milliseconds(20);

std::shared_ptr<DispatchQueue::Entry> DispatchQueue::take(std::uint64_t ticket)
{
    auto node = this->entries.extract(ticket);
    return node.empty() ? nullptr : node.mapped();
}

DispatchQueue::Admission DispatchQueue::enqueue(const catalog::ServiceName &service,
                                                balance::QueuedRequest request,
                                                const std::shared_ptr<Entry> &entry,
                                                MonotonicTime now)
{
    const auto own = this->nextTicket++;
    request.id = own;
    this->entries.emplace(own, entry);
    Admission admission{own, {}};
    for (const auto &refusal : this->line.push(service, request, now)) {
        const auto rejected = this->take(refusal.id);
        if (refusal.id == own) {
            admission = {0, refusal};
        } else if (rejected) {
            rejected->onRejected(refusal);
        }
    }
    return admission;
}

void DispatchQueue::remove(const catalog::ServiceName &service, std::uint64_t ticket)
{
    this->line.remove(service, ticket);
    this->entries.erase(ticket);
}

void DispatchQueue::dispatchService(const catalog::ServiceName &service, MonotonicTime now)
{
    std::vector<balance::PlacementClass> blocked;
    while (const auto *const next = this->line.next(service, now, blocked)) {
        const auto ticket = next->id;
        const auto placementClass = next->placementClass;
        const auto entry = this->entries.at(ticket);
        if (!entry->tryStart()) {
            blocked.push_back(placementClass);
            continue;
        }
        this->line.onStarted(service, ticket, now);
        this->entries.erase(ticket);
    }
}

void DispatchQueue::dispatch(MonotonicTime now)
{
    // A request that starts or ends may free a slot and call this function again.
    if (this->line.isEmpty() || std::exchange(this->isDispatching, true)) {
        return;
    }
    if (now >= this->nextReviewAt) {
        this->nextReviewAt = now + ReviewInterval;
        for (const auto &refusal : this->line.removeUnservable(now)) {
            if (const auto rejected = this->take(refusal.id)) {
                rejected->onRejected(refusal);
            }
        }
    }
    for (const auto &service : this->line.services()) {
        this->dispatchService(service, now);
    }
    this->isDispatching = false;
}

} // namespace rhubarbtiller::gateway
