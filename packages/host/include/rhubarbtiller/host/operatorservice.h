#pragma once

#include <rhubarbtiller/blackboard/blackboard.h>
#include <rhubarbtiller/host/configcontroller.h>
#include <rhubarbtiller/host/draincontroller.h>
#include <rhubarbtiller/host/leasecontroller.h>
#include <rhubarbtiller/host/poolcontroller.h>
#include <rhubarbtiller/host/requestpipeline.h>
#include <rhubarbtiller/host/rostercontroller.h>
#include <rhubarbtiller/http/httpserver.h>
#include <rhubarbtiller/telemetry/metrics.h>

#include <asio/any_io_executor.hpp>

#include <functional>
#include <string>

namespace rhubarbtiller::host {

/// Answers operators: health, metrics, state and the planned stop of this host.
///
/// Thread safety: any thread.
class OperatorService : public http::RequestHandler
{
public:
    /// The objects that an OperatorService reports on.
    struct Parts
    {
        asio::any_io_executor controlStrand;
        const Clock &clock;
        const blackboard::Blackboard &board;
        HostId self;
        std::string credential;
        ConfigController &configs;
        LeaseController &leases;
        PoolController &pools;
        ServerOwner &serverOwner;
        health::ServerSlots &slots;
        RosterController &roster;
        RequestPipeline &pipeline;
        DrainController &drain;
        telemetry::Metrics &metrics;
        /// Drops messages from and to a peer, for tests of partitions; unset unless the settings allow it.
        std::function<void(const config::Host &peer, bool dropIncoming, bool dropOutgoing)> setLinkFault;
    };

    /// Precondition: what \p serviceParts refers to outlives this object.
    explicit OperatorService(Parts serviceParts);

    /// Lets operators drop messages from and to peers. Precondition: called before the first request.
    void allowLinkFaults(std::function<void(const config::Host &peer, bool dropIncoming, bool dropOutgoing)> setFault)
    {
        this->parts.setLinkFault = std::move(setFault);
    }

    void onRequest(http::HttpRequest request, std::shared_ptr<http::Responder> responder) override;

private:
    bool isAuthorized(const http::HttpRequest &request) const;
    void answer(const http::HttpRequest &request, const std::shared_ptr<http::Responder> &responder);
    http::HttpResponse health() const;
    http::HttpResponse state() const;
    http::HttpResponse setLink(const std::string &body) const;

    Parts parts;
};

} // namespace rhubarbtiller::host
