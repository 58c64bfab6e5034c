#include <rhubarbtiller/balance/weightedsplit.h>

#include <algorithm>
#include <cassert>

namespace rhubarbtiller::balance {

const catalog::ServiceName &mainService(const catalog::Route &route)
{
    assert(!route.shares.empty() && "the route has no service");
    const auto hasLowerWeight = [](const catalog::ServiceShare &left, const catalog::ServiceShare &right) {
        return left.weight < right.weight;
    };
    return std::max_element(route.shares.begin(), route.shares.end(), hasLowerWeight)->service;
}

const catalog::ServiceName &WeightedSplit::next(const catalog::Route &route)
{
    assert(!route.shares.empty() && "the route has no service");
    if (route.shares.size() == 1) {
        return route.shares.front().service;
    }
    auto &parts = this->routes[route.name];
    const auto isSame = [](const Part &part, const catalog::ServiceShare &share) {
        return part.service == share.service && part.weight == share.weight;
    };
    if (!std::equal(parts.begin(), parts.end(), route.shares.begin(), route.shares.end(), isSame)) {
        parts.clear();
        for (const auto &share : route.shares) {
            parts.push_back({share.service, share.weight, 0});
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
