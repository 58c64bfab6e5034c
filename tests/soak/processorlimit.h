#pragma once

#include "gatewayfleet.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace rhubarbtiller::soak {

/// Limits each host process to a share of a core as the scheduler of a container does: a process that has used up its part of a period
/// stands still until the next one.
///
/// Thread safety: the thread of the fleet.
class ProcessorLimit
{
public:
    /// Precondition: \p limitedFleet outlives the limit; \p coresOfHost is above 0.
    ProcessorLimit(GatewayFleet &limitedFleet, double coresOfHost);

    /// Stops and continues the processes; called every few milliseconds. Those of \p paused are left alone. Precondition: one entry for
    /// each host.
    void update(const std::vector<bool> &paused);

    /// Returns how often a process was stopped. Precondition: none.
    std::uint64_t stops() const
    {
        return this->stopCount;
    }

private:
    struct Budget
    {
        pid_t process = 0;
        std::chrono::nanoseconds used{0};
        std::chrono::nanoseconds left{0};
        bool isStopped = false;
    };

    GatewayFleet &fleet;
    const std::chrono::nanoseconds quota;
    std::chrono::steady_clock::time_point periodEnd{};
    std::vector<Budget> budgets;
    std::uint64_t stopCount = 0;
};

} // namespace rhubarbtiller::soak
