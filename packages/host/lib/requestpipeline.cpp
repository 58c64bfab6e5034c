#include <rhubarbtiller/host/requestpipeline.h>

#include "answers.h"
#include "awaiting.h"

#include <rhubarbtiller/routing/addressanswer.h>
#include <rhubarbtiller/routing/keyextractor.h>
#include <rhubarbtiller/telemetry/log.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace rhubarbtiller::host {

using routing::Execution;
using routing::Reason;

static constexpr std::string_view AddressPath = "/.well-known/rhubarbtiller/addresses";

/// Requests on routes that are open to all count for this organisation.
static const OrganisationId PublicOrganisation("public");

static constexpr Duration StaleRetryAfter = std::chrono::seconds(1);

/// Time that the home needs to ask a silent server owner whether a request has started, and to answer.
static constexpr Duration HomeAnswerTime = std::chrono::milliseconds(150);

/// A shard changes its holder within a few of these.
static constexpr std::chrono::milliseconds HomeRetryPause{50};

/// Digits of a request id; enough that two requests of the fleet never share one.
static constexpr std::size_t RequestIdDigits = 24;

RequestPipeline::RequestPipeline(const Parts &pipelineParts) : parts(pipelineParts)
{
}

void RequestPipeline::onRequest(http::HttpRequest request, std::shared_ptr<http::Responder> responder)
{
    const auto arrivedAt = this->parts.clock.now();
    asio::co_spawn(
        this->parts.executor,
        [this, request = std::move(request), responder = std::move(responder), arrivedAt]() mutable -> asio::awaitable<void> {
            this->parts.overload.onHostDelay(this->parts.clock.now() - arrivedAt, this->parts.clock.now());
            co_await this->handle(std::move(request), std::move(responder));
        },
        asio::detached);
}

static std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

asio::awaitable<void> RequestPipeline::handle(http::HttpRequest request, std::shared_ptr<http::Responder> responder)
{
    if (pathOf(request.target) == AddressPath) {
        responder->respond(this->addressAnswer(request));
        co_return;
    }
    this->inProgress.fetch_add(1, std::memory_order_relaxed);
    const auto startedAt = this->parts.clock.now();
    const auto wallStart = this->parts.clock.wallNow();
    const RequestId id(randomHex(this->parts.random, RequestIdDigits));
    const auto caller = telemetry::TraceContext::parse(findHeader(request.headers, "traceparent"), this->parts.random);
    const auto trace = caller.child(this->parts.random);
    auto cancel = std::make_shared<CancelToken>();
    responder->onDisconnect([cancel] {
        cancel->cancel();
    });
    auto outcome = co_await this->process(request, cancel, trace, id);
    const auto execution = outcome.execution;
    const auto reason = outcome.response ? Reason::None : outcome.refusal.reason;
    const auto word = routing::factsOf(reason).word;
    auto response = toResponse(std::move(outcome), id);
    const auto status = response.status;
    responder->respond(std::move(response));
    const auto length = this->parts.clock.now() - startedAt;
    this->parts.spans.exportSpan({"entry",
                                  trace,
                                  caller.spanId,
                                  wallStart,
                                  length,
                                  {{"request", id.text()},
                                   {"status", std::to_string(status)},
                                   {"execution", std::string(routing::executionWord(execution))},
                                   {"reason", std::string(word)}}});
    this->parts.metrics.countRequest(routing::executionWord(execution), word);
    if (reason != Reason::None) {
        telemetry::logEvent(telemetry::LogLevel::Debug,
                            "refused",
                            {{"request", id.text()}, {"reason", word}, {"execution", routing::executionWord(execution)}});
    }
    this->inProgress.fetch_sub(1, std::memory_order_relaxed);
}

std::optional<WorkOutcome> RequestPipeline::accept(http::HttpRequest &request, const blackboard::RoutingView &view, Accepted &accepted)
{
    const auto refuse = [](Reason reason, std::optional<Duration> retryAfter = {}) {
        return WorkOutcome::refused(reason, Execution::NotRun, retryAfter);
    };
    // The key goes before anything else can see the request.
    const auto key = routing::extractKey(request.headers, request.target, request.body.text());
    if (key.fault != Reason::None) {
        return refuse(key.fault);
    }
    const auto &snapshot = *view.snapshot;
    const auto *const route = snapshot.findRoute(request.method, pathOf(request.target));
    if (!route) {
        return refuse(Reason::NoRoute);
    }
    auto &work = accepted.work;
    if (route->isOpenToAll) {
        work.organisation = PublicOrganisation;
    } else if (!key.digest) {
        return refuse(Reason::MissingKey);
    } else if (const auto *const grant = snapshot.findKey(*key.digest)) {
        work.organisation = grant->organisation;
        work.keyDigest = grant->digest;
    } else {
        return refuse(Reason::UnknownKey);
    }
    if (request.body.size() > route->maxBody.count()) {
        return refuse(Reason::BodyTooLarge);
    }
    accepted.permit = this->parts.overload.enter(work.organisation);
    if (!accepted.permit) {
        return refuse(Reason::HostOverloaded, StaleRetryAfter);
    }
    work.route = route->name;
    work.deadline = this->parts.clock.now() + route->timeLimit;
    work.configVersion = snapshot.version();
    accepted.isIdempotent = route->isIdempotent;
    accepted.hasHome = snapshot.findOrganisation(work.organisation) != nullptr;
    work.slice = this->chooseSlice(work.organisation, view);
    work.request = std::move(request);
    return std::nullopt;
}

std::uint32_t RequestPipeline::chooseSlice(const OrganisationId &organisationId, const blackboard::RoutingView &view)
{
    const auto *const organisation = view.snapshot->findOrganisation(organisationId);
    const auto slices = organisation ? membership::sliceCount(organisation->rate) : 1;
    if (slices == 1) {
        return 0;
    }
    // A slice whose home this host is needs no further hop.
    const auto leases = this->parts.board.leases.read();
    const auto now = this->parts.clock.now();
    const auto first = static_cast<std::uint32_t>(this->parts.random.below(slices));
    for (std::uint32_t i = 0; i < slices; ++i) {
        const auto slice = (first + i) % slices;
        if (leases->owns(view.placement->shardOf(organisationId, slice), now)) {
            return slice;
        }
    }
    return first;
}

asio::awaitable<WorkOutcome> RequestPipeline::process(http::HttpRequest &request,
                                                      const std::shared_ptr<CancelToken> &cancel,
                                                      telemetry::TraceContext trace,
                                                      RequestId id)
{
    const auto view = this->parts.board.routing.read();
    const auto leases = this->parts.board.leases.read();
    if (!view || !leases || !leases->freshness.holds(this->parts.clock.now())) {
        co_return WorkOutcome::refused(Reason::StaleConfiguration, Execution::NotRun, StaleRetryAfter);
    }
    Accepted accepted;
    if (auto refused = this->accept(request, *view, accepted)) {
        co_return std::move(*refused);
    }
    accepted.work.id = std::move(id);
    accepted.work.trace = std::move(trace);
    accepted.work.cancel = cancel;
    co_return co_await this->runAtHome(accepted);
}

/// Returns the deadline for the home, early enough that its answer about a silent backend server still arrives in time.
///
/// With the same deadline the entry host would take the home for silent, suspect it, and lose its more precise answer.
static MonotonicTime homeDeadline(MonotonicTime deadline, MonotonicTime now)
{
    return deadline - std::min(HomeAnswerTime, (deadline - now) / 4);
}

/// Returns whether the refusal only says that the request came to a host that cannot admit it now.
static bool isMisdirected(const WorkOutcome &outcome)
{
    if (outcome.response || outcome.execution != Execution::NotRun) {
        return false;
    }
    const auto reason = outcome.refusal.reason;
    return reason == Reason::NoHome || reason == Reason::NotOwner || reason == Reason::StaleConfiguration || reason == Reason::HostLeaving;
}

asio::awaitable<WorkOutcome> RequestPipeline::runAtHome(const Accepted &accepted)
{
    const auto &work = accepted.work;
    if (!accepted.hasHome) {
        co_return co_await this->parts.home.run(work);
    }
    int hop = 0;
    while (true) {
        auto outcome = co_await this->askGuardians(work, hop);
        // While a shard changes its holder nobody admits for a moment; the caller should not have to notice.
        const bool canWait = this->parts.clock.now() + HomeRetryPause < work.deadline && !work.cancel->isCancelled();
        if (!isMisdirected(outcome) || !canWait) {
            co_return outcome;
        }
        co_await pauseFor(HomeRetryPause);
    }
}

asio::awaitable<WorkOutcome> RequestPipeline::askGuardians(const Work &work, int &hop)
{
    const auto view = this->parts.board.routing.read();
    const auto leases = this->parts.board.leases.read();
    const auto leaving = this->parts.board.leaving.read();
    const auto shard = view->placement->shardOf(work.organisation, work.slice);
    auto last = WorkOutcome::refused(Reason::NoHome, Execution::NotRun, StaleRetryAfter);
    if (leases->owns(shard, this->parts.clock.now())) {
        last = co_await this->parts.home.run(work);
        if (!isMisdirected(last)) {
            co_return last;
        }
    }
    // Suspect and leaving hosts come in a second round.
    for (const bool isSecondRound : {false, true}) {
        for (const auto &guardian : view->placement->guardians(shard)) {
            const auto now = this->parts.clock.now();
            const auto host = view->snapshot->hosts().find(guardian);
            const bool isDoubtful = leaving->hosts.contains(guardian) || this->parts.forwarder.health().isSuspect(guardian, now);
            if (host == view->snapshot->hosts().end() || isDoubtful != isSecondRound || now >= work.deadline) {
                continue;
            }
            if (guardian == this->parts.self) {
                last = co_await this->parts.home.run(work);
            } else {
                Work hopWork = work;
                hopWork.id = RequestId(work.id.text() + "-h" + std::to_string(hop++));
                hopWork.deadline = homeDeadline(work.deadline, now);
                const BackendServerId noServer;
                last = co_await this->parts.forwarder.forward(host->second, std::move(hopWork), noServer, work.deadline);
            }
            if (!isMisdirected(last)) {
                co_return last;
            }
        }
    }
    co_return last;
}

http::HttpResponse RequestPipeline::addressAnswer(http::HttpRequest &request) const
{
    const auto view = this->parts.board.routing.read();
    const auto leases = this->parts.board.leases.read();
    if (!view || !leases || !leases->freshness.holds(this->parts.clock.now())) {
        return toResponse(WorkOutcome::refused(Reason::StaleConfiguration, Execution::NotRun, StaleRetryAfter), RequestId("addresses"));
    }
    const auto key = routing::extractKey(request.headers, request.target, request.body.text());
    const auto *const grant = key.digest ? view->snapshot->findKey(*key.digest) : nullptr;
    // Callers without a key use open routes; any host serves them.
    config::Organisation organisation{PublicOrganisation, RequestRate(0), RequestCount(0)};
    if (grant) {
        if (const auto *const found = view->snapshot->findOrganisation(grant->organisation)) {
            organisation = *found;
        }
    } else if (key.digest || key.fault != Reason::None) {
        return toResponse(WorkOutcome::refused(Reason::UnknownKey, Execution::NotRun), RequestId("addresses"));
    }
    const auto leaving = this->parts.board.leaving.read();
    nlohmann::json addresses = nlohmann::json::array();
    for (const auto *const host : routing::hostsForOrganisation(*view->snapshot, *view->placement, organisation, leaving->hosts)) {
        addresses.push_back({{"address", host->callerAddress.text()}, {"failureDomain", host->failureDomain.text()}});
    }
    const nlohmann::json document = {{"addresses", std::move(addresses)}, {"validForMs", routing::AddressLifetime.count()}};
    return jsonResponse(200, document.dump());
}

} // namespace rhubarbtiller::host
