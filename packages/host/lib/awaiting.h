#pragma once

#include <asio/async_result.hpp>
#include <asio/awaitable.hpp>
#include <asio/post.hpp>
#include <asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace rhubarbtiller::host {

/// Waits in a coroutine for an operation that reports its result through a handler.
///
/// \p start is called with a std::function<void(Value)> that the operation calls exactly once, on any thread; the
/// coroutine goes on on its own executor. Thread safety: as the operation.
template<class Value, class Start>
asio::awaitable<Value> awaitHandler(Start start)
{
    auto slot = std::make_shared<std::optional<Value>>();
    co_await asio::async_initiate<const asio::use_awaitable_t<> &, void()>(
        [slot, &start](auto completion) {
            using Completion = decltype(completion);
            auto shared = std::make_shared<Completion>(std::move(completion));
            start(std::function<void(Value)>([slot, shared](Value value) {
                slot->emplace(std::move(value));
                auto executor = asio::get_associated_executor(*shared);
                asio::post(executor, [shared] {
                    (*shared)();
                });
            }));
        },
        asio::use_awaitable);
    co_return std::move(**slot);
}

} // namespace rhubarbtiller::host
