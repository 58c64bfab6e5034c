#include <rhubarbtiller/limits/overload.h>

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace rhubarbtiller;
using namespace rhubarbtiller::limits;
using namespace std::chrono_literals;

static const MonotonicTime start{std::chrono::hours(1)};
static const OrganisationId greedy("greedy");
static const OrganisationId modest("modest");

static std::vector<OverloadPermit> enterAll(OverloadControl &control, const OrganisationId &organisation)
{
    std::vector<OverloadPermit> permits;
    while (auto permit = control.enter(organisation)) {
        permits.push_back(std::move(*permit));
    }
    return permits;
}

static OverloadSettings hundredRequests()
{
    OverloadSettings settings;
    settings.maxConcurrent = 100;
    settings.minConcurrent = 10;
    return settings;
}

// Guards against a host that accepts more than it can process, and against permits that are not given back.
TEST_CASE("the concurrency of the host is limited")
{
    OverloadControl control(hundredRequests());
    {
        const auto permits = enterAll(control, modest);
        CHECK(permits.size() == 100);
        CHECK(control.inFlight() == 100);
        CHECK_FALSE(control.enter(greedy));
    }
    CHECK(control.inFlight() == 0);
    CHECK(control.enter(greedy));
}

// Guards against an organisation that fills the host while another one is active.
TEST_CASE("an organisation above its fair part is refused first")
{
    OverloadControl control(hundredRequests());
    auto first = control.enter(modest);
    REQUIRE(first);
    const auto greedyPermits = enterAll(control, greedy);
    CHECK(greedyPermits.size() == 74);
    const auto modestPermits = enterAll(control, modest);
    CHECK(modestPermits.size() == 25);
}

// Guards against a new organisation that finds no place because the others use their fair parts.
TEST_CASE("an organisation with nothing in flight enters a busy host")
{
    OverloadControl control(hundredRequests());
    const auto first = control.enter(modest);
    const auto greedyPermits = enterAll(control, greedy);
    REQUIRE_FALSE(control.enter(greedy));
    CHECK(control.enter(OrganisationId("new")));
}

// Guards against a limit that does not follow the delay of the host, or that one short blip lowers.
TEST_CASE("a standing delay lowers the limit and its end raises it")
{
    OverloadControl control(hundredRequests());
    const auto permits = enterAll(control, modest);
    MonotonicTime now = start;
    for (int i = 0; i < 20; ++i, now += 10ms) {
        control.onHostDelay(i % 5 == 0 ? 50ms : 1ms, now);
    }
    CHECK(control.limit() == 100);
    for (int i = 0; i < 500; ++i, now += 10ms) {
        control.onHostDelay(5ms, now);
    }
    CHECK(control.limit() < 100);
    CHECK(control.limit() >= 10);
    for (int i = 0; i < 1000; ++i, now += 10ms) {
        control.onHostDelay(1ms, now);
    }
    CHECK(control.limit() == 100);
}

// Guards against entries of organisations that stay forever, and against the removal of one in use.
TEST_CASE("entries vanish when nothing is in flight")
{
    OverloadControl control(hundredRequests());
    auto permit = control.enter(modest);
    CHECK(control.enter(greedy));
    CHECK(control.entryCount() == 2);
    CHECK(control.dropIdle() == 1);
    CHECK(control.entryCount() == 1);
    permit.reset();
    CHECK(control.dropIdle() == 1);
    CHECK(control.entryCount() == 0);
}

// Guards against counters that drift, or freed entries, when threads enter and leave while idle entries are removed.
TEST_CASE("threads enter and leave while entries are removed")
{
    OverloadControl control(hundredRequests());
    std::atomic<bool> stop{false};
    std::atomic<int> aboveLimit{0};
    std::thread remover([&] {
        while (!stop) {
            control.dropIdle();
        }
    });
    std::vector<std::thread> threads;
    for (int i = 0; i < 3; ++i) {
        threads.emplace_back([&, i] {
            for (int k = 0; k < 3000; ++k) {
                const auto permit = control.enter(OrganisationId(std::to_string((i + k) % 5)));
                const auto second = control.enter(modest);
                if (!permit || !second) {
                    ++aboveLimit;
                }
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    stop = true;
    remover.join();
    CHECK(aboveLimit == 0);
    CHECK(control.inFlight() == 0);
    control.dropIdle();
    CHECK(control.entryCount() == 0);
    // A drifted count of active organisations would shrink the fair part.
    auto one = control.enter(modest);
    CHECK(enterAll(control, greedy).size() == 74);
}
