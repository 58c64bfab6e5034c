#include <rhubarbtiller/health/evidence.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

#include <numeric>
#include <set>

using namespace rhubarbtiller;
using namespace rhubarbtiller::health;
using namespace std::chrono_literals;

// Guards against organisations that all fall into one bucket, which would hide the comparison by organisation.
TEST_CASE("organisations spread over the evidence buckets")
{
    std::array<int, EvidenceBuckets> counts{};
    for (int index = 0; index < 800; ++index) {
        ++counts[evidenceBucket(OrganisationId("organisation-" + std::to_string(index)))];
    }
    for (const int count : counts) {
        CHECK(count > 50);
        CHECK(count < 150);
    }
}

// Guards against counts that are reported twice, in the wrong bucket or before their period is complete.
TEST_CASE("a window reports each complete period once")
{
    testing::VirtualClock clock;
    EvidenceWindow window(BackendServerId("a"));
    const OrganisationId organisation("surf");
    const std::size_t bucket = evidenceBucket(organisation);
    window.observe(organisation, Observation::Success, 10ms, clock.now());
    window.observe(organisation, Observation::Failure, 0ms, clock.now());
    window.observe(organisation, Observation::Failure, 0ms, clock.now());
    window.observe(organisation, Observation::Success, 30ms, clock.now());
    window.observe(organisation, Observation::Success, 20ms, clock.now());
    CHECK(window.takeSamples(clock.now()).empty());
    clock.advance(1s);
    const auto samples = window.takeSamples(clock.now());
    REQUIRE(samples.size() == 1);
    CHECK(samples[0].successes[bucket] == 3);
    CHECK(samples[0].failures[bucket] == 2);
    CHECK(std::accumulate(samples[0].successes.begin(), samples[0].successes.end(), 0u) == 3);
    CHECK(samples[0].medianLatency == 20ms);
    CHECK(samples[0].failuresInRow == 2);
    CHECK(window.takeSamples(clock.now()).empty());
    clock.advance(10s);
    CHECK(window.takeSamples(clock.now()).empty());
}

// Guards against old evidence from a host that was paused, and against unnoticed slow answers.
TEST_CASE("a window keeps few samples and counts answers slower than its own median")
{
    testing::VirtualClock clock;
    EvidenceWindow window(BackendServerId("a"));
    for (int period = 0; period < 10; ++period) {
        window.observe(OrganisationId("o"), Observation::Success, 10ms, clock.now());
        clock.advance(1s);
    }
    CHECK(window.takeSamples(clock.now()).size() == 4);
    window.observe(OrganisationId("o"), Observation::Success, 29ms, clock.now());
    window.observe(OrganisationId("o"), Observation::Success, 31ms, clock.now());
    clock.advance(1s);
    const auto samples = window.takeSamples(clock.now());
    REQUIRE(samples.size() == 1);
    CHECK(samples[0].slowAnswers == 1);
}
