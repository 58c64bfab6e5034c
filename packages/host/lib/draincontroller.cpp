#include <rhubarbtiller/host/draincontroller.h>

#include <rhubarbtiller/routing/addressanswer.h>
#include <rhubarbtiller/telemetry/log.h>

namespace rhubarbtiller::host {

using telemetry::logEvent;
using telemetry::LogLevel;

static constexpr std::chrono::milliseconds CheckInterval{50};

/// Other hosts hear of the leaving with the next vote exchange, and may name this host in their answers until then.
static constexpr Duration NoticeTime = LeaseController::AskInterval + std::chrono::milliseconds(500);

DrainController::DrainController(asio::any_io_executor controlStrand,
                                 const Clock &systemClock,
                                 blackboard::Blackboard &blackboard,
                                 LeaseController &leaseController,
                                 RosterController &rosterController,
                                 RequestPipeline &requestPipeline,
                                 std::function<std::uint32_t()> forwardedRequests,
                                 http::HttpServer &callerServer,
                                 std::function<void()> whenDone)
    : strand(std::move(controlStrand))
    , clock(systemClock)
    , board(blackboard)
    , leases(leaseController)
    , roster(rosterController)
    , pipeline(requestPipeline)
    , forwarded(std::move(forwardedRequests))
    , server(callerServer)
    , done(std::move(whenDone))
    , timer(this->strand)
{
}

void DrainController::begin()
{
    if (this->hasBegun) {
        return;
    }
    this->hasBegun = true;
    logEvent(LogLevel::Info, "drain_begun");
    this->board.phase.store(blackboard::Phase::Draining);
    this->roster.beginLeaving();
    this->leases.beginLeaving();
    this->addressesExpireAt = this->clock.now() + NoticeTime + routing::AddressLifetime;
    this->check();
}

void DrainController::check()
{
    const auto now = this->clock.now();
    const auto open = this->pipeline.requestsInProgress() + this->forwarded();
    if (now >= this->addressesExpireAt && !this->hasStoppedAccepting) {
        this->hasStoppedAccepting = true;
        this->server.stopAccepting();
    }
    if (this->hasStoppedAccepting && open == 0) {
        logEvent(LogLevel::Info, "drain_done");
        this->done();
        return;
    }
    this->timer.expires_after(CheckInterval);
    this->timer.async_wait([this](const std::error_code &error) {
        if (!error) {
            this->check();
        }
    });
}

} // namespace rhubarbtiller::host
