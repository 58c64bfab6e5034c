#pragma once

#include <rhubarbtiller/balance/scoreboard.h>

namespace rhubarbtiller::balance {

/// The time over which a server counts as used; the platform evaluates the floor of used servers over the same time.
inline constexpr Duration UseWindow = std::chrono::seconds(2);

/// How many servers of a service in one failure domain received requests within UseWindow, and the state of the others.
///
/// Each unused server is counted once, under the first of the reasons below that applies.
struct ServerUse
{
    /// Servers that are neither draining nor evacuated.
    unsigned servers = 0;
    unsigned used = 0;
    /// Unused: the last connection failed.
    unsigned unreachable = 0;
    /// Unused: still cold.
    unsigned cold = 0;
    /// Unused: a request failed there within UseWindow.
    unsigned recentlyFailed = 0;
    /// Unused for another reason; these may be healthy.
    unsigned otherUnused = 0;

    /// Returns the share of used servers; 1 without servers. Precondition: none. Thread safety: any thread.
    double usedShare() const;
};

/// Counts the use of a service's servers in a failure domain, from the records of this host.
///
/// Precondition: \p fleet holds a server table. Thread safety: the thread of the scoreboard.
ServerUse serverUse(const catalog::ServiceName &service,
                    const FailureDomainId &domain,
                    const catalog::FleetState &fleet,
                    const Scoreboard &board,
                    MonotonicTime now);

} // namespace rhubarbtiller::balance
