#include "usedserversmodel.h"

#include <algorithm>
#include <cmath>

namespace rhubarbtiller::balance {

using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");
static const RouteName OwnRoute("own");
static const RouteName MovedRoute("moved");

/// Interval and delay of the reports between hosts, as in the gateway.
static constexpr Duration ReportInterval = 150ms;
static constexpr Duration ReportDelay = 2ms;

static constexpr Duration ConnectTimeout = 250ms;
static constexpr Duration OverdueAfter = 900ms;
static constexpr Duration RequestTimeLimit = 1980ms;
static constexpr Duration MeanProcessingTime = 200ms;
static constexpr Duration FailurePhaseLength = 4s;
static constexpr double FailingShare = 0.75;
/// Share of the requests that a healthy server answers with an error.
static constexpr double ErrorShare = 0.012;
static constexpr int SlowFactor = 12;
static constexpr unsigned MaxConnectFailures = 12;

/// The platform's rule for the floor of used servers.
static constexpr Duration RuleWindow = 2s;
static constexpr Duration RuleStep = 100ms;
static constexpr Duration RecoveryAfterFault = 6s;
static constexpr Duration RecoveryAfterOwnFailure = 2s;
static constexpr double RuleShare = 0.7;
static constexpr double MinUnservedShare = 0.1;
static constexpr double MaxUnservedShare = 0.5;

/// Servers are cold for this long after their start, and bear this many requests a second meanwhile.
static constexpr Duration ColdTime = 3s;
static constexpr RequestRate ColdRate(2.7);

/// Of the requests that another service handles: the share that still reaches this one on other routes (twice as many in a window of the
/// rule as its floor has servers), and that is not served.
static constexpr double OtherRoutesShare = 0.25;
static constexpr double UnservedElsewhereShare = 0.14;

/// Faults begin after this time, so that use can narrow to a few servers before.
static constexpr int FirstFaultSecond = 8;
static constexpr int FaultStartSpan = 10;

namespace {

struct Span
{
    MonotonicTime from;
    MonotonicTime to;
    FaultKind kind = FaultKind::None;
    double requests = 1;
};

struct ModelServer
{
    BackendServerId id;
    FailureDomainId domain;
    MonotonicTime startedAt;
    std::vector<Span> faults;
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
        this->schedule(this->start, [this] {
            this->generateRequest();
        });
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            this->schedule(this->start + ReportInterval * host / this->hosts.size(), [this, host] {
                this->reportPeriodically(host);
            });
        }
        if (this->plan.addedServers > 0) {
            this->schedule(this->start + this->plan.serversAddedAt, [this] {
                this->addServers();
            });
        }
        if (this->plan.restartAt > 0s) {
            this->schedule(this->start + this->plan.restartAt, [this] {
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
        return this->evaluate();
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

    void schedule(MonotonicTime time, std::function<void()> action)
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
        catalog::CatalogParts parts;
        parts.services.push_back({Service, ColdRate});
        this->fleet.catalog = std::make_shared<catalog::Catalog>(std::move(parts));
        this->makeServers(this->plan.servers);
    }

    void addServers()
    {
        this->makeServers(this->plan.addedServers);
        for (auto &host : this->hosts) {
            host.board.retain(*this->fleet.servers);
        }
    }

    void makeServers(unsigned count)
    {
        auto entries = this->fleet.servers ? this->fleet.servers->entries() : std::vector<catalog::ServerEntry>();
        const auto now = this->clock.now();
        const auto first = static_cast<unsigned>(this->servers.size());
        for (unsigned i = first; i < first + count; ++i) {
            ModelServer server;
            server.id = BackendServerId("s" + std::to_string(i));
            server.domain = FailureDomainId(std::string(1, static_cast<char>('a' + i % this->plan.domains)));
            server.startedAt = first == 0 ? MonotonicTime() : now;
            server.slotFreeAt.resize(4);
            for (auto from = this->start; from < this->start + this->plan.length; from += this->plan.failurePeriod) {
                if (this->random.below(3) == 0) {
                    const auto begin = from + this->uniformBelow(this->plan.failurePeriod - FailurePhaseLength);
                    server.failurePhases.push_back({begin, begin + FailurePhaseLength, FaultKind::None, FailingShare});
                }
            }
            for (const auto &fault : this->plan.faults) {
                if (this->uniform() < fault.servers) {
                    server.faults.push_back({this->start + fault.from, this->start + fault.to, fault.kind, fault.requests});
                }
            }
            catalog::ServerEntry entry;
            entry.id = server.id;
            entry.service = Service;
            entry.failureDomain = server.domain;
            entry.slots = SlotCount(static_cast<std::uint32_t>(server.slotFreeAt.size()));
            entry.coldUntil = first == 0 ? MonotonicTime() : now + ColdTime;
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

    void generateRequest()
    {
        const auto now = this->clock.now();
        if (now >= this->start + this->plan.length) {
            return;
        }
        const auto gap = std::chrono::duration<double>(-std::log(1 - this->uniform()) / this->plan.requestsPerSecond);
        this->schedule(now + std::chrono::duration_cast<Duration>(gap), [this] {
            this->generateRequest();
        });
        const auto host = this->random.below(this->hosts.size());
        const auto number = this->requests.size();
        this->requests.push_back({now, false});
        const auto sinceStart = now - this->start;
        const bool isMoved = sinceStart >= this->plan.movedFrom && sinceStart < this->plan.movedTo;
        if (isMoved && this->uniform() >= OtherRoutesShare) {
            this->requests.back().isServed = this->uniform() >= UnservedElsewhereShare;
            this->hosts[host].outcomes.recordRouteOutcome(MovedRoute, this->requests.back().isServed, now);
            return;
        }
        const bool isRateLimited
            = this->plan.rateLimitedFrom > 0s && sinceStart >= this->plan.rateLimitedFrom && sinceStart < this->plan.rateLimitedFrom + 4s;
        if (isRateLimited && this->random.below(3) == 0) {
            this->hosts[host].outcomes.recordOutcome(Service, false, false, now);
            return;
        }
        this->send(host, number, {});
    }

    void finishRequest(std::size_t host, std::size_t number, bool isServed)
    {
        this->requests[number].isServed = isServed;
        this->hosts[host].outcomes.recordOutcome(Service, isServed, false, this->clock.now());
        this->hosts[host].outcomes.recordRouteOutcome(OwnRoute, isServed, this->clock.now());
    }

    PlacementQuery query(const ModelHost &host, std::vector<BackendServerId> excluded) const
    {
        PlacementQuery placementQuery;
        placementQuery.service = Service;
        placementQuery.ownDomain = host.domain;
        placementQuery.excluded = std::move(excluded);
        placementQuery.entryHostsInDomain = this->plan.hostsPerDomain;
        placementQuery.rankInDomain = host.rank;
        const auto now = this->clock.now();
        placementQuery.trialPolicy = host.outcomes.trialPolicy(Service, host.board.isFailing(Service, now), now);
        return placementQuery;
    }

    void send(std::size_t hostNumber, std::size_t number, std::vector<BackendServerId> excluded)
    {
        auto &host = this->hosts[hostNumber];
        const auto now = this->clock.now();
        const auto placement = chooseServer(this->query(host, excluded), this->fleet, host.board, this->random, now);
        if (placement.server == nullptr || excluded.size() > MaxConnectFailures) {
            this->finishRequest(hostNumber, number, false);
            return;
        }
        if (placement.isTrial) {
            host.outcomes.onTrialSent(Service);
        }
        const auto id = placement.server->id;
        const auto server = static_cast<std::size_t>(std::stoul(id.text().substr(1)));
        host.board.onSent(id, now);
        const auto fault = this->faultOf(this->servers[server], now);
        if (fault.kind == FaultKind::Unreachable && host.domain.text() == "a") {
            excluded.push_back(id);
            this->schedule(now + ConnectTimeout, [this, hostNumber, number, id, excluded = std::move(excluded)]() mutable {
                this->hosts[hostNumber].board.onFinished(id);
                this->hosts[hostNumber].board.onConnectFailed(id, this->clock.now());
                this->send(hostNumber, number, std::move(excluded));
            });
            return;
        }
        this->servers[server].arrivals.push_back(now);
        this->serve(hostNumber, number, server, fault);
    }

    Span faultOf(const ModelServer &server, MonotonicTime now)
    {
        for (const auto &span : server.faults) {
            if (now >= span.from && now < span.to && this->uniform() < span.requests) {
                return span;
            }
        }
        return {};
    }

    void serve(std::size_t host, std::size_t number, std::size_t serverNumber, const Span &fault)
    {
        auto &server = this->servers[serverNumber];
        const auto now = this->clock.now();
        if (fault.kind == FaultKind::Errors) {
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
        auto processingTime = MeanProcessingTime / 2 + this->uniformBelow(MeanProcessingTime);
        processingTime *= fault.kind == FaultKind::Slow ? SlowFactor : 1;
        const auto done = std::max(now, slot) + processingTime;
        const bool hangs = fails || fault.kind == FaultKind::Hang || done - now > RequestTimeLimit;
        // The server drops the request when the host's time limit expires.
        slot = hangs ? now + RequestTimeLimit : done;
        for (unsigned overdueReports = 1;
             OverdueAfter * overdueReports < std::min(done - now, Duration(RequestTimeLimit)) || (hangs && overdueReports <= 2);
             ++overdueReports) {
            this->schedule(now + OverdueAfter * overdueReports, [this, host, id = server.id] {
                this->observe(host, id, Evidence::Overdue);
            });
        }
        if (hangs) {
            this->schedule(now + RequestTimeLimit, [this, host, number, id = server.id] {
                this->hosts[host].board.onFinished(id);
                this->finishRequest(host, number, false);
            });
            return;
        }
        const bool isError = this->uniform() < ErrorShare;
        this->answer(host, number, server.id, isError ? Evidence::ServerError : Evidence::Success, done);
    }

    void answer(std::size_t host, std::size_t number, const BackendServerId &id, Evidence evidence, MonotonicTime time)
    {
        this->schedule(time, [this, host, number, id, evidence] {
            this->hosts[host].board.onFinished(id);
            this->observe(host, id, evidence);
            this->finishRequest(host, number, evidence == Evidence::Success);
        });
    }

    void observe(std::size_t host, const BackendServerId &id, Evidence evidence)
    {
        this->hosts[host].board.observe(id, evidence, this->clock.now());
        if (this->hosts[host].board.hasUrgentEvidence()) {
            this->report(host);
        }
    }

    void reportPeriodically(std::size_t host)
    {
        this->report(host);
        this->schedule(this->clock.now() + ReportInterval, [this, host] {
            this->reportPeriodically(host);
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
            this->schedule(now + ReportDelay, [this, sender, domain, evidence, outstanding] {
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

    /// Returns whether the platform's rule counts a server as healthy at the end of a window.
    static bool isHealthy(const ModelServer &server, MonotonicTime end)
    {
        const bool isNew = server.startedAt != MonotonicTime() && end < server.startedAt + RecoveryAfterFault;
        const bool hasFault = std::any_of(server.faults.begin(), server.faults.end(), [end](const Span &span) {
            return span.from < end && end < span.to + RecoveryAfterFault;
        });
        return !isNew && !hasFault && !containsTimeIn(server.ownFailures, end - RecoveryAfterOwnFailure, end);
    }

    SimulationResult evaluate() const
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
                if (isHealthy(server, end)) {
                    ++window.healthy;
                    window.used += containsTimeIn(server.arrivals, end - RuleWindow, end) ? 1 : 0;
                }
            }
            if (window.healthy == 0 || window.used == 0) {
                continue;
            }
            const double share = static_cast<double>(window.used) / window.healthy;
            result.leastUsed = std::min(result.leastUsed, share);
            if (share < RuleShare && window.unserved > MinUnservedShare * window.requests
                && window.unserved < MaxUnservedShare * window.requests) {
                result.violations.push_back(window);
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
        FaultPlan fault;
        fault.kind = static_cast<FaultKind>(1 + random.below(4));
        fault.from = std::chrono::seconds(FirstFaultSecond + random.below(FaultStartSpan));
        fault.to = fault.from + std::chrono::seconds(3 + random.below(7));
        fault.servers = between(0.1, 0.6);
        fault.requests = fault.kind == FaultKind::Errors || fault.kind == FaultKind::Hang ? between(0.3, 0.8) : 1;
        plan.faults.push_back(fault);
    }
    if (random.below(3) == 0) {
        plan.rateLimitedFrom = std::chrono::seconds(FirstFaultSecond + random.below(FaultStartSpan));
    }
    if (random.below(4) == 0) {
        plan.restartAt = std::chrono::seconds(FirstFaultSecond + random.below(FaultStartSpan));
    }
    return plan;
}

SimulationPlan randomReturnPlan(std::uint64_t seed)
{
    SeededRandom random(seed ^ 0xbac);
    const auto between = [&random](std::uint64_t least, std::uint64_t most) {
        return std::chrono::milliseconds(least + random.below(most - least + 1));
    };
    SimulationPlan plan;
    plan.seed = seed;
    plan.requestsPerSecond = 150 + static_cast<double>(random.below(150));
    plan.failuresHang = random.below(3) == 0;
    plan.movedFrom = between(6000, 10000);
    plan.movedTo = plan.movedFrom + between(2000, 5000);
    plan.serversAddedAt = plan.movedTo - between(0, 2500);
    plan.addedServers = static_cast<unsigned>(random.below(2 * plan.servers));
    plan.length = plan.movedTo + 6s;
    FaultPlan fault;
    fault.kind = FaultKind::Errors;
    fault.from = plan.movedFrom;
    fault.to = plan.length;
    fault.servers = 0.1 + static_cast<double>(random.below(400)) / 1000;
    fault.requests = 0.5;
    plan.faults.push_back(fault);
    return plan;
}

SimulationResult runSimulation(const SimulationPlan &plan)
{
    return Simulation(plan).run();
}

} // namespace rhubarbtiller::balance
