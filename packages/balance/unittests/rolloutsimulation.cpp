#include "rolloutsimulation.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

namespace rhubarbtiller::balance {

using namespace std::chrono_literals;
using catalog::RolloutPhase;

static const catalog::ServiceName Service("service");
static const catalog::ServiceVersion Target("v2");

static constexpr std::size_t Hosts = 6;
static constexpr std::size_t StoreReaders = 3;
/// The first route is idempotent, the second at most once.
static constexpr std::size_t Routes = 2;

/// Interval, delay and losses of the reports between hosts.
static constexpr Duration ReportInterval = 150ms;
static constexpr Duration ReportDelay = 2ms;
static constexpr std::uint64_t ReportLossDivisor = 50;
static constexpr Duration StoreInterval = 150ms;
static constexpr Duration StoreDelay = 4ms;
static constexpr Duration ConflictDelay = 150ms;

/// Share of the responses of a sound server that are failures.
static constexpr double ErrorShare = 0.01;

/// Slots of the servers of a version for each request that is in progress on average.
static constexpr double CapacityFactor = 1.6;

/// New servers are slow for this long.
static constexpr Duration WarmUp = 2s;
static constexpr double WarmUpFactor = 2.5;
static constexpr Duration SettledAfter = 2500ms;

/// Servers that reset most of their requests: one of SickInterval of each version at a time, for SickTime each.
static constexpr unsigned SickInterval = 8;
static constexpr Duration SickTime = 3s;
static constexpr double SickShare = 0.85;

/// Deadline of the requests, in seconds.
static constexpr double MaxLatency = 3;

static constexpr double SlowOldFactor = 4;

/// A version that is bad under load is so while the target gets more than this share of the requests.
static constexpr double LoadShare = 0.5;

static constexpr std::uint64_t BadResponsesOfBound = 50;

namespace {

struct Row
{
    RolloutPhase phase = RolloutPhase::Ordered;
    std::uint64_t version = 0;
    MonotonicTime writtenAt{};
};

struct SimulatedHost
{
    std::unique_ptr<Rollout> rollout;
    Incarnation incarnation{1};
    std::uint32_t inProgress = 0;
    std::uint32_t inProgressAtOthers = 0;
    bool isCutOff = false;
};

class Simulation
{
public:
    explicit Simulation(const RolloutPlan &rolloutPlan) : plan(rolloutPlan), random(rolloutPlan.seed)
    {
    }

    RolloutOutcome run();

private:
    struct Event
    {
        MonotonicTime at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(other.at, other.number) < std::pair(this->at, this->number);
        }
    };

    void at(MonotonicTime time, std::function<void()> action)
    {
        this->events.push({time, this->nextEvent++, std::move(action)});
    }

    double uniform()
    {
        return static_cast<double>(this->random.below(1'000'000) + 1) / 1'000'000;
    }

    Duration since(MonotonicTime time) const
    {
        return time - this->orderedAt;
    }

    bool areTargetsUp() const
    {
        return this->now >= this->orderedAt + this->plan.newServersAt;
    }

    bool isStoreUp() const
    {
        const auto age = this->since(this->now);
        return this->plan.storeOutage == Duration(0) || age < 3s || age > 3s + this->plan.storeOutage;
    }

    RolloutSurroundings surroundings(const SimulatedHost &host) const;
    void start(SimulatedHost &host, bool isNew);
    void onArrival();
    void send(std::size_t index, std::size_t route);
    void exchangeReports();
    void useStore(std::size_t index);
    void write(std::size_t index, RolloutPhase phase, std::uint64_t expected);
    bool isBadNow(std::size_t route) const;
    void checkResult(RolloutPhase phase);

    const RolloutPlan &plan;
    SeededRandom random;
    std::priority_queue<Event> events;
    std::uint64_t nextEvent = 0;
    MonotonicTime now{1h};
    const MonotonicTime orderedAt{1h};
    std::vector<SimulatedHost> hosts{Hosts};
    std::vector<Row> history{Row()};
    std::uint64_t storeVersion = 100;
    RolloutPhase result = RolloutPhase::Ordered;
    MonotonicTime resultAt = MonotonicTime::max();
    MonotonicTime badAt = MonotonicTime::max();
    std::uint64_t recentRequests = 0;
    std::uint64_t recentTargets = 0;
    double targetShare = 0;
    RolloutOutcome outcome;
};

} // namespace

RolloutSurroundings Simulation::surroundings(const SimulatedHost &host) const
{
    RolloutSurroundings surroundings;
    surroundings.slackShare = 1.0 / static_cast<double>(Hosts);
    surroundings.targetServers = this->areTargetsUp() ? this->plan.newServers : 0;
    surroundings.targetSlots = surroundings.targetServers == 0
        ? 0
        : static_cast<std::uint32_t>(CapacityFactor * this->plan.requestsPerSecond
                                     * std::chrono::duration<double>(this->plan.meanLatency).count());
    surroundings.otherServers = this->result == RolloutPhase::Completed ? 0 : this->plan.oldServers;
    surroundings.inProgress = host.inProgress;
    surroundings.inProgressAtOthers = host.inProgressAtOthers;
    return surroundings;
}

void Simulation::start(SimulatedHost &host, bool isNew)
{
    catalog::RolloutOrder order{Service, Target, this->plan.duration, this->now};
    RolloutBounds bounds;
    bounds.exposureShare = this->plan.exposureShare;
    bounds.exposureSlack = this->plan.exposureSlack;
    host.rollout = std::make_unique<Rollout>(order, bounds, isNew);
}

bool Simulation::isBadNow(std::size_t route) const
{
    switch (this->plan.kind) {
    case BadVersionKind::Good:
        return false;
    case BadVersionKind::Failing:
    case BadVersionKind::Slow:
        return true;
    case BadVersionKind::FailingLater:
        return this->since(this->now) > this->plan.duration * 0.35;
    case BadVersionKind::FailingOnOneRoute:
        return route == 1;
    case BadVersionKind::FailingUnderLoad:
        return this->targetShare > LoadShare;
    }
    return false;
}

void Simulation::onArrival()
{
    const auto gap = std::chrono::duration<double>(-std::log(this->uniform()) / this->plan.requestsPerSecond);
    this->at(this->now + std::chrono::duration_cast<Duration>(gap), [this] {
        this->onArrival();
    });
    this->send(this->random.below(Hosts), this->random.below(Routes));
}

void Simulation::send(std::size_t index, std::size_t route)
{
    auto &host = this->hosts[index];
    const auto rule = host.rollout->choose({route == 0, false}, this->surroundings(host), this->random, this->now);
    const bool isWithinDeadline = this->since(this->now) <= this->plan.duration;
    const bool isTarget = rule == VersionRule::OnlyTarget || (rule == VersionRule::Any && this->result == RolloutPhase::Completed);
    ++this->recentRequests;
    this->recentTargets += isTarget ? 1 : 0;
    if (isWithinDeadline) {
        ++this->outcome.requests;
        this->outcome.exposed += isTarget ? 1 : 0;
    }
    if (isTarget && this->now > this->badAt) {
        this->outcome.usedAfterBad = this->now - this->badAt;
    }
    if (!isTarget && this->result == RolloutPhase::Completed && !host.isCutOff) {
        ++this->outcome.sentToStopped;
    }
    if (isTarget && this->result == RolloutPhase::RolledBack && this->now > this->resultAt + 1s && !host.isCutOff) {
        ++this->outcome.sentAfterRollback;
    }
    const auto number = this->random.below(isTarget ? this->plan.newServers : this->plan.oldServers);
    const BackendServerId server((isTarget ? "n" : "o") + std::to_string(number));
    const auto targetAge = this->since(this->now) - this->plan.newServersAt;
    auto seconds = -std::log(this->uniform()) * std::chrono::duration<double>(this->plan.meanLatency).count();
    auto ending = this->uniform() < ErrorShare ? RolloutResult::Failure : RolloutResult::Success;
    const auto turn = static_cast<std::uint64_t>(this->since(this->now) / SickTime);
    if (this->plan.hasFailingServers && number % SickInterval == turn % SickInterval && this->uniform() < SickShare) {
        ending = RolloutResult::Broken;
    }
    if (isTarget && targetAge < WarmUp) {
        seconds *= WarmUpFactor;
    }
    const auto age = this->since(this->now);
    if (!isTarget && this->plan.hasSlowOldServers && number % 2 == 0 && age > 2s && age < 5s) {
        seconds *= SlowOldFactor;
    }
    bool isBad = false;
    if (isTarget && this->isBadNow(route) && this->uniform() < this->plan.badShare) {
        isBad = true;
        if (this->plan.kind == BadVersionKind::Slow) {
            seconds *= this->plan.slowFactor;
        } else {
            ending = RolloutResult::Failure;
        }
    }
    const bool isSettled = !isTarget || targetAge >= SettledAfter;
    const auto ticket = host.rollout->onSent(server, RouteName(route == 0 ? "read" : "write"), isTarget, true, isSettled, this->now);
    ++host.inProgress;
    host.inProgressAtOthers += isTarget ? 0 : 1;
    const auto latency = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(MaxLatency, seconds + 0.004)));
    this->at(this->now + latency, [this, index, ticket, ending, isTarget, isBad, incarnation = host.incarnation] {
        if (isBad && ++this->outcome.badResponses == BadResponsesOfBound) {
            this->badAt = this->now;
        }
        auto &owner = this->hosts[index];
        if (owner.incarnation == incarnation) {
            --owner.inProgress;
            owner.inProgressAtOthers -= isTarget ? 0 : 1;
            owner.rollout->onEnded(ticket, ending, this->now);
        }
    });
}

void Simulation::exchangeReports()
{
    this->targetShare
        = this->recentRequests == 0 ? 0 : static_cast<double>(this->recentTargets) / static_cast<double>(this->recentRequests);
    this->recentRequests = 0;
    this->recentTargets = 0;
    for (std::size_t i = 0; i < Hosts; ++i) {
        auto &host = this->hosts[i];
        host.isCutOff = i == Hosts - 1 && this->since(this->now) > 2s && this->since(this->now) < 2s + this->plan.partition;
        host.rollout->update(this->surroundings(host), this->now);
        const auto report = host.rollout->report(this->surroundings(host), this->now);
        for (std::size_t j = 0; j < Hosts; ++j) {
            if (i == j || this->random.below(ReportLossDivisor) == 0) {
                continue;
            }
            this->at(this->now + ReportDelay, [this, i, j, report, incarnation = host.incarnation] {
                if (!this->hosts[i].isCutOff && !this->hosts[j].isCutOff) {
                    this->hosts[j].rollout->onReport(HostId("h" + std::to_string(i)), incarnation, report, this->now);
                }
            });
        }
    }
    this->at(this->now + ReportInterval, [this] {
        this->exchangeReports();
    });
}

void Simulation::useStore(std::size_t index)
{
    auto &host = this->hosts[index];
    if (this->isStoreUp() && !host.isCutOff) {
        const auto row = this->history.back();
        host.rollout->onStoreRow({Service, row.version == 0 ? catalog::ServiceVersion() : Target, row.phase, row.version}, this->now);
        if (const auto phase = host.rollout->nextPhase(this->surroundings(host), this->now)) {
            this->outcome.reason = host.rollout->reason();
            for (const auto &other : this->hosts) {
                if (this->outcome.reason == "reported" && other.rollout->isCondemned()) {
                    this->outcome.reason = other.rollout->reason();
                }
            }
            this->at(this->now + ConflictDelay * index + StoreDelay, [this, index, phase, version = row.version] {
                this->write(index, *phase, version);
            });
        }
    }
    this->at(this->now + StoreInterval, [this, index] {
        this->useStore(index);
    });
}

void Simulation::write(std::size_t index, RolloutPhase phase, std::uint64_t expected)
{
    if (!this->isStoreUp() || this->history.back().version != expected) {
        return;
    }
    this->history.push_back({phase, ++this->storeVersion, this->now});
    this->hosts[index].rollout->onStoreRow({Service, Target, phase, this->storeVersion}, this->now);
    this->checkResult(phase);
}

void Simulation::checkResult(RolloutPhase phase)
{
    if (phase < RolloutPhase::Completed) {
        return;
    }
    if (this->result != RolloutPhase::Ordered) {
        this->outcome.changedResults += phase == this->result ? 0 : 1;
        return;
    }
    this->result = phase;
    this->resultAt = this->now;
    this->outcome.decidedAfter = this->since(this->now);
    if (phase == RolloutPhase::Completed) {
        for (const auto &host : this->hosts) {
            this->outcome.lostRequests += host.isCutOff ? 0 : host.inProgressAtOthers;
        }
    }
    if (this->plan.hasRestoredStore) {
        this->at(this->now + 1s, [this] {
            const auto lostSince = this->resultAt - 500ms;
            std::erase_if(this->history, [lostSince](const Row &row) {
                return row.writtenAt > lostSince;
            });
        });
    }
}

RolloutOutcome Simulation::run()
{
    for (auto &host : this->hosts) {
        this->start(host, true);
    }
    this->onArrival();
    this->exchangeReports();
    for (std::size_t i = 0; i < StoreReaders; ++i) {
        this->at(this->now + StoreInterval * i / StoreReaders, [this, i] {
            this->useStore(i);
        });
    }
    if (this->plan.hasRestart) {
        this->at(this->now + 3s, [this] {
            auto &host = this->hosts[1];
            host.incarnation = Incarnation(host.incarnation.count() + 1);
            host.inProgress = 0;
            host.inProgressAtOthers = 0;
            this->start(host, false);
        });
    }
    if (this->plan.withdrawnAt > Duration(0)) {
        this->at(this->now + this->plan.withdrawnAt, [this] {
            for (auto &host : this->hosts) {
                host.rollout->onOrderWithdrawn();
            }
        });
    }
    const auto end = this->orderedAt + this->plan.duration + 6s;
    while (!this->events.empty() && this->events.top().at < end) {
        auto event = this->events.top();
        this->events.pop();
        this->now = event.at;
        event.action();
    }
    this->outcome.phase = this->result;
    return this->outcome;
}

RolloutPlan makeRolloutPlan(std::uint64_t seed, BadVersionKind kind)
{
    SeededRandom random(seed * 7919 + static_cast<std::uint64_t>(kind));
    const auto chance = [&random](std::uint64_t divisor) {
        return random.below(divisor) == 0;
    };
    RolloutPlan plan;
    plan.seed = seed;
    plan.kind = kind;
    plan.duration = 7s + 1ms * random.below(5000);
    plan.requestsPerSecond = 90 + static_cast<double>(random.below(560));
    plan.meanLatency = 100ms + 1ms * random.below(420);
    plan.badShare = 0.2 + static_cast<double>(random.below(600)) / 1000;
    plan.slowFactor = 4 + static_cast<double>(random.below(4));
    plan.oldServers = 20 + static_cast<unsigned>(random.below(150));
    plan.newServers = plan.oldServers;
    plan.newServersAt = 1ms * random.below(1500);
    plan.hasFailingServers = chance(2);
    plan.hasSlowOldServers = chance(4);
    plan.partition = chance(4) ? 1s + 1ms * random.below(2000) : Duration(0);
    plan.storeOutage = chance(4) ? 500ms + 1ms * random.below(1500) : Duration(0);
    plan.hasRestart = chance(4);
    plan.hasRestoredStore = chance(4);
    return plan;
}

RolloutOutcome runRollout(const RolloutPlan &plan)
{
    return Simulation(plan).run();
}

} // namespace rhubarbtiller::balance
