#pragma once

#include <rhubarbtiller/balance/serveruse.h>
#include <rhubarbtiller/balance/serviceoutcomes.h>
#include <rhubarbtiller/telemetry/metrics.h>

namespace rhubarbtiller::gateway {

/// Reports services with many unserved requests, and services that leave servers of the own failure domain unused.
///
/// Thread safety: the thread of the serving context.
class ServiceUseMonitor
{
public:
    /// Precondition: \p hostMetrics outlives this object.
    ServiceUseMonitor(FailureDomainId ownFailureDomain, telemetry::Metrics &hostMetrics);

    /// Sets the gauges and logs the services beyond a threshold, up to a limit of lines; does so at most once per UseWindow.
    ///
    /// Precondition: \p now does not go back; \p fleet holds a server table.
    void
    update(const catalog::FleetState &fleet, const balance::Scoreboard &board, const balance::ServiceOutcomes &outcomes, MonotonicTime now);

private:
    FailureDomainId ownDomain;
    telemetry::Metrics &metrics;
    MonotonicTime nextUpdate{};
};

} // namespace rhubarbtiller::gateway
