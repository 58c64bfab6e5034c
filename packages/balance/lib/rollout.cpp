#include <rhubarbtiller/balance/rollout.h>

#include <algorithm>

namespace rhubarbtiller::balance {

using catalog::RolloutPhase;
using std::chrono::milliseconds;

/// The part of the exposure bound that is used before the switch. The rest is for the requests that reach a version that shows only
/// under the whole load to be bad, until that is found.
static constexpr double UsedExposure = 0.6;

/// Parts of the allowed share before and after the first StepResponses responses of the target.
static constexpr double FirstStep = 0.3;
static constexpr double SecondStep = 0.7;
static constexpr std::uint64_t StepResponses = 20;

/// From this part of the duration on only the exposure bound limits the share, for a trial under load.
static constexpr double LoadTrialAfter = 0.45;

/// Work that runs at most once joins after the first step, or after this part of the duration, since a service may have no other.
static constexpr double AtMostOnceAfter = 0.3;

/// The switch begins after this part of the duration, but early enough to wait for requests at the other servers.
static constexpr double SwitchAfter = 0.6;
static constexpr double MinSwitchAfter = 0.35;
static constexpr Duration SwitchAllowance = milliseconds(4500);

/// Less evidence is required from the later of the earliest switch and this part of the duration, or this long before its end.
static constexpr double ReducedEvidenceAfter = 0.75;
static constexpr Duration ReducedEvidenceAllowance = milliseconds(4200);

/// From the later of that and this part of the duration, or this long before its end, the least evidence is required.
static constexpr double LateAfter = 0.8;
static constexpr Duration LateAllowance = milliseconds(3200);

/// Responses and judged latencies of the target that the switch requires, in time, with reduced evidence, and late.
static constexpr std::uint64_t SwitchResponses = 100;
static constexpr std::uint64_t ReducedSwitchResponses = 20;
static constexpr std::uint64_t LateSwitchResponses = 10;

/// Slots of the target for each request in progress that the switch requires, in time and with reduced evidence.
static constexpr double SwitchCapacity = 1.1;
static constexpr double ReducedSwitchCapacity = 0.5;

/// Suspicion, as a part of the threshold of the verdict, above which the share is reduced and no step is taken; late the second.
static constexpr double MaxSuspicion = 0.4;
static constexpr double MaxLateSuspicion = 0.7;

/// With this many bad responses and a suspicion above the second for this part of the rollback time, a version is judged bad without a
/// verdict of the test, since the bound of the rollback counts from the 50th bad response.
static constexpr std::uint64_t BadResponses = 50;
static constexpr double DoubtShare = 0.5;

/// A target whose share of broken responses exceeds that of the other servers by more is not switched to.
static constexpr double MaxBrokenExcess = 0.3;

/// A version that cannot be switched to is rolled back this long before the deadline, so that the result is written by then.
static constexpr Duration MaxRollbackMargin = milliseconds(800);
static constexpr double RollbackMarginShare = 0.1;

/// Shortest time from the switch to the completion, within which a version that is bad under the whole load shows it.
static constexpr Duration MaxObservation = milliseconds(1200);
static constexpr double ObservationShare = 0.15;
static constexpr Duration MinObservation = milliseconds(400);

/// A host without a report for this long is gone, or has learnt of the switch from the store or another host.
static constexpr Duration SilenceTimeout = milliseconds(2000);

/// A host that has not received the later order, whose row the store has, by then writes its own row again.
static constexpr Duration LaterOrderTimeout = std::chrono::seconds(10);

/// Requests whose latency cannot be judged for this long, for lack of responses of the other servers on their route, are not judged.
static constexpr Duration JudgingTimeout = std::chrono::seconds(60);

Rollout::Rollout(catalog::RolloutOrder order, const RolloutBounds &exposureBounds, bool isNew)
    : rolloutOrder(std::move(order))
    , bounds(exposureBounds)
    , isSlackAllowed(isNew)
    , hasPhase(isNew)
    , nextTicket(static_cast<std::uint64_t>(std::max<std::int64_t>(1, this->rolloutOrder.receivedAt.time_since_epoch().count())))
{
}

void Rollout::condemn(std::string_view reason)
{
    if (!this->condemned) {
        this->condemned = true;
        this->lastReason = reason;
    }
}

void Rollout::adopt(RolloutPhase phase, MonotonicTime now)
{
    this->hasPhase = true;
    if (this->isFinal() || phase <= this->knownPhase) {
        return;
    }
    this->phaseSince = now;
    this->knownPhase = phase;
    if (this->isFinal()) {
        this->unjudged.clear();
    }
}

/// Returns the part of the requests that may be sent to the target.
double Rollout::share(MonotonicTime now) const
{
    const bool isUnsuspicious = this->merged.suspicion() <= MaxSuspicion;
    const auto responses = this->merged.targetResponses();
    if (!isUnsuspicious || responses < StepResponses) {
        return this->bounds.exposureShare * FirstStep;
    }
    if (now - this->rolloutOrder.receivedAt < this->rolloutOrder.duration * LoadTrialAfter) {
        return this->bounds.exposureShare * SecondStep;
    }
    return 1;
}

bool Rollout::mayExpose(const RolloutSurroundings &surroundings) const
{
    const double slack = this->isSlackAllowed ? this->bounds.exposureSlack * surroundings.slackShare : 0;
    const double allowed = UsedExposure * (this->bounds.exposureShare * static_cast<double>(this->ownRequests) + slack);
    return static_cast<double>(this->ownExposed) + 1 <= allowed;
}

VersionRule
Rollout::choose(const RolloutRequest &request, const RolloutSurroundings &surroundings, RandomSource &random, MonotonicTime now) const
{
    if (this->knownPhase == RolloutPhase::Completed) {
        return surroundings.targetServers > 0 ? VersionRule::OnlyTarget : VersionRule::Any;
    }
    if (this->knownPhase == RolloutPhase::Closing) {
        // From here on hosts may have been told that the other servers are no longer needed.
        return surroundings.targetServers > 0 ? VersionRule::OnlyTarget : VersionRule::NotTarget;
    }
    if (this->condemned || this->knownPhase == RolloutPhase::RolledBack) {
        return VersionRule::NotTarget;
    }
    if (this->knownPhase == RolloutPhase::Switching) {
        return surroundings.targetServers > 0 ? VersionRule::OnlyTarget : VersionRule::NotTarget;
    }
    if (surroundings.otherServers == 0) {
        return VersionRule::OnlyTarget;
    }
    const auto age = now - this->rolloutOrder.receivedAt;
    const bool isAllowed = this->hasPhase && surroundings.targetServers > 0 && surroundings.isEntryHost && !request.hasUsedTarget
        && (request.isIdempotent || this->merged.targetResponses() >= StepResponses
            || age >= this->rolloutOrder.duration * AtMostOnceAfter);
    if (!isAllowed || !this->mayExpose(surroundings)) {
        return VersionRule::NotTarget;
    }
    static constexpr std::uint64_t Resolution = 1'000'000;
    const double drawn = static_cast<double>(random.below(Resolution)) / static_cast<double>(Resolution);
    return drawn < this->share(now) ? VersionRule::OnlyTarget : VersionRule::NotTarget;
}

std::uint64_t
Rollout::onSent(const BackendServerId &server, const RouteName &route, bool isTarget, bool isFirst, bool isSettled, MonotonicTime now)
{
    this->ownRequests += isFirst ? 1 : 0;
    this->ownExposed += isTarget ? 1 : 0;
    const auto ticket = this->nextTicket++;
    const auto &request = this->open[ticket] = {server, {route, isTarget}, now, isSettled};
    if (isTarget && isSettled && !this->isFinal()) {
        this->unjudged[ticket] = {request, false};
    }
    return ticket;
}

void Rollout::onEnded(std::uint64_t ticket, RolloutResult result, MonotonicTime now)
{
    auto node = this->open.extract(ticket);
    if (node.empty()) {
        return;
    }
    const auto &request = node.mapped();
    if (const auto found = this->unjudged.find(ticket); found != this->unjudged.end()) {
        const auto slowFrom = this->merged.slowFrom(request.cell.route);
        found->second.second = !slowFrom || now - request.sentAt <= *slowFrom;
        if (result != RolloutResult::Success) {
            this->unjudged.erase(found);
        }
    }
    auto &counts = this->ownCounts[request.cell];
    switch (result) {
    case RolloutResult::Success:
        ++counts.successes;
        if (!request.cell.isTarget && request.isSettled) {
            ++counts.latencies.at(latencyBucket(now - request.sentAt));
        }
        return;
    case RolloutResult::Failure:
        ++counts.failures;
        if (request.cell.isTarget) {
            this->ownFailing.add(request.server);
        }
        return;
    case RolloutResult::Broken:
        ++counts.broken;
        return;
    case RolloutResult::Unknown:
        return;
    }
}

/// Counts which of the requests to the target are slow.
///
/// Each is judged at the age at which it would be slow: if the fast ones counted at their end, the slow ones would follow each increase of
/// the share as a group, which the test takes for a change of the version.
void Rollout::judgeLatencies(MonotonicTime now)
{
    for (auto each = this->unjudged.begin(); each != this->unjudged.end();) {
        const auto &[request, hasEnded] = each->second;
        const auto slowFrom = this->merged.slowFrom(request.cell.route);
        if (!slowFrom && now - request.sentAt > JudgingTimeout) {
            each = this->unjudged.erase(each);
            continue;
        }
        if (!slowFrom || now - request.sentAt <= *slowFrom) {
            ++each;
            continue;
        }
        auto &counts = this->ownCounts[request.cell];
        ++counts.judged;
        if (!hasEnded) {
            ++counts.slow;
            this->ownSlow.add(request.server);
        }
        each = this->unjudged.erase(each);
    }
}

RolloutReport Rollout::report(const RolloutSurroundings &surroundings, MonotonicTime now) const
{
    RolloutReport own;
    own.phase = this->knownPhase;
    own.isPhaseKnown = this->hasPhase;
    own.isCondemned = this->condemned;
    own.orderAge = now - this->rolloutOrder.receivedAt;
    own.inProgress = surroundings.inProgress;
    own.inProgressAtOthers = surroundings.inProgressAtOthers;
    own.counts = this->ownCounts;
    own.failingServers = this->ownFailing;
    own.slowServers = this->ownSlow;
    return own;
}

void Rollout::onReport(const HostId &host, Incarnation incarnation, const RolloutReport &received, MonotonicTime now)
{
    auto &peer = this->peers[host];
    if (incarnation < peer.incarnation) {
        return;
    }
    peer = {
        incarnation, received.isPhaseKnown ? received.phase : RolloutPhase::Ordered, received.inProgress, received.inProgressAtOthers, now};
    this->rolloutOrder.receivedAt = std::min(this->rolloutOrder.receivedAt, now - received.orderAge);
    if (received.isPhaseKnown) {
        this->adopt(received.phase, now);
    }
    if (this->isFinal()) {
        return;
    }
    if (received.isCondemned) {
        this->condemn("reported");
    }
    this->merged.merge(host, incarnation, received.counts, now);
    this->merged.mergeServers(received.failingServers, received.slowServers);
}

void Rollout::onStoreRow(const catalog::RolloutStatus &row, MonotonicTime now)
{
    const bool isOwn = row.target == this->rolloutOrder.target;
    this->storedPhase = isOwn ? row.phase : RolloutPhase::Ordered;
    this->storedVersion = isOwn ? row.rowVersion : this->storedVersion;
    // A store that was restored from a copy has the row of an earlier order with a lower version.
    const bool isSuperseded = !isOwn && !row.target.isEmpty() && this->storedVersion > 0 && row.rowVersion > this->storedVersion;
    this->supersededSince = isSuperseded ? std::min(this->supersededSince, now) : MonotonicTime::max();
    this->adopt(this->storedPhase, now);
}

void Rollout::onOrderWithdrawn()
{
    if (!this->isFinal()) {
        this->condemn("withdrawn");
    }
}

void Rollout::update(const RolloutSurroundings &surroundings, MonotonicTime now)
{
    this->judgeLatencies(now);
    this->merged.merge(HostId(), Incarnation(1), this->ownCounts, now);
    this->merged.mergeServers(this->ownFailing, this->ownSlow);
    this->merged.update(surroundings.targetServers, this->knownPhase == RolloutPhase::Switching, now);
    if (this->merged.fault() != RolloutFault::None && !this->isFinal()) {
        this->condemn(rolloutFaultName(this->merged.fault()));
    }
    const bool isDoubtful = this->merged.badResponses() >= BadResponses && this->merged.suspicion() > MaxLateSuspicion;
    this->doubtfulSince = isDoubtful ? std::min(this->doubtfulSince, now) : MonotonicTime::max();
    if (isDoubtful && !this->isFinal() && now - this->doubtfulSince >= this->bounds.rollbackTime * DoubtShare) {
        this->condemn("doubt");
    }
}

Duration Rollout::switchAfter() const
{
    const auto duration = this->rolloutOrder.duration;
    const auto latest = std::min(std::chrono::duration_cast<Duration>(duration * SwitchAfter), duration - SwitchAllowance);
    return std::max(std::chrono::duration_cast<Duration>(duration * MinSwitchAfter), latest);
}

/// Returns the time from the order until the rollback of a version that cannot be switched to.
Duration Rollout::rollbackAfter() const
{
    const auto share = std::chrono::duration_cast<Duration>(this->rolloutOrder.duration * RollbackMarginShare);
    return this->rolloutOrder.duration - std::min(share, Duration(MaxRollbackMargin));
}

/// Returns the time from the order from which on less evidence is required.
Duration Rollout::reducedEvidenceAfter() const
{
    const auto duration = this->rolloutOrder.duration;
    const auto latest
        = std::min(std::chrono::duration_cast<Duration>(duration * ReducedEvidenceAfter), duration - ReducedEvidenceAllowance);
    return std::max(this->switchAfter(), latest);
}

/// Returns the time from the order from which on the least evidence is required.
Duration Rollout::lateAfter() const
{
    const auto duration = this->rolloutOrder.duration;
    const auto latest = std::min(std::chrono::duration_cast<Duration>(duration * LateAfter), duration - LateAllowance);
    return std::max(this->reducedEvidenceAfter(), latest);
}

bool Rollout::isReadyToSwitch(const RolloutSurroundings &surroundings, MonotonicTime now) const
{
    const auto age = now - this->rolloutOrder.receivedAt;
    const bool isReduced = age >= this->reducedEvidenceAfter();
    const bool isLate = age >= this->lateAfter();
    const auto needed = isLate ? LateSwitchResponses : isReduced ? ReducedSwitchResponses : SwitchResponses;
    std::uint64_t inProgress = surroundings.inProgress;
    for (const auto &[host, peer] : this->peers) {
        inProgress += now - peer.reportedAt < SilenceTimeout ? peer.inProgress : 0;
    }
    const double neededSlots = static_cast<double>(inProgress) * (isReduced ? ReducedSwitchCapacity : SwitchCapacity);
    if (age < this->switchAfter()) {
        this->lastReason = "early";
    } else if (surroundings.targetServers == 0) {
        this->lastReason = "no_servers";
    } else if (this->merged.targetResponses() < needed || (!isLate && this->merged.judgedRequests() < needed)) {
        this->lastReason = "little_evidence";
    } else if (this->merged.brokenExcess() > MaxBrokenExcess) {
        this->lastReason = "broken_responses";
    } else if (this->merged.suspicion() > (isLate ? MaxLateSuspicion : MaxSuspicion)) {
        this->lastReason = "suspicion";
    } else if (surroundings.targetSlots < neededSlots) {
        this->lastReason = "little_capacity";
    } else {
        return true;
    }
    return false;
}

bool Rollout::isReadyToClose(const RolloutSurroundings &surroundings, MonotonicTime now) const
{
    const auto observation = std::clamp(std::chrono::duration_cast<Duration>(this->rolloutOrder.duration * ObservationShare),
                                        Duration(MinObservation),
                                        Duration(MaxObservation));
    const bool isLate = now - this->rolloutOrder.receivedAt >= this->lateAfter();
    if (now - this->phaseSince < observation) {
        this->lastReason = "observing";
        return false;
    }
    if (this->merged.suspicion() > (isLate ? MaxLateSuspicion : MaxSuspicion)) {
        this->lastReason = "suspicion";
        return false;
    }
    return this->haveAllReached(RolloutPhase::Switching, surroundings, now);
}

/// Returns whether no host that may be reached is at an earlier phase than \p phase or has requests at other servers.
bool Rollout::haveAllReached(RolloutPhase phase, const RolloutSurroundings &surroundings, MonotonicTime now) const
{
    if (surroundings.inProgressAtOthers > 0) {
        this->lastReason = "own_requests";
        return false;
    }
    for (const auto &[host, peer] : this->peers) {
        const bool isReady = peer.phase >= phase && peer.inProgressAtOthers == 0;
        if (!isReady && now - peer.reportedAt < SilenceTimeout) {
            this->lastReason = "requests_of_peers";
            return false;
        }
    }
    const bool areAllKnown = std::all_of(surroundings.servingHosts.begin(), surroundings.servingHosts.end(), [this](const HostId &host) {
        return this->peers.contains(host);
    });
    if (!areAllKnown && now - this->phaseSince < SilenceTimeout) {
        this->lastReason = "silent_peers";
        return false;
    }
    return true;
}

std::optional<RolloutPhase> Rollout::nextPhase(const RolloutSurroundings &surroundings, MonotonicTime now) const
{
    if (!this->hasPhase) {
        return std::nullopt;
    }
    if (this->supersededSince != MonotonicTime::max() && now - this->supersededSince < LaterOrderTimeout) {
        return std::nullopt;
    }
    if (this->isFinal()) {
        // A store that was restored from a copy may lack the result.
        return this->storedPhase < RolloutPhase::Completed ? std::optional(this->knownPhase) : std::nullopt;
    }
    if (this->condemned && this->knownPhase < RolloutPhase::Closing) {
        return RolloutPhase::RolledBack;
    }
    if (this->storedPhase < this->knownPhase) {
        return this->knownPhase;
    }
    switch (this->knownPhase) {
    case RolloutPhase::Ordered:
        return RolloutPhase::InProgress;
    case RolloutPhase::InProgress:
        if (now - this->rolloutOrder.receivedAt < this->rolloutOrder.duration + this->bounds.storeAllowance
            && this->isReadyToSwitch(surroundings, now)) {
            return RolloutPhase::Switching;
        }
        return now - this->rolloutOrder.receivedAt >= this->rollbackAfter() ? std::optional(RolloutPhase::RolledBack) : std::nullopt;
    case RolloutPhase::Switching:
        return this->isReadyToClose(surroundings, now) ? std::optional(RolloutPhase::Closing) : std::nullopt;
    case RolloutPhase::Closing:
        return this->haveAllReached(RolloutPhase::Closing, surroundings, now) ? std::optional(RolloutPhase::Completed) : std::nullopt;
    case RolloutPhase::Completed:
    case RolloutPhase::RolledBack:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace rhubarbtiller::balance
