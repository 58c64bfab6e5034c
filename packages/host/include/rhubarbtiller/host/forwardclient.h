#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/config/rows.h>
#include <rhubarbtiller/host/peerhealth.h>
#include <rhubarbtiller/host/work.h>
#include <rhubarbtiller/peer/peernetwork.h>

#include <asio/awaitable.hpp>

namespace rhubarbtiller::host {

/// Hands requests to other hosts and tells truthfully what came of them.
///
/// Thread safety: any thread.
class ForwardClient
{
public:
    /// Precondition: the references outlive this object.
    ForwardClient(const Clock &systemClock, peer::PeerNetwork &peerNetwork, PeerHealth &peerHealth);

    /// Forwards to the home of the organisation (empty \p server) or to the owner of a server.
    ///
    /// After a broken or silent connection the peer is asked to bar the request: if it had not started, the outcome is
    /// "not run", else it is unknown. Precondition: \p attemptDeadline is not after the deadline of \p work; the id of \p work was
    /// not forwarded before.
    asio::awaitable<WorkOutcome> forward(config::Host peer, Work work, BackendServerId server, MonotonicTime attemptDeadline);

    /// Returns the health of peers as seen by forwarded requests. Precondition: none.
    const PeerHealth &health() const
    {
        return this->peers;
    }

private:
    asio::awaitable<WorkOutcome> bar(const config::Host &peer, const Work &work, const std::error_code &cause);

    const Clock &clock;
    peer::PeerNetwork &network;
    PeerHealth &peers;
};

} // namespace rhubarbtiller::host
