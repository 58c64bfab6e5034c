#include "usedserversmodel.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtiller::balance {

using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");

/// Reports between hosts leave and arrive as in the gateway.
static constexpr Duration ReportInterval = 150ms;
static constexpr Duration ReportDelay = 2ms;

static constexpr Duration ConnectTimeout = 250ms;
static constexpr Duration OverdueAfter = 900ms;
static constexpr Duration RequestTimeLimit = 1980ms;
static constexpr Duration MeanWork = 200ms;
static constexpr Duration FailurePhaseLength = 4s;
static constexpr double FailingShare = 0.75;
/// Requests that a sound server answers with an error.
static constexpr double ErrorShare = 0.012;
static constexpr int SlowFactor = 12;
static constexpr unsigned MaxConnectFailures = 12;

/// The platform's rule for the floor of used servers.
static constexpr Duration RuleWindow = 2s;
static constexpr Duration RuleStep = 100ms;
static constexpr Duration RecoveryAfterDisturbance = 6s;
static constexpr Duration RecoveryAfterOwnFailure = 2s;
static constexpr double RuleShare = 0.7;
static constexpr double MinUnservedShare = 0.1;
static constexpr double MaxUnservedShare = 0.5;

/// Disturbances begin after this time, when use has had time to narrow to a few servers.
static constexpr int FirstDisturbanceSecond = 8;
static constexpr int DisturbanceSpan = 10;

namespace {

struct Span
{
    MonotonicTime from;
    MonotonicTime to;
    Disturbance kind = Disturbance::None;
    double requests = 1;
};

struct ModelServer
{
    BackendServerId id;
    FailureDomainId domain;
    std::vector<Span> disturbances;
    std::vector<Span> failurePhases;
    std::vector<MonotonicTime> slotFreeAt;
    std::vector<MonotonicTime> arrivals;
    std::vector<MonotonicTime> ownFailures;
};

struct ModelHost
{
    HostId id;
    FailureDomainId domain;
    unsigned rank = 0;
    Scoreboard board;
    ServiceOutcomes outcomes;
};

struct ModelRequest
{
    MonotonicTime sentAt;
    bool isServed = false;
};

class Simulation
{
public:
    explicit Simulation(const SimulationPlan &simulationPlan) : plan(simulationPlan), random(simulationPlan.seed)
    {
        this->clock.advance(1h);
        this->start = this->clock.now();
        this->makeServers();
        this->makeHosts();
    }

    SimulationResult run()
    {
        this->at(this->start, [this] {
            this->arrive();
        });
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            this->at(this->start + ReportInterval * host / this->hosts.size(), [this, host] {
                this->reportRegularly(host);
            });
        }
        if (this->plan.restartAt > 0s) {
            this->at(this->start + this->plan.restartAt, [this] {
                this->restartHosts();
            });
        }
        const auto end = this->start + this->plan.length;
        while (!this->events.empty() && this->events.top().time < end + RequestTimeLimit) {
            const auto event = this->events.top();
            this->events.pop();
            if (event.time > this->clock.now()) {
                this->clock.advance(event.time - this->clock.now());
            }
            event.action();
        }
        return this->judge();
    }

private:
    struct Event
    {
        MonotonicTime time;
        std::uint64_t number;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(this->time, this->number) > std::pair(other.time, other.number);
        }
    };

    void at(MonotonicTime time, std::function<void()> action)
    {
        this->events.push({time, this->nextNumber++, std::move(action)});
    }

    double uniform()
    {
        return static_cast<double>(this->random.below(1'000'000)) / 1'000'000;
    }

    Duration uniformBelow(Duration bound)
    {
        return Duration(static_cast<std::int64_t>(this->random.below(static_cast<std::uint64_t>(bound.count()))));
    }

    void makeServers()
    {
        std::vector<catalog::ServerEntry> entries;
        for (unsigned i = 0; i < this->plan.servers; ++i) {
            ModelServer server;
            server.id = BackendServerId("s" + std::to_string(i));
            server.domain = FailureDomainId(std::string(1, static_cast<char>('a' + i % this->plan.domains)));
            server.slotFreeAt.resize(4);
            for (auto from = this->start; from < this->start + this->plan.length; from += this->plan.failurePeriod) {
                if (this->random.below(3) == 0) {
                    const auto begin = from + this->uniformBelow(this->plan.failurePeriod - FailurePhaseLength);
                    server.failurePhases.push_back({begin, begin + FailurePhaseLength, Disturbance::None, FailingShare});
                }
            }
            for (const auto &disturbance : this->plan.disturbances) {
                if (this->uniform() < disturbance.servers) {
                    server.disturbances.push_back(
                        {this->start + disturbance.from, this->start + disturbance.to, disturbance.kind, disturbance.requests});
                }
            }
            catalog::ServerEntry entry;
            entry.id = server.id;
            entry.service = Service;
            entry.failureDomain = server.domain;
            entry.slots = SlotCount(static_cast<std::uint32_t>(server.slotFreeAt.size()));
            entries.push_back(entry);
            this->servers.push_back(std::move(server));
        }
        this->fleet.servers = std::make_shared<catalog::ServerTable>(entries);
    }

    void makeHosts()
    {
        for (unsigned i = 0; i < this->plan.domains * this->plan.hostsPerDomain; ++i) {
            ModelHost host;
            host.id = HostId("h" + std::to_string(i));
            host.domain = FailureDomainId(std::string(1, static_cast<char>('a' + i % this->plan.domains)));
            host.rank = i / this->plan.domains;
            host.board.retain(*this->fleet.servers);
            this->hosts.push_back(std::move(host));
        }
    }

    void restartHosts()
    {
        for (auto &host : this->hosts) {
            host.board = Scoreboard();
            host.board.retain(*this->fleet.servers);
            host.outcomes = ServiceOutcomes();
        }
    }

    void arrive()
    {
        const auto now = this->clock.now();
        if (now >= this->start + this->plan.length) {
            return;
        }
        const auto gap = std::chrono::duration<double>(-std::log(1 - this->uniform()) / this->plan.requestsPerSecond);
        this->at(now + std::chrono::duration_cast<Duration>(gap), [this] {
            this->arrive();
        });
        const auto host = this->random.below(this->hosts.size());
        const auto number = this->requests.size();
        this->requests.push_back({now, false});
        const auto sinceStart = now - this->start;
        const bool isOverRate
            = this->plan.overRateFrom > 0s && sinceStart >= this->plan.overRateFrom && sinceStart < this->plan.overRateFrom + 4s;
        if (isOverRate && this->random.below(3) == 0) {
            this->hosts[host].outcomes.recordOutcome(Service, false, false, now);
            return;
        }
        this->send(host, number, {});
    }

    void end(std::size_t host, std::size_t number, bool isServed)
    {
        this->requests[number].isServed = isServed;
        this->hosts[host].outcomes.recordOutcome(Service, isServed, false, this->clock.now());
    }

    PlacementQuery query(const ModelHost &host, std::vector<BackendServerId> excluded) const
    {
        PlacementQuery made;
        made.service = Service;
        made.ownDomain = host.domain;
        made.excluded = std::move(excluded);
        made.entryHostsInDomain = this->plan.hostsPerDomain;
        made.rankInDomain = host.rank;
        const auto now = this->clock.now();
        made.trialPolicy = host.outcomes.trialPolicy(Service, host.board.isFailing(Service, now), now);
        return made;
    }

    void send(std::size_t hostNumber, std::size_t number, std::vector<BackendServerId> excluded)
    {
        auto &host = this->hosts[hostNumber];
        const auto now = this->clock.now();
        const auto placement = chooseServer(this->query(host, excluded), this->fleet, host.board, this->random, now);
        if (placement.server == nullptr || excluded.size() > MaxConnectFailures) {
            this->end(hostNumber, number, false);
            return;
        }
        if (placement.isTrial) {
            host.outcomes.onTrialSent(Service);
        }
        const auto id = placement.server->id;
        const auto server = static_cast<std::size_t>(std::stoul(id.text().substr(1)));
        host.board.onSent(id, now);
        const auto disturbance = this->disturbanceOf(this->servers[server], now);
        if (disturbance.kind == Disturbance::Unreachable && host.domain.text() == "a") {
            excluded.push_back(id);
            this->at(now + ConnectTimeout, [this, hostNumber, number, id, excluded = std::move(excluded)]() mutable {
                this->hosts[hostNumber].board.onFinished(id);
                this->hosts[hostNumber].board.onConnectFailed(id, this->clock.now());
                this->send(hostNumber, number, std::move(excluded));
            });
            return;
        }
        this->servers[server].arrivals.push_back(now);
        this->serve(hostNumber, number, server, disturbance);
    }

    Span disturbanceOf(const ModelServer &server, MonotonicTime now)
    {
        for (const auto &span : server.disturbances) {
            if (now >= span.from && now < span.to && this->uniform() < span.requests) {
                return span;
            }
        }
        return {};
    }

    void serve(std::size_t host, std::size_t number, std::size_t serverNumber, const Span &disturbance)
    {
        auto &server = this->servers[serverNumber];
        const auto now = this->clock.now();
        if (disturbance.kind == Disturbance::Errors) {
            this->answer(host, number, server.id, Evidence::ServerError, now + 2ms);
            return;
        }
        const bool isFailing = std::any_of(server.failurePhases.begin(), server.failurePhases.end(), [now](const Span &phase) {
            return now >= phase.from && now < phase.to;
        });
        const bool fails = isFailing && this->uniform() < FailingShare;
        if (fails) {
            server.ownFailures.push_back(now);
        }
        if (fails && !this->plan.failuresHang) {
            this->answer(host, number, server.id, Evidence::BrokenAnswer, now + 2ms);
            return;
        }
        auto &slot = *std::min_element(server.slotFreeAt.begin(), server.slotFreeAt.end());
        auto work = MeanWork / 2 + this->uniformBelow(MeanWork);
        work *= disturbance.kind == Disturbance::Slow ? SlowFactor : 1;
        const auto done = std::max(now, slot) + work;
        const bool hangs = fails || disturbance.kind == Disturbance::Hang || done - now > RequestTimeLimit;
        // A server drops a request when the host's time limit ends.
        slot = hangs ? now + RequestTimeLimit : done;
        for (unsigned notes = 1; OverdueAfter * notes < std::min(done - now, Duration(RequestTimeLimit)) || (hangs && notes <= 2);
             ++notes) {
            this->at(now + OverdueAfter * notes, [this, host, id = server.id] {
                this->observe(host, id, Evidence::Overdue);
            });
        }
        if (hangs) {
            this->at(now + RequestTimeLimit, [this, host, number, id = server.id] {
                this->hosts[host].board.onFinished(id);
                this->end(host, number, false);
            });
            return;
        }
        const bool isError = this->uniform() < ErrorShare;
        this->answer(host, number, server.id, isError ? Evidence::ServerError : Evidence::Success, done);
    }

    void answer(std::size_t host, std::size_t number, const BackendServerId &id, Evidence evidence, MonotonicTime time)
    {
        this->at(time, [this, host, number, id, evidence] {
            this->hosts[host].board.onFinished(id);
            this->observe(host, id, evidence);
            this->end(host, number, evidence == Evidence::Success);
        });
    }

    void observe(std::size_t host, const BackendServerId &id, Evidence evidence)
    {
        this->hosts[host].board.observe(id, evidence, this->clock.now());
        if (this->hosts[host].board.hasUrgentEvidence()) {
            this->report(host);
        }
    }

    void reportRegularly(std::size_t host)
    {
        this->report(host);
        this->at(this->clock.now() + ReportInterval, [this, host] {
            this->reportRegularly(host);
        });
    }

    void report(std::size_t sender)
    {
        const auto now = this->clock.now();
        const auto evidence = this->hosts[sender].board.takeEvidence();
        for (unsigned domain = 0; domain < this->plan.domains; ++domain) {
            const auto outstanding = this->hosts[sender].board.takeOutstanding(this->hosts[domain].domain, true, now);
            if (evidence.empty() && outstanding.empty()) {
                continue;
            }
            this->at(now + ReportDelay, [this, sender, domain, evidence, outstanding] {
                for (std::size_t receiver = domain; receiver < this->hosts.size(); receiver += this->plan.domains) {
                    if (receiver != sender) {
                        this->hosts[receiver].board.applyRemoteReport(this->hosts[sender].id, evidence, outstanding, this->clock.now());
                    }
                }
            });
        }
    }

    static bool containsTimeIn(const std::vector<MonotonicTime> &times, MonotonicTime from, MonotonicTime to)
    {
        const auto first = std::lower_bound(times.begin(), times.end(), from);
        return first != times.end() && *first < to;
    }

    /// Judges a server at the end of a window.
    static bool isSound(const ModelServer &server, MonotonicTime end)
    {
        const bool isDisturbed = std::any_of(server.disturbances.begin(), server.disturbances.end(), [end](const Span &span) {
            return span.from < end && end < span.to + RecoveryAfterDisturbance;
        });
        return !isDisturbed && !containsTimeIn(server.ownFailures, end - RecoveryAfterOwnFailure, end);
    }

    SimulationResult judge() const
    {
        SimulationResult result;
        std::vector<MonotonicTime> sent;
        std::vector<MonotonicTime> unserved;
        for (const auto &request : this->requests) {
            sent.push_back(request.sentAt);
            if (!request.isServed) {
                unserved.push_back(request.sentAt);
            }
        }
        result.requests = static_cast<unsigned>(sent.size());
        result.unserved = static_cast<unsigned>(unserved.size());
        const auto countIn = [](const std::vector<MonotonicTime> &times, MonotonicTime from, MonotonicTime to) {
            return static_cast<unsigned>(std::lower_bound(times.begin(), times.end(), to)
                                         - std::lower_bound(times.begin(), times.end(), from));
        };
        for (auto end = this->start + RuleWindow; end <= this->start + this->plan.length; end += RuleStep) {
            FloorWindow window;
            window.endsAt = end - this->start;
            window.requests = countIn(sent, end - RuleWindow, end);
            window.unserved = countIn(unserved, end - RuleWindow, end);
            for (const auto &server : this->servers) {
                if (isSound(server, end)) {
                    ++window.sound;
                    window.used += containsTimeIn(server.arrivals, end - RuleWindow, end) ? 1 : 0;
                }
            }
            if (window.sound == 0 || window.used == 0) {
                continue;
            }
            const double share = static_cast<double>(window.used) / window.sound;
            result.leastUsed = std::min(result.leastUsed, share);
            if (share < RuleShare && window.unserved > MinUnservedShare * window.requests
                && window.unserved < MaxUnservedShare * window.requests) {
                result.broken.push_back(window);
            }
        }
        return result;
    }

    const SimulationPlan &plan;
    testing::VirtualClock clock;
    SeededRandom random;
    MonotonicTime start;
    catalog::FleetState fleet;
    std::vector<ModelServer> servers;
    std::vector<ModelHost> hosts;
    std::vector<ModelRequest> requests;
    std::priority_queue<Event> events;
    std::uint64_t nextNumber = 0;
};

} // namespace

SimulationPlan randomPlan(std::uint64_t seed)
{
    SeededRandom random(seed ^ 0x5eed);
    const auto between = [&random](double least, double most) {
        return least + (most - least) * static_cast<double>(random.below(1000)) / 1000;
    };
    SimulationPlan plan;
    plan.seed = seed;
    plan.requestsPerSecond = between(150, 300);
    plan.failuresHang = random.below(3) == 0;
    const auto count = 1 + random.below(3);
    for (std::uint64_t i = 0; i < count; ++i) {
        DisturbancePlan disturbance;
        disturbance.kind = static_cast<Disturbance>(1 + random.below(4));
        disturbance.from = std::chrono::seconds(FirstDisturbanceSecond + random.below(DisturbanceSpan));
        disturbance.to = disturbance.from + std::chrono::seconds(3 + random.below(7));
        disturbance.servers = between(0.1, 0.6);
        disturbance.requests = disturbance.kind == Disturbance::Errors || disturbance.kind == Disturbance::Hang ? between(0.3, 0.8) : 1;
        plan.disturbances.push_back(disturbance);
    }
    if (random.below(3) == 0) {
        plan.overRateFrom = std::chrono::seconds(FirstDisturbanceSecond + random.below(DisturbanceSpan));
    }
    if (random.below(4) == 0) {
        plan.restartAt = std::chrono::seconds(FirstDisturbanceSecond + random.below(DisturbanceSpan));
    }
    return plan;
}

SimulationResult runSimulation(const SimulationPlan &plan)
{
    return Simulation(plan).run();
}

} // namespace rhubarbtiller::balance
