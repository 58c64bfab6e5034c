#include <rhubarbtiller/host/homeservice.h>

#include "awaiting.h"

#include <rhubarbtiller/base/digest.h>
#include <rhubarbtiller/telemetry/log.h>

#include <rhubarbtiller/peer/messages.h>

#include <algorithm>

namespace rhubarbtiller::host {

using routing::Execution;
using routing::Reason;

/// Attempts of one request at most; more would spread the load of a sick pool over all its servers.
static constexpr int MaxAttempts = 4;

/// Tries of one request at most, including those that were refused before they ran.
static constexpr int MaxTries = 64;

/// Servers that are asked without a pause; more would multiply the messages when a whole pool refuses.
static constexpr std::size_t TriesPerRound = 4;

/// Servers that refused a moment ago are asked again after this pause.
static constexpr std::chrono::milliseconds ServerRetryPause{50};

/// An idempotent request leaves at least this part of its time for another attempt.
static constexpr int AttemptShare = 3;
static constexpr Duration LeastAttemptTime = std::chrono::milliseconds(100);

/// How long an idempotency key is remembered; callers repeat a request within hours, not days.
static constexpr auto ClaimLifetime = std::chrono::hours(24);
static constexpr Duration ClaimTimeout = std::chrono::milliseconds(1000);
static constexpr Duration StoreRetryAfter = std::chrono::seconds(5);
static constexpr Duration ServerRetryAfter = std::chrono::seconds(1);

HomeService::HomeService(const Parts &homeParts) : parts(homeParts)
{
}

std::optional<WorkOutcome> HomeService::check(const Work &work, const blackboard::RoutingView &view, const config::Route *&route) const
{
    const auto leases = this->parts.board.leases.read();
    if (!leases || !leases->freshness.holds(this->parts.clock.now())) {
        return WorkOutcome::refused(Reason::StaleConfiguration, Execution::NotRun, ServerRetryAfter);
    }
    const auto found = view.snapshot->routes().find(work.route);
    if (found == view.snapshot->routes().end()) {
        return WorkOutcome::refused(Reason::NoRoute, Execution::NotRun);
    }
    route = found->second.get();
    if (route->isOpenToAll) {
        return std::nullopt;
    }
    const auto *const grant = view.snapshot->findKey(work.keyDigest);
    if (!grant || grant->organisation != work.organisation) {
        return WorkOutcome::refused(Reason::UnknownKey, Execution::NotRun);
    }
    return std::nullopt;
}

asio::awaitable<WorkOutcome> HomeService::run(Work work)
{
    const auto view = this->parts.board.routing.read();
    if (!view) {
        co_return WorkOutcome::refused(Reason::StaleConfiguration, Execution::NotRun, ServerRetryAfter);
    }
    const config::Route *route = nullptr;
    if (auto refused = this->check(work, *view, route)) {
        co_return std::move(*refused);
    }
    std::optional<Admitted> admitted;
    if (auto refused = co_await this->admit(work, *view, admitted)) {
        co_return std::move(*refused);
    }
    std::optional<tablestore::IdempotencyClaim> claimed;
    if (!route->isIdempotent) {
        if (auto refused = co_await this->claim(work, claimed)) {
            co_return std::move(*refused);
        }
    }
    auto outcome = co_await this->attemptAll(work, *route);
    if (outcome.execution == Execution::NotRun) {
        if (admitted) {
            this->parts.rates.giveBack(admitted->slice, admitted->admission, this->parts.clock.now());
        }
        if (claimed) {
            this->parts.store.releaseIdempotencyKey(*claimed, this->parts.clock.now() + ClaimTimeout, [](Status) {
            });
        }
    }
    co_return outcome;
}

asio::awaitable<std::optional<WorkOutcome>>
HomeService::admit(const Work &work, const blackboard::RoutingView &view, std::optional<Admitted> &admitted)
{
    const auto *const organisation = view.snapshot->findOrganisation(work.organisation);
    if (!organisation) {
        // Routes that are open to all have a rate only if an organisation row says so.
        const bool isOpen = work.keyDigest.isEmpty();
        co_return isOpen ? std::nullopt : std::optional(WorkOutcome::refused(Reason::UnknownKey, Execution::NotRun));
    }
    const auto slices = membership::sliceCount(organisation->rate);
    if (work.slice >= slices) {
        co_return WorkOutcome::refused(Reason::NoHome, Execution::NotRun);
    }
    const limits::RateSlice slice{work.organisation, work.slice, view.placement->shardOf(work.organisation, work.slice)};
    const auto limit = limits::TokenLimit{organisation->rate, organisation->burst}.dividedBy(slices);
    auto admission = this->parts.rates.admit(slice, limit, this->parts.clock.now());
    if (admission.verdict == limits::AdmissionVerdict::RateExceeded && slices > 1) {
        if (co_await this->borrow(work, view, *organisation, slice)) {
            admission = this->parts.rates.admit(slice, limit, this->parts.clock.now());
        }
    }
    if (admission.verdict == limits::AdmissionVerdict::NotResponsible) {
        co_return WorkOutcome::refused(Reason::NoHome, Execution::NotRun, ServerRetryAfter);
    }
    if (admission.verdict == limits::AdmissionVerdict::RateExceeded) {
        const bool never = admission.retryAfter == Duration::max();
        co_return WorkOutcome::refused(Reason::RateExceeded, Execution::NotRun, never ? std::nullopt : std::optional(admission.retryAfter));
    }
    admitted = Admitted{slice, admission};
    co_return std::nullopt;
}

asio::awaitable<bool> HomeService::borrow(const Work &work,
                                          const blackboard::RoutingView &view,
                                          const config::Organisation &organisation,
                                          const limits::RateSlice &slice)
{
    const auto slices = membership::sliceCount(organisation.rate);
    const auto limit = limits::TokenLimit{organisation.rate, organisation.burst}.dividedBy(slices);
    const auto call = this->parts.borrower.onRefused(work.organisation, work.slice, slices, limit, this->parts.clock.now());
    if (!call) {
        co_return false;
    }
    const auto lenderShard = view.placement->shardOf(work.organisation, call->lenderSlice);
    const auto leases = this->parts.board.leases.read();
    RequestCount lent{0};
    if (leases && leases->owns(lenderShard, this->parts.clock.now())) {
        lent = this->lend(work.organisation, call->lenderSlice, call->wanted);
    } else if (const auto *const lender = this->ownerOf(lenderShard, view, {this->parts.self})) {
        peer::wire::BorrowRequest body;
        body.organisation = work.organisation.text();
        body.slice = static_cast<std::int32_t>(call->lenderSlice);
        body.wanted = static_cast<std::int32_t>(call->wanted.count());
        peer::wire::Envelope message;
        message.__set_borrowRequest(body);
        auto outcome = co_await awaitHandler<peer::PeerOutcome>([&](auto handler) {
            this->parts.network.call(lender->peerAddress, message, call->deadline, std::move(handler));
        });
        if (outcome.reply && (*outcome.reply)->__isset.borrowReply) {
            lent = RequestCount((*outcome.reply)->borrowReply.lent);
        }
    }
    const auto now = this->parts.clock.now();
    const auto loan = this->parts.borrower.onReply(call->id, lent, now);
    if (!loan || loan->tokens.count() < 1) {
        co_return false;
    }
    this->parts.rates.credit(slice, limit, loan->tokens, now);
    co_return true;
}

RequestCount HomeService::lend(const OrganisationId &organisationId, std::uint32_t sliceNumber, RequestCount wanted)
{
    const auto view = this->parts.board.routing.read();
    const auto *const organisation = view ? view->snapshot->findOrganisation(organisationId) : nullptr;
    if (!organisation || sliceNumber >= membership::sliceCount(organisation->rate)) {
        return RequestCount(0);
    }
    const limits::RateSlice slice{organisationId, sliceNumber, view->placement->shardOf(organisationId, sliceNumber)};
    const auto limit = limits::TokenLimit{organisation->rate, organisation->burst}.dividedBy(membership::sliceCount(organisation->rate));
    const auto loanTime = membership::withClockDrift(limits::BorrowSettings{}.loanTime);
    return this->parts.rates.lend(slice, limit, wanted, loanTime, this->parts.clock.now());
}

asio::awaitable<std::optional<WorkOutcome>> HomeService::claim(const Work &work, std::optional<tablestore::IdempotencyClaim> &claimed)
{
    const auto key = findHeader(work.request.headers, "Idempotency-Key");
    if (key.empty()) {
        co_return std::nullopt;
    }
    tablestore::IdempotencyClaim wanted;
    wanted.organisation = work.organisation;
    wanted.keyDigest = sha256Hex(key);
    wanted.requestDigest = sha256Hex(work.request.method + " " + work.request.target + "\n" + work.request.body.text());
    wanted.expiry = this->parts.clock.wallNow() + ClaimLifetime;
    wanted.attempt = work.id;
    const auto now = this->parts.clock.now();
    auto result = co_await awaitHandler<tablestore::ClaimResult>([&](auto handler) {
        this->parts.store.claimIdempotencyKey(wanted, std::min(work.deadline, now + ClaimTimeout), std::move(handler));
    });
    switch (result.outcome) {
    case tablestore::ClaimOutcome::Claimed:
        claimed = std::move(wanted);
        co_return std::nullopt;
    case tablestore::ClaimOutcome::AlreadyClaimed:
        co_return WorkOutcome::refused(Reason::DuplicateRequest, Execution::NotRun);
    case tablestore::ClaimOutcome::Unknown:
        break;
    }
    // The claim may have been written: it is released so that the caller can repeat the request with the same key.
    this->parts.store.releaseIdempotencyKey(wanted, this->parts.clock.now() + ClaimTimeout, [](Status) {
    });
    co_return WorkOutcome::refused(Reason::StoreUnavailable, Execution::NotRun, StoreRetryAfter);
}

static MonotonicTime attemptDeadline(const Work &work, const config::Route &route, int started, MonotonicTime now)
{
    if (!route.isIdempotent || started + 1 >= MaxAttempts) {
        return work.deadline;
    }
    return std::min(work.deadline, now + std::max((work.deadline - now) / AttemptShare, LeastAttemptTime));
}

static bool isWorthAnotherAttempt(const WorkOutcome &outcome)
{
    if (outcome.response) {
        return outcome.response->status >= 500;
    }
    const auto reason = outcome.refusal.reason;
    return reason != Reason::Cancelled && reason != Reason::UnknownKey && reason != Reason::NoRoute;
}

asio::awaitable<WorkOutcome> HomeService::attemptAll(const Work &work, const config::Route &route)
{
    routing::OutcomeTracker tracker(route.isIdempotent);
    std::set<BackendServerId> tried;
    auto last = WorkOutcome::refused(Reason::NoServer, Execution::NotRun, ServerRetryAfter);
    this->parts.retries.onRequest(route.pool, this->parts.clock.now());
    int started = 0;
    for (int number = 0; number < MaxTries && started < MaxAttempts; ++number) {
        const auto now = this->parts.clock.now();
        if (now >= work.deadline || work.cancel->isCancelled()) {
            break;
        }
        const auto view = this->parts.board.routing.read();
        const auto *const pool = view->findPool(route.pool);
        const bool mayTryMore = pool && tried.size() < TriesPerRound;
        const auto *const server = mayTryMore ? this->parts.chooser.choose(*pool, tried, now) : nullptr;
        if (!server) {
            // The servers refused before running anything, as when several of them change their owner at once.
            if (tried.empty() || tracker.execution() != Execution::NotRun || now + ServerRetryPause >= work.deadline) {
                break;
            }
            tried.clear();
            co_await pauseFor(ServerRetryPause);
            continue;
        }
        // An attempt that was refused before it ran costs the pool nothing, so only repeated work uses the budget.
        if (tracker.execution() != Execution::NotRun && !this->parts.retries.tryRetry(route.pool, now)) {
            break;
        }
        tried.insert(server->server.id);
        Work attemptWork = work;
        attemptWork.id = RequestId(work.id.text() + "." + std::to_string(number));
        attemptWork.deadline = attemptDeadline(work, route, started, now);
        server->load->onSent();
        auto outcome = co_await this->attempt(attemptWork, *server, *view, attemptWork.deadline);
        server->load->onEnded();
        this->noteLoad(*server, outcome);
        tracker.onAttemptEnded(outcome.execution);
        started += outcome.execution == Execution::NotRun ? 0 : 1;
        // A whole answer, even of a failure, tells the caller more than a later refusal.
        if (outcome.response || !last.response) {
            last = std::move(outcome);
        }
        if (!isWorthAnotherAttempt(last) || !tracker.mayAttemptAgain()) {
            break;
        }
    }
    last.execution = tracker.execution();
    last.refusal.execution = last.execution;
    co_return last;
}

void HomeService::noteLoad(const routing::ServerView &server, const WorkOutcome &outcome) const
{
    const auto now = this->parts.clock.now();
    if (outcome.load) {
        server.load->onReport(*outcome.load, now);
    }
    if (!outcome.response && outcome.refusal.reason != Reason::ServerBusy) {
        server.load->onRefused(now);
    }
}

const config::Host *HomeService::ownerOf(const ShardId &shard, const blackboard::RoutingView &view, const std::set<HostId> &tried) const
{
    const auto now = this->parts.clock.now();
    const auto leaving = this->parts.board.leaving.read();
    const config::Host *fallback = nullptr;
    for (const auto &guardian : view.placement->guardians(shard)) {
        const auto host = view.snapshot->hosts().find(guardian);
        if (tried.contains(guardian) || host == view.snapshot->hosts().end()) {
            continue;
        }
        if (!leaving->hosts.contains(guardian) && !this->parts.forwarder.health().isSuspect(guardian, now)) {
            return &host->second;
        }
        fallback = fallback ? fallback : &host->second;
    }
    return fallback;
}

asio::awaitable<WorkOutcome> HomeService::attempt(const Work &work,
                                                  const routing::ServerView &server,
                                                  const blackboard::RoutingView &view,
                                                  MonotonicTime attemptDeadline)
{
    const auto leases = this->parts.board.leases.read();
    if (leases && leases->owns(server.shard, this->parts.clock.now())) {
        co_return co_await this->parts.serverOwner.run(work, server.server.id);
    }
    std::set<HostId> tried{this->parts.self};
    auto last = WorkOutcome::refused(Reason::NotOwner, Execution::NotRun, ServerRetryAfter);
    int hop = 0;
    while (const auto *const owner = this->ownerOf(server.shard, view, tried)) {
        tried.insert(owner->id);
        Work hopWork = work;
        hopWork.id = RequestId(work.id.text() + "-" + std::to_string(hop++));
        last = co_await this->parts.forwarder.forward(*owner, std::move(hopWork), server.server.id, attemptDeadline);
        // Only the refusal of a host that does not own the server is a reason to ask another guardian.
        if (last.execution != Execution::NotRun || last.refusal.reason != Reason::NotOwner || last.response) {
            break;
        }
    }
    co_return last;
}

} // namespace rhubarbtiller::host
