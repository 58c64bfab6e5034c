#pragma once

#include <rhubarbtiller/balance/serveruse.h>
#include <rhubarbtiller/balance/serviceoutcomes.h>
#include <rhubarbtiller/telemetry/metrics.h>

namespace rhubarbtiller::gateway {

/// Tells operators which services fail their callers and which of them leave servers of the own failure domain unused.
///
/// Thread safety: the thread of the serving context.
class ServiceUseMonitor
{
public:
    /// Precondition: \p hostMetrics outlives this object.
    ServiceUseMonitor(FailureDomainId ownFailureDomain, telemetry::Metrics &hostMetrics);

    /// Sets the gauges and writes a line for each conspicuous service, if the last time was a UseWindow ago.
    ///
    /// Precondition: \p now does not go back; \p fleet holds a server table.
    void
    update(const catalog::FleetState &fleet, const balance::Scoreboard &board, const balance::ServiceOutcomes &outcomes, MonotonicTime now);

private:
    FailureDomainId ownDomain;
    telemetry::Metrics &metrics;
    MonotonicTime nextAt{};
};

} // namespace rhubarbtiller::gateway
