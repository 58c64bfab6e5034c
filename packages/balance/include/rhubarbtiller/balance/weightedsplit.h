#pragma once

#include <rhubarbtiller/catalog/catalog.h>

namespace rhubarbtiller::balance {

/// Returns the service of the route with the largest weight.
///
/// Precondition: the route has at least one service. Thread safety: any thread.
const catalog::ServiceName &mainService(const catalog::Route &route);

/// Divides the requests of each route among its services in proportion to their weights.
///
/// Smooth weighted round robin: after any number of requests each service is within one request of its share.
/// Thread safety: one thread.
class WeightedSplit
{
public:
    /// Returns the service of the next request. Precondition: the route has at least one service.
    const catalog::ServiceName &next(const catalog::Route &route);

private:
    struct Part
    {
        catalog::ServiceName service;
        double weight = 0;
        double currentWeight = 0;
    };

    std::unordered_map<RouteName, std::vector<Part>> routes;
};

} // namespace rhubarbtiller::balance
