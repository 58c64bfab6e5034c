#include "service.h"

#include "fakeserver.h"

#include <rhubarbtiller/base/random.h>
#include <rhubarbtiller/health/holdtime.h>
#include <rhubarbtiller/health/serverslots.h>
#include <rhubarbtiller/limits/rateshares.h>
#include <rhubarbtiller/routing/serverchooser.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <thread>

namespace rhubarbtiller::bench {

using namespace std::chrono_literals;
using namespace rhubarbtiller::health;
using namespace rhubarbtiller::limits;
using namespace rhubarbtiller::routing;

static constexpr Duration End = 80s;
/// Requests that start before are not counted.
static constexpr Duration MeasureFrom = 10s;
static constexpr Duration DomainLeavesAt = 20s;
/// The servers of a withdrawn domain stop this long after the announcement.
static constexpr Duration DomainNotice = 5s;
static constexpr Duration DomainReturnsAt = 50s;
static constexpr Duration PhaseLength = 10s;
/// An accepted change is in force on all hosts after this time, on each host earlier.
static constexpr Duration ChangeSpread = 3100ms;
static constexpr Duration TimeLimit = 1500ms;
static constexpr Duration InsideDomain = 200us;
static constexpr Duration SlotTick = 20ms;
static constexpr Duration WarmUp = 10s;
static constexpr double MedianLatencySeconds = 0.05;
static constexpr double LatencySpread = 0.4;
static constexpr double ColdSlowness = 3;
static constexpr unsigned MaxAttempts = 3;
static constexpr std::uint32_t BaselineFailuresInRow = 5;
static constexpr double GreedyFactor = 5;
static constexpr std::size_t ThreadCount = 4;

namespace {

enum class Fault {
    None,
    /// The organisation with the largest share sends five times its rate.
    Greedy,
    /// A failure domain is withdrawn with notice and returned later, with cold servers.
    DomainLeaves,
    /// As above, but the servers are gone before the withdrawal is announced.
    DomainFails,
    /// A server restarts each 3 s without warning.
    ColdRestarts,
};

enum class Chooser {
    TwoChoices,
    Random,
    /// In turn on each host, with an own ejection after failures in a row.
    RoundRobin,
};

struct Policy
{
    std::string name;
    Chooser chooser = Chooser::TwoChoices;
    /// Requests go through the owner of the server and its slots.
    bool hasSlots = true;
    bool controlsColdStart = true;
    /// Rate shares at the home; otherwise the rate is divided evenly among the hosts.
    bool hasRateShares = true;
};

struct Scenario
{
    std::string name;
    Fault fault = Fault::None;
    /// Offered requests relative to what the warm pool can do.
    double load = 0.6;
};

struct Tally
{
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
    /// Refused as not run.
    std::uint64_t refused = 0;
    std::uint64_t rateRefused = 0;
    /// Begun at a server and failed or lost.
    std::uint64_t lost = 0;
    std::vector<double> latencies;

    void add(const Tally &other)
    {
        this->offered += other.offered;
        this->good += other.good;
        this->refused += other.refused;
        this->rateRefused += other.rateRefused;
        this->lost += other.lost;
        this->latencies.insert(this->latencies.end(), other.latencies.begin(), other.latencies.end());
    }
};

struct Result
{
    std::vector<Tally> organisations = std::vector<Tally>(OrganisationCount);
    /// Parts of the run: before, leaving, away, returning, after.
    std::vector<Tally> phases = std::vector<Tally>(5);
    std::uint64_t overruns = 0;

    void add(const Result &other)
    {
        for (std::size_t i = 0; i < OrganisationCount; ++i) {
            this->organisations[i].add(other.organisations[i]);
        }
        for (std::size_t i = 0; i < this->phases.size(); ++i) {
            this->phases[i].add(other.phases[i]);
        }
        this->overruns += other.overruns;
    }
};

/// The home of an organisation carries all three shares of its shard from the beginning.
class AllShares : public ShareSource
{
public:
    CarriedShares shares(ShardId /*shard*/, MonotonicTime now) const override
    {
        CarriedShares carried;
        carried.count = ShareCount;
        carried.until = now + 1s;
        return carried;
    }
};

struct Work
{
    Duration startedAt{};
    std::size_t organisation = 0;
    std::size_t host = 0;
    unsigned attempts = 0;
    std::set<BackendServerId> tried;
};

/// Plays one service of a deployment on a virtual time line.
class ServicePlay
{
public:
    ServicePlay(const Deployment &playedDeployment,
                const Service &playedService,
                const Scenario &played,
                const Policy &playedPolicy,
                std::uint64_t seed)
        : deployment(playedDeployment)
        , service(playedService)
        , scenario(played)
        , policy(playedPolicy)
        , engine(seed)
        , choice(seed + 1)
        , randomChooser(this->choice)
        , rateShares(this->shareSource, this->start - 1min)
    {
        this->pool = std::make_shared<config::Pool>();
        this->pool->name = PoolName(this->service.name);
        this->pool->slotsPerServer = this->service.slots;
        this->pool->coldSlots = this->policy.controlsColdStart ? SlotCount(1) : this->service.slots;
        this->pool->warmUpTime = std::chrono::duration_cast<std::chrono::milliseconds>(WarmUp);
        for (std::size_t server = 0; server < this->service.servers; ++server) {
            this->ids.emplace_back("s" + std::to_string(server));
            this->servers.emplace_back(this->service.slots.count(), WarmUp);
            this->pool->servers.push_back({this->ids.back(), Endpoint(), domainId(server % DomainCount)});
        }
        for (std::size_t domain = 0; domain < DomainCount; ++domain) {
            this->twoChoices.push_back(std::make_unique<TwoChoicesChooser>(this->choice, domainId(domain)));
        }
        this->views.resize(HostCount);
        for (std::size_t host = 0; host < HostCount; ++host) {
            this->views[host].pool = this->pool;
            for (const auto &server : this->pool->servers) {
                this->allLoads.push_back(std::make_shared<ServerLoad>());
                this->views[host].servers.push_back({server, ShardId(0), this->allLoads.back()});
            }
            this->nextServer.push_back(this->choice.below(this->service.servers));
        }
        this->failuresInRow.assign(HostCount * this->service.servers, 0);
        this->holds.resize(HostCount * this->service.servers);
        for (const auto &id : this->ids) {
            // Handed over warm, as after a planned change of owner.
            SlotHandOver handOver;
            handOver.limit = this->service.slots;
            handOver.usualLatency = 54ms;
            this->slots.receive(id, *this->pool, handOver, this->start + 1h, this->start);
        }
        const double meanLatency = MedianLatencySeconds * std::exp(LatencySpread * LatencySpread / 2);
        const double capacity = static_cast<double>(this->service.servers * this->service.slots.count()) / meanLatency;
        for (std::size_t i = 0; i < OrganisationCount; ++i) {
            const double usual = this->scenario.load * capacity * OrganisationShares[i] / 100;
            // The usual load is 80% of the rate.
            this->limitsOf.push_back({RequestRate(usual / 0.8), RequestCount(usual / 0.8)});
            const bool isGreedy = this->scenario.fault == Fault::Greedy && i == 0;
            this->offeredRates.push_back(isGreedy ? GreedyFactor * usual / 0.8 : usual);
        }
        for (std::size_t i = 0; i < HostCount * OrganisationCount; ++i) {
            this->evenBuckets.push_back(
                std::make_unique<TokenBucket>(evenLimit(this->limitsOf[i % OrganisationCount]), this->start - 1min, this->start));
        }
    }

    Result run()
    {
        for (std::size_t i = 0; i < OrganisationCount; ++i) {
            this->scheduleArrival(i, Duration{});
        }
        this->scheduleTick(SlotTick);
        this->scheduleFaults();
        while (!this->events.empty() && this->events.top().at < End + 3s) {
            const Event event = this->events.top();
            this->events.pop();
            this->current = event.at;
            event.action();
        }
        for (const FakeServer &server : this->servers) {
            this->result.overruns += server.overrunCount();
        }
        return std::move(this->result);
    }

private:
    struct Event
    {
        Duration at{};
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator>(const Event &other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    static FailureDomainId domainId(std::size_t domain)
    {
        return FailureDomainId("domain-" + std::to_string(domain));
    }

    /// One whole token at least, since smaller buckets never admit anything.
    static TokenLimit evenLimit(const TokenLimit &limit)
    {
        TokenLimit part = limit.dividedBy(HostCount);
        part.burst = std::max(part.burst, RequestCount(1));
        return part;
    }

    MonotonicTime now() const
    {
        return this->start + this->current;
    }

    void at(Duration when, std::function<void()> action)
    {
        this->events.push({when, this->nextOrder++, std::move(action)});
    }

    void after(Duration delay, std::function<void()> action)
    {
        this->at(this->current + delay, std::move(action));
    }

    static Duration seconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    Duration distance(std::size_t host, std::size_t server) const
    {
        return host % DomainCount == server % DomainCount ? InsideDomain : this->deployment.betweenDomains;
    }

    void scheduleTick(Duration when)
    {
        this->at(when, [this, when] {
            this->slots.advance(this->now());
            if (when < End) {
                this->scheduleTick(when + SlotTick);
            }
        });
    }

    void scheduleArrival(std::size_t organisation, Duration from)
    {
        const Duration when = from + seconds(std::exponential_distribution<double>(this->offeredRates[organisation])(this->engine));
        if (when >= End) {
            return;
        }
        this->at(when, [this, organisation] {
            this->scheduleArrival(organisation, this->current);
            this->arrive(organisation);
        });
    }

    void scheduleFaults()
    {
        const Fault fault = this->scenario.fault;
        if (fault == Fault::ColdRestarts) {
            for (Duration when = 15s; when < End; when += 3s) {
                const std::size_t server = this->engine() % this->service.servers;
                this->at(when, [this, server] {
                    this->servers[server].stop(this->now());
                });
                this->at(when + 500ms, [this, server] {
                    this->servers[server].start(this->now());
                });
            }
        }
        if (fault != Fault::DomainLeaves && fault != Fault::DomainFails) {
            return;
        }
        const Duration announced = fault == Fault::DomainLeaves ? DomainLeavesAt : DomainLeavesAt + 4s;
        const Duration stopped = fault == Fault::DomainLeaves ? DomainLeavesAt + DomainNotice : DomainLeavesAt;
        for (std::size_t host = 0; host < HostCount; ++host) {
            this->at(announced + seconds(this->uniform(this->engine) * std::chrono::duration<double>(ChangeSpread).count()), [this, host] {
                std::erase_if(this->views[host].servers, [](const ServerView &view) {
                    return view.server.failureDomain == domainId(0);
                });
            });
            this->at(DomainReturnsAt + seconds(this->uniform(this->engine) * std::chrono::duration<double>(ChangeSpread).count()),
                     [this, host] {
                         this->views[host].servers.clear();
                         for (std::size_t server = 0; server < this->service.servers; ++server) {
                             this->views[host].servers.push_back(
                                 {this->pool->servers[server], ShardId(0), this->allLoads[host * this->service.servers + server]});
                         }
                     });
        }
        for (std::size_t server = 0; server < this->service.servers; server += DomainCount) {
            this->at(stopped, [this, server] {
                this->servers[server].stop(this->now());
            });
            this->at(DomainReturnsAt, [this, server] {
                this->servers[server].start(this->now());
            });
        }
    }

    static std::size_t phaseOf(Duration startedAt)
    {
        if (startedAt < DomainLeavesAt) {
            return 0;
        }
        if (startedAt < DomainLeavesAt + PhaseLength) {
            return 1;
        }
        if (startedAt < DomainReturnsAt) {
            return 2;
        }
        return startedAt < DomainReturnsAt + PhaseLength ? 3 : 4;
    }

    template<class Change>
    void count(const Work &work, Change change)
    {
        if (work.startedAt < MeasureFrom) {
            return;
        }
        change(this->result.organisations[work.organisation]);
        change(this->result.phases[phaseOf(work.startedAt)]);
    }

    void arrive(std::size_t organisation)
    {
        Work work;
        work.startedAt = this->current;
        work.organisation = organisation;
        work.host = this->engine() % HostCount;
        this->count(work, [](Tally &tally) {
            ++tally.offered;
        });
        if (!this->isAdmitted(work)) {
            this->count(work, [](Tally &tally) {
                ++tally.rateRefused;
            });
            return;
        }
        this->attempt(std::move(work));
    }

    bool isAdmitted(const Work &work)
    {
        const TokenLimit &limit = this->limitsOf[work.organisation];
        if (this->policy.hasRateShares) {
            const RateSlice slice{this->organisations[work.organisation], 0, ShardId(0)};
            return this->rateShares.admit(slice, limit, this->now()).verdict == AdmissionVerdict::Admitted;
        }
        CarriedShares all;
        all.count = ShareCount;
        all.until = MonotonicTime::max();
        return this->evenBuckets[work.host * OrganisationCount + work.organisation]->take(all, this->now()).has_value();
    }

    const ServerView *choose(const Work &work)
    {
        const PoolView &view = this->views[work.host];
        switch (this->policy.chooser) {
        case Chooser::TwoChoices:
            return this->twoChoices[work.host % DomainCount]->choose(view, work.tried, this->now());
        case Chooser::Random:
            return this->randomChooser.choose(view, work.tried, this->now());
        case Chooser::RoundRobin:
            break;
        }
        const ServerView *spare = nullptr;
        for (std::size_t i = 0; i < view.servers.size(); ++i) {
            const ServerView &next = view.servers[this->nextServer[work.host]++ % view.servers.size()];
            if (work.tried.contains(next.server.id)) {
                continue;
            }
            spare = &next;
            if (!this->holds[this->pairOf(work.host, this->indexOf(next))].holds(this->now())) {
                return &next;
            }
        }
        return spare;
    }

    std::size_t indexOf(const ServerView &view) const
    {
        return static_cast<std::size_t>(std::stoul(view.server.id.text().substr(1)));
    }

    std::size_t pairOf(std::size_t host, std::size_t server) const
    {
        return host * this->service.servers + server;
    }

    void attempt(Work work)
    {
        const ServerView *chosen = work.attempts < MaxAttempts ? this->choose(work) : nullptr;
        if (!chosen || this->current >= work.startedAt + TimeLimit) {
            this->count(work, [](Tally &tally) {
                ++tally.refused;
            });
            return;
        }
        ++work.attempts;
        const std::size_t server = this->indexOf(*chosen);
        work.tried.insert(this->ids[server]);
        const auto load = this->allLoads[this->pairOf(work.host, server)];
        load->onSent();
        const Duration way = this->distance(work.host, server);
        this->after(way, [this, work = std::move(work), server, load, way] {
            if (!this->policy.hasSlots) {
                this->send(work, server, [this, work, server, load, way](SlotOutcome outcome, Duration) {
                    this->after(way, [this, work, server, load, outcome] {
                        load->onEnded();
                        this->conclude(work, server, outcome);
                    });
                });
                return;
            }
            this->acquire(work, server, load, way);
        });
    }

    void acquire(const Work &work, std::size_t server, const std::shared_ptr<ServerLoad> &load, Duration way)
    {
        const SlotRequest request{this->organisations[work.organisation], this->start + work.startedAt + TimeLimit};
        this->slots.acquire(
            this->ids[server], request, this->now(), [this, work, server, load, way](const rhubarbtiller::Result<SlotLease> &lease) {
                if (!lease) {
                    this->after(way, [this, work, load] {
                        load->onEnded();
                        load->onRefused(this->now());
                        this->attempt(work);
                    });
                    return;
                }
                // The handler may be called inside a call of the slots; the request leaves after the way to the server.
                this->after(InsideDomain, [this, work, server, load, way, held = *lease] {
                    this->send(work, server, [this, work, server, load, way, held](SlotOutcome outcome, Duration latency) {
                        this->slots.release(held, outcome, latency, this->now());
                        const auto figure = this->slots.load(this->ids[server], this->now());
                        this->after(way, [this, work, server, load, outcome, figure] {
                            load->onEnded();
                            if (figure) {
                                load->onReport(*figure, this->now());
                            }
                            this->conclude(work, server, outcome);
                        });
                    });
                });
            });
    }

    void send(const Work &work, std::size_t server, std::function<void(SlotOutcome, Duration)> done)
    {
        static_cast<void>(work);
        FakeServer &target = this->servers[server];
        switch (target.begin(this->now())) {
        case FakeServer::Answer::Refuses:
            done(SlotOutcome::ConnectionRefused, InsideDomain);
            return;
        case FakeServer::Answer::Sheds:
            done(SlotOutcome::Shed, InsideDomain);
            return;
        case FakeServer::Answer::Fails:
            done(SlotOutcome::Failure, InsideDomain);
            return;
        case FakeServer::Answer::Runs:
            break;
        }
        const double slowness = target.isWarm() ? 1 : ColdSlowness;
        const Duration latency = seconds(this->anyLatency(this->engine) * slowness);
        this->after(latency, [this, server, life = target.life(), latency, done = std::move(done)] {
            const bool isDone = this->servers[server].end(life, this->now());
            done(isDone ? SlotOutcome::Success : SlotOutcome::ConnectionReset, latency);
        });
    }

    void conclude(const Work &work, std::size_t server, SlotOutcome outcome)
    {
        const bool isSuccess = outcome == SlotOutcome::Success;
        if (this->policy.chooser == Chooser::RoundRobin && outcome != SlotOutcome::Shed) {
            this->countFailuresInRow(work.host, server, isSuccess);
        }
        if (isSuccess) {
            const double milliseconds = std::chrono::duration<double, std::milli>(this->current - work.startedAt).count();
            this->count(work, [milliseconds](Tally &tally) {
                ++tally.good;
                tally.latencies.push_back(milliseconds);
            });
            return;
        }
        if (outcome == SlotOutcome::Shed || outcome == SlotOutcome::ConnectionRefused) {
            // Certainly not run, so another server may be tried.
            this->attempt(work);
            return;
        }
        this->count(work, [](Tally &tally) {
            ++tally.lost;
        });
    }

    void countFailuresInRow(std::size_t host, std::size_t server, bool isSuccess)
    {
        auto &failures = this->failuresInRow[this->pairOf(host, server)];
        failures = isSuccess ? 0 : failures + 1;
        HoldTime &hold = this->holds[this->pairOf(host, server)];
        if (failures >= BaselineFailuresInRow && !hold.holds(this->now())) {
            failures = 0;
            hold.finish(this->now());
            hold.start(HoldTimeSettings{}, this->now());
        }
    }

    const Deployment &deployment;
    const Service &service;
    const Scenario &scenario;
    const Policy &policy;
    std::mt19937_64 engine;
    SeededRandom choice;
    const MonotonicTime start{1h};
    Duration current{};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t nextOrder = 0;
    std::uniform_real_distribution<double> uniform{0.0, 1.0};
    std::lognormal_distribution<double> anyLatency{std::log(MedianLatencySeconds), LatencySpread};

    std::shared_ptr<config::Pool> pool;
    std::vector<BackendServerId> ids;
    std::vector<FakeServer> servers;
    std::vector<OrganisationId> organisations = [] {
        std::vector<OrganisationId> names;
        for (std::size_t i = 0; i < OrganisationCount; ++i) {
            names.emplace_back("organisation-" + std::to_string(i));
        }
        return names;
    }();
    std::vector<TokenLimit> limitsOf;
    std::vector<double> offeredRates;
    std::vector<PoolView> views;
    std::vector<std::shared_ptr<ServerLoad>> allLoads;
    std::vector<std::unique_ptr<TwoChoicesChooser>> twoChoices;
    RandomChooser randomChooser;
    std::vector<std::uint64_t> nextServer;
    std::vector<std::uint32_t> failuresInRow;
    std::vector<HoldTime> holds;
    ServerSlots slots;
    AllShares shareSource;
    RateShares rateShares;
    std::vector<std::unique_ptr<TokenBucket>> evenBuckets;
    Result result;
};

} // namespace

static double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

static double quantile(std::vector<double> values, double part)
{
    if (values.empty()) {
        return 0;
    }
    const auto position = values.begin()
        + static_cast<std::ptrdiff_t>(std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size()))));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

static nlohmann::json tallyJson(const Tally &tally)
{
    return {{"offered", tally.offered},
            {"goodPercent", percent(tally.good, tally.offered)},
            {"refusedPercent", percent(tally.refused, tally.offered)},
            {"rateRefusedPercent", percent(tally.rateRefused, tally.offered)},
            {"lost", tally.lost},
            {"p50Ms", quantile(tally.latencies, 0.5)},
            {"p99Ms", quantile(tally.latencies, 0.99)}};
}

static void printTally(const std::string &policy, const std::string &part, const Tally &tally, std::uint64_t overruns)
{
    std::printf("  %-28s %-12s %8llu %8.2f %8.2f %8.2f %8llu %8.1f %8.1f %8llu\n",
                policy.c_str(),
                part.c_str(),
                static_cast<unsigned long long>(tally.offered),
                percent(tally.good, tally.offered),
                percent(tally.refused, tally.offered),
                percent(tally.rateRefused, tally.offered),
                static_cast<unsigned long long>(tally.lost),
                quantile(tally.latencies, 0.5),
                quantile(tally.latencies, 0.99),
                static_cast<unsigned long long>(overruns));
}

static nlohmann::json report(const Scenario &scenario, const Policy &policy, const Result &result)
{
    nlohmann::json entry;
    Tally all;
    const bool hasGreedy = scenario.fault == Fault::Greedy;
    std::size_t worst = hasGreedy ? 1 : 0;
    for (std::size_t i = 0; i < OrganisationCount; ++i) {
        const Tally &tally = result.organisations[i];
        if (hasGreedy && i == 0) {
            printTally(policy.name, "greedy", tally, 0);
            entry["greedy"] = tallyJson(tally);
            continue;
        }
        all.add(tally);
        if (percent(tally.good, tally.offered) < percent(result.organisations[worst].good, result.organisations[worst].offered)) {
            worst = i;
        }
    }
    printTally(policy.name, hasGreedy ? "others" : "all", all, result.overruns);
    entry["all"] = tallyJson(all);
    entry["overruns"] = result.overruns;
    printTally(policy.name, "worst org", result.organisations[worst], 0);
    entry["worstOrganisation"] = tallyJson(result.organisations[worst]);
    if (scenario.fault == Fault::DomainLeaves || scenario.fault == Fault::DomainFails) {
        const char *names[] = {"before", "leaving", "away", "returning", "after"};
        for (std::size_t i = 0; i < result.phases.size(); ++i) {
            printTally(policy.name, names[i], result.phases[i], 0);
            entry["phases"][names[i]] = tallyJson(result.phases[i]);
        }
    }
    return entry;
}

nlohmann::json measureServiceLevel(const Deployment &deployment)
{
    const std::vector<Policy> policies = {
        {"chosen", Chooser::TwoChoices, true, true, true},
        {"chosen, no cold control", Chooser::TwoChoices, true, false, true},
        {"chosen, even division", Chooser::TwoChoices, true, true, false},
        {"random, none", Chooser::Random, false, false, true},
        {"round robin, host 5 in row", Chooser::RoundRobin, false, false, true},
        {"round robin, even division", Chooser::RoundRobin, false, false, false},
    };
    const std::vector<Scenario> scenarios = {
        {"no fault", Fault::None, 0.6},
        {"a greedy organisation", Fault::Greedy, 0.6},
        {"a failure domain leaves with 5 s notice", Fault::DomainLeaves, 0.5},
        {"a failure domain fails, withdrawn 4 s later", Fault::DomainFails, 0.5},
        {"a server restarts cold each 3 s", Fault::ColdRestarts, 0.5},
    };
    nlohmann::json results;
    for (const Service &service : deployment.services) {
        std::vector<Result> cells(scenarios.size() * policies.size());
        std::atomic<std::size_t> next{0};
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < ThreadCount; ++i) {
            threads.emplace_back([&] {
                for (std::size_t cell = next++; cell < cells.size(); cell = next++) {
                    for (const std::uint64_t seed : Seeds) {
                        const Scenario &scenario = scenarios[cell / policies.size()];
                        cells[cell].add(ServicePlay(deployment, service, scenario, policies[cell % policies.size()], seed).run());
                    }
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        for (std::size_t i = 0; i < scenarios.size(); ++i) {
            std::printf("\n%s %s, %s, load %.0f%%\n  %-28s %-12s %8s %8s %8s %8s %8s %8s %8s %8s\n",
                        deployment.name.c_str(),
                        service.name.c_str(),
                        scenarios[i].name.c_str(),
                        100 * scenarios[i].load,
                        "policy",
                        "part",
                        "offered",
                        "good %",
                        "refus. %",
                        "rate %",
                        "lost",
                        "p50 ms",
                        "p99 ms",
                        "overruns");
            for (std::size_t k = 0; k < policies.size(); ++k) {
                results[service.name][scenarios[i].name][policies[k].name]
                    = report(scenarios[i], policies[k], cells[i * policies.size() + k]);
            }
        }
    }
    std::fflush(stdout);
    return results;
}

} // namespace rhubarbtiller::bench
