#include "detection.h"

#include <rhubarbtiller/base/random.h>
#include <rhubarbtiller/health/baselinepolicies.h>
#include <rhubarbtiller/health/ejectionholder.h>
#include <rhubarbtiller/health/outlierdetector.h>
#include <rhubarbtiller/routing/serverchooser.h>

#include <atomic>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <thread>

namespace rhubarbtiller::bench {

using namespace std::chrono_literals;
using namespace rhubarbtiller::health;
using namespace rhubarbtiller::routing;

static constexpr Duration FaultAt = 30s;
static constexpr Duration FaultEnd = 90s;
static constexpr Duration End = 120s;
static constexpr Duration ReportInterval = 1s;
static constexpr Duration JudgeInterval = 250ms;
static constexpr double MedianLatencySeconds = 0.05;
static constexpr double LatencySpread = 0.4;
/// Part of the slots of the pool that the offered requests occupy.
static constexpr double Utilisation = 0.25;
/// Real backend servers fail now and then.
static constexpr double UsualFailureRate = 0.003;
/// Failures in a row that make a host of the round robin baseline eject a server.
static constexpr std::uint32_t BaselineFailuresInRow = 5;
/// The machine is shared.
static constexpr std::size_t ThreadCount = 4;

namespace {

struct Request
{
    std::size_t organisation = 0;
    /// The failure domain of the host that sends to the server.
    std::size_t senderDomain = 0;
    bool isOnRareRoute = false;
    Duration sinceStart{};
    /// The server is ill at this time.
    bool isFaulty = false;
};

struct Effect
{
    double failureRate = 0;
    double slowness = 1;
};

struct GrayMode
{
    std::string name;
    /// Ill servers for each 30 of the pool, at least one if not 0.
    std::size_t illPer30 = 1;
    std::function<Effect(const Request &)> effect;
};

enum class Kind {
    /// Two random choices, server owners, one detector at the pool owner.
    OutlierDetection,
    /// As above, with a fixed count of failures in a row in place of the detector.
    PoolFailuresInRow,
    /// Each host takes servers in turn and ejects them by itself after failures in a row.
    HostFailuresInRow,
    RandomWithoutEjection,
};

struct Policy
{
    std::string name;
    Kind kind = Kind::OutlierDetection;
    double sensitivity = 0.5;
};

struct Result
{
    double detectionSeconds = 0;
    /// Pairs of ill server and deciding party that detected, and all such pairs.
    std::size_t detected = 0;
    std::size_t ill = 0;
    /// Counted for each deciding party: the pool, or each of the hosts.
    std::size_t falseEjections = 0;
    std::size_t parties = 1;
    /// Requests while the fault lasts, and those of them that the fault made fail or slow.
    std::size_t requests = 0;
    std::size_t affected = 0;

    void add(const Result &other)
    {
        this->detectionSeconds += other.detectionSeconds;
        this->detected += other.detected;
        this->ill += other.ill;
        this->falseEjections += other.falseEjections;
        this->parties = other.parties;
        this->requests += other.requests;
        this->affected += other.affected;
    }
};

struct RunningRequest
{
    Duration endAt{};
    std::uint64_t order = 0;
    std::size_t host = 0;
    std::size_t server = 0;
    std::size_t organisation = 0;
    bool hasFailed = false;
    Duration latency{};

    bool operator>(const RunningRequest &other) const
    {
        return std::tie(this->endAt, this->order) > std::tie(other.endAt, other.order);
    }
};

} // namespace

static bool isFaultTime(const Request &request)
{
    return request.sinceStart >= FaultAt && request.sinceStart < FaultEnd;
}

static std::vector<GrayMode> grayModes()
{
    const auto onIll = [](std::function<Effect(const Request &)> effect) {
        return [effect = std::move(effect)](const Request &request) {
            return request.isFaulty ? effect(request) : Effect{};
        };
    };
    const auto constant = [onIll](Effect effect) {
        return onIll([effect](const Request &) {
            return effect;
        });
    };
    return {
        {"healthy", 0, constant({})},
        {"all requests fail", 1, constant({1.0, 1})},
        {"20% of requests fail", 1, constant({0.2, 1})},
        {"a fifth of servers fail by half", 6, constant({0.5, 1})},
        {"half of one organisation's fail", 1, onIll([](const Request &request) {
             return Effect{request.organisation == 0 ? 0.5 : 0.0, 1};
         })},
        {"one route of three fails", 1, onIll([](const Request &request) {
             return Effect{request.isOnRareRoute ? 1.0 : 0.0, 1};
         })},
        {"five times slower", 1, constant({0, 5})},
        {"a third ten times slower", 1, onIll([](const Request &request) {
             return Effect{0, request.isOnRareRoute ? 10.0 : 1.0};
         })},
        {"flapping each 5 s", 1, onIll([](const Request &request) {
             return Effect{request.sinceStart / 5s % 2 == 0 ? 0.8 : 0.0, 1};
         })},
        // The ill servers are in failure domain 0.
        {"fails for senders in its domain", 1, onIll([](const Request &request) {
             return Effect{request.senderDomain == 0 ? 1.0 : 0.0, 1};
         })},
        {"fails for senders in another domain", 1, onIll([](const Request &request) {
             return Effect{request.senderDomain == 1 ? 1.0 : 0.0, 1};
         })},
        {"whole pool fails by 30%",
         0,
         [](const Request &request) {
             return Effect{isFaultTime(request) ? 0.3 : 0.0, 1};
         }},
        {"whole pool five times slower",
         0,
         [](const Request &request) {
             return Effect{0, isFaultTime(request) ? 5.0 : 1.0};
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

static std::vector<Policy> policies()
{
    return {{"s=0.1", Kind::OutlierDetection, 0.1},
            {"s=0.3", Kind::OutlierDetection, 0.3},
            {"s=0.5", Kind::OutlierDetection, 0.5},
            {"s=0.7", Kind::OutlierDetection, 0.7},
            {"s=0.9", Kind::OutlierDetection, 0.9},
            {"pool 5 in row", Kind::PoolFailuresInRow, 0},
            {"host 5 in row", Kind::HostFailuresInRow, 0},
            {"random, none", Kind::RandomWithoutEjection, 0}};
}

namespace {

/// Plays one pool for two minutes on a virtual time line.
class Play
{
public:
    Play(const Service &playedService, const GrayMode &grayMode, const Policy &playedPolicy, std::uint64_t seed)
        : service(playedService)
        , mode(grayMode)
        , policy(playedPolicy)
        , engine(seed)
        , choice(seed + 1)
        , illServers(grayMode.illPer30 == 0 ? 0 : std::max<std::size_t>(1, grayMode.illPer30 * playedService.servers / 30))
    {
        PoolCapacity capacity{this->service.floor, {}};
        auto pool = std::make_shared<config::Pool>();
        pool->name = PoolName(this->service.name);
        for (std::size_t server = 0; server < this->service.servers; ++server) {
            this->ids.emplace_back("s" + std::to_string(server));
            this->windows.emplace_back(this->ids.back());
            capacity.servers.push_back(ServerCapacity{this->ids.back(), this->service.slots, false});
            pool->servers.push_back({this->ids.back(), Endpoint(), domainId(this->domainOf(server))});
        }
        for (std::size_t domain = 0; domain < DomainCount; ++domain) {
            this->choosers.push_back(std::make_unique<TwoChoicesChooser>(this->choice, domainId(domain)));
        }
        for (std::size_t host = 0; host < HostCount; ++host) {
            this->views.push_back({pool, ShardId(0), {}});
            for (const auto &server : pool->servers) {
                this->views.back().servers.push_back({server, ShardId(0), std::make_shared<ServerLoad>()});
            }
        }
        this->budget = std::make_unique<EjectionBudget>(PoolOwnerEpoch(1), capacity, this->start - 1min);
        if (this->policy.kind == Kind::OutlierDetection) {
            this->detector = std::make_unique<OutlierDetector>(this->policy.sensitivity);
        } else {
            this->detector = std::make_unique<ConsecutiveFailurePolicy>(BaselineFailuresInRow);
        }
        // Without this the reports of the ill servers' owners would have a fixed distance from the start of the fault.
        this->reportingHost = this->choice.below(HostCount);
        this->running.resize(this->service.servers, 0);
        this->hostStates.resize(HostCount, std::vector<HostState>(this->service.servers));
        this->nextServer.resize(HostCount, 0);
        for (auto &next : this->nextServer) {
            next = this->choice.below(this->service.servers);
        }
        const bool isPerHost = this->policy.kind == Kind::HostFailuresInRow;
        this->result.parties = isPerHost ? HostCount : 1;
        this->result.ill = this->illServers * this->result.parties;
        this->detectedAfter.resize(this->result.parties, std::vector<std::optional<Duration>>(this->service.servers));
        this->wasEjected.resize(this->service.servers, false);
    }

    Result run()
    {
        const double meanLatency = MedianLatencySeconds * std::exp(LatencySpread * LatencySpread / 2);
        const double rate = Utilisation * static_cast<double>(this->service.servers * this->service.slots.count()) / meanLatency;
        std::exponential_distribution<double> gap(rate);
        Duration nextTick = 1s;
        for (Duration at{}; at < End; at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(this->engine)))) {
            while (nextTick <= at) {
                this->finish(nextTick);
                this->report(nextTick);
                nextTick += ReportInterval / HostCount;
            }
            this->finish(at);
            this->request(at);
        }
        for (const auto &party : this->detectedAfter) {
            for (const auto &after : party) {
                if (after) {
                    ++this->result.detected;
                    this->result.detectionSeconds += std::chrono::duration<double>(*after).count();
                }
            }
        }
        return this->result;
    }

private:
    /// What one host of the round robin baseline knows of a server.
    struct HostState
    {
        std::uint32_t failuresInRow = 0;
        HoldTime hold;
    };

    static FailureDomainId domainId(std::size_t domain)
    {
        return FailureDomainId("domain-" + std::to_string(domain));
    }

    std::size_t domainOf(std::size_t hostOrServer) const
    {
        return hostOrServer % DomainCount;
    }

    /// The owner of a server is a host of its failure domain.
    std::size_t ownerOf(std::size_t server) const
    {
        return (server * 7 % (HostCount / DomainCount)) * DomainCount + this->domainOf(server);
    }

    void noteEjection(std::size_t party, std::size_t server, Duration at)
    {
        const bool isIll = server < this->illServers && at >= FaultAt && at < FaultEnd + 3s;
        if (!isIll) {
            ++this->result.falseEjections;
        } else if (!this->detectedAfter[party][server]) {
            this->detectedAfter[party][server] = at - FaultAt;
        }
    }

    /// The hosts report in turn, one at each tick; the reply of the pool owner comes at once.
    void report(Duration at)
    {
        if (this->policy.kind != Kind::OutlierDetection && this->policy.kind != Kind::PoolFailuresInRow) {
            return;
        }
        const MonotonicTime now = this->start + at;
        const std::size_t host = this->reportingHost;
        this->reportingHost = (this->reportingHost + 1) % HostCount;
        std::vector<std::size_t> owned;
        for (std::size_t server = 0; server < this->service.servers; ++server) {
            if (this->ownerOf(server) == host) {
                owned.push_back(server);
                for (const ServerSample &sample : this->windows[server].takeSamples(now)) {
                    this->detector->observe(sample, now);
                }
            }
        }
        if (owned.empty()) {
            return;
        }
        if (now >= this->judgedAt + JudgeInterval) {
            this->judgedAt = now;
            this->verdicts.clear();
            for (auto &verdict : this->detector->judge(now)) {
                this->verdicts.emplace(verdict.server, verdict);
            }
        }
        for (const std::size_t server : owned) {
            const BackendServerId &id = this->ids[server];
            const auto verdict = this->verdicts.find(id);
            this->holder.setWeight(id, verdict == this->verdicts.end() ? ServerWeight(1.0) : verdict->second.weight);
            const bool isHeld = this->holder.isEjected(id, now);
            this->wasEjected[server] = this->wasEjected[server] && isHeld;
            if (verdict == this->verdicts.end() || !verdict->second.wantsEjection) {
                continue;
            }
            const auto lease = this->budget->request({id, isHeld, PoolOwnerEpoch(1)}, now + 3s, now);
            if (!lease) {
                continue;
            }
            this->detector->onEjected(id, now);
            this->holder.onLease(*lease, now);
            if (!this->wasEjected[server]) {
                this->wasEjected[server] = true;
                this->noteEjection(0, server, at);
            }
        }
    }

    std::size_t chooseServer(std::size_t host, MonotonicTime now)
    {
        const PoolView &view = this->views[host];
        switch (this->policy.kind) {
        case Kind::RandomWithoutEjection:
            return static_cast<std::size_t>(this->randomChooser.choose(view, {}, now) - view.servers.data());
        case Kind::HostFailuresInRow:
            for (std::size_t i = 0; i < this->service.servers; ++i) {
                const std::size_t server = this->nextServer[host]++ % this->service.servers;
                if (!this->hostStates[host][server].hold.holds(now)) {
                    return server;
                }
            }
            return this->nextServer[host]++ % this->service.servers;
        default:
            break;
        }
        std::set<BackendServerId> tried;
        while (const ServerView *chosen = this->choosers[this->domainOf(host)]->choose(view, tried, now)) {
            const auto server = static_cast<std::size_t>(chosen - view.servers.data());
            if (!this->holder.isEjected(this->ids[server], now)) {
                return server;
            }
            chosen->load->onRefused(now);
            tried.insert(this->ids[server]);
        }
        return this->choice.below(this->service.servers);
    }

    void request(Duration at)
    {
        const MonotonicTime now = this->start + at;
        const std::size_t host = this->engine() % HostCount;
        const std::size_t server = this->chooseServer(host, now);
        const bool hasOwner = this->policy.kind == Kind::OutlierDetection || this->policy.kind == Kind::PoolFailuresInRow;
        Request request;
        request.organisation = this->anyOrganisation(this->engine);
        request.senderDomain = this->domainOf(hasOwner ? this->ownerOf(server) : host);
        request.isOnRareRoute = this->uniform(this->engine) < 1.0 / 3;
        request.sinceStart = at;
        request.isFaulty = server < this->illServers && at >= FaultAt && at < FaultEnd;
        const Effect effect = this->mode.effect(request);
        const double draw = this->uniform(this->engine);
        const bool hasFailed = draw < std::max(effect.failureRate, UsualFailureRate);
        if (isFaultTime(request)) {
            ++this->result.requests;
            this->result.affected += draw < effect.failureRate || effect.slowness > 1 ? 1 : 0;
        }
        const auto latency
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(this->anyLatency(this->engine) * effect.slowness));
        ++this->running[server];
        this->views[host].servers[server].load->onSent();
        this->requests.push({at + latency, this->order++, host, server, request.organisation, hasFailed, latency});
    }

    void finish(Duration until)
    {
        while (!this->requests.empty() && this->requests.top().endAt <= until) {
            const RunningRequest ended = this->requests.top();
            this->requests.pop();
            const MonotonicTime now = this->start + ended.endAt;
            --this->running[ended.server];
            ServerLoad &load = *this->views[ended.host].servers[ended.server].load;
            load.onEnded();
            const LoadFigure figure(this->running[ended.server] * 1000 / this->service.slots.count());
            load.onReport(weightedLoad(figure, this->holder.weight(this->ids[ended.server])), now);
            this->windows[ended.server].observe(
                this->organisations[ended.organisation], ended.hasFailed ? Observation::Failure : Observation::Success, ended.latency, now);
            if (this->policy.kind == Kind::HostFailuresInRow) {
                this->countFailuresInRow(ended, now);
            }
        }
    }

    void countFailuresInRow(const RunningRequest &ended, MonotonicTime now)
    {
        HostState &state = this->hostStates[ended.host][ended.server];
        state.failuresInRow = ended.hasFailed ? state.failuresInRow + 1 : 0;
        if (state.failuresInRow < BaselineFailuresInRow || state.hold.holds(now)) {
            return;
        }
        // Each host keeps the floor of the pool by its own ejections.
        std::size_t ejected = 1;
        for (const HostState &other : this->hostStates[ended.host]) {
            ejected += other.hold.holds(now) ? 1 : 0;
        }
        if (static_cast<double>(this->service.servers - ejected) * 100
            < this->service.floor.count() * static_cast<double>(this->service.servers)) {
            return;
        }
        state.failuresInRow = 0;
        state.hold.finish(now);
        state.hold.start(HoldTimeSettings{}, now);
        this->noteEjection(ended.host, ended.server, ended.endAt);
    }

    const Service &service;
    const GrayMode &mode;
    const Policy &policy;
    std::mt19937_64 engine;
    SeededRandom choice;
    const std::size_t illServers;
    const MonotonicTime start{1h};

    std::uniform_real_distribution<double> uniform{0.0, 1.0};
    std::lognormal_distribution<double> anyLatency{std::log(MedianLatencySeconds), LatencySpread};
    std::discrete_distribution<std::size_t> anyOrganisation{std::begin(OrganisationShares), std::end(OrganisationShares)};

    std::vector<BackendServerId> ids;
    std::vector<OrganisationId> organisations = [] {
        std::vector<OrganisationId> names;
        for (std::size_t i = 0; i < OrganisationCount; ++i) {
            names.emplace_back("organisation-" + std::to_string(i));
        }
        return names;
    }();
    std::vector<EvidenceWindow> windows;
    std::vector<PoolView> views;
    std::vector<std::unique_ptr<TwoChoicesChooser>> choosers;
    RandomChooser randomChooser{this->choice};
    std::unique_ptr<EjectionBudget> budget;
    std::unique_ptr<OutlierPolicy> detector;
    EjectionHolder holder;
    std::map<BackendServerId, Verdict> verdicts;
    MonotonicTime judgedAt;
    std::size_t reportingHost = 0;
    std::vector<bool> wasEjected;

    std::vector<std::uint32_t> running;
    std::vector<std::vector<HostState>> hostStates;
    std::vector<std::size_t> nextServer;
    std::priority_queue<RunningRequest, std::vector<RunningRequest>, std::greater<>> requests;
    std::uint64_t order = 0;
    std::vector<std::vector<std::optional<Duration>>> detectedAfter;
    Result result;
};

} // namespace

static double ratio(double part, std::size_t whole)
{
    return whole == 0 ? 0 : part / static_cast<double>(whole);
}

static std::string cellText(const Result &result)
{
    char text[64];
    const double falseEjections = ratio(static_cast<double>(result.falseEjections), result.parties);
    const double affected = 100 * ratio(static_cast<double>(result.affected), result.requests);
    if (result.detected == 0) {
        std::snprintf(text, sizeof(text), "- %s %.1f %.2f", result.ill == 0 ? "" : "0%", falseEjections, affected);
    } else {
        std::snprintf(text,
                      sizeof(text),
                      "%.1f %.0f%% %.1f %.2f",
                      ratio(result.detectionSeconds, result.detected),
                      100 * ratio(static_cast<double>(result.detected), result.ill),
                      falseEjections,
                      affected);
    }
    return text;
}

static nlohmann::json cellJson(const Result &result)
{
    nlohmann::json cell;
    if (result.detected > 0) {
        cell["detectionSeconds"] = ratio(result.detectionSeconds, result.detected);
    }
    if (result.ill > 0) {
        cell["detectedPercent"] = 100 * ratio(static_cast<double>(result.detected), result.ill);
    }
    cell["falseEjections"] = ratio(static_cast<double>(result.falseEjections), result.parties);
    cell["affectedPercent"] = 100 * ratio(static_cast<double>(result.affected), result.requests);
    return cell;
}

static nlohmann::json measureService(const Service &service)
{
    const auto modes = grayModes();
    const auto compared = policies();
    std::vector<Result> cells(modes.size() * compared.size());
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < ThreadCount; ++i) {
        threads.emplace_back([&] {
            for (std::size_t cell = next++; cell < cells.size(); cell = next++) {
                for (const std::uint64_t seed : Seeds) {
                    cells[cell].add(Play(service, modes[cell / compared.size()], compared[cell % compared.size()], seed).run());
                }
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    nlohmann::json result;
    std::printf("%-36s", "");
    for (const Policy &policy : compared) {
        std::printf(" | %-19s", policy.name.c_str());
    }
    std::printf("\n");
    for (std::size_t cell = 0; cell < cells.size(); ++cell) {
        const GrayMode &mode = modes[cell / compared.size()];
        if (cell % compared.size() == 0) {
            std::printf("%-36s", mode.name.c_str());
        }
        std::printf(" | %-19s", cellText(cells[cell]).c_str());
        if ((cell + 1) % compared.size() == 0) {
            std::printf("\n");
        }
        result[mode.name][compared[cell % compared.size()].name] = cellJson(cells[cell]);
    }
    std::fflush(stdout);
    return result;
}

nlohmann::json measureDetection(const Deployment &deployment)
{
    nlohmann::json result;
    for (const Service &service : deployment.services) {
        std::printf("\n%s %s, %zu servers, %u slots: mean seconds to detection, detected share, false ejections over all seeds,"
                    " percent of requests affected during the fault\n",
                    deployment.name.c_str(),
                    service.name.c_str(),
                    service.servers,
                    service.slots.count());
        result[service.name] = measureService(service);
    }
    return result;
}

} // namespace rhubarbtiller::bench
