#include <rhubarbtiller/balance/serveruse.h>

#include <cassert>

namespace rhubarbtiller::balance {

double ServerUse::usedShare() const
{
    return this->servers == 0 ? 1 : static_cast<double>(this->used) / this->servers;
}

/// Returns the count that a server belongs to.
static unsigned ServerUse::*countOf(const catalog::ServerEntry &server, const ServerState *state, MonotonicTime now)
{
    if (state != nullptr && state->wasUsedWithin(UseWindow, now)) {
        return &ServerUse::used;
    }
    if (state != nullptr && state->connectFailures > 0) {
        return &ServerUse::unreachable;
    }
    if (now < server.coldUntil) {
        return &ServerUse::cold;
    }
    const bool hasFailed = state != nullptr && state->lastFailureAt != MonotonicTime() && now - state->lastFailureAt < UseWindow;
    return hasFailed ? &ServerUse::recentlyFailed : &ServerUse::otherUnused;
}

ServerUse serverUse(const catalog::ServiceName &service,
                    const FailureDomainId &domain,
                    const catalog::FleetState &fleet,
                    const Scoreboard &board,
                    MonotonicTime now)
{
    assert(fleet.servers && "no server table was set before counting used servers");
    ServerUse use;
    if (fleet.evacuatedDomains.contains(domain)) {
        return use;
    }
    for (const auto position : fleet.servers->serversOf(service)) {
        const auto &server = fleet.servers->entries()[position];
        if (server.failureDomain == domain && !server.isDraining) {
            ++use.servers;
            ++(use.*countOf(server, board.find(server.id), now));
        }
    }
    return use;
}

} // namespace rhubarbtiller::balance
