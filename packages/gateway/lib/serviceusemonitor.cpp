#include "serviceusemonitor.h"

#include <rhubarbtiller/telemetry/log.h>

#include <algorithm>

namespace rhubarbtiller::gateway {

/// Services with a smaller share of used servers are logged; well above the platform's minimum of 0.7.
static constexpr double MinNormalUse = 0.9;

/// Services with a larger share of unserved requests are logged; the platform checks the minimum of used servers once a tenth of
/// the requests are unserved.
static constexpr double MaxNormalUnserved = 0.08;

/// Limit of log lines per update; up to 140 services may fail at once.
static constexpr unsigned MaxLogLines = 16;

ServiceUseMonitor::ServiceUseMonitor(FailureDomainId ownFailureDomain, telemetry::Metrics &hostMetrics)
    : ownDomain(std::move(ownFailureDomain)), metrics(hostMetrics)
{
}

void ServiceUseMonitor::update(const catalog::FleetState &fleet,
                               const balance::Scoreboard &board,
                               const balance::ServiceOutcomes &outcomes,
                               MonotonicTime now)
{
    if (now < this->nextUpdate) {
        return;
    }
    this->nextUpdate = now + balance::UseWindow;
    double minUse = 1;
    double maxUnserved = 0;
    unsigned lines = 0;
    for (const auto &[service, count] : outcomes.recentCounts(now)) {
        const auto use = balance::serverUse(service, this->ownDomain, fleet, board, now);
        minUse = std::min(minUse, use.usedShare());
        maxUnserved = std::max(maxUnserved, count.unservedShare());
        if ((use.usedShare() >= MinNormalUse && count.unservedShare() <= MaxNormalUnserved) || ++lines > MaxLogLines) {
            continue;
        }
        telemetry::logEvent(telemetry::LogLevel::Info,
                            "service_use",
                            {{"service", service.text()},
                             {"served", count.served},
                             {"unserved", count.unserved},
                             {"servers", use.servers},
                             {"used", use.used},
                             {"unreachable", use.unreachable},
                             {"cold", use.cold},
                             {"failed_lately", use.recentlyFailed},
                             {"passed_over", use.otherUnused}});
    }
    this->metrics.setLeastUsedServers(minUse);
    this->metrics.setMostUnserved(maxUnserved);
}

} // namespace rhubarbtiller::gateway
