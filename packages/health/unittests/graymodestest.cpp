#include <rhubarbtiller/health/baselinepolicies.h>
#include <rhubarbtiller/health/ejectionbudget.h>
#include <rhubarbtiller/health/outlierdetector.h>

#include <doctest/doctest.h>

#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <random>

using namespace rhubarbtiller;
using namespace rhubarbtiller::health;
using namespace std::chrono_literals;

namespace {

struct Request
{
    std::size_t server = 0;
    std::size_t organisation = 0;
    bool isOnRareRoute = false;
    Duration sinceStart{};
    bool isFaulty = false;
};

/// What a fault makes of a request.
struct Effect
{
    double failureRate = 0;
    double slowness = 1;
};

struct GrayMode
{
    std::string name;
    /// Servers from 0 on that are ill.
    std::size_t illServers = 1;
    std::function<Effect(const Request &)> effect;
};

struct GrayResult
{
    /// Mean over the ill servers that were ejected.
    double detectionSeconds = 0;
    std::size_t detected = 0;
    std::size_t ill = 0;
    std::size_t falseEjections = 0;
};

using PolicyFactory = std::function<std::unique_ptr<OutlierPolicy>()>;

} // namespace

constexpr std::size_t ServerCount = 30;
constexpr std::size_t OrganisationCount = 8;
constexpr int RequestsPerSecond = 300;
constexpr Duration FaultAt = 30s;
constexpr Duration FaultEnd = 90s;
constexpr Duration End = 120s;

static std::vector<GrayMode> grayModes()
{
    const auto onIll = [](std::function<Effect(const Request &)> effect) {
        return [effect](const Request &request) {
            return request.isFaulty ? effect(request) : Effect{};
        };
    };
    return {
        {"healthy", 0, onIll([](const Request &) {
             return Effect{};
         })},
        {"all requests fail", 1, onIll([](const Request &) {
             return Effect{1.0, 1};
         })},
        {"20% of requests fail", 1, onIll([](const Request &) {
             return Effect{0.2, 1};
         })},
        {"6 servers fail by half", 6, onIll([](const Request &) {
             return Effect{0.5, 1};
         })},
        {"half of one organisation's fail", 1, onIll([](const Request &request) {
             return Effect{request.organisation == 0 ? 0.5 : 0.0, 1};
         })},
        {"one route of three fails", 1, onIll([](const Request &request) {
             return Effect{request.isOnRareRoute ? 1.0 : 0.0, 1};
         })},
        {"five times slower", 1, onIll([](const Request &) {
             return Effect{0, 5};
         })},
        {"a third ten times slower", 1, onIll([](const Request &request) {
             return Effect{0, request.isOnRareRoute ? 10.0 : 1.0};
         })},
        {"flapping each 5 s", 1, onIll([](const Request &request) {
             return Effect{request.sinceStart / 5s % 2 == 0 ? 0.8 : 0.0, 1};
         })},
        {"whole pool fails by 30%",
         0,
         [](const Request &request) {
             return Effect{request.sinceStart >= FaultAt && request.sinceStart < FaultEnd ? 0.3 : 0.0, 1};
         }},
        {"whole pool five times slower",
         0,
         [](const Request &request) {
             return Effect{0, request.sinceStart >= FaultAt && request.sinceStart < FaultEnd ? 5.0 : 1.0};
         }},
        {"an organisation sends bad requests",
         0,
         [](const Request &request) {
             return Effect{request.organisation == 0 && request.sinceStart >= FaultAt ? 0.8 : 0.0, 1};
         }},
        {"bad requests in bursts",
         0,
         [](const Request &request) {
             return Effect{request.organisation == 0 && request.sinceStart / 250ms % 12 == 0 ? 1.0 : 0.0, 1};
         }},
    };
}

/// Plays one pool of 30 servers for two minutes; the ill servers are ill from 30 s to 90 s.
static GrayResult playGray(const GrayMode &mode, OutlierPolicy &policy, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    std::lognormal_distribution<double> latency(std::log(0.05), 0.4);
    // The first organisation sends a fifth of the requests.
    std::discrete_distribution<std::size_t> organisation{20, 20, 15, 15, 10, 10, 5, 5};
    std::uniform_int_distribution<std::size_t> anyServer(0, ServerCount - 1);

    const MonotonicTime start(1h);
    std::vector<EvidenceWindow> windows;
    PoolCapacity capacity{Percent(60), {}};
    std::vector<BackendServerId> ids;
    for (std::size_t server = 0; server < ServerCount; ++server) {
        ids.emplace_back("s" + std::to_string(server));
        windows.emplace_back(ids.back());
        capacity.servers.push_back(ServerCapacity{ids.back(), SlotCount(2), false});
    }
    EjectionBudget budget(PoolOwnerEpoch(1), capacity, start - 1min);
    std::vector<bool> isOut(ServerCount, false);
    std::vector<std::optional<Duration>> detectedAfter(mode.illServers);
    GrayResult result;
    result.ill = mode.illServers;

    const Duration gap = std::chrono::duration_cast<Duration>(1s) / RequestsPerSecond;
    Duration nextJudge = 1s;
    for (Duration at{}; at < End; at += gap) {
        const MonotonicTime now = start + at;
        if (at >= nextJudge) {
            nextJudge += 500ms;
            // Half of the hosts report half a second after the others.
            const std::size_t half = (at / 500ms) % 2;
            for (std::size_t server = half; server < ServerCount; server += 2) {
                for (const ServerSample &sample : windows[server].takeSamples(now)) {
                    policy.observe(sample, now);
                }
            }
            std::vector<bool> isEjected(ServerCount, false);
            for (const Verdict &verdict : policy.judge(now)) {
                if (!verdict.wantsEjection || !budget.request(EjectionRequest{verdict.server, false, {}}, now + 3s, now)) {
                    continue;
                }
                policy.onEjected(verdict.server, now);
                const auto server = static_cast<std::size_t>(std::find(ids.begin(), ids.end(), verdict.server) - ids.begin());
                isEjected[server] = true;
                if (isOut[server]) {
                    continue;
                }
                const bool isIll = server < mode.illServers && at >= FaultAt && at < FaultEnd + 3s;
                result.falseEjections += isIll ? 0 : 1;
                if (isIll && !detectedAfter[server]) {
                    detectedAfter[server] = at - FaultAt;
                }
            }
            isOut = isEjected;
        }
        Request request;
        do {
            request.server = anyServer(random);
        } while (isOut[request.server]);
        request.organisation = organisation(random);
        request.isOnRareRoute = uniform(random) < 1.0 / 3;
        request.sinceStart = at;
        request.isFaulty = request.server < mode.illServers && at >= FaultAt && at < FaultEnd;
        const Effect effect = mode.effect(request);
        // Real backend servers fail now and then.
        const bool fails = uniform(random) < std::max(effect.failureRate, 0.003);
        const auto taken = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(latency(random) * effect.slowness));
        windows[request.server].observe(OrganisationId("organisation-" + std::to_string(request.organisation)),
                                        fails ? Observation::Failure : Observation::Success,
                                        taken,
                                        now);
    }
    for (const auto &after : detectedAfter) {
        if (after) {
            ++result.detected;
            result.detectionSeconds += std::chrono::duration<double>(*after).count();
        }
    }
    return result;
}

// Guards against changes that slow detection or add false ejections unnoticed; prints figures without bounds on them.
TEST_CASE("print detection and false ejections for each gray mode, policy and sensitivity")
{
    std::vector<std::pair<std::string, PolicyFactory>> policies;
    for (const double sensitivity : {0.1, 0.3, 0.5, 0.7, 0.9}) {
        char name[16];
        std::snprintf(name, sizeof(name), "s=%.1f", sensitivity);
        policies.emplace_back(name, [sensitivity] {
            return std::make_unique<OutlierDetector>(sensitivity);
        });
    }
    policies.emplace_back("row of 5", [] {
        return std::make_unique<ConsecutiveFailurePolicy>();
    });
    policies.emplace_back("none", [] {
        return std::make_unique<NoEjectionPolicy>();
    });

    constexpr std::array<std::uint64_t, 3> Seeds{101, 202, 303};
    std::printf("seeds 101 202 303; each cell: mean detection seconds (detected/ill) false ejections\n%-36s", "");
    for (const auto &[name, factory] : policies) {
        std::printf(" %-18s", name.c_str());
    }
    std::printf("\n");
    for (const GrayMode &mode : grayModes()) {
        std::printf("%-36s", mode.name.c_str());
        for (const auto &[name, factory] : policies) {
            GrayResult total;
            for (const std::uint64_t seed : Seeds) {
                const auto policy = factory();
                const GrayResult result = playGray(mode, *policy, seed);
                total.detected += result.detected;
                total.ill += result.ill;
                total.falseEjections += result.falseEjections;
                total.detectionSeconds += result.detectionSeconds;
            }
            char cell[40];
            if (total.detected > 0) {
                std::snprintf(cell,
                              sizeof(cell),
                              "%.1f (%zu/%zu) %zu",
                              total.detectionSeconds / static_cast<double>(total.detected),
                              total.detected,
                              total.ill,
                              total.falseEjections);
            } else {
                std::snprintf(cell, sizeof(cell), "- (0/%zu) %zu", total.ill, total.falseEjections);
            }
            std::printf(" %-18s", cell);
        }
        std::printf("\n");
    }
    std::fflush(stdout);
}
