#include "schedulingmodel.h"

#include <rhubarbtiller/balance/timelimits.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <list>
#include <queue>

using namespace std::chrono_literals;

namespace rhubarbtiller::balance {

static const catalog::ServiceName Service("service");
static constexpr Duration DispatchInterval = 20ms;
static constexpr Duration MinRemainingTime = 40ms;
static constexpr unsigned Organisations = 11;

// The rule before RequestQueue took objectives and measured times into account.
static constexpr Duration BaselineServiceTime = 270ms;
static constexpr double BaselineWait = 0.4;
static constexpr Duration BaselineReturn = 300ms;

double CallerResult::servedShare() const
{
    return this->requests == 0 ? 1 : static_cast<double>(this->onTime + this->late) / this->requests;
}

double CallerResult::valueShare() const
{
    return this->maxValue == 0 ? 1 : this->value / this->maxValue;
}

namespace {

struct SimulatedRequest
{
    std::size_t kind = 0;
    std::size_t organisation = 0;
    MonotonicTime bornAt{};
    MonotonicTime arrivedAt{};
    MonotonicTime deadline{};
    std::size_t host = 0;
    unsigned refusals = 0;
    bool isDone = false;
};

struct SimulatedServer
{
    std::vector<MonotonicTime> slotFreeAt;
    std::uint32_t outstanding = 0;
    bool isSlow = false;
};

struct BaselineEntry
{
    std::size_t request = 0;
    int priority = 0;
    MonotonicTime latestStart{};
};

struct SimulatedHost
{
    ServiceTimes times;
    TimeLimits limits;
    RequestQueue queue;
    ReturnSchedule returns;
    std::list<BaselineEntry> baseline;
};

struct Event
{
    MonotonicTime at{};
    std::uint64_t number = 0;
    std::function<void()> run;

    bool operator<(const Event &other) const
    {
        return std::pair(other.at, other.number) < std::pair(this->at, this->number);
    }
};

class Simulation
{
public:
    explicit Simulation(const SchedulingPlan &schedulingPlan) : plan(schedulingPlan), random(schedulingPlan.seed), start(this->clock.now())
    {
        for (unsigned i = 0; i < this->plan.servers; ++i) {
            SimulatedServer server;
            server.slotFreeAt.assign(this->plan.slots, this->start);
            server.isSlow = i < this->plan.slowServers * this->plan.servers;
            this->servers.push_back(std::move(server));
        }
        this->hosts.resize(this->plan.hosts);
        for (const auto &kind : this->plan.kinds) {
            catalog::Route route;
            route.name = RouteName(kind.name);
            route.timeLimit = kind.timeLimit;
            route.latencyObjective = kind.objective;
            route.priority = kind.priority;
            this->routes.push_back(route);
            this->result.kinds.push_back({kind.name, kind.priority});
        }
        for (unsigned i = 0; i < Organisations; ++i) {
            this->result.organisations.push_back({"organisation " + std::to_string(i)});
        }
        this->result.total.name = "total";
    }

    SchedulingResult run()
    {
        for (std::size_t kind = 0; kind < this->plan.kinds.size(); ++kind) {
            this->generate(kind);
        }
        for (std::size_t host = 0; host < this->hosts.size(); ++host) {
            this->dispatchPeriodically(host);
        }
        while (!this->events.empty()) {
            const auto event = this->events.top();
            this->events.pop();
            this->clock.advance(event.at - this->clock.now());
            event.run();
        }
        return this->result;
    }

private:
    void schedule(MonotonicTime at, std::function<void()> run)
    {
        this->events.push({at, this->nextNumber++, std::move(run)});
    }

    double uniform()
    {
        static constexpr std::uint64_t Steps = 1'000'000;
        return static_cast<double>(this->random.below(Steps)) / Steps;
    }

    bool isBurst() const
    {
        const auto elapsed = this->clock.now() - this->start;
        return elapsed >= this->plan.burstFrom && elapsed < this->plan.burstTo;
    }

    void generate(std::size_t kind)
    {
        // Rates change at the burst only, so that a step of 10 ms with at most a few requests is exact enough.
        static constexpr Duration Step = 10ms;
        const auto now = this->clock.now();
        if (now >= this->start + this->plan.length) {
            return;
        }
        const auto &load = this->plan.kinds[kind];
        double mean = load.requestsPerSecond * (this->isBurst() ? load.burstFactor : 1) * std::chrono::duration<double>(Step).count();
        const double limit = std::exp(-mean);
        for (double product = this->uniform(); product > limit; product *= this->uniform()) {
            this->arrive(kind);
        }
        this->schedule(now + Step, [this, kind] {
            this->generate(kind);
        });
    }

    std::size_t chooseHost()
    {
        if (this->plan.firstHostShare > 0 && this->plan.hosts > 1) {
            return this->uniform() < this->plan.firstHostShare ? 0 : 1 + this->random.below(this->plan.hosts - 1);
        }
        return this->random.below(this->plan.hosts);
    }

    void arrive(std::size_t kind)
    {
        const auto now = this->clock.now();
        SimulatedRequest request;
        request.kind = kind;
        request.organisation = this->uniform() < this->plan.hotOrganisation ? 0 : 1 + this->random.below(Organisations - 1);
        request.bornAt = now;
        request.deadline = now + this->plan.kinds[kind].timeLimit;
        this->requests.push_back(request);
        this->count(request, [this, kind](CallerResult &counts) {
            ++counts.requests;
            counts.maxValue += this->plan.kinds[kind].valueOnTime;
        });
        this->submit(this->requests.size() - 1);
    }

    void count(const SimulatedRequest &request, const std::function<void(CallerResult &)> &change)
    {
        change(this->result.kinds[request.kind]);
        change(this->result.organisations[request.organisation]);
        change(this->result.total);
    }

    void submit(std::size_t number)
    {
        auto &request = this->requests[number];
        const auto now = this->clock.now();
        request.host = this->chooseHost();
        request.arrivedAt = now;
        auto &host = this->hosts[request.host];
        if (this->plan.order == OrderUnderTest::Baseline) {
            if (!this->trySend(number)) {
                this->joinBaseline(number);
            }
            return;
        }
        if (host.queue.isEmpty()) {
            host.limits.observe(this->routes[request.kind].name, request.deadline - now, now);
        }
        const auto queued = this->queued(number);
        host.queue.onArrival(Service, queued.expectedWork, now);
        if (!host.queue.hasWaitingBefore(Service, queued, now) && this->trySend(number)) {
            host.queue.onStartedDirectly(Service, queued, now);
            return;
        }
        host.queue.setUsableSlots(Service, this->plan.servers * this->plan.slots, this->plan.hosts);
        for (const auto &refusal : host.queue.push(Service, queued, now)) {
            this->refuse(refusal.id, refusal.capacity);
        }
    }

    QueuedRequest queued(std::size_t number)
    {
        const auto &request = this->requests[number];
        const auto &route = this->routes[request.kind];
        auto queued = makeQueuedRequest(
            {route,
             Service,
             OrganisationId("o" + std::to_string(request.organisation)),
             route.priority,
             request.arrivedAt,
             request.deadline,
             this->hosts[request.host].limits.elapsed(route.name, request.deadline - request.arrivedAt, this->clock.now())},
            this->hosts[request.host].times,
            this->clock.now());
        queued.id = number;
        return queued;
    }

    bool trySend(std::size_t number)
    {
        auto &request = this->requests[number];
        const auto now = this->clock.now();
        if (request.deadline - now < MinRemainingTime) {
            this->refuseForGood(request);
            return true;
        }
        auto best = this->servers.end();
        const auto offset = this->random.below(this->servers.size());
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            const auto candidate = this->servers.begin() + static_cast<std::ptrdiff_t>((i + offset) % this->servers.size());
            if (candidate->outstanding < this->plan.slots * this->plan.outstandingPerSlot
                && (best == this->servers.end() || candidate->outstanding < best->outstanding)) {
                best = candidate;
            }
        }
        if (best == this->servers.end()) {
            return false;
        }
        static constexpr double SlowFactor = 3;
        auto work = std::chrono::duration_cast<Duration>(this->plan.kinds[request.kind].meanWork * (0.5 + this->uniform()));
        work = best->isSlow && this->isBurst() ? std::chrono::duration_cast<Duration>(work * SlowFactor) : work;
        const auto index = static_cast<std::size_t>(best - this->servers.begin());
        const auto outstanding = best->outstanding++;
        auto &slot = *std::min_element(best->slotFreeAt.begin(), best->slotFreeAt.end());
        const auto done = std::max(now, slot) + work;
        // The server drops a request at the end of its time limit.
        const bool isInTime = done <= request.deadline;
        slot = isInTime ? done : std::max(slot, request.deadline);
        this->schedule(isInTime ? done : request.deadline, [this, number, index, outstanding, sentAt = now, isInTime] {
            this->finish(number, index, {this->clock.now() - sentAt, outstanding, this->plan.slots}, isInTime);
        });
        return true;
    }

    void finish(std::size_t number, std::size_t server, const ServiceTimeSample &sample, bool isInTime)
    {
        auto &request = this->requests[number];
        const auto now = this->clock.now();
        --this->servers[server].outstanding;
        request.isDone = true;
        const auto &kind = this->plan.kinds[request.kind];
        const bool isOnTime = now - request.bornAt <= kind.objective;
        this->count(request, [&kind, isInTime, isOnTime](CallerResult &counts) {
            counts.wasted += isInTime ? 0 : 1;
            counts.onTime += isInTime && isOnTime ? 1 : 0;
            counts.late += isInTime && !isOnTime ? 1 : 0;
            counts.value += !isInTime ? 0 : isOnTime ? kind.valueOnTime : kind.valueLate;
        });
        auto &host = this->hosts[request.host];
        if (isInTime) {
            const auto &route = this->routes[request.kind].name;
            host.times.observe(route, Service, sample, now);
            host.queue.onCompleted(Service, host.times.expected(route, Service, now), now);
        }
        this->dispatch(request.host);
    }

    void refuseForGood(SimulatedRequest &request)
    {
        request.isDone = true;
        this->count(request, [&request](CallerResult &counts) {
            ++counts.refused;
            counts.refusedAgain += request.refusals;
        });
    }

    void refuse(std::size_t number, const CapacityEstimate &capacity)
    {
        auto &request = this->requests[number];
        const auto now = this->clock.now();
        const auto remaining = request.deadline - now;
        if (now - request.arrivedAt > (request.deadline - request.arrivedAt) * 2 / 3) {
            this->count(request, [](CallerResult &counts) {
                ++counts.held;
            });
        }
        std::optional<Duration> delay = BaselineReturn;
        if (this->plan.order == OrderUnderTest::Decision) {
            auto &host = this->hosts[request.host];
            const auto &route = this->routes[request.kind].name;
            delay
                = host.returns.plan(Service,
                                    {host.times.expected(route, Service, now), host.times.expectedResponse(route, Service, now), remaining},
                                    capacity,
                                    this->random,
                                    now);
        }
        if (!delay || remaining < MinRemainingTime) {
            this->refuseForGood(request);
            return;
        }
        ++request.refusals;
        static constexpr std::uint64_t ImmediateReturnMilliseconds = 20;
        const Duration wait = this->plan.callersReturnAtOnce ? std::chrono::milliseconds(this->random.below(ImmediateReturnMilliseconds))
                                                             : std::min(*delay, remaining / 3);
        this->schedule(now + wait + 1ms, [this, number] {
            this->submit(number);
        });
    }

    void joinBaseline(std::size_t number)
    {
        const auto &request = this->requests[number];
        auto &queue = this->hosts[request.host].baseline;
        const auto now = this->clock.now();
        const auto wait = std::chrono::duration_cast<Duration>((request.deadline - now) * BaselineWait);
        const double starts = this->plan.servers * this->plan.slots * (std::chrono::duration<double>(wait) / BaselineServiceTime);
        const auto limit = static_cast<std::size_t>(std::llround(starts / this->plan.hosts));
        const auto priority = this->plan.kinds[request.kind].priority;
        const auto position = std::find_if(queue.begin(), queue.end(), [priority](const BaselineEntry &entry) {
            return entry.priority > priority;
        });
        queue.insert(position, {number, priority, now + wait});
        while (queue.size() > limit) {
            const auto last = queue.back().request;
            queue.pop_back();
            this->refuse(last, {});
        }
    }

    void dispatchBaseline(std::size_t hostNumber)
    {
        auto &queue = this->hosts[hostNumber].baseline;
        const auto now = this->clock.now();
        for (auto entry = queue.begin(); entry != queue.end();) {
            if (now < entry->latestStart) {
                ++entry;
                continue;
            }
            const auto expired = entry->request;
            entry = queue.erase(entry);
            this->refuse(expired, {});
        }
        while (!queue.empty() && this->trySend(queue.front().request)) {
            queue.pop_front();
        }
    }

    void dispatch(std::size_t hostNumber)
    {
        if (this->plan.order == OrderUnderTest::Baseline) {
            this->dispatchBaseline(hostNumber);
            return;
        }
        auto &queue = this->hosts[hostNumber].queue;
        const auto now = this->clock.now();
        while (const auto *const next = queue.next(Service, now)) {
            const auto id = next->id;
            if (!this->trySend(id)) {
                break;
            }
            queue.onStarted(Service, id, now);
        }
    }

    void dispatchPeriodically(std::size_t host)
    {
        const auto now = this->clock.now();
        for (const auto &refusal : this->hosts[host].queue.removeUnservable(now)) {
            this->refuse(refusal.id, refusal.capacity);
        }
        this->dispatch(host);
        static constexpr Duration Rest = 12s;
        if (now < this->start + this->plan.length + Rest) {
            this->schedule(now + DispatchInterval, [this, host] {
                this->dispatchPeriodically(host);
            });
        }
    }

    const SchedulingPlan &plan;
    testing::VirtualClock clock;
    SeededRandom random;
    MonotonicTime start;
    std::vector<catalog::Route> routes;
    std::vector<SimulatedServer> servers;
    std::vector<SimulatedHost> hosts;
    std::vector<SimulatedRequest> requests;
    std::priority_queue<Event> events;
    std::uint64_t nextNumber = 0;
    SchedulingResult result;
};

} // namespace

SchedulingResult simulateScheduling(const SchedulingPlan &plan)
{
    return Simulation(plan).run();
}

/// Scales the rates so that their work is \p load of the slots.
static std::vector<LoadKind> scaled(std::vector<LoadKind> kinds, double capacitySlots, double load)
{
    double work = 0;
    for (const auto &kind : kinds) {
        work += kind.requestsPerSecond * std::chrono::duration<double>(kind.meanWork).count();
    }
    for (auto &kind : kinds) {
        kind.requestsPerSecond *= load * capacitySlots / work;
    }
    return kinds;
}

std::vector<LoadKind> counterKinds(double capacitySlots, double load)
{
    return scaled({{"ticket-lookup", 1, 400ms, 2s, 6s, 296, 0.86, 0.43},
                   {"deposit-booking", 1, 520ms, 2s, 8s, 643, 1.7, 0.86},
                   {"bench-scan-upload", 2, 480ms, 5s, 10s, 20, 0.86, 0.65},
                   {"warranty-check", 0, 160ms, 800ms, 3s, 60, 3.3, 0.66}},
                  capacitySlots,
                  load);
}

std::vector<LoadKind> workshopKinds(double capacitySlots, double load)
{
    return scaled({{"bench-scan-upload", 2, 480ms, 5s, 10s, 69.4, 0.86, 0.65}, {"warranty-check", 0, 160ms, 800ms, 3s, 231, 3.3, 0.66}},
                  capacitySlots,
                  load);
}

std::vector<LoadKind> coachKinds(double capacitySlots, double load)
{
    return scaled({{"seat-lookup", 1, 180ms, 800ms, 3s, 246, 1, 0.3},
                   {"ticket-issue", 0, 140ms, 800ms, 3s, 604, 2, 0.6},
                   {"manifest-pull", 2, 110ms, 1s, 4s, 87, 1, 0.3}},
                  capacitySlots,
                  load);
}

} // namespace rhubarbtiller::balance
