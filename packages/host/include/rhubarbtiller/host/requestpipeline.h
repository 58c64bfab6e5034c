#pragma once

#include <rhubarbtiller/blackboard/blackboard.h>
#include <rhubarbtiller/host/forwardclient.h>
#include <rhubarbtiller/host/homeservice.h>
#include <rhubarbtiller/host/work.h>
#include <rhubarbtiller/http/httpserver.h>
#include <rhubarbtiller/limits/overload.h>
#include <rhubarbtiller/telemetry/metrics.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <atomic>

namespace rhubarbtiller::host {

/// Takes the requests of callers: authenticates them, finds the home of their organisation and answers.
///
/// Thread safety: any thread.
class RequestPipeline : public http::RequestHandler
{
public:
    /// The objects that a RequestPipeline works with.
    struct Parts
    {
        asio::any_io_executor executor;
        const Clock &clock;
        const blackboard::Blackboard &board;
        HostId self;
        limits::OverloadControl &overload;
        HomeService &home;
        ForwardClient &forwarder;
        RandomSource &random;
        telemetry::SpanExporter &spans;
        telemetry::Metrics &metrics;
    };

    /// Precondition: what \p pipelineParts refers to outlives this object.
    explicit RequestPipeline(const Parts &pipelineParts);

    void onRequest(http::HttpRequest request, std::shared_ptr<http::Responder> responder) override;

    /// Returns the requests of callers that are not answered yet. Precondition: none.
    std::uint32_t requestsInProgress() const
    {
        return this->inProgress.load(std::memory_order_relaxed);
    }

private:
    /// A request that passed all checks that need no other host.
    struct Accepted
    {
        Work work;
        bool isIdempotent = false;
        /// Routes open to all without a rate are run where they arrive.
        bool hasHome = false;
        std::optional<limits::OverloadPermit> permit;
    };

    asio::awaitable<void> handle(http::HttpRequest request, std::shared_ptr<http::Responder> responder);
    asio::awaitable<WorkOutcome>
    process(http::HttpRequest &request, const std::shared_ptr<CancelToken> &cancel, telemetry::TraceContext trace, RequestId id);
    std::optional<WorkOutcome> accept(http::HttpRequest &request, const blackboard::RoutingView &view, Accepted &accepted);
    std::uint32_t chooseSlice(const OrganisationId &organisation, const blackboard::RoutingView &view);
    asio::awaitable<WorkOutcome> runAtHome(const Accepted &accepted);
    asio::awaitable<WorkOutcome> askGuardians(const Work &work, int &hop);
    http::HttpResponse addressAnswer(http::HttpRequest &request) const;

    Parts parts;
    std::atomic<std::uint32_t> inProgress{0};
};

} // namespace rhubarbtiller::host
