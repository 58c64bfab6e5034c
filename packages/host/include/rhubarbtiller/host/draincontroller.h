#pragma once

#include <rhubarbtiller/blackboard/blackboard.h>
#include <rhubarbtiller/host/leasecontroller.h>
#include <rhubarbtiller/host/requestpipeline.h>
#include <rhubarbtiller/host/rostercontroller.h>
#include <rhubarbtiller/http/httpserver.h>

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>

#include <functional>

namespace rhubarbtiller::host {

/// Carries out a planned stop: the host gives up what it owns, serves until its addresses have expired, and ends.
///
/// Thread safety: all methods on the control strand.
class DrainController
{
public:
    /// Precondition: the references outlive this object; \p whenDone ends the process.
    DrainController(asio::any_io_executor controlStrand,
                    const Clock &systemClock,
                    blackboard::Blackboard &blackboard,
                    LeaseController &leaseController,
                    RosterController &rosterController,
                    RequestPipeline &requestPipeline,
                    std::function<std::uint32_t()> forwardedRequests,
                    http::HttpServer &callerServer,
                    std::function<void()> whenDone);

    /// Begins the planned stop; later calls do nothing. Precondition: none.
    void begin();

private:
    void check();

    asio::any_io_executor strand;
    const Clock &clock;
    blackboard::Blackboard &board;
    LeaseController &leases;
    RosterController &roster;
    RequestPipeline &pipeline;
    std::function<std::uint32_t()> forwarded;
    http::HttpServer &server;
    std::function<void()> done;
    asio::steady_timer timer;
    MonotonicTime addressesExpireAt;
    bool hasBegun = false;
    bool hasStoppedAccepting = false;
};

} // namespace rhubarbtiller::host
