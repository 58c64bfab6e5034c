#pragma once

#include <rhubarbtiller/tablestore/hostlist.h>
#include <rhubarbtiller/testing/faultinjector.h>

#include <deque>
#include <utility>
#include <vector>

namespace rhubarbtiller::testing {

/// The host list in memory, with faults and a lag.
///
/// Thread safety: one thread.
class FakeHostList : public tablestore::HostList
{
public:
    /// Runs on the scheduler's clock, or ends calls at once and without a lag without one. Precondition: the scheduler outlives the list.
    explicit FakeHostList(VirtualScheduler *virtualScheduler = nullptr) : injector(virtualScheduler), scheduler(virtualScheduler)
    {
    }

    void readHosts(MonotonicTime deadline, tablestore::Handler<Result<std::vector<tablestore::ListedHost>>> handler) override
    {
        this->injector.call<Result<std::vector<tablestore::ListedHost>>>(
            false,
            deadline,
            [this]() -> Result<std::vector<tablestore::ListedHost>> {
                while (this->versions.size() > 1 && this->versions[1].first <= this->now()) {
                    this->versions.pop_front();
                }
                return this->versions.front().second;
            },
            std::move(handler));
    }

    /// Changes the actual hosts; readers see them after the lag. Precondition: none.
    void setHosts(std::vector<tablestore::ListedHost> hosts)
    {
        const MonotonicTime shownFrom = this->now() + (this->scheduler ? this->lag : Duration(0));
        // A newer list replaces older ones that would be shown after it.
        while (this->versions.size() > 1 && this->versions.back().first >= shownFrom) {
            this->versions.pop_back();
        }
        this->versions.emplace_back(shownFrom, std::move(hosts));
    }

    /// Returns the faults, to be changed. Precondition: none.
    ServiceFaults &faults()
    {
        return this->injector.faults;
    }

    /// How long a change of the hosts stays unseen; for a change after this was set.
    Duration lag{0};

private:
    MonotonicTime now() const
    {
        return this->scheduler ? this->scheduler->now() : MonotonicTime();
    }

    FaultInjector injector;
    VirtualScheduler *scheduler;
    std::deque<std::pair<MonotonicTime, std::vector<tablestore::ListedHost>>> versions{{MonotonicTime::min(), {}}};
};

} // namespace rhubarbtiller::testing
