#include <rhubarbtiller/balance/requestqueue.h>

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace rhubarbtiller::balance {

using Seconds = std::chrono::duration<double>;

/// The fraction of the remaining time that a request without a latency objective may be queued; the rest is for processing.
static constexpr double QueueTimeFraction = 0.4;

/// The fraction of the remaining time that a request with a latency objective may be queued; the rest is for another attempt by its
/// caller if the request does not start.
static constexpr double ObjectiveQueueTimeFraction = 0.6;

/// The response takes longer than expected for some requests; one that ends after the time limit has used its slot in vain.
static constexpr double ResponseMarginFactor = 1.5;

/// A late request yields to requests of its priority that still meet their objective. If it yielded to less urgent ones as well, its kind
/// would be served less often than these.
static constexpr double LateRankPenalty = 0.5;

/// A request that starts counts as on time only if it is on time with this multiple of its expected response time. With less, requests
/// of an overloaded kind start in the order of their objectives when these are just about to pass, so that nearly all end late.
static constexpr double OnTimeMarginFactor = 1.4;

/// A request counts as on time for at least this part of its objective, so that a kind that no server can answer within its objective
/// does not yield to all others.
static constexpr double MinOnTimeFraction = 0.25;

/// A kind or an organisation that starts less often than this part of the average goes first; the requirement is a quarter.
static constexpr double MinRelativeStartShare = 0.28;
static constexpr double StarvedRankOffset = 1e9;
static constexpr double MinDecidedForShare = 3;

/// Requests without an objective are ordered by arrival, among others as if this were their objective.
static constexpr Duration AssumedObjective = std::chrono::seconds(1);

/// Until requests have waited for this long, the measured capacity is that of a host without overload, which is only a lower bound.
static constexpr Duration CapacityMeasuringTime = std::chrono::seconds(1);

/// After that, the measured capacity counts, but not less than this part of an equal share: hosts with less load measure less.
static constexpr double MinEqualShareFraction = 0.25;

static constexpr Duration RateDecayTime = std::chrono::milliseconds(1500);
static constexpr Duration ShareDecayTime = std::chrono::seconds(5);

/// Bounds the memory of the queue; each request holds its message.
static constexpr std::size_t MaxWaitingPerService = 1024;

/// The state of a service without requests is removed after this time.
static constexpr Duration RetentionTime = std::chrono::minutes(1);

static Duration partOf(Duration whole, double fraction)
{
    return std::chrono::duration_cast<Duration>(whole * fraction);
}

static Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

QueuedRequest makeQueuedRequest(const RequestFacts &facts, const ServiceTimes &times, MonotonicTime now)
{
    QueuedRequest request;
    request.priority = facts.priority;
    request.arrivedAt = facts.arrivedAt;
    request.expectedWork = times.expected(facts.route.name, facts.service, now);
    request.expectedResponse = times.expectedResponse(facts.route.name, facts.service, now);
    request.route = facts.route.name;
    request.organisation = facts.organisation;
    request.placementClass = facts.hasEarlierAttempt                        ? PlacementClass::Retry
        : facts.route.retrySemantics == catalog::RetrySemantics::Idempotent ? PlacementClass::Idempotent
                                                                            : PlacementClass::AtMostOnce;
    const auto remaining = facts.deadline - now;
    if (facts.route.latencyObjective <= Duration(0)) {
        request.startDeadline = now + partOf(remaining, QueueTimeFraction);
        return request;
    }
    const auto timeLimit = facts.deadline - facts.arrivedAt;
    request.objectiveAt = facts.arrivedAt + std::min(facts.route.latencyObjective, timeLimit) - facts.sinceFirstAttempt;
    request.startDeadline
        = now + std::min(remaining - partOf(request.expectedResponse, ResponseMarginFactor), partOf(remaining, ObjectiveQueueTimeFraction));
    return request;
}

std::string_view queueRefusalCauseName(QueueRefusalCause cause)
{
    switch (cause) {
    case QueueRefusalCause::NoCapacity:
        return "no_capacity";
    case QueueRefusalCause::StartsTooLate:
        return "starts_too_late";
    case QueueRefusalCause::Expired:
        return "expired";
    case QueueRefusalCause::QueueFull:
        return "queue_full";
    }
    return "unknown";
}

bool QueuedRequest::isLate(MonotonicTime now) const
{
    if (this->objectiveAt == MonotonicTime::max()) {
        return false;
    }
    const auto latestStart = std::max(this->objectiveAt - partOf(this->expectedResponse, OnTimeMarginFactor),
                                      this->arrivedAt + partOf(this->objectiveAt - this->arrivedAt, MinOnTimeFraction));
    return now > latestStart;
}

RequestQueue::StartShare::StartShare() : decided(ShareDecayTime), started(ShareDecayTime)
{
}

double RequestQueue::StartShare::value(MonotonicTime now) const
{
    const auto count = this->decided.value(now);
    return count < MinDecidedForShare ? 1 : this->started.value(now) / count;
}

RequestQueue::ServiceQueue::ServiceQueue() : completedWork(RateDecayTime), arrivingWork(RateDecayTime)
{
}

void RequestQueue::onArrival(const catalog::ServiceName &service, Duration expectedWork, MonotonicTime now)
{
    this->queues[service].arrivingWork.add(Seconds(expectedWork).count(), now);
}

void RequestQueue::onCompleted(const catalog::ServiceName &service, Duration work, MonotonicTime now)
{
    auto &queue = this->queues[service];
    queue.completedWork.add(Seconds(work).count(), now);
    queue.lastCompletedAt = now;
}

void RequestQueue::setUsableSlots(const catalog::ServiceName &service, std::uint32_t slots, std::size_t hosts)
{
    assert(hosts > 0 && "the number of hosts includes this host");
    auto &queue = this->queues[service];
    queue.usableSlots = slots;
    queue.hosts = hosts;
}

CapacityEstimate RequestQueue::capacityOf(const ServiceQueue &queue, MonotonicTime now)
{
    CapacityEstimate estimate;
    estimate.measuredSlots = queue.completedWork.perSecond(now);
    estimate.equalShare = static_cast<double>(queue.usableSlots) / static_cast<double>(queue.hosts);
    const bool isMeasured = !queue.waiting.empty() && now - queue.waitingSince >= CapacityMeasuringTime;
    estimate.slots = std::max(estimate.measuredSlots, estimate.equalShare * (isMeasured ? MinEqualShareFraction : 1));
    estimate.arrivingWork = queue.arrivingWork.perSecond(now);
    if (queue.lastCompletedAt != MonotonicTime()) {
        estimate.age = now - queue.lastCompletedAt;
    }
    return estimate;
}

CapacityEstimate RequestQueue::capacity(const catalog::ServiceName &service, MonotonicTime now) const
{
    const auto found = this->queues.find(service);
    return found == this->queues.end() ? CapacityEstimate() : capacityOf(found->second, now);
}

/// Returns how long the capacity takes for the work.
static Duration waitFor(double work, const CapacityEstimate &capacity)
{
    // Waits beyond an hour do not differ, and the bound keeps the conversion in range.
    static constexpr double MaxSeconds = 3600;
    return fromSeconds(std::min(MaxSeconds, work / capacity.slots));
}

bool RequestQueue::isStarved(const StartShare *share, double totalShare, MonotonicTime now)
{
    return share != nullptr && share->value(now) < MinRelativeStartShare * totalShare;
}

RequestQueue::Order RequestQueue::orderOf(const Waiting &waiting, double totalShare, MonotonicTime now)
{
    const auto &request = waiting.request;
    const bool isLate = request.isLate(now);
    Order order;
    order.rank = request.priority + (isLate ? LateRankPenalty : 0);
    if (isStarved(waiting.routeShare, totalShare, now) || isStarved(waiting.organisationShare, totalShare, now)) {
        order.rank -= StarvedRankOffset;
    }
    const bool hasObjective = request.objectiveAt != MonotonicTime::max();
    order.due = hasObjective ? request.objectiveAt : request.arrivedAt + AssumedObjective;
    order.id = request.id;
    return order;
}

RequestQueue::Waiting RequestQueue::makeWaiting(ServiceQueue &queue, const QueuedRequest &request)
{
    Waiting waiting{request, &queue.routeShares[request.route], nullptr};
    if (!request.organisation.isEmpty()) {
        waiting.organisationShare = &queue.organisationShares[request.organisation];
    }
    return waiting;
}

std::vector<QueueRefusal> RequestQueue::push(const catalog::ServiceName &service, const QueuedRequest &request, MonotonicTime now)
{
    auto &queue = this->queues[service];
    if (queue.waiting.empty()) {
        queue.waitingSince = now;
    }
    queue.lastPushAt = now;
    queue.waiting.push_back(makeWaiting(queue, request));
    ++this->waitingCount;
    std::vector<QueueRefusal> refusals;
    this->removeUnservable(queue, now, refusals);
    return refusals;
}

bool RequestQueue::hasWaitingBefore(const catalog::ServiceName &service, const QueuedRequest &request, MonotonicTime now) const
{
    const auto found = this->queues.find(service);
    if (found == this->queues.end() || found->second.waiting.empty()) {
        return false;
    }
    const auto &queue = found->second;
    const auto totalShare = queue.total.value(now);
    auto own = orderOf({request, nullptr, nullptr}, totalShare, now);
    // Among equals, those that wait came first.
    own.id = std::numeric_limits<std::uint64_t>::max();
    return std::any_of(queue.waiting.begin(), queue.waiting.end(), [&](const Waiting &other) {
        return other.request.placementClass == request.placementClass && orderOf(other, totalShare, now) < own;
    });
}

void RequestQueue::onStartedDirectly(const catalog::ServiceName &service, const QueuedRequest &request, MonotonicTime now)
{
    const auto found = this->queues.find(service);
    if (found == this->queues.end() || found->second.waiting.empty()) {
        return;
    }
    auto &queue = found->second;
    countDecision(queue, makeWaiting(queue, request), true, now);
}

void RequestQueue::countDecision(ServiceQueue &queue, const Waiting &waiting, bool isStart, MonotonicTime now)
{
    for (auto *const share : {&queue.total, waiting.routeShare, waiting.organisationShare}) {
        if (share != nullptr) {
            share->decided.add(1, now);
            share->started.add(isStart ? 1 : 0, now);
        }
    }
}

void RequestQueue::erase(ServiceQueue &queue, std::vector<Waiting>::iterator position)
{
    std::iter_swap(position, queue.waiting.end() - 1);
    queue.waiting.pop_back();
    --this->waitingCount;
}

void RequestQueue::onStarted(const catalog::ServiceName &service, std::uint64_t id, MonotonicTime now)
{
    const auto found = this->queues.find(service);
    if (found == this->queues.end()) {
        return;
    }
    auto &queue = found->second;
    const auto position = std::find_if(queue.waiting.begin(), queue.waiting.end(), [id](const Waiting &waiting) {
        return waiting.request.id == id;
    });
    if (position == queue.waiting.end()) {
        return;
    }
    countDecision(queue, *position, true, now);
    this->erase(queue, position);
}

void RequestQueue::remove(const catalog::ServiceName &service, std::uint64_t id)
{
    const auto found = this->queues.find(service);
    if (found == this->queues.end()) {
        return;
    }
    auto &waiting = found->second.waiting;
    const auto position = std::find_if(waiting.begin(), waiting.end(), [id](const Waiting &each) {
        return each.request.id == id;
    });
    if (position != waiting.end()) {
        this->erase(found->second, position);
    }
}

bool RequestQueue::isWaiting(const catalog::ServiceName &service) const
{
    const auto found = this->queues.find(service);
    return found != this->queues.end() && !found->second.waiting.empty();
}

std::vector<catalog::ServiceName> RequestQueue::services() const
{
    std::vector<catalog::ServiceName> names;
    for (const auto &[service, queue] : this->queues) {
        if (!queue.waiting.empty()) {
            names.push_back(service);
        }
    }
    return names;
}

const QueuedRequest *
RequestQueue::next(const catalog::ServiceName &service, MonotonicTime now, const std::vector<PlacementClass> &blocked) const
{
    const auto found = this->queues.find(service);
    if (found == this->queues.end()) {
        return nullptr;
    }
    const auto &queue = found->second;
    const auto totalShare = queue.total.value(now);
    const Waiting *first = nullptr;
    Order firstOrder;
    for (const auto &waiting : queue.waiting) {
        if (std::find(blocked.begin(), blocked.end(), waiting.request.placementClass) != blocked.end()) {
            continue;
        }
        if (const auto order = orderOf(waiting, totalShare, now); first == nullptr || order < firstOrder) {
            first = &waiting;
            firstOrder = order;
        }
    }
    return first == nullptr ? nullptr : &first->request;
}

void RequestQueue::removeUnservable(ServiceQueue &queue, MonotonicTime now, std::vector<QueueRefusal> &refusals)
{
    const auto totalShare = queue.total.value(now);
    const auto capacity = capacityOf(queue, now);
    std::vector<std::pair<Order, std::size_t>> ordered;
    ordered.reserve(queue.waiting.size());
    for (const auto &waiting : queue.waiting) {
        ordered.emplace_back(orderOf(waiting, totalShare, now), ordered.size());
    }
    std::sort(ordered.begin(), ordered.end());
    const auto length = ordered.size();
    auto previous = std::exchange(queue.waiting, {});
    queue.waiting.reserve(length);
    double workAhead = 0;
    for (const auto &[order, position] : ordered) {
        auto &waiting = previous[position];
        const auto &request = waiting.request;
        QueueRefusal refusal{request.id, QueueRefusalCause::NoCapacity, capacity, {}, length};
        if (capacity.slots <= 0) {
            countDecision(queue, waiting, false, now);
            refusals.push_back(refusal);
            continue;
        }
        refusal.predictedWait = waitFor(workAhead, capacity);
        const bool isExpired = now >= request.startDeadline;
        const bool startsTooLate = now + refusal.predictedWait > request.startDeadline;
        const bool isFull = queue.waiting.size() >= MaxWaitingPerService;
        if (isExpired || startsTooLate || isFull) {
            refusal.cause = isExpired ? QueueRefusalCause::Expired
                : startsTooLate       ? QueueRefusalCause::StartsTooLate
                                      : QueueRefusalCause::QueueFull;
            countDecision(queue, waiting, false, now);
            refusals.push_back(refusal);
            continue;
        }
        workAhead += Seconds(request.expectedWork).count();
        queue.waiting.push_back(std::move(waiting));
    }
    this->waitingCount -= length - queue.waiting.size();
}

std::vector<QueueRefusal> RequestQueue::removeUnservable(MonotonicTime now)
{
    std::vector<QueueRefusal> refusals;
    for (auto &[service, queue] : this->queues) {
        if (!queue.waiting.empty()) {
            this->removeUnservable(queue, now, refusals);
        }
        if (queue.waiting.empty() && now - queue.lastPushAt > RetentionTime) {
            queue.routeShares.clear();
            queue.organisationShares.clear();
        }
    }
    return refusals;
}

std::vector<QueueSummary> RequestQueue::summaries(MonotonicTime now) const
{
    std::vector<QueueSummary> result;
    for (const auto &[service, queue] : this->queues) {
        QueueSummary summary{service, queue.waiting.size(), capacityOf(queue, now), {}};
        for (const auto &waiting : queue.waiting) {
            summary.longestWait = std::max(summary.longestWait, now - waiting.request.arrivedAt);
        }
        result.push_back(std::move(summary));
    }
    return result;
}

} // namespace rhubarbtiller::balance
