#pragma once

#include <rhubarbtiller/base/clock.h>

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace rhubarbtiller::bench {

/// A backend server with a number of slots that collapses under too much load in a cold start; knows nothing of policies.
class FakeServer
{
public:
    enum class Answer {
        Runs,
        /// The server refuses the request without running it.
        Sheds,
        Fails,
        /// Nothing listens.
        Refuses,
    };

    FakeServer(std::uint32_t fullSlots, Duration warmUp) : slots(fullSlots), warmUpTime(warmUp)
    {
    }

    /// Decides what becomes of a request that arrives. A request that runs must be ended by end().
    Answer begin(MonotonicTime now)
    {
        this->advance(now);
        if (!this->isUp) {
            return Answer::Refuses;
        }
        if (now < this->collapsedUntil) {
            return Answer::Fails;
        }
        if (this->running >= this->bears()) {
            if (this->warmth >= 1) {
                return Answer::Sheds;
            }
            // A cold server does not notice in time that it has too much to do.
            ++this->overruns;
            this->collapse(now);
            return Answer::Fails;
        }
        ++this->running;
        return Answer::Runs;
    }

    /// Ends a request that ran; returns false if the server lost it. \p startedIn is life() at its begin.
    bool end(std::uint64_t startedIn, MonotonicTime now)
    {
        this->advance(now);
        if (startedIn != this->lifeNumber) {
            return false;
        }
        --this->running;
        return true;
    }

    /// Stops the server: all running requests are lost.
    void stop(MonotonicTime now)
    {
        this->advance(now);
        this->isUp = false;
        ++this->lifeNumber;
        this->running = 0;
    }

    /// Starts the server, cold.
    void start(MonotonicTime now)
    {
        this->advance(now);
        this->isUp = true;
        this->warmth = 0;
        this->collapsedUntil = now;
    }

    /// Distinguishes the times between stops and collapses.
    std::uint64_t life() const
    {
        return this->lifeNumber;
    }

    bool isWarm() const
    {
        return this->warmth >= 1;
    }

    std::uint64_t overrunCount() const
    {
        return this->overruns;
    }

private:
    std::uint32_t bears() const
    {
        return 1 + static_cast<std::uint32_t>(std::floor((this->slots - 1) * this->warmth + 1e-9));
    }

    /// The server warms up while it works.
    void advance(MonotonicTime now)
    {
        if (this->running > 0) {
            const double seconds = std::chrono::duration<double>(now - this->advancedAt).count();
            this->warmth = std::min(1.0, this->warmth + seconds / std::chrono::duration<double>(this->warmUpTime).count());
        }
        this->advancedAt = now;
    }

    void collapse(MonotonicTime now)
    {
        ++this->lifeNumber;
        this->running = 0;
        this->warmth = 0;
        this->collapsedUntil = now + std::chrono::seconds(2);
    }

    std::uint32_t slots;
    Duration warmUpTime;
    bool isUp = true;
    double warmth = 1;
    std::uint32_t running = 0;
    std::uint64_t lifeNumber = 0;
    std::uint64_t overruns = 0;
    MonotonicTime collapsedUntil;
    MonotonicTime advancedAt;
};

} // namespace rhubarbtiller::bench
