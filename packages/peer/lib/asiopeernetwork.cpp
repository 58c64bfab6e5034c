#include <rhubarbtiller/peer/asiopeernetwork.h>

#include "endpoints.h"
#include "incominglink.h"
#include "outgoinglink.h"

#include <rhubarbtiller/peer/errors.h>

#include <mutex>
#include <set>
#include <unordered_map>

namespace rhubarbtiller::peer {

/// Accepting goes on after this pause when the host is out of sockets.
static constexpr std::chrono::milliseconds AcceptPause{100};

struct AsioPeerNetwork::Core : std::enable_shared_from_this<Core>
{
    Core(asio::io_context &context, const Clock &clock, PeerOptions peerOptions, PeerMessageHandler &messageHandler)
        : options(std::move(peerOptions))
        , handler(messageHandler)
        , links(new LinkContext{context, clock, Handshake(this->options.self, this->options.credential), this->options.filter})
        , acceptor(context)
        , pause(context)
    {
        if (!this->links->filter) {
            this->links->filter = std::make_shared<const LinkFilter>();
        }
    }

    void accept()
    {
        this->acceptor.async_accept(asio::make_strand(this->links->ioContext),
                                    [self = this->shared_from_this()](const std::error_code &error, asio::ip::tcp::socket socket) {
                                        self->onAccepted(error, std::move(socket));
                                    });
    }

    void onAccepted(const std::error_code &error, asio::ip::tcp::socket socket)
    {
        if (error == asio::error::operation_aborted || !this->acceptor.is_open()) {
            return;
        }
        if (error) {
            this->pause.expires_after(AcceptPause);
            this->pause.async_wait([self = this->shared_from_this()](const std::error_code &cancelled) {
                if (!cancelled) {
                    self->accept();
                }
            });
            return;
        }
        auto link = std::make_shared<IncomingLink>(this->links, this->handler, std::move(socket));
        {
            const std::lock_guard lock(this->mutex);
            this->incoming.insert(link);
        }
        link->start([self = this->shared_from_this(), weak = std::weak_ptr(link)] {
            const std::lock_guard lock(self->mutex);
            self->incoming.erase(weak.lock());
        });
        this->accept();
    }

    PeerOptions options;
    PeerMessageHandler &handler;
    std::shared_ptr<LinkContext> links;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer pause;
    std::mutex mutex;
    std::unordered_map<Endpoint, std::shared_ptr<OutgoingLink>> outgoing;
    std::set<std::shared_ptr<IncomingLink>> incoming;
};

AsioPeerNetwork::AsioPeerNetwork(asio::io_context &context,
                                 const Clock &systemClock,
                                 PeerOptions peerOptions,
                                 PeerMessageHandler &messageHandler)
    : core(std::make_shared<Core>(context, systemClock, std::move(peerOptions), messageHandler))
{
}

AsioPeerNetwork::~AsioPeerNetwork()
{
    this->stop();
}

std::error_code AsioPeerNetwork::start()
{
    const auto endpoint = parseEndpoint(this->core->options.bindAddress);
    if (!endpoint) {
        return make_error_code(PeerError::AddressInUse);
    }
    auto &acceptor = this->core->acceptor;
    std::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error) {
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
        acceptor.bind(*endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return make_error_code(PeerError::AddressInUse);
    }
    this->core->accept();
    return {};
}

Endpoint AsioPeerNetwork::boundAddress() const
{
    std::error_code ignored;
    return formatEndpoint(this->core->acceptor.local_endpoint(ignored));
}

void AsioPeerNetwork::call(const Endpoint &peer, wire::Envelope message, MonotonicTime deadline, PeerOutcomeHandler handler)
{
    std::shared_ptr<OutgoingLink> link;
    {
        const std::lock_guard lock(this->core->mutex);
        auto &entry = this->core->outgoing[peer];
        if (!entry) {
            entry = std::make_shared<OutgoingLink>(this->core->links, peer);
        }
        link = entry;
    }
    link->call(std::move(message), deadline, std::move(handler));
}

std::uint64_t AsioPeerNetwork::controlBytes() const
{
    return this->core->links->controlBytes.load(std::memory_order_relaxed);
}

void AsioPeerNetwork::stop()
{
    std::error_code ignored;
    this->core->acceptor.close(ignored);
    this->core->pause.cancel();
    const std::lock_guard lock(this->core->mutex);
    for (const auto &[address, link] : this->core->outgoing) {
        link->stop();
    }
    for (const auto &link : this->core->incoming) {
        link->stop();
    }
}

} // namespace rhubarbtiller::peer
