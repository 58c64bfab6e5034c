#pragma once

#include <rhubarbtiller/base/rcu.h>

#include <atomic>
#include <memory>
#include <mutex>

namespace rhubarbtiller {

/// A published immutable value that many threads read without a lock while one thread replaces it (read-copy-update).
///
/// Readers copy the shared pointer inside a read-side critical section; the replaced pointer is freed after a
/// grace period, so a reader never blocks on a writer.
template<class Value>
class RcuCell
{
public:
    explicit RcuCell(std::shared_ptr<const Value> initial = nullptr) : holder(new std::shared_ptr<const Value>(std::move(initial)))
    {
    }

    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;

    ~RcuCell()
    {
        delete this->holder.load(std::memory_order_acquire);
    }

    /// Returns the current value. Precondition: none. Thread safety: any thread, wait-free.
    std::shared_ptr<const Value> read() const
    {
        const RcuReadGuard guard;
        return *this->holder.load(std::memory_order_acquire);
    }

    /// Replaces the value. Precondition: not called from inside read(). Thread safety: any thread; waits for a grace period.
    void publish(std::shared_ptr<const Value> next)
    {
        auto *fresh = new std::shared_ptr<const Value>(std::move(next));
        const std::shared_ptr<const Value> *old = this->holder.exchange(fresh, std::memory_order_acq_rel);
        waitForRcuReaders();
        delete old;
    }

private:
    std::atomic<const std::shared_ptr<const Value> *> holder;
};

} // namespace rhubarbtiller
