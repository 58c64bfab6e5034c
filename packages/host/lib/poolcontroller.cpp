#include <rhubarbtiller/host/poolcontroller.h>

#include "wirecodec.h"

#include <rhubarbtiller/telemetry/log.h>

#include <asio/post.hpp>

#include <algorithm>

namespace rhubarbtiller::host {

using telemetry::logEvent;
using telemetry::LogLevel;

static constexpr std::chrono::milliseconds ReportInterval{1000};
static constexpr Duration ReportTimeout = std::chrono::milliseconds(900);

/// Verdicts are renewed at most this often; reports of one period arrive spread over it.
static constexpr Duration JudgeInterval = std::chrono::milliseconds(250);

PoolController::PoolController(asio::any_io_executor controlStrand,
                               const Clock &systemClock,
                               const blackboard::Blackboard &blackboard,
                               HostId ownId,
                               peer::PeerNetwork &peerNetwork,
                               ServerOwner &owner,
                               health::EjectionHolder &holder,
                               RandomSource &random,
                               telemetry::Metrics &hostMetrics)
    : strand(std::move(controlStrand))
    , clock(systemClock)
    , board(blackboard)
    , self(std::move(ownId))
    , network(peerNetwork)
    , serverOwner(owner)
    , ejectionHolder(holder)
    , randomSource(random)
    , metrics(hostMetrics)
    , timer(this->strand)
{
}

void PoolController::start()
{
    this->tick();
}

void PoolController::stop()
{
    this->isStopped = true;
    this->timer.cancel();
}

void PoolController::tick()
{
    if (this->isStopped) {
        return;
    }
    this->followOwnership();
    std::map<PoolName, std::vector<BackendServerId>> serversByPool;
    for (const auto &[server, pool] : this->serverOwner.ownedServers()) {
        serversByPool[pool->name].push_back(server);
    }
    for (const auto &[pool, servers] : serversByPool) {
        this->reportPool(pool, servers);
    }
    this->timer.expires_after(ReportInterval);
    this->timer.async_wait([this](const std::error_code &error) {
        if (!error) {
            this->tick();
        }
    });
}

void PoolController::followOwnership()
{
    const auto view = this->board.routing.read();
    const auto leases = this->board.leases.read();
    if (!view || !leases) {
        return;
    }
    const auto now = this->clock.now();
    std::erase_if(this->judgements, [&](const auto &entry) {
        const auto *const pool = view->findPool(entry.first);
        return !pool || !leases->owns(pool->shard, now);
    });
    for (const auto &[name, pool] : view->pools) {
        if (!leases->owns(pool->shard, now)) {
            continue;
        }
        auto &judgement = this->judgements[name];
        if (!judgement.budget) {
            const health::PoolOwnerEpoch epoch(std::max<std::uint64_t>(this->randomSource.next() >> 1, 1));
            judgement.policy = std::make_unique<health::OutlierDetector>(pool->pool->sensitivity);
            judgement.budget = std::make_unique<health::EjectionBudget>(epoch, health::poolCapacity(*pool->pool, *view->snapshot), now);
        }
        judgement.pool = pool->pool;
        judgement.policy->setSensitivity(pool->pool->sensitivity);
        judgement.budget->setCapacity(health::poolCapacity(*pool->pool, *view->snapshot));
    }
}

void PoolController::reportPool(const PoolName &pool, const std::vector<BackendServerId> &servers)
{
    const auto view = this->board.routing.read();
    const auto *const poolView = view ? view->findPool(pool) : nullptr;
    if (!poolView) {
        return;
    }
    const auto now = this->clock.now();
    peer::wire::ServerReport report;
    report.pool = pool.text();
    report.knownEpoch = static_cast<std::int64_t>(this->knownEpochs[pool].count());
    for (const auto &server : servers) {
        for (const auto &sample : this->serverOwner.takeSamples(server)) {
            report.samples.push_back(toWire(sample));
        }
        if (this->ejectionHolder.isEjected(server, now)) {
            peer::wire::HeldEjection held;
            held.server = server.text();
            held.isInForce = true;
            report.held.push_back(std::move(held));
        }
    }
    if (report.samples.empty() && report.held.empty()) {
        return;
    }
    const auto leases = this->board.leases.read();
    if (leases && leases->owns(poolView->shard, now)) {
        this->takeReply(servers, pool, now, this->answer(report));
        return;
    }
    const auto known = this->knownOwners.find(pool);
    for (const auto &guardian : view->placement->guardians(poolView->shard)) {
        const auto host = view->snapshot->hosts().find(guardian);
        if (guardian == this->self || host == view->snapshot->hosts().end()) {
            continue;
        }
        // Until one of the guardians says that it owns the pool, all are asked; the others ignore the report.
        if (known == this->knownOwners.end() || known->second == guardian) {
            this->sendReport(host->second, report, servers, now);
        }
    }
}

void PoolController::sendReport(const config::Host &guardian,
                                const peer::wire::ServerReport &report,
                                const std::vector<BackendServerId> &servers,
                                MonotonicTime now)
{
    peer::wire::Envelope message;
    message.__set_serverReport(report);
    const PoolName pool(report.pool);
    this->network.call(guardian.peerAddress,
                       std::move(message),
                       now + ReportTimeout,
                       [this, servers, pool, now, id = guardian.id](const peer::PeerOutcome &outcome) {
                           const auto envelope = outcome.reply ? *outcome.reply : nullptr;
                           asio::post(this->strand, [this, servers, pool, now, id, envelope] {
                               if (!envelope || !envelope->__isset.ejectionReply || !envelope->ejectionReply.isPoolOwner) {
                                   this->forgetOwner(pool, id);
                                   return;
                               }
                               this->knownOwners.insert_or_assign(pool, id);
                               this->takeReply(servers, pool, now, envelope->ejectionReply);
                           });
                       });
}

void PoolController::forgetOwner(const PoolName &pool, const HostId &owner)
{
    if (const auto known = this->knownOwners.find(pool); known != this->knownOwners.end() && known->second == owner) {
        this->knownOwners.erase(known);
    }
}

void PoolController::takeReply(const std::vector<BackendServerId> &servers,
                               const PoolName &pool,
                               MonotonicTime sentAt,
                               const peer::wire::EjectionReply &reply)
{
    if (!reply.isPoolOwner) {
        return;
    }
    const health::PoolOwnerEpoch epoch(static_cast<std::uint64_t>(reply.epoch));
    this->knownEpochs[pool] = epoch;
    for (const auto &grant : reply.grants) {
        const BackendServerId server(grant.server);
        if (!this->ejectionHolder.isEjected(server, this->clock.now())) {
            logEvent(LogLevel::Warning, "server_ejected", {{"server", grant.server}, {"pool", pool.text()}, {"evidence", grant.evidence}});
        }
        this->ejectionHolder.onLease({server, std::chrono::microseconds(grant.validForMicros), epoch}, sentAt);
    }
    std::map<BackendServerId, health::ServerWeight> weights;
    for (const auto &advice : reply.weights) {
        weights.emplace(BackendServerId(advice.server), health::ServerWeight(advice.weightPermille / 1000.0));
    }
    for (const auto &server : servers) {
        const auto found = weights.find(server);
        this->ejectionHolder.setWeight(server, found == weights.end() ? health::ServerWeight(1.0) : found->second);
    }
}

void PoolController::judge(Judgement &judgement, MonotonicTime now)
{
    if (now < judgement.judgedAt + JudgeInterval) {
        return;
    }
    judgement.judgedAt = now;
    judgement.verdicts.clear();
    for (auto &verdict : judgement.policy->judge(now)) {
        judgement.verdicts.emplace(verdict.server, verdict);
    }
}

peer::wire::EjectionReply PoolController::answer(const peer::wire::ServerReport &message)
{
    peer::wire::EjectionReply reply;
    const auto now = this->clock.now();
    const auto view = this->board.routing.read();
    const auto leases = this->board.leases.read();
    const auto *const pool = view ? view->findPool(PoolName(message.pool)) : nullptr;
    if (!pool || !leases || !leases->owns(pool->shard, now)) {
        return reply;
    }
    this->followOwnership();
    auto &judgement = this->judgements[PoolName(message.pool)];
    reply.isPoolOwner = true;
    reply.epoch = static_cast<std::int64_t>(judgement.budget->epoch().count());
    std::set<BackendServerId> reported;
    std::set<BackendServerId> held;
    for (const auto &sample : message.samples) {
        judgement.policy->observe(fromWire(sample), now);
        reported.insert(BackendServerId(sample.server));
    }
    for (const auto &entry : message.held) {
        held.insert(BackendServerId(entry.server));
        reported.insert(BackendServerId(entry.server));
    }
    this->judge(judgement, now);
    const health::PoolOwnerEpoch knownEpoch(static_cast<std::uint64_t>(message.knownEpoch));
    for (const auto &server : reported) {
        const auto verdict = judgement.verdicts.find(server);
        if (verdict == judgement.verdicts.end()) {
            continue;
        }
        peer::wire::ServerWeightAdvice advice;
        advice.server = server.text();
        advice.weightPermille = static_cast<std::int32_t>(verdict->second.weight.count() * 1000);
        reply.weights.push_back(std::move(advice));
        if (!verdict->second.wantsEjection) {
            continue;
        }
        const auto lease = judgement.budget->request({server, held.contains(server), knownEpoch}, leases->ownedUntil(pool->shard), now);
        if (!lease) {
            logEvent(LogLevel::Debug, "ejection_refused", {{"server", server.text()}, {"error", lease.error().message()}});
            continue;
        }
        judgement.policy->onEjected(server, now);
        peer::wire::EjectionGrant grant;
        grant.server = server.text();
        grant.validForMicros = std::chrono::duration_cast<std::chrono::microseconds>(lease->validFor).count();
        grant.evidence = verdict->second.evidence;
        reply.grants.push_back(std::move(grant));
    }
    return reply;
}

void PoolController::onServerReport(const peer::wire::ServerReport &message, const peer::PeerReplyFunction &reply)
{
    peer::wire::Envelope envelope;
    envelope.__set_ejectionReply(this->answer(message));
    reply(std::move(envelope));
}

std::map<BackendServerId, std::string> PoolController::ejections() const
{
    std::map<BackendServerId, std::string> all;
    const auto now = this->clock.now();
    for (const auto &[name, judgement] : this->judgements) {
        for (const auto &server : judgement.budget->possiblyEjected(now)) {
            const auto verdict = judgement.verdicts.find(server);
            all.emplace(server, verdict == judgement.verdicts.end() ? std::string("lease running out") : verdict->second.evidence);
        }
    }
    return all;
}

} // namespace rhubarbtiller::host
