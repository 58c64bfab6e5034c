#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/catalog/catalog.h>

#include <list>
#include <map>

namespace rhubarbtiller::balance {

/// A request that waits for a free server.
struct WaitingTicket
{
    std::uint64_t id = 0;
    /// 0 goes first.
    int priority = 0;
    /// A request that has not started by then is of no use any more.
    MonotonicTime latestStart{};
};

/// The requests of one host that wait until a backend server has a free slot, for the heaviest load.
///
/// More urgent requests go first, and among equals those that came first. The line is no longer than what the servers can
/// start in time: what does not fit is refused at once, the least urgent first, rather than kept until its time is over.
/// Thread safety: one thread.
class WaitingLine
{
public:
    /// Adds a request, and returns the ids of those that no longer fit; its own id among them refuses it.
    ///
    /// \p limit is the number of requests that may wait for the service. Precondition: the id is not in the line.
    std::vector<std::uint64_t> join(const catalog::ServiceName &service, const WaitingTicket &ticket, std::size_t limit);

    /// Takes a request out. Precondition: none.
    void leave(const catalog::ServiceName &service, std::uint64_t id);

    /// Returns the services that requests wait for. Precondition: none.
    std::vector<catalog::ServiceName> services() const;

    /// Returns the id of the request that goes next, or nothing. Precondition: none.
    std::optional<std::uint64_t> first(const catalog::ServiceName &service) const;

    /// Takes out the requests that can no longer start in time, and returns their ids. Precondition: none.
    std::vector<std::uint64_t> takeExpired(MonotonicTime now);

    bool isEmpty() const
    {
        return this->lines.empty();
    }

private:
    std::map<catalog::ServiceName, std::list<WaitingTicket>> lines;
};

/// Returns how long a request may wait for its start, of the time that its caller still waits. Thread safety: any thread.
Duration waitingPatience(Duration remaining);

/// Returns how many requests may wait at one of \p hosts that share \p usableSlots. Precondition: \p hosts is above 0.
std::size_t waitingLimit(std::uint32_t usableSlots, Duration patience, std::size_t hosts);

} // namespace rhubarbtiller::balance
