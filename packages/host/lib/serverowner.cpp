#include <rhubarbtiller/host/serverowner.h>

#include "awaiting.h"
#include "hopheaders.h"

#include <rhubarbtiller/http/errors.h>
#include <rhubarbtiller/membership/leasetimes.h>
#include <rhubarbtiller/telemetry/log.h>

#include <algorithm>

namespace rhubarbtiller::host {

using routing::Execution;
using routing::Reason;
using telemetry::logEvent;
using telemetry::LogLevel;

/// How long a caller should wait before it tries again when servers are busy or moving.
static constexpr Duration BusyRetryAfter = std::chrono::seconds(1);

/// Names a request to its backend server; a server that repeats it lets a response to another request be recognised.
static constexpr const char *RequestIdHeader = "Rhubarbtiller-Request-Id";

ServerOwner::ServerOwner(const Clock &systemClock,
                         const blackboard::Blackboard &blackboard,
                         http::HttpClient &httpClient,
                         health::ServerSlots &serverSlots,
                         health::EjectionHolder &ejectionHolder,
                         RandomSource &random,
                         telemetry::SpanExporter &spanExporter)
    : clock(systemClock)
    , board(blackboard)
    , client(httpClient)
    , slots(serverSlots)
    , ejections(ejectionHolder)
    , randomSource(random)
    , spans(spanExporter)
{
}

/// Returns up to when requests of a previous owner may run: no request outlasts the time limit of its route.
static Duration longestTimeLimit(const config::Snapshot &snapshot, const config::Pool &pool)
{
    std::chrono::milliseconds longest{0};
    for (const auto &[name, route] : snapshot.routes()) {
        if (route->pool == pool.name) {
            longest = std::max(longest, route->timeLimit);
        }
    }
    return membership::withClockDrift(longest);
}

void ServerOwner::keepOwning(const BackendServerId &server,
                             const config::Pool &pool,
                             const config::Snapshot &snapshot,
                             MonotonicTime ownedUntil,
                             MonotonicTime now)
{
    const auto before = this->owned.find(server);
    if (before == this->owned.end() || !this->slots.extendOwnership(server, ownedUntil, now)) {
        this->slots.takeOver(server, pool, now + longestTimeLimit(snapshot, pool), ownedUntil, now);
        return;
    }
    if (!(*before->second == pool)) {
        this->slots.reconfigure(server, pool, now);
    }
}

void ServerOwner::onLeasesChanged()
{
    const auto view = this->board.routing.read();
    const auto leases = this->board.leases.read();
    if (!view || !leases) {
        return;
    }
    const auto now = this->clock.now();
    std::map<BackendServerId, std::shared_ptr<const config::Pool>> nowOwned;
    const auto shardCount = std::min(view->serversByShard.size(), leases->shards.size());
    for (std::uint32_t number = 0; number < shardCount; ++number) {
        const ShardId shard(number);
        const auto ownedUntil = leases->ownedUntil(shard);
        if (ownedUntil <= now) {
            continue;
        }
        for (const auto &place : view->serversByShard[number]) {
            if (leases->freshness.settled >= place.shardSince) {
                nowOwned.emplace(place.server.id, place.pool);
                this->keepOwning(place.server.id, *place.pool, *view->snapshot, ownedUntil, now);
            }
        }
    }
    for (const auto &[server, pool] : this->owned) {
        if (!nowOwned.contains(server)) {
            this->slots.stopOwning(server, now);
            this->ejections.forget(server);
            const std::lock_guard lock(this->evidenceMutex);
            this->evidence.erase(server);
        }
    }
    this->owned = std::move(nowOwned);
}

void ServerOwner::advance()
{
    const auto now = this->clock.now();
    for (const auto &server : this->ejections.takeReturned(now)) {
        this->slots.returnFromEjection(server, now);
        logEvent(LogLevel::Info, "ejection_ended", {{"server", server.text()}});
    }
    this->slots.advance(now);
}

std::vector<health::ServerSample> ServerOwner::takeSamples(const BackendServerId &server)
{
    const std::lock_guard lock(this->evidenceMutex);
    const auto found = this->evidence.find(server);
    if (found == this->evidence.end()) {
        return {};
    }
    return found->second.takeSamples(this->clock.now());
}

void ServerOwner::observe(const Work &work,
                          const BackendServerId &server,
                          health::Observation observation,
                          Duration latency,
                          MonotonicTime now)
{
    const std::lock_guard lock(this->evidenceMutex);
    auto &window = this->evidence.try_emplace(server, server).first->second;
    window.observe(work.organisation, observation, latency, now);
}

std::optional<Reason>
ServerOwner::findTarget(const Work &work, const BackendServerId &server, const blackboard::RoutingView &view, Target &target) const
{
    const auto route = view.snapshot->routes().find(work.route);
    const auto place = view.serverPlaces.find(server);
    if (route == view.snapshot->routes().end() || place == view.serverPlaces.end()) {
        return Reason::NotOwner;
    }
    // A key that was withdrawn after the sender looked it up must not let the request run here.
    if (!route->second->isOpenToAll) {
        const auto *const grant = view.snapshot->findKey(work.keyDigest);
        if (!grant || grant->organisation != work.organisation) {
            return Reason::UnknownKey;
        }
    }
    const auto &row = place->second.server;
    if (view.snapshot->isDraining(server) || view.snapshot->isWithdrawn(row.failureDomain)) {
        return Reason::NotOwner;
    }
    target = {place->second.pool, route->second.get(), row};
    return std::nullopt;
}

bool ServerOwner::mayActFor(const Target &target, MonotonicTime now) const
{
    const auto view = this->board.routing.read();
    const auto leases = this->board.leases.read();
    if (!view || !leases || !leases->freshness.holds(now)) {
        return false;
    }
    return leases->owns(view->placement->shardOf(target.server.id, target.server.failureDomain), now);
}

asio::awaitable<Result<health::SlotLease>> ServerOwner::acquireSlot(const Work &work, const BackendServerId &server)
{
    co_return co_await awaitHandler<Result<health::SlotLease>>([&](auto handler) {
        const auto ticket = this->slots.acquire(server, {work.organisation, work.deadline}, this->clock.now(), std::move(handler));
        work.cancel->onCancel([this, server, ticket] {
            this->slots.cancel(server, ticket);
        });
    });
}

asio::awaitable<WorkOutcome> ServerOwner::run(Work work, BackendServerId server)
{
    const auto view = this->board.routing.read();
    if (!view || !this->board.leases.read()) {
        co_return WorkOutcome::refused(Reason::NotOwner, Execution::NotRun);
    }
    Target target;
    if (const auto reason = this->findTarget(work, server, *view, target)) {
        co_return WorkOutcome::refused(*reason, Execution::NotRun);
    }
    // The sender's clock may have counted more time than the route allows, if the message was long under way.
    work.deadline = std::min(work.deadline, this->clock.now() + target.route->timeLimit);
    if (!this->mayActFor(target, this->clock.now()) || this->ejections.isEjected(server, this->clock.now())) {
        co_return WorkOutcome::refused(Reason::NotOwner, Execution::NotRun, BusyRetryAfter);
    }
    auto lease = co_await this->acquireSlot(work, server);
    if (!lease) {
        auto refused = WorkOutcome::refused(Reason::ServerBusy, Execution::NotRun, BusyRetryAfter);
        refused.load = this->slots.load(server, this->clock.now());
        co_return refused;
    }
    auto outcome = co_await this->send(work, target, *lease);
    const auto now = this->clock.now();
    if (const auto load = this->slots.load(server, now)) {
        outcome.load = health::weightedLoad(*load, this->ejections.weight(server));
    }
    co_return outcome;
}

static http::HttpRequest outgoingRequest(const Work &work, const telemetry::TraceContext &trace, Duration remaining)
{
    auto request = work.request;
    removeHopHeaders(request.headers);
    for (const auto *const name :
         {"Host", "Content-Length", "traceparent", RequestIdHeader, "Rhubarbtiller-Organisation", "Rhubarbtiller-Deadline-Ms"}) {
        removeHeader(request.headers, name);
    }
    const auto remainingMs = std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count());
    request.headers.push_back({"traceparent", trace.header()});
    request.headers.push_back({RequestIdHeader, work.id.text()});
    request.headers.push_back({"Rhubarbtiller-Organisation", work.organisation.text()});
    request.headers.push_back({"Rhubarbtiller-Deadline-Ms", std::to_string(remainingMs)});
    return request;
}

asio::awaitable<WorkOutcome> ServerOwner::send(const Work &work, const Target &target, const health::SlotLease &lease)
{
    const auto trace = work.trace.child(this->randomSource);
    const auto wallStart = this->clock.wallNow();
    // The last look before the request leaves: a host that was paused while it waited for the slot must not send.
    const auto sentAt = this->clock.now();
    const bool isLate = sentAt >= work.deadline || sentAt >= lease.sendBy;
    if (!this->mayActFor(target, sentAt) || work.cancel->isCancelled() || isLate) {
        this->slots.release(lease, health::SlotOutcome::NotSent, Duration::zero(), sentAt);
        const auto reason = sentAt >= work.deadline ? Reason::DeadlinePassed : Reason::NotOwner;
        co_return WorkOutcome::refused(work.cancel->isCancelled() ? Reason::Cancelled : reason, Execution::NotRun);
    }
    auto outcome = co_await awaitHandler<http::HttpOutcome>([&](auto handler) {
        http::HttpCall call;
        call.server = target.server.address;
        call.request = outgoingRequest(work, trace, work.deadline - sentAt);
        call.deadline = work.deadline;
        call.maxAnswer = target.route->maxAnswer;
        auto handle = this->client.send(std::move(call), std::move(handler));
        work.cancel->onCancel([handle] {
            handle->cancel();
        });
    });
    auto judged = this->judge(work, target, lease, std::move(outcome), sentAt);
    this->spans.exportSpan({"backend",
                            trace,
                            work.trace.spanId,
                            wallStart,
                            this->clock.now() - sentAt,
                            {{"server", target.server.id.text()},
                             {"execution", std::string(routing::executionWord(judged.execution))},
                             {"status", judged.response ? std::to_string(judged.response->status) : "none"}}});
    co_return judged;
}

static Reason reasonFor(const std::error_code &error)
{
    if (error == make_error_code(http::HttpError::Timeout)) {
        return Reason::DeadlinePassed;
    }
    if (error == make_error_code(http::HttpError::Cancelled)) {
        return Reason::Cancelled;
    }
    if (error == make_error_code(http::HttpError::IncompleteResponse) || error == make_error_code(http::HttpError::OversizedResponse)
        || error == make_error_code(http::HttpError::MalformedResponse)) {
        return Reason::IncompleteAnswer;
    }
    return Reason::ServerFailed;
}

/// Returns whether a response names another request than the one it came for; servers need not name any.
static bool isForAnotherRequest(const http::HttpResponse &response, const RequestId &id)
{
    const auto answered = findHeader(response.headers, RequestIdHeader);
    return !answered.empty() && answered != id.text();
}

static health::SlotOutcome slotOutcomeFor(const http::HttpOutcome &outcome)
{
    const auto error = outcome.response.error();
    if (error == make_error_code(http::HttpError::ConnectionRefused)) {
        return health::SlotOutcome::ConnectionRefused;
    }
    if (error == make_error_code(http::HttpError::ConnectionReset)) {
        return health::SlotOutcome::ConnectionReset;
    }
    return outcome.mayHaveBeenSent ? health::SlotOutcome::Failure : health::SlotOutcome::NotSent;
}

WorkOutcome
ServerOwner::judge(const Work &work, const Target &target, const health::SlotLease &lease, http::HttpOutcome outcome, MonotonicTime sentAt)
{
    const auto now = this->clock.now();
    const auto latency = now - sentAt;
    const auto &server = target.server.id;
    if (!outcome.response) {
        const auto reason = reasonFor(outcome.response.error());
        this->slots.release(lease, slotOutcomeFor(outcome), latency, now);
        // A caller that gives up says nothing about the server.
        if (reason != Reason::Cancelled) {
            this->observe(work, server, health::Observation::Failure, latency, now);
        }
        return WorkOutcome::refused(reason, outcome.mayHaveBeenSent ? Execution::Unknown : Execution::NotRun);
    }
    const auto &response = outcome.response.value();
    if (isForAnotherRequest(response, work.id)) {
        this->slots.release(lease, health::SlotOutcome::Failure, latency, now);
        this->observe(work, server, health::Observation::Failure, latency, now);
        return WorkOutcome::refused(Reason::IncompleteAnswer, Execution::Unknown);
    }
    if (response.status == 503 && findHeader(response.headers, "X-Not-Run") == "1") {
        this->slots.release(lease, health::SlotOutcome::Shed, latency, now);
        return WorkOutcome::refused(Reason::ServerShed, Execution::NotRun, BusyRetryAfter);
    }
    const bool failed = response.status >= 500;
    this->slots.release(lease, failed ? health::SlotOutcome::Failure : health::SlotOutcome::Success, latency, now);
    this->observe(work, server, failed ? health::Observation::Failure : health::Observation::Success, latency, now);
    return WorkOutcome::answered(std::move(outcome.response).value());
}

} // namespace rhubarbtiller::host
