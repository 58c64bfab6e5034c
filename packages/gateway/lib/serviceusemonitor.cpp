#include "serviceusemonitor.h"

#include <rhubarbtiller/telemetry/log.h>

#include <algorithm>

namespace rhubarbtiller::gateway {

/// Services are conspicuous below this share of used servers, well above the platform's floor of 0.7.
static constexpr double ConspicuousUse = 0.9;

/// Services are conspicuous above this share of requests that are not served; the platform judges the floor from a tenth on.
static constexpr double ConspicuousUnserved = 0.08;

/// Bounds the lines of one update; 140 services may fail at once.
static constexpr unsigned MaxLines = 16;

ServiceUseMonitor::ServiceUseMonitor(FailureDomainId ownFailureDomain, telemetry::Metrics &hostMetrics)
    : ownDomain(std::move(ownFailureDomain)), metrics(hostMetrics)
{
}

void ServiceUseMonitor::update(const catalog::FleetState &fleet,
                               const balance::Scoreboard &board,
                               const balance::ServiceOutcomes &outcomes,
                               MonotonicTime now)
{
    if (now < this->nextAt) {
        return;
    }
    this->nextAt = now + balance::UseWindow;
    double leastUse = 1;
    double mostUnserved = 0;
    unsigned lines = 0;
    for (const auto &[service, count] : outcomes.recentCounts(now)) {
        const auto use = balance::serverUse(service, this->ownDomain, fleet, board, now);
        leastUse = std::min(leastUse, use.usedShare());
        mostUnserved = std::max(mostUnserved, count.unservedShare());
        if ((use.usedShare() >= ConspicuousUse && count.unservedShare() <= ConspicuousUnserved) || ++lines > MaxLines) {
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
    this->metrics.setLeastUsedServers(leastUse);
    this->metrics.setMostUnserved(mostUnserved);
}

} // namespace rhubarbtiller::gateway
