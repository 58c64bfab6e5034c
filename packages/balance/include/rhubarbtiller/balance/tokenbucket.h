#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongnumber.h>

#include <algorithm>

namespace rhubarbtiller::balance {

/// A token bucket whose level may be debited below zero for work that others admitted.
///
/// Thread safety: one thread.
class TokenBucket
{
public:
    TokenBucket() = default;

    TokenBucket(RequestRate fillRate, RequestCount size, RequestCount initial, MonotonicTime now)
        : rate(fillRate.count()), capacity(size.count()), level(initial.count()), filledAt(now)
    {
    }

    /// Takes a token if there is one. Precondition: \p now does not go back.
    bool tryTake(MonotonicTime now, double share = 1)
    {
        this->fill(now, share);
        if (this->level < 1) {
            return false;
        }
        this->level -= 1;
        return true;
    }

    /// Takes tokens whatever the level. Precondition: none.
    void debit(double tokens)
    {
        this->level -= tokens;
    }

    /// Gives a token back whose work was not done. Precondition: none.
    void giveBack()
    {
        this->level = std::min(this->capacity, this->level + 1);
    }

    /// Changes the rate and the size; the level stays within the new size. Precondition: none.
    void reconfigure(RequestRate fillRate, RequestCount size)
    {
        this->rate = fillRate.count();
        this->capacity = size.count();
        this->level = std::min(this->level, this->capacity);
    }

    /// Returns how long until a token is there, at the given share of the rate. Precondition: the rate is above 0.
    Duration timeToToken(double share = 1) const
    {
        const double missing = std::max(0.0, 1 - this->level);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / (this->rate * share)));
    }

private:
    void fill(MonotonicTime now, double share)
    {
        const double seconds = std::max(0.0, std::chrono::duration<double>(now - this->filledAt).count());
        this->level = std::min(this->capacity, this->level + seconds * this->rate * share);
        this->filledAt = std::max(this->filledAt, now);
    }

    double rate = 0;
    double capacity = 0;
    double level = 0;
    MonotonicTime filledAt{};
};

} // namespace rhubarbtiller::balance
