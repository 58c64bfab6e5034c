#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/result.h>
#include <rhubarbtiller/base/strongid.h>

#include <functional>
#include <memory>

namespace rhubarbtiller::peer::wire {
class Envelope;
} // namespace rhubarbtiller::peer::wire

namespace rhubarbtiller::peer {

/// What came of a message to a peer.
struct PeerOutcome
{
    /// The reply, or why there is none.
    Result<std::shared_ptr<const wire::Envelope>> reply;
    /// Whether any byte of the message may have reached the peer; false only when that is certain.
    bool mayHaveBeenSent = true;
};

using PeerOutcomeHandler = std::function<void(PeerOutcome)>;
using PeerReplyFunction = std::function<void(wire::Envelope)>;

/// Takes the messages of peers.
class PeerMessageHandler
{
public:
    PeerMessageHandler() = default;
    PeerMessageHandler(const PeerMessageHandler &) = delete;
    PeerMessageHandler &operator=(const PeerMessageHandler &) = delete;
    virtual ~PeerMessageHandler() = default;

    /// Takes a message from \p sender and answers with \p reply, at once or later, at most once.
    ///
    /// Thread safety: called from several threads.
    virtual void onMessage(const HostId &sender, const wire::Envelope &message, PeerReplyFunction reply) = 0;
};

/// Exchanges messages with other hosts.
class PeerNetwork
{
public:
    PeerNetwork() = default;
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;
    virtual ~PeerNetwork() = default;

    /// Sends a message; the handler runs exactly once, with the reply or an error, not after the deadline.
    ///
    /// Precondition: the network is running. Thread safety: any thread.
    virtual void call(const Endpoint &peer, wire::Envelope message, MonotonicTime deadline, PeerOutcomeHandler handler) = 0;
};

} // namespace rhubarbtiller::peer
