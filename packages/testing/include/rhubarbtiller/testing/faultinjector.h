#pragma once

#include <rhubarbtiller/tablestore/errors.h>
#include <rhubarbtiller/tablestore/tableservice.h>
#include <rhubarbtiller/testing/servicefaults.h>
#include <rhubarbtiller/testing/virtualscheduler.h>

#include <functional>
#include <utility>
#include <vector>

namespace rhubarbtiller::testing {

/// Runs the calls of a fake service with its faults, on a virtual clock or at once.
///
/// Thread safety: one thread.
class FaultInjector
{
public:
    /// Without a scheduler, calls end before they return, delays count as nothing and a missing answer is a timeout at once.
    explicit FaultInjector(VirtualScheduler *virtualScheduler) : scheduler(virtualScheduler)
    {
    }

    /// Runs \p effect, which gives the outcome, and calls \p handler with the outcome or an error.
    template<class Outcome>
    void call(bool isWrite, MonotonicTime deadline, std::function<Outcome()> effect, tablestore::Handler<Outcome> handler)
    {
        switch (this->faults.outage) {
        case OutageMode::Refuse:
        case OutageMode::Reset:
            this->schedule(this->faults.delay, [handler = std::move(handler)] {
                handler(make_error_code(tablestore::PlatformError::Unavailable));
            });
            return;
        case OutageMode::Silent:
            this->timeOut(deadline, std::move(handler));
            return;
        case OutageMode::None:
            break;
        }
        if (isWrite && this->faults.lateNextWrites > 0) {
            --this->faults.lateNextWrites;
            this->timeOut(deadline, std::move(handler));
            this->scheduleLate(std::move(effect));
            return;
        }
        if (isWrite && this->faults.loseNextWriteAnswers > 0) {
            --this->faults.loseNextWriteAnswers;
            this->schedule(this->faults.delay, [effect = std::move(effect)] {
                static_cast<void>(effect());
            });
            this->timeOut(deadline, std::move(handler));
            return;
        }
        if (this->scheduler && this->scheduler->now() + this->faults.delay > deadline) {
            this->schedule(this->faults.delay, [effect = std::move(effect)] {
                static_cast<void>(effect());
            });
            this->timeOut(deadline, std::move(handler));
            return;
        }
        this->schedule(this->faults.delay, [effect = std::move(effect), handler = std::move(handler)] {
            handler(effect());
        });
    }

    /// Has the writes that were held back take effect; used without a scheduler. Precondition: none.
    void releaseLateWrites()
    {
        for (auto &write : std::exchange(this->lateWrites, {})) {
            write();
        }
    }

    ServiceFaults faults;

private:
    void schedule(Duration delay, std::function<void()> action)
    {
        if (!this->scheduler) {
            action();
            return;
        }
        this->scheduler->after(delay, std::move(action));
    }

    template<class Outcome>
    void timeOut(MonotonicTime deadline, tablestore::Handler<Outcome> handler)
    {
        auto action = [handler = std::move(handler)] {
            handler(make_error_code(tablestore::PlatformError::Timeout));
        };
        if (!this->scheduler) {
            action();
            return;
        }
        this->scheduler->at(deadline, std::move(action));
    }

    template<class Outcome>
    void scheduleLate(std::function<Outcome()> effect)
    {
        auto action = [effect = std::move(effect)] {
            static_cast<void>(effect());
        };
        if (!this->scheduler) {
            this->lateWrites.push_back(std::move(action));
            return;
        }
        this->scheduler->after(this->faults.lateTime, std::move(action));
    }

    VirtualScheduler *scheduler;
    std::vector<std::function<void()>> lateWrites;
};

} // namespace rhubarbtiller::testing
