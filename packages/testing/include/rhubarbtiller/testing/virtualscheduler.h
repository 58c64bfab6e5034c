#pragma once

#include <rhubarbtiller/testing/virtualclock.h>

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace rhubarbtiller::testing {

/// Runs actions at times of a virtual clock, in the order of their times and then of their scheduling.
///
/// Thread safety: one thread.
class VirtualScheduler
{
public:
    /// Precondition: \p virtualClock outlives the scheduler.
    explicit VirtualScheduler(VirtualClock &virtualClock) : clock(virtualClock)
    {
    }

    /// Returns the time. Precondition: none.
    MonotonicTime now() const
    {
        return this->clock.now();
    }

    /// Runs an action at a time, or as the next one if the time has passed. Precondition: none.
    void at(MonotonicTime time, std::function<void()> action)
    {
        this->actions.emplace(std::max(time, this->clock.now()), std::move(action));
    }

    /// Runs an action after a while. Precondition: \p delay is not negative.
    void after(Duration delay, std::function<void()> action)
    {
        this->at(this->clock.now() + delay, std::move(action));
    }

    /// Moves the clock to the next action and runs it; returns false if there is none. Precondition: none.
    bool runNext()
    {
        if (this->actions.empty()) {
            return false;
        }
        auto next = this->actions.extract(this->actions.begin());
        this->clock.advance(next.key() - this->clock.now());
        next.mapped()();
        return true;
    }

    /// Runs all actions up to a time and moves the clock there. Precondition: the time has not passed.
    void runUntil(MonotonicTime time)
    {
        while (!this->actions.empty() && this->actions.begin()->first <= time) {
            this->runNext();
        }
        this->clock.advance(time - this->clock.now());
    }

    /// Runs actions until none is left. Precondition: the actions do not schedule each other without end.
    void runAll()
    {
        while (this->runNext()) { }
    }

private:
    VirtualClock &clock;
    std::multimap<MonotonicTime, std::function<void()>> actions;
};

} // namespace rhubarbtiller::testing
