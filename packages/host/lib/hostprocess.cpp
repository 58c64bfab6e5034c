#include <rhubarbtiller/host/hostprocess.h>

#include "linkfaults.h"

#include <rhubarbtiller/host/configcontroller.h>
#include <rhubarbtiller/host/draincontroller.h>
#include <rhubarbtiller/host/operatorservice.h>
#include <rhubarbtiller/host/peerdispatcher.h>
#include <rhubarbtiller/host/rostercontroller.h>
#include <rhubarbtiller/http/curlhttpclient.h>
#include <rhubarbtiller/http/restinioserver.h>
#include <rhubarbtiller/peer/asiopeernetwork.h>
#include <rhubarbtiller/platform/dynamotableservice.h>
#include <rhubarbtiller/platform/httphostlist.h>
#include <rhubarbtiller/platform/s3objectstore.h>
#include <rhubarbtiller/telemetry/log.h>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <array>
#include <ctime>

namespace rhubarbtiller::host {

using telemetry::Gauge;
using telemetry::logEvent;
using telemetry::LogLevel;

/// How often waiting requests are looked at; bounds how late one is refused after its deadline.
static constexpr std::chrono::milliseconds SlotInterval{20};

/// How often unused entries are dropped and gauges are set.
static constexpr std::chrono::milliseconds HousekeepingInterval{2000};

/// A token bucket that was not used for this long is dropped.
static constexpr Duration IdleRateTime = std::chrono::minutes(1);

/// Operators need few connections; a lost scraper must not take all of them.
static constexpr std::uint32_t MaxOperatorConnections = 64;

/// Gives the parts that need the peer network before it can be made a stable address.
class LatePeerNetwork : public peer::PeerNetwork
{
public:
    void call(const Endpoint &peer, peer::wire::Envelope message, MonotonicTime deadline, peer::PeerOutcomeHandler handler) override;

    std::unique_ptr<peer::AsioPeerNetwork> target;
};

/// Gives the peer network a handler before the dispatcher can be made.
class LateMessageHandler : public peer::PeerMessageHandler
{
public:
    void onMessage(const HostId &sender, const peer::wire::Envelope &message, peer::PeerReplyFunction reply) override
    {
        this->target->onMessage(sender, message, std::move(reply));
    }

    peer::PeerMessageHandler *target = nullptr;
};

} // namespace rhubarbtiller::host
