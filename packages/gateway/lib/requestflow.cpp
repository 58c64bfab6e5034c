#include "requestflow.h"

#include <rhubarbtiller/telemetry/log.h>

#include <asio/post.hpp>

#include <algorithm>

namespace rhubarbtiller::gateway {

using balance::Evidence;
using std::chrono::milliseconds;

/// The word for a request that got a server's answer.
static constexpr std::string_view AnsweredOutcome = "answered";

/// Without a time from the caller or the route.
static constexpr Duration DefaultPatience = std::chrono::seconds(30);

/// The answer that the time is over leaves this long before the caller stops waiting.
static constexpr Duration AnswerMargin = milliseconds(20);

/// A server gets this much less time than the caller waits, so that its own answer still arrives.
static constexpr Duration ServerMargin = milliseconds(10);

/// With less time left, no server could answer.
static constexpr Duration LeastUsefulTime = milliseconds(40);

/// A request that can be repeated is sent to a second server when the first has not answered by then.
static constexpr Duration HedgeAfter = milliseconds(650);

/// Silence that counts as weak evidence against a server, and again after as long.
static constexpr Duration OverdueAfter = milliseconds(900);
static constexpr unsigned MaxOverdueNotes = 3;

/// Failed connections for one request; many are refused at once when the servers of a whole domain are down.
static constexpr unsigned MaxConnectFailures = 12;

/// Routes of this priority or a higher number leave a part of the retry budget to the others.
static constexpr int LeastUrgentPriority = 2;
static constexpr double LeastUrgentReserve = 0.35;

/// When callers may come again: servers free a slot about this often.
static constexpr Duration SaturatedRetryAfter = milliseconds(300);
static constexpr Duration NoServerRetryAfter = milliseconds(500);
static constexpr Duration NoConfigurationRetryAfter = milliseconds(300);

RequestFlow::RequestFlow(FlowContext &flowContext, std::shared_ptr<http::Responder> callerResponder)
    : flow(flowContext), responder(std::move(callerResponder)), timer(flowContext.context)
{
    ++this->flow.inProgress;
}

RequestFlow::~RequestFlow()
{
    --this->flow.inProgress;
}

void RequestFlow::start(http::HttpRequest message)
{
    this->arrivedAt = this->flow.clock.now();
    this->flow.lastRequestAt = this->arrivedAt;
    this->trace.emplace(this->flow.spans, message.headers, this->flow.clock, this->flow.random);
    auto decoded = this->flow.dialect.decode(std::move(message));
    if (const auto *const refusal = std::get_if<Refusal>(&decoded)) {
        this->refuse(*refusal);
        return;
    }
    this->request = std::move(std::get<CallerRequest>(decoded));
    this->state = this->flow.state.read();
    if (const auto refusal = this->admit()) {
        this->refuse(*refusal);
        return;
    }
    this->responder->onDisconnect([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerGone();
        }
    });
    if (const auto refusal = this->sendOrWait(false)) {
        this->refuse(*refusal);
        return;
    }
    this->armTimer();
}

int RequestFlow::priority() const
{
    return this->organisationPriority.value_or(this->route->priority);
}

/// Returns the part of the retry budget that is left to more urgent requests.
double RequestFlow::retryReserve() const
{
    return this->route->priority >= LeastUrgentPriority ? LeastUrgentReserve : 0;
}

/// Sends the request, or lets it wait for a server if nothing of it may have run; returns why neither is possible.
std::optional<Refusal> RequestFlow::sendOrWait(bool isRepeat)
{
    auto refusal = this->sendNext(isRepeat);
    if (refusal && refusal->reason == RefusalReason::Saturated && refusal->isNotRun) {
        this->waitsForRepeat = isRepeat;
        if (this->joinLine()) {
            return std::nullopt;
        }
    }
    return refusal;
}

/// Returns the word for spans.
static std::string_view attemptWord(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::NotConnected:
        return "not_connected";
    case AttemptEnd::Broken:
        return "broken";
    }
    return "unknown";
}

/// Joins the line; returns whether there is room.
bool RequestFlow::joinLine()
{
    const auto now = this->flow.clock.now();
    const auto patience = balance::waitingPatience(this->deadline - now);
    const auto hosts = std::max<std::size_t>(1, this->flow.directory.allEntryHosts(now).size());
    const auto limit = balance::waitingLimit(this->usableSlots, patience, hosts);
    this->ticket = this->flow.waiting.join(this->service, this->priority(), now + patience, limit, this->shared_from_this());
    return this->ticket != 0;
}

void RequestFlow::leaveLine()
{
    if (const auto own = std::exchange(this->ticket, 0); own != 0) {
        this->flow.waiting.leave(this->service, own);
    }
}

bool RequestFlow::tryStart()
{
    const auto refusal = this->sendNext(this->waitsForRepeat);
    if (refusal && refusal->reason == RefusalReason::Saturated) {
        return false;
    }
    this->leaveLine();
    if (refusal) {
        this->refuse(*refusal);
    } else {
        this->armTimer();
    }
    return true;
}

void RequestFlow::turnAway()
{
    this->ticket = 0;
    this->refuse({RefusalReason::Saturated, true, SaturatedRetryAfter});
}

/// Returns a refusal if the message is larger than callers may send.
static std::optional<Refusal> refusalForSize(const http::HttpRequest &message, const catalog::RequestSizeLimits &limits)
{
    // Separators and the end of the line come with each header.
    static constexpr std::size_t HeaderOverhead = 4;
    std::size_t header = 0;
    for (const auto &entry : message.headers) {
        header += entry.name.size() + entry.value.size() + HeaderOverhead;
    }
    if (header > limits.maxHeader.count()) {
        return Refusal{RefusalReason::HeaderTooLarge, true, {}};
    }
    if (message.body.size() > limits.maxBody.count()) {
        return Refusal{RefusalReason::BodyTooLarge, true, {}};
    }
    return std::nullopt;
}

std::optional<Refusal> RequestFlow::admit()
{
    if (!this->state || !this->state->catalog) {
        return Refusal{RefusalReason::NoConfiguration, true, NoConfigurationRetryAfter};
    }
    const auto &catalog = *this->state->catalog;
    if (const auto refusal = refusalForSize(this->request.message, catalog.limits())) {
        return refusal;
    }
    this->route = catalog.findRoute(this->request.virtualHost, this->request.path);
    if (this->route == nullptr) {
        return Refusal{RefusalReason::NoRoute, true, {}};
    }
    if (!this->route->isPublic || this->request.key) {
        const auto *const holder = this->request.key ? catalog.findOrganisation(*this->request.key) : nullptr;
        if (holder != nullptr) {
            this->organisation = holder->id;
            this->organisationPriority = holder->priority;
        } else if (!this->route->isPublic) {
            return Refusal{RefusalReason::UnknownKey, true, {}};
        }
    }
    const auto patience = std::min(this->request.patience.value_or(DefaultPatience),
                                   this->route->timeLimit > Duration(0) ? this->route->timeLimit : DefaultPatience);
    this->deadline = this->arrivedAt + patience - AnswerMargin;
    if (!this->organisation.isEmpty()) {
        this->quota = this->flow.quota.admit(this->organisation, this->arrivedAt);
        if (this->quota.retryAfter) {
            // Counts as a request of the service that is not served.
            this->service = balance::mainService(*this->route);
            return Refusal{RefusalReason::OverQuota, true, this->quota.retryAfter};
        }
        this->isAdmitted = true;
        this->flow.lastServedAt = this->arrivedAt;
    }
    this->service = this->flow.split.next(*this->route);
    this->flow.retries.onRequest(this->service, this->arrivedAt);
    return std::nullopt;
}

bool RequestFlow::isIdempotent() const
{
    return this->route->retrySemantics == catalog::RetrySemantics::Idempotent;
}

bool RequestFlow::hasOpenTry() const
{
    return std::any_of(this->tries.begin(), this->tries.end(), [](const Try &each) {
        return each.isOpen;
    });
}

bool RequestFlow::mayHaveRun() const
{
    return this->runs > 0;
}

/// Returns whether another server may get the request after one that may have run it.
bool RequestFlow::canRepeat() const
{
    return this->isIdempotent() && this->runs < this->route->maxAttempts;
}

/// Sends the request to the best server; returns why that is not possible.
std::optional<Refusal> RequestFlow::sendNext(bool isRepeat)
{
    const auto now = this->flow.clock.now();
    // Servers may have come or gone since the request arrived; the route stays as it was admitted.
    auto current = this->flow.state.read();
    const auto remaining = this->deadline - now;
    if (remaining < LeastUsefulTime) {
        return Refusal{RefusalReason::DeadlinePassed, !this->mayHaveRun(), {}};
    }
    balance::PlacementQuery query;
    query.service = this->service;
    query.ownDomain = this->flow.directory.own().failureDomain;
    query.canRepeat = this->isIdempotent() && this->route->maxAttempts > this->runs + 1;
    query.excluded = this->usedServers;
    query.entryHostsInDomain = this->flow.directory.entryHostsPerDomain();
    query.isEntryHost = this->flow.directory.isEntryHost();
    query.rankInDomain = this->flow.directory.lastRank();
    query.trials = this->flow.outcomes.trials(this->service, this->flow.board.isFailing(this->service, now), now);
    const auto placement = balance::chooseServer(query, *current, this->flow.board, this->flow.random, now);
    this->usableSlots = placement.usableSlots;
    if (placement.server == nullptr) {
        const bool isSaturated = placement.failure == balance::PlacementFailure::Saturated;
        return Refusal{isSaturated ? RefusalReason::Saturated : RefusalReason::NoServer,
                       !this->mayHaveRun(),
                       isSaturated ? SaturatedRetryAfter : NoServerRetryAfter};
    }
    if (isRepeat && this->arrivals > 0 && !this->flow.retries.tryRepeat(this->service, this->retryReserve(), now)) {
        return Refusal{RefusalReason::RetryBudgetSpent, !this->mayHaveRun(), SaturatedRetryAfter};
    }
    if (placement.isTrial) {
        this->flow.outcomes.onTrial(this->service);
    }
    const auto &server = *placement.server;
    AttemptHead head;
    head.server = server.id;
    head.organisation = this->organisation;
    head.remaining = remaining - ServerMargin;
    BackendCall call;
    call.id = this->request.id;
    call.server = server.id;
    call.address = server.address;
    call.message = this->flow.dialect.attempt(this->request, head);
    const auto span = this->trace->beginAttempt(call.message.headers, this->flow.clock, this->flow.random);
    const auto number = this->tries.size();
    this->usedServers.push_back(server.id);
    this->tries.push_back({server.id, now, nullptr, placement.failureProbability, placement.outstanding, 0, true, span});
    this->flow.board.onSent(server.id, now);
    ++this->arrivals;
    ++this->runs;
    auto attempt = this->flow.backend.send(std::move(call), [self = this->shared_from_this(), number](AttemptOutcome outcome) {
        self->onOutcome(number, std::move(outcome));
    });
    this->tries[number].attempt = std::move(attempt);
    return std::nullopt;
}

void RequestFlow::closeTry(Try &closed)
{
    if (std::exchange(closed.isOpen, false)) {
        this->flow.board.onFinished(closed.server);
        if (!this->flow.waiting.isEmpty()) {
            asio::post(this->flow.context, [&flow = this->flow] {
                flow.waiting.pump(flow.clock.now());
            });
        }
    }
}

void RequestFlow::observe(const Try &observed, Evidence evidence)
{
    this->flow.board.observe(observed.server, evidence, this->flow.clock.now());
    this->flow.whenObserved();
}

void RequestFlow::onOutcome(std::size_t number, AttemptOutcome outcome)
{
    auto &ended = this->tries[number];
    if (!ended.isOpen) {
        return;
    }
    this->closeTry(ended);
    this->trace->endAttempt(ended.span, ended.server, attemptWord(outcome.end), this->flow.clock.now());
    if (outcome.end != AttemptEnd::NotConnected) {
        this->flow.board.onConnected(ended.server);
    }
    switch (outcome.end) {
    case AttemptEnd::NotConnected:
        // Nothing was sent.
        this->flow.board.onConnectFailed(ended.server, this->flow.clock.now());
        --this->arrivals;
        --this->runs;
        ++this->connectFailures;
        this->onFailedTry(RefusalReason::NoServer);
        return;
    case AttemptEnd::Broken:
        this->observe(ended, Evidence::BrokenAnswer);
        telemetry::logEvent(telemetry::LogLevel::Info,
                            "attempt_broken",
                            {{"request", this->request.id.text()},
                             {"server", ended.server.text()},
                             {"reason", outcome.detail},
                             {"reused", outcome.wasReused},
                             {"failure_probability", ended.failureProbability},
                             {"outstanding", ended.outstanding}});
        this->onFailedTry(RefusalReason::OutcomeUnknown);
        return;
    case AttemptEnd::Answered:
        this->onAnswer(number, std::move(outcome.response));
        return;
    }
}

void RequestFlow::onAnswer(std::size_t number, http::HttpResponse response)
{
    const auto &answered = this->tries[number];
    switch (this->flow.dialect.meaningOf(response)) {
    case AnswerMeaning::Ran:
        this->flow.metrics.observeAddedLatency(answered.startedAt - this->arrivedAt);
        this->observe(answered, Evidence::Success);
        this->respond(this->flow.dialect.callerAnswer(std::move(response)), AnsweredOutcome);
        return;
    case AnswerMeaning::RanAndFailed:
        this->observe(answered, Evidence::ServerError);
        this->reportedFailure = std::move(response);
        this->onFailedTry(RefusalReason::OutcomeUnknown);
        return;
    case AnswerMeaning::NotRun:
        this->observe(answered, Evidence::Shed);
        --this->runs;
        this->onFailedTry(RefusalReason::NotAccepted);
        return;
    case AnswerMeaning::WrongServer:
        --this->runs;
        this->onFailedTry(RefusalReason::NotAccepted);
        return;
    case AnswerMeaning::Invalid:
        this->observe(answered, Evidence::BrokenAnswer);
        this->onFailedTry(RefusalReason::OutcomeUnknown);
        return;
    }
}

/// Goes on after a try that brought no answer for the caller: another server, or the end.
void RequestFlow::onFailedTry(RefusalReason reason)
{
    if (this->isFinished || this->hasOpenTry()) {
        // The other try may still answer.
        return;
    }
    const bool mayTryAgain = (this->runs == 0 || this->canRepeat()) && this->connectFailures <= MaxConnectFailures
        && this->usedServers.size() < this->route->maxAttempts + MaxConnectFailures;
    std::optional<Refusal> refusal = Refusal{reason, !this->mayHaveRun(), SaturatedRetryAfter};
    if (mayTryAgain) {
        refusal = this->sendOrWait(true);
    }
    if (!refusal) {
        this->armTimer();
        return;
    }
    if (this->reportedFailure) {
        this->respond(this->flow.dialect.callerAnswer(std::move(*this->reportedFailure)), "server_failed");
        return;
    }
    if (!refusal->isNotRun) {
        refusal->reason = reason;
    }
    this->refuse(*refusal);
}

void RequestFlow::onCallerGone()
{
    if (std::exchange(this->isFinished, true)) {
        return;
    }
    this->leaveLine();
    this->timer.cancel();
    this->cancelTries();
    if (!this->service.isEmpty()) {
        this->flow.outcomes.note(this->service, false, this->isIdempotent(), this->flow.clock.now());
    }
    this->record("caller_gone", 0);
}

void RequestFlow::armTimer()
{
    if (this->isFinished) {
        return;
    }
    const auto now = this->flow.clock.now();
    auto next = this->deadline;
    for (const auto &open : this->tries) {
        if (!open.isOpen) {
            continue;
        }
        if (!this->hasHedged && this->canRepeat()) {
            next = std::min(next, open.startedAt + HedgeAfter);
        }
        if (open.overdueNoted < MaxOverdueNotes) {
            next = std::min(next, open.startedAt + OverdueAfter * (open.overdueNoted + 1));
        }
    }
    this->timer.expires_after(std::max(Duration(0), next - now));
    this->timer.async_wait([self = this->shared_from_this()](std::error_code error) {
        if (!error) {
            self->onTimer();
        }
    });
}

void RequestFlow::onTimer()
{
    if (this->isFinished) {
        return;
    }
    const auto now = this->flow.clock.now();
    if (now >= this->deadline) {
        if (this->reportedFailure) {
            this->respond(this->flow.dialect.callerAnswer(std::move(*this->reportedFailure)), "server_failed");
            return;
        }
        this->refuse({RefusalReason::DeadlinePassed, !this->mayHaveRun(), {}});
        return;
    }
    bool wantsHedge = false;
    for (auto &open : this->tries) {
        if (!open.isOpen) {
            continue;
        }
        if (open.overdueNoted < MaxOverdueNotes && now >= open.startedAt + OverdueAfter * (open.overdueNoted + 1)) {
            ++open.overdueNoted;
            this->observe(open, Evidence::Overdue);
        }
        wantsHedge = wantsHedge || (!this->hasHedged && this->canRepeat() && now >= open.startedAt + HedgeAfter);
    }
    if (wantsHedge) {
        this->hasHedged = true;
        if (const auto refusal = this->sendNext(true)) {
            telemetry::logEvent(telemetry::LogLevel::Debug,
                                "hedge_not_sent",
                                {{"request", this->request.id.text()}, {"reason", refusalWord(refusal->reason)}});
        }
    }
    this->armTimer();
}

void RequestFlow::cancelTries()
{
    for (auto &open : this->tries) {
        if (open.isOpen) {
            this->closeTry(open);
            this->trace->endAttempt(open.span, open.server, "cancelled", this->flow.clock.now());
            if (open.attempt) {
                open.attempt->cancel();
            }
        }
    }
}

void RequestFlow::respond(http::HttpResponse response, std::string_view outcome)
{
    if (std::exchange(this->isFinished, true)) {
        return;
    }
    this->leaveLine();
    this->timer.cancel();
    this->cancelTries();
    if (!this->service.isEmpty()) {
        this->flow.outcomes.note(this->service, outcome == AnsweredOutcome, this->isIdempotent(), this->flow.clock.now());
    }
    const int status = response.status;
    this->responder->respond(std::move(response));
    this->record(outcome, status);
}

void RequestFlow::refuse(const Refusal &refusal)
{
    // What the request took from the organisation's rate is free again if nothing ran.
    if (this->isAdmitted && refusal.isNotRun) {
        this->flow.quota.takeBack(this->organisation, this->flow.clock.now());
    }
    this->respond(this->flow.dialect.refusal(refusal, this->request.id), refusalWord(refusal.reason));
}

void RequestFlow::record(std::string_view outcome, int status)
{
    const auto now = this->flow.clock.now();
    this->flow.metrics.countRequest(this->runs > 0 ? "ran" : "not_run", outcome);
    if (this->trace) {
        this->trace->end(this->request.id, outcome, status, now);
    }
    if (!this->flow.log.accepts(outcome == AnsweredOutcome, now)) {
        return;
    }
    RequestRecord line;
    line.request = this->request.id;
    line.outcome = outcome;
    line.status = status;
    line.length = now - this->arrivedAt;
    line.route = this->route != nullptr ? this->route->name.text() : "";
    line.organisation = this->organisation;
    line.service = this->service;
    for (const auto &each : this->tries) {
        line.servers += (line.servers.empty() ? "" : ",") + each.server.text();
        line.failureProbability = each.failureProbability;
        line.outstanding = each.outstanding;
    }
    line.quota = this->quota;
    if (this->state) {
        line.configuration = this->state->catalog ? this->state->catalog->version() : ConfigVersion();
        line.stateAge = this->arrivedAt - this->state->changedAt;
    }
    this->flow.log.write(line);
}

} // namespace rhubarbtiller::gateway
