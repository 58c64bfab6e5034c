#include <rhubarbtiller/testing/fakehostlist.h>

#include <doctest/doctest.h>

#include <optional>

using namespace rhubarbtiller;
using namespace rhubarbtiller::tablestore;
using namespace rhubarbtiller::testing;

static std::vector<std::string> namesIn(FakeHostList &list, VirtualScheduler *scheduler)
{
    std::optional<Result<std::vector<ListedHost>>> outcome;
    list.readHosts(MonotonicTime::max(), [&](Result<std::vector<ListedHost>> hosts) {
        outcome.emplace(std::move(hosts));
    });
    while (!outcome && scheduler && scheduler->runNext()) { }
    REQUIRE(outcome);
    std::vector<std::string> names;
    for (const auto &host : outcome->value()) {
        names.push_back(host.id.text());
    }
    return names;
}

// Guards against a fake without a lag, on which no test can show what a stale list does.
TEST_CASE("the fake host list lags behind")
{
    VirtualClock clock;
    VirtualScheduler scheduler(clock);
    FakeHostList list(&scheduler);
    CHECK(namesIn(list, &scheduler).empty());
    list.setHosts({{HostId("h1"), {}, {}, ListedHostState::Live}});
    CHECK(namesIn(list, &scheduler) == std::vector<std::string>{"h1"});
    list.lag = std::chrono::seconds(30);
    list.setHosts({{HostId("h2"), {}, {}, ListedHostState::Live}});
    CHECK(namesIn(list, &scheduler) == std::vector<std::string>{"h1"});
    clock.advance(std::chrono::seconds(30));
    CHECK(namesIn(list, &scheduler) == std::vector<std::string>{"h2"});
    FakeHostList immediate;
    immediate.setHosts({{HostId("h3"), {}, {}, ListedHostState::Live}});
    CHECK(namesIn(immediate, nullptr) == std::vector<std::string>{"h3"});
}
