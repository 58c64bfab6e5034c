#include <rhubarbtiller/balance/weightedsplit.h>

#include <doctest/doctest.h>

#include <map>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;

static catalog::Route routeWith(std::vector<catalog::WeightedService> services)
{
    catalog::Route route;
    route.name = RouteName("route");
    route.weightedServices = std::move(services);
    return route;
}

TEST_CASE("each service gets its share of every hundred requests")
{
    WeightedSplit split;
    const auto route = routeWith({{catalog::ServiceName("a"), 90}, {catalog::ServiceName("b"), 10}});
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        ++counts[split.next(route).text()];
    }
    CHECK(counts["a"] == 90);
    CHECK(counts["b"] == 10);
}

TEST_CASE("new services and weights apply from the next request on")
{
    WeightedSplit split;
    split.next(routeWith({{catalog::ServiceName("a"), 1}, {catalog::ServiceName("b"), 1}}));
    const auto changed = routeWith({{catalog::ServiceName("b"), 1}, {catalog::ServiceName("c"), 1}});
    for (int i = 0; i < 10; ++i) {
        CHECK(split.next(changed).text() != "a");
    }
}

TEST_CASE("the main service of a route is the one with the largest weight")
{
    catalog::Route route;
    route.weightedServices = {{catalog::ServiceName("small"), 1}, {catalog::ServiceName("large"), 9}, {catalog::ServiceName("middle"), 5}};
    CHECK(mainService(route).text() == "large");
}
