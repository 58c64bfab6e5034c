#include "fleet.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace rhubarbtiller;
using namespace rhubarbtiller::fleettests;
using std::chrono::seconds;

// Guards against a host that ends on SIGHUP, which the platform sends for a changed settings file, and the kernel to a
// stopped process whose shell has ended.
TEST_CASE("SIGHUP ends no host, also one that is stopped")
{
    Fleet fleet(runSeed("reload"));
    fleet.host(1).signal(SIGHUP);
    fleet.host(2).signal(SIGSTOP);
    fleet.host(2).signal(SIGHUP);
    fleet.host(2).signal(SIGCONT);
    for (const int number : {1, 2}) {
        CHECK(waitUntil(seconds(10), [&] {
            return fleet.isServing(number);
        }));
        CHECK_FALSE(fleet.host(number).exitCode().has_value());
        CHECK(waitUntil(seconds(5), [&] {
            return fleet.logOf(number).find("event=reload") != std::string::npos;
        }));
    }
}
