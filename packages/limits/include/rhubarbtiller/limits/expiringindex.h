#pragma once

#include <rhubarbtiller/base/rcu.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace rhubarbtiller::limits {

/// A hash table whose lookup and insertion take no lock and whose unused entries a maintenance call removes.
///
/// An insertion adds a node in front of the chain of its hash slot by compare-and-swap, so it fails and scans again if
/// another thread inserted the same key. Removed nodes are freed after a grace period of read-copy-update. An RcuCell
/// of the whole table would wait for a grace period on the first request of each organisation.
template<class Key, class Value>
class ExpiringIndex
{
public:
    /// Makes an empty table. Precondition: \p slotCount is not 0.
    explicit ExpiringIndex(std::size_t slotCount) : slots(slotCount)
    {
    }

    ExpiringIndex(const ExpiringIndex &) = delete;
    ExpiringIndex &operator=(const ExpiringIndex &) = delete;

    ~ExpiringIndex()
    {
        for (auto &slot : this->slots) {
            for (Node *node = slot.load(std::memory_order_acquire); node;) {
                delete std::exchange(node, node->next.load(std::memory_order_relaxed));
            }
        }
    }

    /// Returns the slot of a hash value. Precondition: none. Thread safety: any thread.
    std::size_t slotOf(std::size_t hash) const
    {
        return hash % this->slots.size();
    }

    /// Returns the number of entries. Precondition: none. Thread safety: any thread.
    std::size_t size() const
    {
        return this->entryCount.load(std::memory_order_relaxed);
    }

    /// Returns the value under \p key for which \p isUsable holds, or nullptr.
    ///
    /// Precondition: the caller is in a read-side critical section and drops the pointer before it ends, unless the
    /// value keeps itself from being removed. Thread safety: any thread, lock-free.
    template<class Usable>
    Value *find(const Key &key, std::size_t hash, Usable isUsable) const
    {
        return scan(this->slots[this->slotOf(hash)].load(std::memory_order_acquire), key, isUsable);
    }

    /// Returns the usable value under \p key, and inserts `make()` (a unique_ptr to a Value) if there is none.
    ///
    /// At most one usable value exists for a key as long as a value that is not usable never becomes usable again.
    /// Precondition and thread safety: as find().
    template<class Usable, class Make>
    Value *findOrInsert(const Key &key, std::size_t hash, Usable isUsable, Make make)
    {
        auto &slot = this->slots[this->slotOf(hash)];
        Node *head = slot.load(std::memory_order_acquire);
        while (true) {
            if (Value *present = scan(head, key, isUsable)) {
                return present;
            }
            // Made again for each attempt: what it is made from may have changed together with the chain.
            auto node = std::make_unique<Node>(key, make());
            node->next.store(head, std::memory_order_relaxed);
            if (slot.compare_exchange_strong(head, node.get(), std::memory_order_acq_rel, std::memory_order_acquire)) {
                this->entryCount.fetch_add(1, std::memory_order_relaxed);
                return node.release()->value.get();
            }
        }
    }

    /// Removes the entries for which \p retire (called with slot and value) returns true and returns their number.
    ///
    /// Precondition: \p retire made the value unusable for good where it returns true; the caller is in no read-side
    /// critical section. Thread safety: any thread; waits for two grace periods if there is something to remove.
    template<class Retire>
    std::size_t removeIf(Retire retire)
    {
        const std::lock_guard lock(this->removal);
        std::vector<std::pair<std::size_t, Node *>> retired;
        for (std::size_t i = 0; i < this->slots.size(); ++i) {
            for (Node *node = this->slots[i].load(std::memory_order_acquire); node; node = node->next.load(std::memory_order_acquire)) {
                if (retire(i, *node->value)) {
                    retired.emplace_back(i, node);
                }
            }
        }
        if (retired.empty()) {
            return 0;
        }
        // An insertion that read the chain before a retired node came must fail on it. Without this grace period the
        // chain could look unchanged to that insertion, and it would use what its value was made from in the meantime.
        waitForRcuReaders();
        for (const auto &[slot, node] : retired) {
            unlink(this->slots[slot], node);
        }
        waitForRcuReaders();
        for (const auto &[slot, node] : retired) {
            delete node;
        }
        this->entryCount.fetch_sub(retired.size(), std::memory_order_relaxed);
        return retired.size();
    }

private:
    struct Node
    {
        Node(const Key &newKey, std::unique_ptr<Value> newValue) : key(newKey), value(std::move(newValue))
        {
        }

        const Key key;
        const std::unique_ptr<Value> value;
        std::atomic<Node *> next{nullptr};
    };

    template<class Usable>
    static Value *scan(Node *node, const Key &key, Usable isUsable)
    {
        for (; node; node = node->next.load(std::memory_order_acquire)) {
            if (node->key == key && isUsable(*node->value)) {
                return node->value.get();
            }
        }
        return nullptr;
    }

    static void unlink(std::atomic<Node *> &slot, Node *node)
    {
        Node *next = node->next.load(std::memory_order_acquire);
        Node *previous = node;
        if (slot.compare_exchange_strong(previous, next, std::memory_order_acq_rel, std::memory_order_acquire)) {
            return;
        }
        // Insertions change only the slot itself, so the chain behind its first node stands still during a removal.
        while (previous->next.load(std::memory_order_acquire) != node) {
            previous = previous->next.load(std::memory_order_acquire);
        }
        previous->next.store(next, std::memory_order_release);
    }

    std::vector<std::atomic<Node *>> slots;
    std::atomic<std::size_t> entryCount{0};
    std::mutex removal;
};

} // namespace rhubarbtiller::limits
