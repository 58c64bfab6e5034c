#include <rhubarbtiller/health/serverslots.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <deque>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace rhubarbtiller::health {

namespace {

// One long request must not warm a server up by itself.
constexpr double LargestWarmthStep = 0.25;
// A jump of latency needs a median to be compared with.
constexpr std::size_t LeastLatencies = 8;
constexpr std::size_t KeptLatencies = 32;
// Routes of different cost in one pool make the upper latencies usual; a jump must exceed them as well.
constexpr double JumpOverUpperLatency = 1.5;

struct Waiting
{
    SlotTicket ticket;
    MonotonicTime deadline;
    ServerSlots::Handler handler;
};

struct OrganisationQueue
{
    std::deque<Waiting> waiting;
    std::uint32_t running = 0;
    std::uint64_t lastGrant = 0;
};

struct Running
{
    OrganisationId organisation;
    MonotonicTime deadline;
};

/// Calls handlers at the end of a scope, after the mutex that was locked later has been released.
class Decisions
{
public:
    Decisions() = default;
    Decisions(const Decisions &) = delete;
    Decisions &operator=(const Decisions &) = delete;

    ~Decisions()
    {
        for (auto &[handler, result] : this->calls) {
            handler(std::move(result));
        }
    }

    void add(ServerSlots::Handler handler, Result<SlotLease> result)
    {
        this->calls.emplace_back(std::move(handler), std::move(result));
    }

private:
    std::vector<std::pair<ServerSlots::Handler, Result<SlotLease>>> calls;
};

} // namespace

struct ServerSlots::Server
{
    mutable std::mutex mutex;
    BackendServerId id;
    bool isOwned = false;
    MonotonicTime holdUntil;
    MonotonicTime ownedUntil;

    std::uint32_t coldSlots = 1;
    std::uint32_t fullSlots = 1;
    Duration warmUpTime{};
    /// Progress of the slow start, 0 to 1.
    double warmth = 0;
    std::uint32_t probesLeft = 0;
    /// Time under load since the last success, weighted by the used share of the limit.
    double busySeconds = 0;
    MonotonicTime accruedAt;
    MonotonicTime activeAt;
    bool isChecking = false;
    std::deque<Duration> latencies;
    std::uint32_t slowInRow = 0;

    std::uint32_t runningElsewhere = 0;
    MonotonicTime runningElsewhereUntil;
    std::map<SlotLeaseId, Running> running;
    std::map<OrganisationId, OrganisationQueue> organisations;
    std::size_t waitingCount = 0;
    std::uint64_t grants = 0;

    bool mayAct(MonotonicTime now) const
    {
        return this->isOwned && now < this->ownedUntil;
    }

    std::uint32_t elsewhere(MonotonicTime now) const
    {
        return now < this->runningElsewhereUntil ? this->runningElsewhere : 0;
    }

    std::uint32_t used(MonotonicTime now) const
    {
        return static_cast<std::uint32_t>(this->running.size()) + this->elsewhere(now);
    }

    std::uint32_t learnedLimit() const
    {
        if (this->probesLeft > 0) {
            return 1;
        }
        if (this->isChecking) {
            return this->coldSlots;
        }
        // The small term keeps a sum of many steps from ending just below the full limit.
        return this->coldSlots + static_cast<std::uint32_t>(std::floor((this->fullSlots - this->coldSlots) * this->warmth + 1e-9));
    }

    std::uint32_t limit(MonotonicTime now) const
    {
        return this->mayAct(now) && now >= this->holdUntil ? this->learnedLimit() : 0;
    }

    void configure(const config::Pool &pool)
    {
        this->fullSlots = std::max<std::uint32_t>(1, pool.slotsPerServer.count());
        this->coldSlots = std::clamp<std::uint32_t>(pool.coldSlots.count(), 1, this->fullSlots);
        this->warmUpTime = pool.warmUpTime;
    }

    /// Counts the time under load up to now; called before the number of running requests changes.
    void accrue(MonotonicTime now)
    {
        if (now <= this->accruedAt) {
            return;
        }
        const auto elapsed = std::chrono::duration<double>(now - this->accruedAt).count();
        const double share = static_cast<double>(this->used(now)) / this->learnedLimit();
        this->busySeconds += elapsed * std::min(1.0, share);
        this->accruedAt = now;
        if (this->used(now) > 0) {
            this->activeAt = now;
        }
    }

    void startCold(MonotonicTime now)
    {
        this->warmth = 0;
        this->busySeconds = 0;
        this->accruedAt = std::max(this->accruedAt, now);
        this->isChecking = false;
        this->latencies.clear();
        this->slowInRow = 0;
    }

    void creditSuccess(double margin)
    {
        const double warmUp = std::chrono::duration<double>(this->warmUpTime).count() * margin;
        const double step = warmUp > 0 ? this->busySeconds / warmUp : 1.0;
        this->warmth = std::min(1.0, this->warmth + std::min(step, LargestWarmthStep));
        this->busySeconds = 0;
    }

    /// Returns whether an answer is slow compared with the recent ones of this server.
    bool isSlow(Duration latency, const SlotSettings &settings) const
    {
        if (this->latencies.size() < LeastLatencies) {
            return false;
        }
        std::vector<Duration> sorted(this->latencies.begin(), this->latencies.end());
        std::sort(sorted.begin(), sorted.end());
        const Duration median = sorted[sorted.size() / 2];
        const Duration upper = sorted[sorted.size() * 9 / 10];
        return static_cast<double>(latency.count()) > settings.latencyJumpFactor * static_cast<double>(median.count())
            && static_cast<double>(latency.count()) > JumpOverUpperLatency * static_cast<double>(upper.count())
            && latency - median >= settings.leastLatencyJump;
    }

    void onSuccess(Duration latency, const SlotSettings &settings, MonotonicTime now)
    {
        if (this->isSlow(latency, settings)) {
            ++this->slowInRow;
            // After an idle time there are no other requests that could show a restart, so one slow answer is enough.
            if (this->isChecking || this->slowInRow >= settings.slowAnswersForJump) {
                this->startCold(now);
                return;
            }
        } else if (this->isChecking && this->latencies.size() < LeastLatencies) {
            // Without a median nothing tells a warm server from a cold one.
            this->startCold(now);
        } else {
            this->slowInRow = 0;
            this->isChecking = false;
        }
        this->latencies.push_back(latency);
        if (this->latencies.size() > KeptLatencies) {
            this->latencies.pop_front();
        }
        if (this->probesLeft > 0) {
            --this->probesLeft;
            this->busySeconds = 0;
            return;
        }
        this->creditSuccess(settings.warmUpMargin);
    }

    void refuse(OrganisationQueue &queue, std::size_t position, HealthError error, Decisions &decisions)
    {
        decisions.add(std::move(queue.waiting[position].handler), make_error_code(error));
        queue.waiting.erase(queue.waiting.begin() + static_cast<std::ptrdiff_t>(position));
        --this->waitingCount;
    }

    void refuseAll(HealthError error, Decisions &decisions)
    {
        for (auto &[organisation, queue] : this->organisations) {
            while (!queue.waiting.empty()) {
                this->refuse(queue, 0, error, decisions);
            }
        }
    }

    void refuseExpired(MonotonicTime now, Decisions &decisions)
    {
        for (auto &[organisation, queue] : this->organisations) {
            for (std::size_t position = queue.waiting.size(); position-- > 0;) {
                if (queue.waiting[position].deadline <= now) {
                    this->refuse(queue, position, HealthError::DeadlinePassed, decisions);
                }
            }
        }
    }

    /// Refuses the latest request of the organisation with the most waiting requests.
    void refuseSurplus(const OrganisationId &newcomer, Decisions &decisions)
    {
        OrganisationQueue *longest = &this->organisations.at(newcomer);
        for (auto &[organisation, queue] : this->organisations) {
            if (queue.waiting.size() > longest->waiting.size()) {
                longest = &queue;
            }
        }
        this->refuse(*longest, longest->waiting.size() - 1, HealthError::QueueFull, decisions);
    }

    /// Returns the organisation whose turn it is, or nullptr if nothing waits.
    std::pair<const OrganisationId, OrganisationQueue> *next()
    {
        std::pair<const OrganisationId, OrganisationQueue> *best = nullptr;
        for (auto &entry : this->organisations) {
            if (entry.second.waiting.empty()) {
                continue;
            }
            if (!best
                || std::pair(entry.second.running, entry.second.lastGrant) < std::pair(best->second.running, best->second.lastGrant)) {
                best = &entry;
            }
        }
        return best;
    }

    void grant(MonotonicTime now, std::atomic<std::uint64_t> &nextId, Decisions &decisions)
    {
        if (!this->mayAct(now)) {
            this->refuseAll(HealthError::NotOwner, decisions);
            return;
        }
        this->refuseExpired(now, decisions);
        while (this->waitingCount > 0 && this->used(now) < this->limit(now)) {
            auto &[organisation, queue] = *this->next();
            Waiting waiting = std::move(queue.waiting.front());
            queue.waiting.pop_front();
            --this->waitingCount;
            ++queue.running;
            queue.lastGrant = ++this->grants;
            const SlotLease lease{SlotLeaseId(nextId.fetch_add(1, std::memory_order_relaxed)), this->id, waiting.deadline};
            this->accrue(now);
            this->running.emplace(lease.id, Running{organisation, waiting.deadline});
            decisions.add(std::move(waiting.handler), lease);
        }
    }

    /// Lowers the limit until the next success if the server was idle for long enough to restart unseen.
    void checkIdle(const SlotSettings &settings, MonotonicTime now)
    {
        if (this->used(now) == 0 && now - this->activeAt >= settings.idleBeforeCheck) {
            this->isChecking = true;
            this->activeAt = now;
        }
    }

    /// Forgets organisations that neither run nor wait, so that the table does not grow with all organisations.
    void forgetIdle()
    {
        std::erase_if(this->organisations, [](const auto &entry) {
            return entry.second.running == 0 && entry.second.waiting.empty();
        });
    }
};

ServerSlots::ServerSlots(SlotSettings slotSettings) : settings(slotSettings)
{
}

ServerSlots::~ServerSlots() = default;

std::shared_ptr<ServerSlots::Server> ServerSlots::find(const BackendServerId &server) const
{
    const std::shared_lock lock(this->serversMutex);
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? nullptr : found->second;
}

std::shared_ptr<ServerSlots::Server> ServerSlots::findOrCreate(const BackendServerId &server)
{
    if (auto found = this->find(server)) {
        return found;
    }
    const std::unique_lock lock(this->serversMutex);
    auto &entry = this->servers[server];
    if (!entry) {
        entry = std::make_shared<Server>();
        entry->id = server;
    }
    return entry;
}

void ServerSlots::takeOver(const BackendServerId &server,
                           const config::Pool &pool,
                           MonotonicTime takeOverAt,
                           MonotonicTime ownedUntil,
                           MonotonicTime now)
{
    const auto state = this->findOrCreate(server);
    Decisions decisions;
    const std::lock_guard lock(state->mutex);
    state->configure(pool);
    state->isOwned = true;
    state->holdUntil = std::max(state->holdUntil, takeOverAt);
    state->ownedUntil = ownedUntil;
    state->probesLeft = 0;
    state->activeAt = now;
    state->startCold(now);
    state->grant(now, this->nextId, decisions);
}

void ServerSlots::receive(const BackendServerId &server,
                          const config::Pool &pool,
                          const SlotHandOver &handOver,
                          MonotonicTime ownedUntil,
                          MonotonicTime now)
{
    const auto state = this->findOrCreate(server);
    Decisions decisions;
    const std::lock_guard lock(state->mutex);
    state->configure(pool);
    state->isOwned = true;
    state->holdUntil = now;
    state->ownedUntil = ownedUntil;
    state->probesLeft = 0;
    state->activeAt = now;
    state->startCold(now);
    const std::uint32_t warmed = std::clamp(handOver.limit.count(), state->coldSlots, state->fullSlots) - state->coldSlots;
    state->warmth = state->fullSlots == state->coldSlots ? 1.0 : static_cast<double>(warmed) / (state->fullSlots - state->coldSlots);
    state->runningElsewhere = handOver.running.count();
    state->runningElsewhereUntil = now + std::chrono::duration_cast<Duration>(handOver.runningFor * (1.0 + this->settings.drift));
    state->grant(now, this->nextId, decisions);
}

bool ServerSlots::extendOwnership(const BackendServerId &server, MonotonicTime ownedUntil, MonotonicTime now)
{
    const auto state = this->find(server);
    if (!state) {
        return false;
    }
    Decisions decisions;
    const std::lock_guard lock(state->mutex);
    if (!state->mayAct(now)) {
        state->refuseAll(HealthError::NotOwner, decisions);
        return false;
    }
    state->ownedUntil = std::max(state->ownedUntil, ownedUntil);
    return true;
}

void ServerSlots::reconfigure(const BackendServerId &server, const config::Pool &pool, MonotonicTime now)
{
    const auto state = this->find(server);
    if (!state) {
        return;
    }
    Decisions decisions;
    const std::lock_guard lock(state->mutex);
    state->configure(pool);
    state->grant(now, this->nextId, decisions);
}

std::optional<SlotHandOver> ServerSlots::handOver(const BackendServerId &server, MonotonicTime now)
{
    const auto state = this->find(server);
    if (!state) {
        return std::nullopt;
    }
    Decisions decisions;
    const std::lock_guard lock(state->mutex);
    const std::uint32_t limit = state->limit(now);
    if (limit == 0) {
        return std::nullopt;
    }
    state->isOwned = false;
    state->refuseAll(HealthError::NotOwner, decisions);
    MonotonicTime last = state->elsewhere(now) > 0 ? state->runningElsewhereUntil : now;
    for (const auto &[id, request] : state->running) {
        last = std::max(last, request.deadline);
    }
    return SlotHandOver{SlotCount(limit), SlotCount(state->used(now)), last - now};
}

void ServerSlots::stopOwning(const BackendServerId &server, MonotonicTime)
{
    const auto state = this->find(server);
    if (!state) {
        return;
    }
    Decisions decisions;
    const std::lock_guard lock(state->mutex);
    state->isOwned = false;
    state->refuseAll(HealthError::NotOwner, decisions);
}

SlotTicket ServerSlots::acquire(const BackendServerId &server, const SlotRequest &request, MonotonicTime now, Handler handler)
{
    const SlotTicket ticket(this->nextId.fetch_add(1, std::memory_order_relaxed));
    Decisions decisions;
    const auto state = this->find(server);
    if (!state) {
        decisions.add(std::move(handler), make_error_code(HealthError::NotOwner));
        return ticket;
    }
    const std::lock_guard lock(state->mutex);
    if (!state->mayAct(now)) {
        decisions.add(std::move(handler), make_error_code(HealthError::NotOwner));
        state->refuseAll(HealthError::NotOwner, decisions);
        return ticket;
    }
    if (request.deadline <= now) {
        decisions.add(std::move(handler), make_error_code(HealthError::DeadlinePassed));
        return ticket;
    }
    if (request.deadline <= state->holdUntil) {
        decisions.add(std::move(handler), make_error_code(HealthError::HoldingBack));
        return ticket;
    }
    state->checkIdle(this->settings, now);
    state->organisations[request.organisation].waiting.push_back(Waiting{ticket, request.deadline, std::move(handler)});
    ++state->waitingCount;
    state->grant(now, this->nextId, decisions);
    if (state->waitingCount > this->settings.maxWaiting) {
        state->refuseSurplus(request.organisation, decisions);
    }
    return ticket;
}

bool ServerSlots::cancel(const BackendServerId &server, SlotTicket ticket)
{
    const auto state = this->find(server);
    if (!state) {
        return false;
    }
    Decisions decisions;
    const std::lock_guard lock(state->mutex);
    for (auto &[organisation, queue] : state->organisations) {
        for (std::size_t position = 0; position < queue.waiting.size(); ++position) {
            if (queue.waiting[position].ticket == ticket) {
                state->refuse(queue, position, HealthError::Cancelled, decisions);
                return true;
            }
        }
    }
    return false;
}

void ServerSlots::release(const SlotLease &lease, SlotOutcome outcome, Duration latency, MonotonicTime now)
{
    const auto state = this->find(lease.server);
    if (!state) {
        return;
    }
    Decisions decisions;
    const std::lock_guard lock(state->mutex);
    const auto found = state->running.find(lease.id);
    if (found == state->running.end()) {
        return;
    }
    state->accrue(now);
    const OrganisationId organisation = found->second.organisation;
    state->running.erase(found);
    --state->organisations.at(organisation).running;
    switch (outcome) {
    case SlotOutcome::Success:
        state->onSuccess(latency, this->settings, now);
        break;
    case SlotOutcome::Failure:
        // Time under load counts only when it ends in a success.
        state->busySeconds = 0;
        break;
    case SlotOutcome::ConnectionRefused:
    case SlotOutcome::ConnectionReset:
    case SlotOutcome::Shed:
        state->startCold(now);
        break;
    case SlotOutcome::NotSent:
        break;
    }
    state->grant(now, this->nextId, decisions);
}

void ServerSlots::noteRestartSign(const BackendServerId &server, MonotonicTime now)
{
    const auto state = this->find(server);
    if (!state) {
        return;
    }
    const std::lock_guard lock(state->mutex);
    state->startCold(now);
}

void ServerSlots::returnFromEjection(const BackendServerId &server, MonotonicTime now)
{
    const auto state = this->find(server);
    if (!state) {
        return;
    }
    Decisions decisions;
    const std::lock_guard lock(state->mutex);
    state->startCold(now);
    state->probesLeft = this->settings.probesAfterEjection;
    state->grant(now, this->nextId, decisions);
}

void ServerSlots::advance(MonotonicTime now)
{
    std::vector<std::shared_ptr<Server>> all;
    {
        const std::shared_lock lock(this->serversMutex);
        all.reserve(this->servers.size());
        for (const auto &[id, state] : this->servers) {
            all.push_back(state);
        }
    }
    for (const auto &state : all) {
        Decisions decisions;
        const std::lock_guard lock(state->mutex);
        state->grant(now, this->nextId, decisions);
        state->forgetIdle();
    }
}

std::optional<MonotonicTime> ServerSlots::nextEventAt() const
{
    std::optional<MonotonicTime> earliest;
    const auto consider = [&earliest](MonotonicTime time) {
        earliest = earliest ? std::min(*earliest, time) : time;
    };
    const std::shared_lock lock(this->serversMutex);
    for (const auto &[id, state] : this->servers) {
        const std::lock_guard serverLock(state->mutex);
        if (state->waitingCount == 0) {
            continue;
        }
        consider(state->ownedUntil);
        // A time that has passed is no event; the scan runs without the current time.
        if (state->holdUntil > state->accruedAt) {
            consider(state->holdUntil);
        }
        if (state->runningElsewhere > 0 && state->runningElsewhereUntil > state->accruedAt) {
            consider(state->runningElsewhereUntil);
        }
        for (const auto &[organisation, queue] : state->organisations) {
            for (const Waiting &waiting : queue.waiting) {
                consider(waiting.deadline);
            }
        }
    }
    return earliest;
}

std::optional<LoadFigure> ServerSlots::load(const BackendServerId &server, MonotonicTime now) const
{
    const auto state = this->find(server);
    if (!state) {
        return std::nullopt;
    }
    const std::lock_guard lock(state->mutex);
    if (!state->mayAct(now)) {
        return std::nullopt;
    }
    const std::uint64_t learned = state->learnedLimit();
    // While the owner holds back, all slots count as taken, so that other servers are preferred.
    const std::uint64_t taken = now < state->holdUntil ? learned : state->used(now);
    return LoadFigure(static_cast<std::uint32_t>((taken + state->waitingCount) * 1000 / learned));
}

SlotCount ServerSlots::limit(const BackendServerId &server, MonotonicTime now) const
{
    const auto state = this->find(server);
    if (!state) {
        return SlotCount(0);
    }
    const std::lock_guard lock(state->mutex);
    return SlotCount(state->limit(now));
}

SlotCount ServerSlots::running(const BackendServerId &server) const
{
    const auto state = this->find(server);
    if (!state) {
        return SlotCount(0);
    }
    const std::lock_guard lock(state->mutex);
    return SlotCount(static_cast<std::uint32_t>(state->running.size()));
}

} // namespace rhubarbtiller::health
