#pragma once

#include <rhubarbtiller/balance/servicetimes.h>

#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rhubarbtiller::balance {

/// Requests of one class find a free slot or none together, so that one failed attempt answers for all.
enum class PlacementClass {
    Idempotent,
    /// May avoid servers that are likely to fail.
    AtMostOnce,
    /// Must not use the servers of its earlier attempts.
    Retry,
};

/// A request that waits for a free server.
struct QueuedRequest
{
    std::uint64_t id = 0;
    /// 0 is the most urgent.
    int priority = 0;
    MonotonicTime arrivedAt{};
    /// When the caller wants its response; MonotonicTime::max() if the route states no latency objective.
    MonotonicTime objectiveAt = MonotonicTime::max();
    /// Waits no longer than until then.
    MonotonicTime startDeadline{};
    Duration expectedWork = DefaultServiceTime;
    /// From the start to the response, waiting at the server included.
    Duration expectedResponse = DefaultServiceTime;
    RouteName route;
    OrganisationId organisation;
    PlacementClass placementClass = PlacementClass::AtMostOnce;

    /// Returns whether the request can no longer be answered within its latency objective. Precondition: none.
    bool isLate(MonotonicTime now) const;
};

/// Why a request is not queued, or no longer.
enum class QueueRefusalCause {
    /// No slot of the service is known to become free.
    NoCapacity,
    /// The requests ahead keep it from starting in time.
    StartsTooLate,
    /// It has waited as long as it may.
    Expired,
    /// The queue holds as many requests as memory allows.
    QueueFull,
};

/// Returns the name of the cause in logs and metrics. Precondition: none. Thread safety: any thread.
std::string_view queueRefusalCauseName(QueueRefusalCause cause);

/// The capacity of a service that this host can use, in slots, and where the figure comes from.
struct CapacityEstimate
{
    /// Slot seconds of work that become free for this host per second.
    double slots = 0;
    /// The same, measured from the responses of the last seconds.
    double measuredSlots = 0;
    /// This host's part of the usable slots.
    double equalShare = 0;
    /// Slot seconds of work that arrive per second.
    double arrivingWork = 0;
    /// Since the last measured response; empty before the first.
    std::optional<Duration> age;
};

/// A refused request with the inputs of the decision.
struct QueueRefusal
{
    std::uint64_t id = 0;
    QueueRefusalCause cause = QueueRefusalCause::Expired;
    CapacityEstimate capacity;
    /// Expected wait from now on.
    Duration predictedWait{};
    /// Requests in the queue of the service, this one included.
    std::size_t queueLength = 0;
};

/// State of the queue of one service, for operators.
struct QueueSummary
{
    catalog::ServiceName service;
    std::size_t waiting = 0;
    CapacityEstimate capacity;
    Duration longestWait{};
};

/// The requests of one host that are queued until a backend server has a free slot, under overload.
///
/// Decides which request starts next, waits, or is refused, by priority, latency objective, time limit, expected work and age; see
/// docs/design/request-scheduling.md.
/// Thread safety: one thread.
class RequestQueue
{
public:
    /// Records a request for the service, whether it is queued or not. Precondition: \p now does not go back.
    void onArrival(const catalog::ServiceName &service, Duration expectedWork, MonotonicTime now);

    /// Records that a server completed work of the service. Precondition: \p now does not go back.
    void onCompleted(const catalog::ServiceName &service, Duration work, MonotonicTime now);

    /// Sets the slots of the service that \p hosts share. Precondition: \p hosts is above 0.
    void setUsableSlots(const catalog::ServiceName &service, std::uint32_t slots, std::size_t hosts);

    /// Returns the capacity of the service. Precondition: \p now does not go back.
    CapacityEstimate capacity(const catalog::ServiceName &service, MonotonicTime now) const;

    /// Adds a request, and returns the requests that can then no longer start in time, which may include it.
    ///
    /// Precondition: the id is not queued; \p now does not go back.
    std::vector<QueueRefusal> push(const catalog::ServiceName &service, const QueuedRequest &request, MonotonicTime now);

    /// Returns whether a queued request of the same placement class is to start before this one. Precondition: none.
    bool hasWaitingBefore(const catalog::ServiceName &service, const QueuedRequest &request, MonotonicTime now) const;

    /// Records that a request that was not queued starts while others wait. Precondition: \p now does not go back.
    void onStartedDirectly(const catalog::ServiceName &service, const QueuedRequest &request, MonotonicTime now);

    /// Removes a request that starts. Precondition: \p now does not go back.
    void onStarted(const catalog::ServiceName &service, std::uint64_t id, MonotonicTime now);

    /// Removes a request that ends without a start. Precondition: none.
    void remove(const catalog::ServiceName &service, std::uint64_t id);

    /// Returns whether requests wait for the service. Precondition: none.
    bool isWaiting(const catalog::ServiceName &service) const;

    /// Returns the services that requests wait for. Precondition: none.
    std::vector<catalog::ServiceName> services() const;

    /// Returns the next request to start, or nothing; requests of \p blocked classes are passed over.
    ///
    /// The pointer is valid until the queue changes. Precondition: none.
    const QueuedRequest *
    next(const catalog::ServiceName &service, MonotonicTime now, const std::vector<PlacementClass> &blocked = {}) const;

    /// Removes the requests that cannot start in time, and returns them. Precondition: \p now does not go back.
    std::vector<QueueRefusal> removeUnservable(MonotonicTime now);

    /// Returns the state of each queue. Precondition: \p now does not go back.
    std::vector<QueueSummary> summaries(MonotonicTime now) const;

    bool isEmpty() const
    {
        return this->waitingCount == 0;
    }

private:
    /// How many requests of a kind left the queue, and how many of these started; those that wait may still start.
    struct StartShare
    {
        DecayingSum decided;
        DecayingSum started;

        StartShare();
        double value(MonotonicTime now) const;
    };

    struct Waiting
    {
        QueuedRequest request;
        StartShare *routeShare = nullptr;
        StartShare *organisationShare = nullptr;
    };

    struct ServiceQueue
    {
        std::vector<Waiting> waiting;
        DecayingSum completedWork;
        MonotonicTime lastCompletedAt{};
        DecayingSum arrivingWork;
        std::uint32_t usableSlots = 0;
        std::size_t hosts = 1;
        /// Since when requests have been waiting without a break.
        MonotonicTime waitingSince{};
        StartShare total;
        std::unordered_map<RouteName, StartShare> routeShares;
        std::unordered_map<OrganisationId, StartShare> organisationShares;
        MonotonicTime lastPushAt{};

        ServiceQueue();
    };

    /// The position of a request in the order of starts; the lowest goes first.
    struct Order
    {
        double rank = 0;
        MonotonicTime due{};
        std::uint64_t id = 0;

        auto operator<=>(const Order &) const = default;
    };

    static Order orderOf(const Waiting &waiting, double totalShare, MonotonicTime now);
    static bool isStarved(const StartShare *share, double totalShare, MonotonicTime now);
    static CapacityEstimate capacityOf(const ServiceQueue &queue, MonotonicTime now);
    void removeUnservable(ServiceQueue &queue, MonotonicTime now, std::vector<QueueRefusal> &refusals);
    static void countDecision(ServiceQueue &queue, const Waiting &waiting, bool isStart, MonotonicTime now);
    void erase(ServiceQueue &queue, std::vector<Waiting>::iterator position);
    static Waiting makeWaiting(ServiceQueue &queue, const QueuedRequest &request);

    std::unordered_map<catalog::ServiceName, ServiceQueue> queues;
    std::size_t waitingCount = 0;
};

/// The facts about a request that its place in the queue follows from.
struct RequestFacts
{
    const catalog::Route &route;
    const catalog::ServiceName &service;
    OrganisationId organisation;
    int priority = 0;
    MonotonicTime arrivedAt{};
    /// When its caller's time limit ends.
    MonotonicTime deadline{};
    /// Time since the caller's first attempt, if it returned after a refusal; see TimeLimits::elapsed().
    Duration sinceFirstAttempt{};
    bool hasEarlierAttempt = false;
};

/// Returns the request as it is queued at \p now, with the measured times of its route; the id is not set.
///
/// Precondition: \p now does not go back. Thread safety: that of \p times.
QueuedRequest makeQueuedRequest(const RequestFacts &facts, const ServiceTimes &times, MonotonicTime now);

} // namespace rhubarbtiller::balance
