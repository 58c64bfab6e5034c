#include "faultproxy.h"

#include <rhubarbtiller/http/endpoints.h>

#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <utility>

namespace rhubarbtiller::soak {

using asio::ip::tcp;

/// How late bytes are on a delayed link: more than a connection handshake, less than a request's deadline.
static constexpr std::chrono::milliseconds LinkDelay{150};

/// How often a held direction looks whether the link is whole again.
static constexpr std::chrono::milliseconds HoldInterval{20};

const char *linkModeWord(LinkMode mode)
{
    switch (mode) {
    case LinkMode::Pass:
        return "pass";
    case LinkMode::Delay:
        return "delay";
    case LinkMode::Silent:
        return "silent";
    case LinkMode::SilentForward:
        return "silent_forward";
    case LinkMode::SilentBackward:
        return "silent_backward";
    case LinkMode::Reset:
        return "reset";
    }
    return "unknown";
}

struct FaultProxy::State
{
    asio::io_context &context;
    tcp::endpoint target;
    LinkMode mode = LinkMode::Pass;
    std::vector<std::weak_ptr<Link>> links;
};

/// One connection through the proxy.
class FaultProxy::Link : public std::enable_shared_from_this<Link>
{
public:
    Link(std::shared_ptr<State> sharedState, tcp::socket accepted)
        : state(std::move(sharedState))
        , forward{std::move(accepted), {}, asio::steady_timer(this->state->context)}
        , backward{tcp::socket(this->state->context), {}, asio::steady_timer(this->state->context)}
    {
    }

    void start()
    {
        this->backward.source.async_connect(this->state->target, [self = this->shared_from_this()](std::error_code error) {
            if (error) {
                self->reset();
                return;
            }
            std::error_code ignored;
            self->forward.source.set_option(tcp::no_delay(true), ignored);
            self->backward.source.set_option(tcp::no_delay(true), ignored);
            self->read(self->forward, self->backward);
            self->read(self->backward, self->forward);
        });
    }

    void reset()
    {
        for (auto *const side : {&this->forward, &this->backward}) {
            std::error_code ignored;
            side->source.set_option(asio::socket_base::linger(true, 0), ignored);
            side->source.close(ignored);
            side->timer.cancel();
        }
    }

private:
    struct Side
    {
        tcp::socket source;
        std::array<char, 16384> bytes{};
        asio::steady_timer timer;
    };

    bool isHeld(const Side &from) const
    {
        const auto mode = this->state->mode;
        return mode == LinkMode::Silent || (mode == LinkMode::SilentForward && &from == &this->forward)
            || (mode == LinkMode::SilentBackward && &from == &this->backward);
    }

    void read(Side &from, Side &to)
    {
        from.source.async_read_some(asio::buffer(from.bytes),
                                    [self = this->shared_from_this(), &from, &to](std::error_code error, std::size_t size) {
                                        if (error) {
                                            self->pass(from, to, 0);
                                            return;
                                        }
                                        self->pass(from, to, size);
                                    });
    }

    /// Writes what was read, or ends the other side after 0 bytes, as soon as the link lets it through.
    void pass(Side &from, Side &to, std::size_t size)
    {
        const bool isDelayed = this->state->mode == LinkMode::Delay;
        if (!this->isHeld(from) && !isDelayed) {
            this->write(from, to, size);
            return;
        }
        from.timer.expires_after(isDelayed ? LinkDelay : HoldInterval);
        from.timer.async_wait([self = this->shared_from_this(), &from, &to, size, isDelayed](std::error_code error) {
            if (error) {
                return;
            }
            if (isDelayed) {
                self->write(from, to, size);
            } else {
                self->pass(from, to, size);
            }
        });
    }

    void write(Side &from, Side &to, std::size_t size)
    {
        if (size == 0) {
            std::error_code ignored;
            to.source.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        asio::async_write(
            to.source, asio::buffer(from.bytes, size), [self = this->shared_from_this(), &from, &to](std::error_code error, std::size_t) {
                if (error) {
                    self->reset();
                    return;
                }
                self->read(from, to);
            });
    }

    std::shared_ptr<State> state;
    Side forward;
    Side backward;
};

FaultProxy::FaultProxy(asio::io_context &ioContext, Endpoint target)
    : state(std::make_shared<State>(State{ioContext, http::parseEndpoint(target).value(), LinkMode::Pass, {}}))
    , acceptor(ioContext, tcp::endpoint(asio::ip::make_address_v4("127.0.0.1"), 0))
{
    this->accept();
}

FaultProxy::~FaultProxy()
{
    this->setMode(LinkMode::Reset);
}

Endpoint FaultProxy::address() const
{
    return http::formatEndpoint(this->acceptor.local_endpoint());
}

void FaultProxy::setMode(LinkMode mode)
{
    this->state->mode = mode;
    if (mode != LinkMode::Reset) {
        return;
    }
    for (const auto &entry : std::exchange(this->state->links, {})) {
        if (const auto link = entry.lock()) {
            link->reset();
        }
    }
}

void FaultProxy::accept()
{
    this->acceptor.async_accept([this, weak = std::weak_ptr(this->lifetime)](std::error_code error, tcp::socket socket) {
        if (weak.expired() || error == asio::error::operation_aborted) {
            return;
        }
        if (!error && this->state->mode == LinkMode::Reset) {
            std::error_code ignored;
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        } else if (!error) {
            std::erase_if(this->state->links, [](const auto &entry) {
                return entry.expired();
            });
            const auto link = std::make_shared<Link>(this->state, std::move(socket));
            this->state->links.push_back(link);
            link->start();
        }
        this->accept();
    });
}

} // namespace rhubarbtiller::soak
