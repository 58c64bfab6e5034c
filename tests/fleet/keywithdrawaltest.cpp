#include "fleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <iostream>

using namespace rhubarbtiller;
using namespace rhubarbtiller::fleettests;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a host that goes on serving a withdrawn key: over a connection that stays open, after a pause in which it
// missed the change, or after a restart; and against a host that goes back to an earlier version.
TEST_CASE("a withdrawn key stops working on all hosts (I4 I13)")
{
    const auto seed = runSeed("withdrawn key");
    Fleet fleet(seed);
    const auto keys = fleet.configure(
        {{OrganisationId("harbour"), KeyName("withdrawn"), ""}, {OrganisationId("market"), KeyName("kept"), ""}}, 2000, 400);
    fleet.watchVersions();

    std::mt19937_64 random(seed);
    const int frozen = 1 + static_cast<int>(random() % Fleet::HostCount);
    const int restarted = 1 + (frozen + static_cast<int>(random() % (Fleet::HostCount - 1))) % Fleet::HostCount;
    std::cout << "frozen h" << frozen << ", restarted h" << restarted << std::endl;

    std::vector<std::unique_ptr<Callers>> onEachHost;
    for (int number = 1; number <= Fleet::HostCount; ++number) {
        CallerOptions options;
        options.key = keys[0];
        options.onlyHost = number;
        // Longer than the pause of the frozen host, so that its requests wait in the connection until it continues.
        options.timeout = seconds(20);
        options.threads = 2;
        onEachHost.push_back(std::make_unique<Callers>(fleet, options));
    }
    CallerOptions steered;
    steered.threads = 3;
    steered.key = keys[0];
    Callers withdrawnCallers(fleet, steered);
    steered.key = keys[1];
    Callers keptCallers(fleet, steered);
    for (auto &callers : onEachHost) {
        REQUIRE(waitUntil(seconds(5), [&callers] {
            return callers->answered() > 20;
        }));
    }

    fleet.host(frozen).signal(SIGSTOP);
    fleet.host(restarted).signal(SIGKILL);
    fleet.host(restarted).wait();
    std::thread restart([&fleet, restarted] {
        fleet.startHost(restarted);
    });
    const auto result = fleet.change({"withdraw", "withdrawn"}, testing::ConfigurationEvent::KeyRevoked, "withdrawn");
    fleet.host(frozen).signal(SIGCONT);
    restart.join();
    REQUIRE(result.code == 0);

    // Each host must know of the change within the bound, and the callers go on until executions after it would show.
    std::vector<std::uint64_t> refusedBefore;
    for (const auto &callers : onEachHost) {
        refusedBefore.push_back(callers->refused("unknown_key"));
    }
    for (std::size_t position = 0; position < onEachHost.size(); ++position) {
        CHECK(waitUntil(seconds(5), [&] {
            return onEachHost[position]->refused("unknown_key") > refusedBefore[position];
        }));
    }
    const auto keptBefore = keptCallers.answered();
    waitUntil(seconds(10), [&result] {
        return std::chrono::system_clock::now() > result.endedAt + milliseconds(5500);
    });
    CHECK(keptCallers.answered() > keptBefore);
    for (auto &callers : onEachHost) {
        callers->stop();
    }
    withdrawnCallers.stop();
    keptCallers.stop();
    const auto history = fleet.finish();

    WallTime last;
    for (const auto &execution : history.executions) {
        if (execution.organisation == keys[0].organisation) {
            last = std::max(last, execution.startedAt);
        }
    }
    std::cout << "last run for the withdrawn key " << std::chrono::duration_cast<milliseconds>(last - result.endedAt).count()
              << " ms after acceptance, " << history.versionsInForce.size() << " looks at versions" << std::endl;
    CHECK(fleet.isClean(history, checkAll(history)));
}
