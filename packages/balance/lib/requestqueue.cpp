#include <rhubarbtiller/balance/requestqueue.h>

#include <rhubarbtiller/balance/placement.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace rhubarbtiller::balance {

/// The fraction of the remaining time that a request may be queued; the rest is for processing on the server.
static constexpr double QueueTimeFraction = 0.4;

Duration maxQueueTime(Duration remaining)
{
    return std::chrono::duration_cast<Duration>(remaining * QueueTimeFraction);
}

std::size_t maxQueueLength(std::uint32_t usableSlots, Duration queueTime, std::size_t hosts)
{
    assert(hosts > 0 && "the number of hosts includes this host");
    const double starts = usableSlots * (std::chrono::duration<double>(queueTime) / std::chrono::duration<double>(MeanServiceTime));
    return static_cast<std::size_t>(std::llround(starts / static_cast<double>(hosts)));
}

std::vector<std::uint64_t> RequestQueue::push(const catalog::ServiceName &service, const QueuedRequest &request, std::size_t limit)
{
    auto &queue = this->queues[service];
    const auto position = std::find_if(queue.begin(), queue.end(), [&request](const QueuedRequest &other) {
        return other.priority > request.priority;
    });
    queue.insert(position, request);
    std::vector<std::uint64_t> refused;
    while (queue.size() > limit) {
        refused.push_back(queue.back().id);
        queue.pop_back();
    }
    if (queue.empty()) {
        this->queues.erase(service);
    }
    return refused;
}

void RequestQueue::remove(const catalog::ServiceName &service, std::uint64_t id)
{
    const auto found = this->queues.find(service);
    if (found == this->queues.end()) {
        return;
    }
    found->second.remove_if([id](const QueuedRequest &request) {
        return request.id == id;
    });
    if (found->second.empty()) {
        this->queues.erase(found);
    }
}

std::vector<catalog::ServiceName> RequestQueue::services() const
{
    std::vector<catalog::ServiceName> names;
    for (const auto &[service, queue] : this->queues) {
        names.push_back(service);
    }
    return names;
}

std::optional<std::uint64_t> RequestQueue::nextId(const catalog::ServiceName &service) const
{
    const auto found = this->queues.find(service);
    return found == this->queues.end() ? std::nullopt : std::optional(found->second.front().id);
}

std::vector<std::uint64_t> RequestQueue::removeExpired(MonotonicTime now)
{
    std::vector<std::uint64_t> expired;
    for (auto &[service, queue] : this->queues) {
        queue.remove_if([&expired, now](const QueuedRequest &request) {
            if (now < request.startDeadline) {
                return false;
            }
            expired.push_back(request.id);
            return true;
        });
    }
    std::erase_if(this->queues, [](const auto &entry) {
        return entry.second.empty();
    });
    return expired;
}

} // namespace rhubarbtiller::balance
