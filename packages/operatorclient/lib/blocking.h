#pragma once

#include <functional>
#include <future>
#include <memory>

namespace rhubarbtiller::operatorclient {

/// Starts an operation with a handler and blocks until the handler was called. Precondition: other threads run the operation.
template<class Value, class Start>
Value blockOn(Start start)
{
    auto promise = std::make_shared<std::promise<Value>>();
    auto future = promise->get_future();
    start(std::function<void(Value)>([promise](Value value) {
        promise->set_value(std::move(value));
    }));
    return future.get();
}

} // namespace rhubarbtiller::operatorclient
