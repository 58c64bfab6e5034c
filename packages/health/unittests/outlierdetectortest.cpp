#include <rhubarbtiller/health/baselinepolicies.h>
#include <rhubarbtiller/health/outlierdetector.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

using namespace rhubarbtiller;
using namespace rhubarbtiller::health;
using namespace std::chrono_literals;

constexpr int ServerCount = 10;

static BackendServerId serverId(int index)
{
    return BackendServerId("s" + std::to_string(index));
}

/// Returns a sample with 10 requests in each bucket, of which \p failures fail in each of the first \p buckets.
static ServerSample sampleOf(int server, std::uint32_t failures, std::size_t buckets = EvidenceBuckets)
{
    ServerSample sample;
    sample.server = serverId(server);
    sample.successes.fill(10);
    sample.medianLatency = 50ms;
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        sample.failures[bucket] = failures;
        sample.successes[bucket] = 10 - failures;
    }
    return sample;
}

namespace {

struct Bench
{
    explicit Bench(double sensitivity = 0.5) : detector(sensitivity)
    {
    }

    void play(int seconds, const std::function<ServerSample(int)> &sample)
    {
        for (int second = 0; second < seconds; ++second) {
            for (int server = 0; server < ServerCount; ++server) {
                this->detector.observe(sample(server), this->clock.now());
            }
            this->clock.advance(1s);
            this->verdicts = this->detector.judge(this->clock.now());
        }
    }

    bool wantsEjection(int server) const
    {
        return std::any_of(this->verdicts.begin(), this->verdicts.end(), [server](const Verdict &verdict) {
            return verdict.server == serverId(server) && verdict.wantsEjection;
        });
    }

    testing::VirtualClock clock;
    OutlierDetector detector;
    std::vector<Verdict> verdicts;
};

} // namespace

// Guards against an ill server that stays in, and against its healthy neighbours that go with it.
TEST_CASE("a server that fails beyond its pool is an outlier at every sensitivity")
{
    for (const double sensitivity : {0.1, 0.5, 0.9}) {
        Bench bench(sensitivity);
        bench.play(10, [](int server) {
            return sampleOf(server, server == 3 ? 5 : 0);
        });
        REQUIRE(bench.verdicts.size() == 1);
        CHECK(bench.wantsEjection(3));
        CHECK(bench.verdicts[0].weight.count() == doctest::Approx(0.1));
    }
}

// Guards against one organisation whose requests fail everywhere and that ejects the servers it meets.
TEST_CASE("an organisation that fails everywhere makes no outlier")
{
    Bench bench(0.9);
    bench.play(40, [](int server) {
        return sampleOf(server, server % 2 == 0 ? 7 : 9, 1);
    });
    CHECK(bench.verdicts.empty());
}

// Guards against a server that fails one organisation only and hides behind its other successes.
TEST_CASE("a failure of one organisation on one server makes an outlier when it succeeds elsewhere")
{
    Bench bench;
    bench.play(10, [](int server) {
        return sampleOf(server, server == 3 ? 6 : 0, 1);
    });
    CHECK(bench.wantsEjection(3));
}

// Guards against a bad hour of the whole pool that ejects servers.
TEST_CASE("a pool that fails or slows down as a whole has no outliers")
{
    Bench bench(0.9);
    bench.play(10, [](int server) {
        return sampleOf(server, 0);
    });
    bench.play(60, [](int server) {
        ServerSample sample = sampleOf(server, server % 2 == 0 ? 4 : 6);
        sample.medianLatency = 500ms;
        sample.slowAnswers = 20;
        return sample;
    });
    CHECK(bench.verdicts.empty());
}

// Guards against an outage of the whole pool that one host reports most of a period before the others.
TEST_CASE("reports of a common outage that arrive apart make no outlier")
{
    Bench bench(0.9);
    for (int tick = 0; tick < 400; ++tick) {
        const int second = tick / 10;
        const bool isBad = second >= 30 && second < 33;
        for (int server = 0; server < ServerCount; ++server) {
            if (tick % 10 == (server == 3 ? 0 : 9)) {
                bench.detector.observe(sampleOf(server, isBad ? 10 : 0), bench.clock.now());
            }
        }
        bench.verdicts = bench.detector.judge(bench.clock.now());
        CHECK_MESSAGE(bench.verdicts.empty(),
                      "tick=" << tick << " " << bench.verdicts[0].evidence << " weight=" << bench.verdicts[0].weight.count());
        bench.clock.advance(100ms);
    }
}

// Guards against a slow server that stays in because it answers everything.
TEST_CASE("a server that is slow for its pool is an outlier")
{
    Bench bench;
    bench.play(10, [](int server) {
        ServerSample sample = sampleOf(server, 0);
        sample.medianLatency = server == 3 ? 250ms : 50ms;
        return sample;
    });
    CHECK(bench.verdicts.size() == 1);
    CHECK(bench.wantsEjection(3));
}

// Guards against ejection on a few failures that any server has, and against a weight that ignores suspicion.
TEST_CASE("rare failures are no evidence and weak evidence only lowers the weight")
{
    Bench bench(0.9);
    bench.play(30, [](int server) {
        return sampleOf(server, server == 3 ? 1 : 0, 1);
    });
    CHECK_FALSE(bench.verdicts.empty());
    Bench strict(0.0);
    strict.play(4, [](int server) {
        return sampleOf(server, server == 3 ? 3 : 0, 1);
    });
    REQUIRE(strict.verdicts.size() == 1);
    CHECK_FALSE(strict.verdicts[0].wantsEjection);
    CHECK(strict.verdicts[0].weight.count() < 1.0);
    CHECK(strict.verdicts[0].weight.count() > 0.1);
}

// Guards against old evidence that ejects a server again after its return, and against flapping without end.
TEST_CASE("a hold ends, clears the evidence and grows when the server flaps")
{
    Bench bench;
    const auto bad = [](int server) {
        return sampleOf(server, server == 3 ? 8 : 0);
    };
    const auto good = [](int server) {
        return sampleOf(server, 0);
    };
    bench.play(5, bad);
    REQUIRE(bench.wantsEjection(3));
    bench.detector.onEjected(serverId(3), bench.clock.now());
    bench.play(9, good);
    CHECK(bench.wantsEjection(3));
    bench.play(1, good);
    CHECK_FALSE(bench.wantsEjection(3));
    bench.play(5, bad);
    REQUIRE(bench.wantsEjection(3));
    bench.detector.onEjected(serverId(3), bench.clock.now());
    bench.play(19, good);
    CHECK(bench.wantsEjection(3));
    bench.play(1, good);
    CHECK_FALSE(bench.wantsEjection(3));
}

// Guards against hold times without bound, and against a server that stays marked as flapping for ever.
TEST_CASE("the hold time is bounded and falls back after a quiet time")
{
    const HoldTimeSettings settings;
    HoldTime hold;
    MonotonicTime now(1h);
    for (int round = 0; round < 10; ++round) {
        hold.start(settings, now);
        CHECK(hold.deadline() - now <= settings.longest);
        now = hold.deadline();
        CHECK(hold.finish(now));
        CHECK_FALSE(hold.finish(now));
    }
    hold.start(settings, now);
    CHECK(hold.deadline() - now == settings.longest);
    now = hold.deadline();
    CHECK(hold.finish(now));
    now += settings.longest * (settings.quietHolds + 1);
    hold.start(settings, now);
    CHECK(hold.deadline() - now == settings.first);
}

// Guards against a baseline that compares something else than it says.
TEST_CASE("the baselines count failures in a row, or nothing")
{
    ConsecutiveFailurePolicy policy(5);
    NoEjectionPolicy none;
    ServerSample sample = sampleOf(0, 1);
    sample.failuresInRow = 4;
    policy.observe(sample, MonotonicTime(1h));
    CHECK(policy.judge(MonotonicTime(1h)).empty());
    sample.failuresInRow = 5;
    policy.observe(sample, MonotonicTime(1h));
    none.observe(sample, MonotonicTime(1h));
    CHECK(policy.judge(MonotonicTime(1h)).size() == 1);
    CHECK(none.judge(MonotonicTime(1h)).empty());
    policy.onEjected(serverId(0), MonotonicTime(1h));
    CHECK(policy.judge(MonotonicTime(1h) + 9s).size() == 1);
    CHECK(policy.judge(MonotonicTime(1h) + 10s).empty());
}
