#include "requestflow.h"

#include <rhubarbtiller/telemetry/log.h>

#include <asio/post.hpp>

#include <algorithm>

namespace rhubarbtiller::gateway {

using balance::Evidence;
using std::chrono::milliseconds;

/// The outcome of a request to which a server responded.
static constexpr std::string_view AnsweredOutcome = "answered";

/// Used in place of a timeout that the caller or the route does not set; the smaller of the two applies.
static constexpr Duration DefaultTimeout = std::chrono::seconds(30);

/// The timeout response is sent this long before the caller's deadline.
static constexpr Duration ResponseMargin = milliseconds(20);

/// A server's deadline is this much earlier than that of the request, so that the server's own response still arrives.
static constexpr Duration ServerMargin = milliseconds(10);

/// With less time left, no server can respond before the deadline.
static constexpr Duration MinRemainingTime = milliseconds(40);

/// Delay of the hedged request: a retryable request goes to a second server if the first has not responded by then.
static constexpr Duration HedgeDelay = milliseconds(650);

/// An attempt without a response for this long counts as weak evidence against the server, and again after each further interval.
static constexpr Duration OverdueInterval = milliseconds(900);
static constexpr unsigned MaxOverdueCount = 3;

/// Number of failed connections up to which a request is still retried; many fail at once when the servers of a whole failure
/// domain are down.
static constexpr unsigned MaxConnectFailures = 12;

/// Routes of this priority or a higher number leave a part of the retry budget to more urgent routes.
static constexpr int FirstLowPriority = 2;
static constexpr double LowPriorityRetryReserve = 0.35;

/// Retry delays that refusals announce to callers of routes without a latency objective.
static constexpr Duration SaturatedRetryAfter = milliseconds(300);
static constexpr Duration NoServerRetryAfter = milliseconds(500);
static constexpr Duration NoConfigurationRetryAfter = milliseconds(300);

/// The last responses are sent this long before the process ends.
static constexpr Duration LastResponseMargin = milliseconds(100);

/// An idempotent request is admitted during a planned stop if this much time is left; the caller may repeat it elsewhere.
static constexpr Duration UsualServiceTime = milliseconds(1000);

/// Other hosts serve while this one stops.
static constexpr Duration StoppingRetryAfter = milliseconds(0);

/// Returns the time of the last responses of a process that ends at \p endsAt.
static MonotonicTime lastResponseAt(MonotonicTime endsAt)
{
    return endsAt == MonotonicTime::max() ? endsAt : endsAt - LastResponseMargin;
}

RequestFlow::RequestFlow(FlowContext &flowContext, std::shared_ptr<http::Responder> callerResponder)
    : flow(flowContext), openFlows(flowContext.flows), responder(std::move(callerResponder)), timer(flowContext.context)
{
    this->openFlows->insert(this);
}

RequestFlow::~RequestFlow()
{
    this->openFlows->erase(this);
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
            self->onCallerDisconnected();
        }
    });
    if (const auto refusal = this->sendOrEnqueue(false)) {
        this->refuse(*refusal);
        return;
    }
    this->armTimer();
}

int RequestFlow::priority() const
{
    return this->organisationPriority.value_or(this->route->priority);
}

/// Returns the part of the retry budget that is reserved for more urgent requests.
double RequestFlow::retryReserve() const
{
    return this->route->priority >= FirstLowPriority ? LowPriorityRetryReserve : 0;
}

/// Sends the request; if no server has a free slot, or other requests go first, and the request cannot have run yet, queues it.
///
/// Returns a refusal if neither is possible.
std::optional<Refusal> RequestFlow::sendOrEnqueue(bool isRetry)
{
    const auto now = this->flow.clock.now();
    auto &requests = this->flow.dispatchQueue.requests();
    const bool areOthersWaiting = requests.isWaiting(this->service);
    if (!isRetry) {
        requests.onArrival(this->service, this->flow.serviceTimes.expected(this->route->name, this->service, now), now);
        if (!areOthersWaiting) {
            this->flow.timeLimits.observe(this->route->name, this->deadline - this->arrivedAt, now);
        }
    }
    this->isQueuedRetry = isRetry;
    std::optional<balance::QueuedRequest> queued;
    if (areOthersWaiting && !this->mayHaveRun()) {
        queued = this->queuedRequest(now);
        if (requests.hasWaitingBefore(this->service, *queued, now)) {
            return this->joinQueue(*queued, now) ? std::nullopt
                                                 : std::optional(Refusal{RefusalReason::Saturated, true, SaturatedRetryAfter});
        }
    }
    auto refusal = this->sendNext(isRetry);
    if (refusal && refusal->reason == RefusalReason::Saturated && refusal->isNotRun) {
        this->reportUsableSlots(now);
        if (this->joinQueue(queued ? *queued : this->queuedRequest(now), now)) {
            return std::nullopt;
        }
    }
    if (!refusal && queued) {
        requests.onStartedDirectly(this->service, *queued, now);
    }
    return refusal;
}

/// Returns the name of an attempt's result in trace spans.
static std::string_view attemptEndName(AttemptEnd end)
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

balance::QueuedRequest RequestFlow::queuedRequest(MonotonicTime now) const
{
    const auto sinceFirstAttempt = this->flow.timeLimits.elapsed(this->route->name, this->deadline - this->arrivedAt, now);
    return balance::makeQueuedRequest({*this->route,
                                       this->service,
                                       this->organisation,
                                       this->priority(),
                                       this->arrivedAt,
                                       this->deadline,
                                       sinceFirstAttempt,
                                       !this->triedServers.empty()},
                                      this->flow.serviceTimes,
                                      now);
}

/// Tells the queue how many slots the last placement found. A retry leaves out servers, so that its count is too low.
void RequestFlow::reportUsableSlots(MonotonicTime now)
{
    if (this->triedServers.empty()) {
        const auto hosts = std::max<std::size_t>(1, this->flow.directory.allEntryHosts(now).size());
        this->flow.dispatchQueue.requests().setUsableSlots(this->service, this->usableSlots, hosts);
    }
}

/// Queues the request; returns false if it could not start in time.
bool RequestFlow::joinQueue(const balance::QueuedRequest &queued, MonotonicTime now)
{
    const auto admission = this->flow.dispatchQueue.enqueue(this->service, queued, this->shared_from_this(), now);
    this->ticket = admission.ticket;
    if (admission.refusal) {
        this->onQueueRefusal(*admission.refusal);
    }
    return this->ticket != 0;
}

void RequestFlow::leaveQueue()
{
    if (const auto own = std::exchange(this->ticket, 0); own != 0) {
        this->flow.dispatchQueue.remove(this->service, own);
    }
}

bool RequestFlow::tryStart()
{
    // The dispatch queue removes a request that starts.
    const auto own = std::exchange(this->ticket, 0);
    const auto refusal = this->sendNext(this->isQueuedRetry);
    if (refusal && refusal->reason == RefusalReason::Saturated) {
        this->ticket = own;
        this->reportUsableSlots(this->flow.clock.now());
        return false;
    }
    if (refusal) {
        this->refuse(*refusal);
    } else {
        this->armTimer();
    }
    return true;
}

void RequestFlow::onRejected(const balance::QueueRefusal &refusal)
{
    this->ticket = 0;
    this->onQueueRefusal(refusal);
    this->refuse({RefusalReason::Saturated, true, SaturatedRetryAfter});
}

void RequestFlow::onQueueRefusal(const balance::QueueRefusal &refusal)
{
    this->queueRefusal = refusal;
    this->flow.metrics.countQueueRefusal(this->priority(), balance::queueRefusalCauseName(refusal.cause));
}

/// Returns when the caller of a refused request should return, from the rate at which capacity becomes free.
std::optional<Duration> RequestFlow::retryAfter(const Refusal &refusal, MonotonicTime now)
{
    if (!refusal.isNotRun || !refusal.retryAfter || this->route == nullptr || this->route->latencyObjective <= Duration(0)) {
        return refusal.retryAfter;
    }
    const auto remaining = this->deadline - now;
    const bool isForCapacity = refusal.reason == RefusalReason::Saturated || refusal.reason == RefusalReason::NotAccepted
        || refusal.reason == RefusalReason::RetryBudgetSpent;
    if (!isForCapacity) {
        const auto longest = balance::longestReturnDelay(remaining);
        return longest > Duration(0) ? std::optional(std::min(*refusal.retryAfter, longest)) : std::nullopt;
    }
    const auto &times = this->flow.serviceTimes;
    return this->flow.returns.plan(
        this->service,
        {times.expected(this->route->name, this->service, now), times.expectedResponse(this->route->name, this->service, now), remaining},
        this->flow.dispatchQueue.requests().capacity(this->service, now),
        this->flow.random,
        now);
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
        const auto *const keyOwner = this->request.key ? catalog.findOrganisation(*this->request.key) : nullptr;
        if (keyOwner != nullptr) {
            this->organisation = keyOwner->id;
            this->organisationPriority = keyOwner->priority;
        } else if (!this->route->isPublic) {
            return Refusal{RefusalReason::UnknownKey, true, {}};
        }
    }
    const auto timeout = std::min(this->request.timeout.value_or(DefaultTimeout),
                                  this->route->timeLimit > Duration(0) ? this->route->timeLimit : DefaultTimeout);
    this->deadline = this->arrivedAt + timeout - ResponseMargin;
    if (!this->canEndInTime()) {
        return Refusal{RefusalReason::Stopping, true, StoppingRetryAfter};
    }
    this->deadline = std::min(this->deadline, lastResponseAt(this->flow.endsAt));
    if (!this->organisation.isEmpty()) {
        this->quota = this->flow.quota.admit(this->organisation, this->arrivedAt);
        if (this->quota.retryAfter) {
            // Counts as an unserved request of the service.
            this->service = balance::mainService(*this->route);
            return Refusal{RefusalReason::OverQuota, true, this->quota.retryAfter};
        }
        this->isAdmitted = true;
        this->flow.lastAdmittedAt = this->arrivedAt;
    }
    this->service = this->flow.split.next(*this->route);
    this->flow.retryBudget.onRequest(this->service, this->arrivedAt);
    return std::nullopt;
}

/// Returns whether a planned stop leaves enough time: all that the request may take, if it must not be repeated.
bool RequestFlow::canEndInTime() const
{
    const auto end = this->isIdempotent() ? std::min(this->deadline, this->arrivedAt + UsualServiceTime) : this->deadline;
    return end <= lastResponseAt(this->flow.endsAt);
}

void RequestFlow::onStopPlanned()
{
    if (this->isFinished) {
        return;
    }
    this->deadline = std::min(this->deadline, lastResponseAt(this->flow.endsAt));
    this->armTimer();
}

bool RequestFlow::isIdempotent() const
{
    return this->route->retrySemantics == catalog::RetrySemantics::Idempotent;
}

bool RequestFlow::hasOpenAttempt() const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(), [](const Attempt &each) {
        return each.isOpen;
    });
}

bool RequestFlow::mayHaveRun() const
{
    return this->possibleRuns > 0;
}

/// Returns whether the request may be sent to another server although one may have run it.
bool RequestFlow::canRetry() const
{
    return this->isIdempotent() && this->possibleRuns < this->route->maxAttempts;
}

/// Sends the request to the best server; returns a refusal if that is not possible.
std::optional<Refusal> RequestFlow::sendNext(bool isRetry)
{
    const auto now = this->flow.clock.now();
    // The set of servers may have changed since the request arrived; the route stays that of the admission.
    auto current = this->flow.state.read();
    const auto remaining = this->deadline - now;
    if (remaining < MinRemainingTime) {
        return Refusal{RefusalReason::DeadlinePassed, !this->mayHaveRun(), {}};
    }
    balance::PlacementQuery query;
    query.service = this->service;
    query.ownDomain = this->flow.directory.own().failureDomain;
    query.isRetryable = this->isIdempotent() && this->route->maxAttempts > this->possibleRuns + 1;
    query.excluded = this->triedServers;
    query.entryHostsInDomain = this->flow.directory.entryHostsPerDomain();
    query.domainReach = this->flow.directory.ownDomainReach();
    query.isEntryHost = this->flow.directory.isEntryHost();
    query.rankInDomain = this->flow.directory.lastRank();
    query.trialPolicy = this->flow.outcomes.trialPolicy(this->service, this->flow.board.isFailing(this->service, now), now);
    const auto placement = this->place(query, *current, now);
    this->usableSlots = placement.usableSlots;
    if (placement.server == nullptr) {
        const bool isSaturated = placement.failure == balance::PlacementFailure::Saturated;
        return Refusal{isSaturated ? RefusalReason::Saturated : RefusalReason::NoServer,
                       !this->mayHaveRun(),
                       isSaturated ? SaturatedRetryAfter : NoServerRetryAfter};
    }
    if (isRetry && this->sentAttempts > 0 && !this->flow.retryBudget.tryRetry(this->service, this->retryReserve(), now)) {
        return Refusal{RefusalReason::RetryBudgetSpent, !this->mayHaveRun(), SaturatedRetryAfter};
    }
    if (placement.isTrial) {
        this->flow.outcomes.onTrialSent(this->service);
    }
    const auto &server = *placement.server;
    AttemptParameters parameters;
    parameters.server = server.id;
    parameters.organisation = this->organisation;
    parameters.remaining = remaining - ServerMargin;
    BackendCall call;
    call.id = this->request.id;
    call.server = server.id;
    call.address = server.address;
    call.message = this->flow.dialect.encodeAttempt(this->request, parameters);
    const auto span = this->trace->beginAttempt(call.message.headers, this->flow.clock, this->flow.random);
    const auto number = this->attempts.size();
    this->triedServers.push_back(server.id);
    const auto rolloutTicket = this->flow.rollouts == nullptr ? 0 : this->flow.rollouts->onSent(server, this->route->name, number == 0);
    this->hasUsedRolloutTarget = this->hasUsedRolloutTarget || query.versions.rule == balance::VersionRule::OnlyTarget;
    this->attempts.push_back(
        {server.id, server.address, now, nullptr, placement.failureProbability, placement.outstanding, 0, true, span, rolloutTicket});
    this->flow.board.onSent(server.id, now);
    ++this->sentAttempts;
    ++this->possibleRuns;
    auto attempt = this->flow.backend.send(std::move(call), [self = this->shared_from_this(), number](AttemptOutcome outcome) {
        self->onOutcome(number, std::move(outcome));
    });
    this->attempts[number].attempt = std::move(attempt);
    return std::nullopt;
}

/// Chooses a server among those that a roll-out of the service allows.
balance::Placement RequestFlow::place(balance::PlacementQuery &query, const catalog::FleetState &fleet, MonotonicTime now)
{
    if (this->flow.rollouts == nullptr) {
        return balance::chooseServer(query, fleet, this->flow.board, this->flow.random, now);
    }
    query.versions = this->flow.rollouts->filterFor(this->service, this->isIdempotent(), this->hasUsedRolloutTarget);
    auto placement = balance::chooseServer(query, fleet, this->flow.board, this->flow.random, now);
    if (placement.server != nullptr) {
        return placement;
    }
    if (auto alternative = this->flow.rollouts->alternativeTo(this->service, query.versions)) {
        query.versions = std::move(*alternative);
        placement = balance::chooseServer(query, fleet, this->flow.board, this->flow.random, now);
    }
    return placement;
}

void RequestFlow::recordRolloutResult(const Attempt &ended, const AttemptOutcome &outcome)
{
    if (ended.rolloutTicket == 0 || outcome.end == AttemptEnd::NotConnected) {
        return;
    }
    auto result = balance::RolloutResult::Broken;
    if (outcome.end == AttemptEnd::Answered) {
        switch (this->flow.dialect.classify(outcome.response)) {
        case BackendResponseClass::Ran:
            result = balance::RolloutResult::Success;
            break;
        case BackendResponseClass::RanAndFailed:
            result = balance::RolloutResult::Failure;
            break;
        case BackendResponseClass::NotRun:
        case BackendResponseClass::WrongServer:
            result = balance::RolloutResult::Unknown;
            break;
        case BackendResponseClass::Invalid:
            break;
        }
    }
    this->flow.rollouts->onEnded(this->service, ended.rolloutTicket, result);
}

void RequestFlow::closeAttempt(Attempt &closed)
{
    if (std::exchange(closed.isOpen, false)) {
        if (closed.rolloutTicket != 0) {
            this->flow.rollouts->onEnded(this->service, closed.rolloutTicket, balance::RolloutResult::Unknown);
        }
        this->flow.board.onFinished(closed.server);
        if (!this->flow.dispatchQueue.isEmpty()) {
            asio::post(this->flow.context, [&flow = this->flow] {
                flow.dispatchQueue.dispatch(flow.clock.now());
            });
        }
    }
}

void RequestFlow::observe(const Attempt &observed, Evidence evidence)
{
    this->flow.board.observe(observed.server, evidence, this->flow.clock.now());
    this->flow.onEvidenceRecorded();
}

void RequestFlow::recordServiceTime(const Attempt &answered)
{
    const auto now = this->flow.clock.now();
    const auto *const server = this->flow.board.find(answered.server);
    const auto slots = server != nullptr ? server->slots.count() : 1;
    this->flow.serviceTimes.observe(
        this->route->name, this->service, {now - answered.startedAt, answered.outstanding, std::max(1U, slots)}, now);
    this->flow.dispatchQueue.requests().onCompleted(
        this->service, this->flow.serviceTimes.expected(this->route->name, this->service, now), now);
}

void RequestFlow::onOutcome(std::size_t number, AttemptOutcome outcome)
{
    auto &ended = this->attempts[number];
    if (!ended.isOpen) {
        return;
    }
    this->recordRolloutResult(ended, outcome);
    this->closeAttempt(ended);
    this->trace->endAttempt(ended.span, ended.server, attemptEndName(outcome.end), this->flow.clock.now());
    if (outcome.end != AttemptEnd::NotConnected) {
        this->flow.board.onConnected(ended.server);
    }
    switch (outcome.end) {
    case AttemptEnd::NotConnected:
        // Nothing was sent.
        this->flow.board.onConnectFailed(ended.server, this->flow.clock.now());
        --this->sentAttempts;
        --this->possibleRuns;
        ++this->connectFailures;
        this->onFailedAttempt(RefusalReason::NoServer);
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
        this->onFailedAttempt(RefusalReason::OutcomeUnknown);
        return;
    case AttemptEnd::Answered:
        this->onResponse(number, std::move(outcome.response));
        return;
    }
}

void RequestFlow::onResponse(std::size_t number, http::HttpResponse response)
{
    const auto &answered = this->attempts[number];
    switch (this->flow.dialect.classify(response)) {
    case BackendResponseClass::Ran:
        this->flow.metrics.observeAddedLatency(answered.startedAt - this->arrivedAt);
        this->observe(answered, Evidence::Success);
        this->recordServiceTime(answered);
        this->respond(this->flow.dialect.callerResponse(std::move(response)), AnsweredOutcome);
        return;
    case BackendResponseClass::RanAndFailed:
        this->observe(answered, Evidence::ServerError);
        this->reportedFailure = std::move(response);
        this->onFailedAttempt(RefusalReason::OutcomeUnknown);
        return;
    case BackendResponseClass::NotRun:
        this->observe(answered, Evidence::Shed);
        --this->possibleRuns;
        this->onFailedAttempt(RefusalReason::NotAccepted);
        return;
    case BackendResponseClass::WrongServer:
        this->flow.board.onWrongServer(answered.server, answered.address, this->flow.clock.now());
        --this->possibleRuns;
        this->onFailedAttempt(RefusalReason::NotAccepted);
        return;
    case BackendResponseClass::Invalid:
        this->observe(answered, Evidence::BrokenAnswer);
        this->onFailedAttempt(RefusalReason::OutcomeUnknown);
        return;
    }
}

/// Handles an attempt without a usable response: retries on another server or ends the request.
void RequestFlow::onFailedAttempt(RefusalReason reason)
{
    if (this->isFinished || this->hasOpenAttempt()) {
        // The other attempt may still succeed.
        return;
    }
    const bool shouldRetry = (this->possibleRuns == 0 || this->canRetry()) && this->connectFailures <= MaxConnectFailures
        && this->triedServers.size() < this->route->maxAttempts + MaxConnectFailures;
    std::optional<Refusal> refusal = Refusal{reason, !this->mayHaveRun(), SaturatedRetryAfter};
    if (shouldRetry) {
        refusal = this->sendOrEnqueue(true);
    }
    if (!refusal) {
        this->armTimer();
        return;
    }
    if (this->reportedFailure) {
        this->respond(this->flow.dialect.callerResponse(std::move(*this->reportedFailure)), "server_failed");
        return;
    }
    if (!refusal->isNotRun) {
        refusal->reason = reason;
    }
    this->refuse(*refusal);
}

void RequestFlow::onCallerDisconnected()
{
    if (std::exchange(this->isFinished, true)) {
        return;
    }
    this->leaveQueue();
    this->timer.cancel();
    this->cancelAttempts();
    this->request.message.body = {};
    this->recordOutcome(false);
    this->record("caller_gone", 0);
}

void RequestFlow::armTimer()
{
    if (this->isFinished) {
        return;
    }
    const auto now = this->flow.clock.now();
    auto next = this->deadline;
    for (const auto &open : this->attempts) {
        if (!open.isOpen) {
            continue;
        }
        if (!this->hasHedged && this->canRetry()) {
            next = std::min(next, open.startedAt + HedgeDelay);
        }
        if (open.overdueCount < MaxOverdueCount) {
            next = std::min(next, open.startedAt + OverdueInterval * (open.overdueCount + 1));
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
            this->respond(this->flow.dialect.callerResponse(std::move(*this->reportedFailure)), "server_failed");
            return;
        }
        this->refuse({RefusalReason::DeadlinePassed, !this->mayHaveRun(), {}});
        return;
    }
    bool shouldHedge = false;
    for (auto &open : this->attempts) {
        if (!open.isOpen) {
            continue;
        }
        if (open.overdueCount < MaxOverdueCount && now >= open.startedAt + OverdueInterval * (open.overdueCount + 1)) {
            ++open.overdueCount;
            this->observe(open, Evidence::Overdue);
        }
        shouldHedge = shouldHedge || (!this->hasHedged && this->canRetry() && now >= open.startedAt + HedgeDelay);
    }
    if (shouldHedge) {
        this->hasHedged = true;
        if (const auto refusal = this->sendNext(true)) {
            telemetry::logEvent(telemetry::LogLevel::Debug,
                                "hedge_not_sent",
                                {{"request", this->request.id.text()}, {"reason", refusalReasonName(refusal->reason)}});
        }
    }
    this->armTimer();
}

void RequestFlow::recordOutcome(bool isServed)
{
    if (this->service.isEmpty()) {
        return;
    }
    const auto now = this->flow.clock.now();
    this->flow.outcomes.recordOutcome(this->service, isServed, this->isIdempotent(), now);
    this->flow.outcomes.recordRouteOutcome(this->route->name, isServed, now);
}

void RequestFlow::cancelAttempts()
{
    for (auto &open : this->attempts) {
        if (open.isOpen) {
            this->closeAttempt(open);
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
    this->leaveQueue();
    this->timer.cancel();
    this->cancelAttempts();
    this->request.message.body = {};
    this->recordOutcome(outcome == AnsweredOutcome);
    const int status = response.status;
    this->responder->respond(std::move(response));
    this->record(outcome, status);
}

void RequestFlow::refuse(const Refusal &refusal)
{
    // An admitted request that is refused without having run is removed from the organisation's usage.
    if (this->isAdmitted && refusal.isNotRun) {
        this->flow.quota.cancelAdmission(this->organisation, this->flow.clock.now());
    }
    auto scheduled = refusal;
    scheduled.retryAfter = this->retryAfter(refusal, this->flow.clock.now());
    this->announcedRetryAfter = scheduled.retryAfter;
    this->respond(this->flow.dialect.refusalResponse(scheduled, this->request.id), refusalReasonName(refusal.reason));
}

void RequestFlow::record(std::string_view outcome, int status)
{
    const auto now = this->flow.clock.now();
    this->flow.metrics.countRequest(this->possibleRuns > 0 ? "ran" : "not_run", outcome);
    if (this->trace) {
        this->trace->end(this->request.id, outcome, status, now);
    }
    if (!this->flow.log.tryConsumeLine(outcome == AnsweredOutcome, now)) {
        return;
    }
    RequestRecord line;
    line.request = this->request.id;
    line.outcome = outcome;
    line.status = status;
    line.latency = now - this->arrivedAt;
    line.route = this->route != nullptr ? this->route->name.text() : "";
    line.organisation = this->organisation;
    line.service = this->service;
    for (const auto &each : this->attempts) {
        line.servers += (line.servers.empty() ? "" : ",") + each.server.text();
        line.failureProbability = each.failureProbability;
        line.outstanding = each.outstanding;
    }
    line.quota = this->quota;
    line.queueRefusal = this->queueRefusal;
    line.retryAfter = this->announcedRetryAfter;
    if (this->state) {
        line.configuration = this->state->catalog ? this->state->catalog->version() : ConfigVersion();
        line.stateAge = this->arrivedAt - this->state->changedAt;
        const bool isRefusedByConfiguration
            = outcome == refusalReasonName(RefusalReason::NoRoute) || outcome == refusalReasonName(RefusalReason::UnknownKey);
        if (isRefusedByConfiguration) {
            line.storeVersions = this->flow.configurationVersions();
        }
    }
    this->flow.log.write(line);
}

} // namespace rhubarbtiller::gateway
