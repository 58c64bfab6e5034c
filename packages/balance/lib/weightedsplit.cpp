#include <rhubarbtiller/balance/weightedsplit.h>

#include <algorithm>
#include <cassert>

namespace rhubarbtiller::balance {

const catalog::ServiceName &mainService(const catalog::Route &route)
{
    assert(!route.weightedServices.empty() && "the route has no service");
    const auto hasLowerWeight = [](const catalog::WeightedService &left, const catalog::WeightedService &right) {
        return left.weight < right.weight;
    };
    return std::max_element(route.weightedServices.begin(), route.weightedServices.end(), hasLowerWeight)->service;
}

const catalog::ServiceName &WeightedSplit::next(const catalog::Route &route)
{
    assert(!route.weightedServices.empty() && "the route has no service");
    if (route.weightedServices.size() == 1) {
        return route.weightedServices.front().service;
    }
    auto &parts = this->routes[route.name];
    const auto isSame = [](const Part &part, const catalog::WeightedService &weighted) {
        return part.service == weighted.service && part.weight == weighted.weight;
    };
    if (!std::equal(parts.begin(), parts.end(), route.weightedServices.begin(), route.weightedServices.end(), isSame)) {
        parts.clear();
        for (const auto &weighted : route.weightedServices) {
            parts.push_back({weighted.service, weighted.weight, 0});
        }
    }
    double total = 0;
    for (auto &part : parts) {
        part.currentWeight += part.weight;
        total += part.weight;
    }
    auto &chosen = *std::max_element(parts.begin(), parts.end(), [](const Part &left, const Part &right) {
        return left.currentWeight < right.currentWeight;
    });
    chosen.currentWeight -= total;
    return chosen.service;
}

} // namespace rhubarbtiller::balance
