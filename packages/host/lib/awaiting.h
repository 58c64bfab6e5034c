#pragma once

#include <asio/async_result.hpp>
#include <asio/awaitable.hpp>
#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace rhubarbtiller::host {

/// A suspended coroutine that goes on once its operation was started completely and has reported its result.
///
/// Both conditions are needed: an operation may report from another thread while the function that starts it still uses
/// objects of the coroutine. Thread safety: arrive() from any thread, twice.
template<class Completion>
class Rendezvous
{
public:
    explicit Rendezvous(Completion coroutine) : completion(std::move(coroutine))
    {
    }

    /// Notes one of the two conditions; the second call resumes the coroutine on its own executor.
    static void arrive(const std::shared_ptr<Rendezvous> &self)
    {
        if (self->arrivals.fetch_add(1, std::memory_order_acq_rel) == 0) {
            return;
        }
        asio::post(asio::get_associated_executor(self->completion), [self] {
            self->completion();
        });
    }

private:
    Completion completion;
    std::atomic<int> arrivals{0};
};

/// Waits in a coroutine for an operation that reports its result through a handler.
///
/// \p start is called with a std::function<void(Value)> that the operation calls exactly once, on any thread; the
/// coroutine goes on on its own executor, after \p start has returned. Thread safety: as the operation.
template<class Value, class Start>
asio::awaitable<Value> awaitHandler(Start start)
{
    std::optional<Value> slot;
    // The result lives in this coroutine's frame, and the initiation captures references only, so that nothing that owns
    // memory is copied into Asio's frames.
    auto initiation = [&slot, &start](auto completion) {
        auto rendezvous = std::make_shared<Rendezvous<decltype(completion)>>(std::move(completion));
        start(std::function<void(Value)>([&slot, rendezvous](Value value) {
            slot.emplace(std::move(value));
            rendezvous->arrive(rendezvous);
        }));
        rendezvous->arrive(rendezvous);
    };
    co_await asio::async_initiate<const asio::use_awaitable_t<> &, void()>(initiation, asio::use_awaitable);
    co_return std::move(*slot);
}

/// Suspends the coroutine. Thread safety: any thread.
inline asio::awaitable<void> pauseFor(std::chrono::milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    std::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace rhubarbtiller::host
