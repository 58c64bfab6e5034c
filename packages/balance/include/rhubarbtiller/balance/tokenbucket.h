#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongnumber.h>

#include <algorithm>

namespace rhubarbtiller::balance {

/// A token bucket.
///
/// Thread safety: one thread.
class TokenBucket
{
public:
    TokenBucket() = default;

    TokenBucket(RequestRate fillRate, RequestCount size, RequestCount initial, MonotonicTime now)
        : rate(fillRate.count()), capacity(size.count()), tokens(initial.count()), refilledAt(now)
    {
    }

    /// Consumes a token and returns true if one is available. Precondition: \p now does not go back.
    bool tryConsume(MonotonicTime now)
    {
        this->refill(now);
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

    /// Returns the number of available tokens. Precondition: \p now does not go back.
    double available(MonotonicTime now)
    {
        this->refill(now);
        return this->tokens;
    }

    /// Returns a consumed token that was not used. Precondition: none.
    void refund()
    {
        this->tokens = std::min(this->capacity, this->tokens + 1);
    }

    /// Changes the rate and the size; tokens above the new size are discarded. Precondition: none.
    void reconfigure(RequestRate fillRate, RequestCount size)
    {
        this->rate = fillRate.count();
        this->capacity = size.count();
        this->tokens = std::min(this->tokens, this->capacity);
    }

private:
    void refill(MonotonicTime now)
    {
        const double seconds = std::max(0.0, std::chrono::duration<double>(now - this->refilledAt).count());
        this->tokens = std::min(this->capacity, this->tokens + seconds * this->rate);
        this->refilledAt = std::max(this->refilledAt, now);
    }

    double rate = 0;
    double capacity = 0;
    double tokens = 0;
    MonotonicTime refilledAt{};
};

} // namespace rhubarbtiller::balance
