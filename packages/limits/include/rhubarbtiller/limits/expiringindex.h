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
    /// critical section. Thread safety: any thread; waits for a grace period if there is something to remove.
    template<class Retire>
    std::size_t removeIf(Retire retire)
    {
        const std::lock_guard lock(this->removal);
        std::vector<std::unique_ptr<Node>> removed;
        for (std::size_t i = 0; i < this->slots.size(); ++i) {
            Node *previous = nullptr;
            Node *node = this->slots[i].load(std::memory_order_acquire);
            while (node) {
                Node *next = node->next.load(std::memory_order_acquire);
                if (!retire(i, *node->value)) {
                    previous = node;
                    node = next;
                    continue;
                }
                previous = this->unlink(this->slots[i], previous, node, next);
                removed.emplace_back(node);
                node = next;
            }
        }
        if (!removed.empty()) {
            this->entryCount.fetch_sub(removed.size(), std::memory_order_relaxed);
            waitForRcuReaders();
        }
        return removed.size();
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

    // Returns the node before the removed one, which an insertion may have put there in the meantime.
    static Node *unlink(std::atomic<Node *> &slot, Node *previous, Node *node, Node *next)
    {
        if (!previous) {
            Node *expected = node;
            if (slot.compare_exchange_strong(expected, next, std::memory_order_acq_rel, std::memory_order_acquire)) {
                return nullptr;
            }
            previous = expected;
            while (previous->next.load(std::memory_order_acquire) != node) {
                previous = previous->next.load(std::memory_order_acquire);
            }
        }
        previous->next.store(next, std::memory_order_release);
        return previous;
    }

    std::vector<std::atomic<Node *>> slots;
    std::atomic<std::size_t> entryCount{0};
    std::mutex removal;
};

} // namespace rhubarbtiller::limits
