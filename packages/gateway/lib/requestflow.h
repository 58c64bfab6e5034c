#pragma once

#include "dispatchqueue.h"
#include "requestlog.h"
#include "requesttrace.h"
#include "rolloutcontrol.h"

#include <rhubarbtiller/balance/hostdirectory.h>
#include <rhubarbtiller/balance/organisationquota.h>
#include <rhubarbtiller/balance/placement.h>
#include <rhubarbtiller/balance/retrybudget.h>
#include <rhubarbtiller/balance/returnschedule.h>
#include <rhubarbtiller/balance/serviceoutcomes.h>
#include <rhubarbtiller/balance/servicetimes.h>
#include <rhubarbtiller/balance/timelimits.h>
#include <rhubarbtiller/balance/weightedsplit.h>
#include <rhubarbtiller/base/rcucell.h>
#include <rhubarbtiller/gateway/backendclient.h>
#include <rhubarbtiller/http/httpserver.h>
#include <rhubarbtiller/telemetry/metrics.h>

#include <asio/steady_timer.hpp>

#include <set>

namespace rhubarbtiller::gateway {

class RequestFlow;

/// State shared by all request flows. Thread safety: the thread of the serving context.
struct FlowContext
{
    asio::io_context &context;
    const Clock &clock;
    RandomSource &random;
    const Dialect &dialect;
    BackendClient &backend;
    RcuCell<catalog::FleetState> &state;
    balance::Scoreboard &board;
    balance::OrganisationQuota &quota;
    balance::RetryBudget &retryBudget;
    balance::WeightedSplit &split;
    balance::HostDirectory &directory;
    telemetry::Metrics &metrics;
    /// Called after evidence was recorded.
    std::function<void()> onEvidenceRecorded;
    /// Returns the store versions of the configuration: that of this host, and the newest that a peer announced.
    std::function<std::pair<std::uint64_t, std::uint64_t>()> configurationVersions;
    DispatchQueue dispatchQueue{};
    balance::ServiceTimes serviceTimes{};
    balance::TimeLimits timeLimits{};
    balance::ReturnSchedule returns{};
    RequestLog log{};
    /// Exports the spans; null disables tracing.
    telemetry::SpanExporter *spans = nullptr;
    MonotonicTime lastRequestAt{};
    /// When a request of an organisation was last admitted.
    MonotonicTime lastAdmittedAt{};
    balance::ServiceOutcomes outcomes{};
    /// When the process ends; the end of time while no stop is planned.
    MonotonicTime endsAt = MonotonicTime::max();
    /// The flows that exist, whether or not they have responded; shared with them, as they may outlive the context.
    std::shared_ptr<std::set<RequestFlow *>> flows = std::make_shared<std::set<RequestFlow *>>();
    /// Selects the versions of servers during roll-outs; null for none.
    RolloutControl *rollouts = nullptr;

    /// Returns the number of requests in progress. Precondition: none.
    std::uint64_t requestsInProgress() const
    {
        return this->flows->size();
    }
};

/// Processes one request of a caller: admission, placement, attempts and retries, and the response.
///
/// Thread safety: the thread of the serving context.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>, public DispatchQueue::Entry
{
public:
    /// Precondition: \p flowContext outlives the flow.
    RequestFlow(FlowContext &flowContext, std::shared_ptr<http::Responder> callerResponder);
    ~RequestFlow() override;
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;

    /// Starts processing; the caller receives exactly one response unless it disconnects. Precondition: called once.
    void start(http::HttpRequest message);

    bool tryStart() override;
    void onRejected(const balance::QueueRefusal &refusal) override;

    /// Has the request end before the process does. Precondition: the end of the process is set in the context; start() was called.
    void onStopPlanned();

private:
    struct Attempt
    {
        BackendServerId server;
        Endpoint address;
        MonotonicTime startedAt{};
        std::shared_ptr<BackendAttempt> attempt;
        double failureProbability = 0;
        std::uint32_t outstanding = 0;
        unsigned overdueCount = 0;
        bool isOpen = false;
        RequestTrace::AttemptSpan span;
        /// Of the roll-out of the service; 0 without one.
        std::uint64_t rolloutTicket = 0;
    };

    std::optional<Refusal> admit();
    bool canEndInTime() const;
    std::optional<Refusal> sendNext(bool isRetry);
    std::optional<Refusal> sendOrEnqueue(bool isRetry);
    balance::QueuedRequest queuedRequest(MonotonicTime now) const;
    bool joinQueue(const balance::QueuedRequest &queued, MonotonicTime now);
    void leaveQueue();
    void reportUsableSlots(MonotonicTime now);
    void onQueueRefusal(const balance::QueueRefusal &refusal);
    std::optional<Duration> retryAfter(const Refusal &refusal, MonotonicTime now);
    int priority() const;
    double retryReserve() const;
    void onOutcome(std::size_t number, AttemptOutcome outcome);
    void onResponse(std::size_t number, http::HttpResponse response);
    void onFailedAttempt(RefusalReason reason);
    void onCallerDisconnected();
    void armTimer();
    void onTimer();
    bool hasOpenAttempt() const;
    bool mayHaveRun() const;
    bool canRetry() const;
    bool isIdempotent() const;
    void closeAttempt(Attempt &closed);
    balance::Placement place(balance::PlacementQuery &query, const catalog::FleetState &fleet, MonotonicTime now);
    void recordRolloutResult(const Attempt &ended, const AttemptOutcome &outcome);
    void observe(const Attempt &observed, balance::Evidence evidence);
    void recordServiceTime(const Attempt &answered);
    void respond(http::HttpResponse response, std::string_view outcome);
    void refuse(const Refusal &refusal);
    void recordOutcome(bool isServed);
    void cancelAttempts();
    void record(std::string_view outcome, int status);

    FlowContext &flow;
    const std::shared_ptr<std::set<RequestFlow *>> openFlows;
    std::shared_ptr<http::Responder> responder;
    std::shared_ptr<const catalog::FleetState> state;
    CallerRequest request;
    std::optional<RequestTrace> trace;
    const catalog::Route *route = nullptr;
    OrganisationId organisation;
    balance::QuotaDecision quota;
    catalog::ServiceName service;
    MonotonicTime arrivedAt{};
    MonotonicTime deadline{};
    asio::steady_timer timer;
    std::vector<Attempt> attempts;
    std::vector<BackendServerId> triedServers;
    /// Attempts that were sent, whether or not the server accepted them; failed connections do not count.
    unsigned sentAttempts = 0;
    /// Servers that may have run the request.
    unsigned possibleRuns = 0;
    unsigned connectFailures = 0;
    /// The ticket in the queue of waiting requests; 0 if not queued.
    std::uint64_t ticket = 0;
    std::uint32_t usableSlots = 0;
    bool isQueuedRetry = false;
    /// Why the queue refused the request.
    std::optional<balance::QueueRefusal> queueRefusal;
    std::optional<Duration> announcedRetryAfter;
    std::optional<int> organisationPriority;
    bool hasHedged = false;
    /// Whether an attempt was sent to a server of the target of a roll-out.
    bool hasUsedRolloutTarget = false;
    bool isAdmitted = false;
    bool isFinished = false;
    /// An error response of a server, returned to the caller if no other attempt succeeds.
    std::optional<http::HttpResponse> reportedFailure;
};

} // namespace rhubarbtiller::gateway
