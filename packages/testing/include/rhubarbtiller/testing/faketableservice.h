#pragma once

#include <rhubarbtiller/tablestore/tableservice.h>
#include <rhubarbtiller/testing/faultinjector.h>
#include <rhubarbtiller/testing/memorytable.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace rhubarbtiller::testing {

/// The table service in memory, with faults.
///
/// Thread safety: one thread.
class FakeTableService : public tablestore::TableService
{
public:
    /// Runs on the scheduler's clock, or ends calls at once without one. Precondition: the scheduler outlives the service.
    explicit FakeTableService(VirtualScheduler *scheduler = nullptr) : injector(scheduler)
    {
    }

    void readItem(tablestore::ItemKey key, MonotonicTime deadline, tablestore::Handler<Result<tablestore::Item>> handler) override
    {
        ++this->reads;
        this->injector.call<Result<tablestore::Item>>(
            false,
            deadline,
            [this, key = std::move(key)]() -> Result<tablestore::Item> {
                if (const auto *item = this->items.find(key)) {
                    return *item;
                }
                return make_error_code(tablestore::PlatformError::NotFound);
            },
            std::move(handler));
    }

    void queryItems(tablestore::KeyRange range, MonotonicTime deadline, tablestore::Handler<Result<tablestore::ItemPage>> handler) override
    {
        ++this->reads;
        range.maxItems = std::min(range.maxItems, this->maxPage);
        this->injector.call<Result<tablestore::ItemPage>>(
            false,
            deadline,
            [this, range = std::move(range)]() -> Result<tablestore::ItemPage> {
                return this->items.query(range);
            },
            std::move(handler));
    }

    void writeTransaction(tablestore::Transaction transaction, MonotonicTime deadline, tablestore::Handler<Status> handler) override
    {
        ++this->writes;
        if (auto action = std::exchange(this->beforeNextWrite, nullptr)) {
            action();
        }
        if (this->conflictNextWrites > 0) {
            --this->conflictNextWrites;
            handler(tablestore::PlatformError::TransactionConflict);
            return;
        }
        if (this->refuseNextWrites > 0) {
            --this->refuseNextWrites;
            handler(this->refusal);
            return;
        }
        this->injector.call<Status>(
            true,
            deadline,
            [this, transaction = std::move(transaction)] {
                return this->items.write(transaction);
            },
            std::move(handler));
    }

    /// Returns the faults, to be changed. Precondition: none.
    ServiceFaults &faults()
    {
        return this->injector.faults;
    }

    /// Has writes of \c lateNextWrites take effect if there is no scheduler. Precondition: none.
    void releaseLateWrites()
    {
        this->injector.releaseLateWrites();
    }

    /// The stored items, to be looked at or spoiled by a test.
    MemoryTable items;
    /// Runs once before the next write is looked at, for races.
    std::function<void()> beforeNextWrite;
    /// Writes that end at once with TransactionConflict and without effect.
    std::uint32_t conflictNextWrites = 0;
    /// Writes that end at once with \c refusal and without effect.
    std::uint32_t refuseNextWrites = 0;
    Status refusal = tablestore::PlatformError::Throttled;
    /// The most items in one page.
    std::uint32_t maxPage = 1000;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

private:
    FaultInjector injector;
};

} // namespace rhubarbtiller::testing
