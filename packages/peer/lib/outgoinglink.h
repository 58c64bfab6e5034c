#pragma once

#include "connection.h"
#include "handshake.h"

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/peer/linkfilter.h>
#include <rhubarbtiller/peer/peernetwork.h>

#include <asio/io_context.hpp>
#include <asio/strand.hpp>

#include <atomic>
#include <deque>
#include <map>
#include <optional>

namespace rhubarbtiller::peer {

/// What all links of a host share.
struct LinkContext
{
    asio::io_context &ioContext;
    const Clock &clock;
    Handshake handshake;
    std::shared_ptr<const LinkFilter> filter;
    std::atomic<std::uint64_t> controlBytes{0};

    /// Counts a frame unless it carries a caller's request or its answer. Thread safety: any thread.
    void countControl(const wire::Envelope &message, std::size_t frameBytes);
};

/// The connection to one peer on which this host sends its calls.
///
/// Thread safety: call() and stop() from any thread.
class OutgoingLink : public std::enable_shared_from_this<OutgoingLink>
{
public:
    OutgoingLink(std::shared_ptr<LinkContext> linkContext, Endpoint peerAddress);

    /// Sends a message; the handler runs exactly once. Precondition: none.
    void call(wire::Envelope message, MonotonicTime deadline, PeerOutcomeHandler handler);

    /// Closes the connection and fails all calls. Precondition: none.
    void stop();

private:
    struct Call
    {
        wire::Envelope message;
        PeerOutcomeHandler handler;
        MonotonicTime deadline;
        bool mayHaveBeenSent = false;
    };

    void begin(Call call);
    void connect();
    void onConnected(asio::ip::tcp::socket socket);
    void onHandshakeFrame(std::string body);
    void sendPending();
    void send(std::int64_t id);
    void onReply(std::string body);
    void onClosed(std::error_code reason);
    void expire();
    void armTimer();
    void finish(std::int64_t id, PeerOutcome outcome);

    std::shared_ptr<LinkContext> context;
    asio::strand<asio::io_context::executor_type> strand;
    Endpoint address;
    asio::steady_timer timer;
    std::map<std::int64_t, Call> calls;
    /// The order of deadlines of all calls that may still be open.
    std::multimap<MonotonicTime, std::int64_t> deadlines;
    std::int64_t lastCallId = 0;
    std::shared_ptr<Connection> connection;
    std::optional<wire::ChallengeResponse> sentResponse;
    std::optional<HostId> peer;
    bool isConnecting = false;
    bool isStopped = false;
    MonotonicTime nextConnectAt{MonotonicTime::min()};
};

} // namespace rhubarbtiller::peer
