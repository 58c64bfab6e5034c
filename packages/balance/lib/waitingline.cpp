#include <rhubarbtiller/balance/waitingline.h>

#include <rhubarbtiller/balance/placement.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace rhubarbtiller::balance {

/// The fraction of the remaining time that a request may be queued; the rest is for processing on the server.
static constexpr double QueueTimeFraction = 0.4;

Duration waitingPatience(Duration remaining)
{
    return std::chrono::duration_cast<Duration>(remaining * QueueTimeFraction);
}

std::size_t waitingLimit(std::uint32_t usableSlots, Duration patience, std::size_t hosts)
{
    assert(hosts > 0 && "this host shares the slots too");
    const double starts = usableSlots * (std::chrono::duration<double>(patience) / std::chrono::duration<double>(MeanWorkTime));
    return static_cast<std::size_t>(std::llround(starts / static_cast<double>(hosts)));
}

std::vector<std::uint64_t> WaitingLine::join(const catalog::ServiceName &service, const WaitingTicket &ticket, std::size_t limit)
{
    auto &queue = this->lines[service];
    const auto position = std::find_if(queue.begin(), queue.end(), [&ticket](const WaitingTicket &other) {
        return other.priority > ticket.priority;
    });
    queue.insert(position, ticket);
    std::vector<std::uint64_t> refused;
    while (queue.size() > limit) {
        refused.push_back(queue.back().id);
        queue.pop_back();
    }
    if (queue.empty()) {
        this->lines.erase(service);
    }
    return refused;
}

void WaitingLine::leave(const catalog::ServiceName &service, std::uint64_t id)
{
    const auto found = this->lines.find(service);
    if (found == this->lines.end()) {
        return;
    }
    found->second.remove_if([id](const WaitingTicket &ticket) {
        return ticket.id == id;
    });
    if (found->second.empty()) {
        this->lines.erase(found);
    }
}

std::vector<catalog::ServiceName> WaitingLine::services() const
{
    std::vector<catalog::ServiceName> names;
    for (const auto &[service, queue] : this->lines) {
        names.push_back(service);
    }
    return names;
}

std::optional<std::uint64_t> WaitingLine::first(const catalog::ServiceName &service) const
{
    const auto found = this->lines.find(service);
    return found == this->lines.end() ? std::nullopt : std::optional(found->second.front().id);
}

std::vector<std::uint64_t> WaitingLine::takeExpired(MonotonicTime now)
{
    std::vector<std::uint64_t> expired;
    for (auto &[service, queue] : this->lines) {
        queue.remove_if([&expired, now](const WaitingTicket &ticket) {
            if (now < ticket.latestStart) {
                return false;
            }
            expired.push_back(ticket.id);
            return true;
        });
    }
    std::erase_if(this->lines, [](const auto &entry) {
        return entry.second.empty();
    });
    return expired;
}

} // namespace rhubarbtiller::balance
