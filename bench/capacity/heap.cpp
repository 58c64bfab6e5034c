// Counts the heap of the program. A file of its own, because g++ warns about free() where it inlines these operators.

#include "report.h"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <malloc.h>
#include <new>

/// Bytes of all objects on the heap and their highest sum; the program has one thread.
static std::int64_t heapBytes = 0;
static std::int64_t heapPeak = 0;

/// What the allocator keeps in front of each block.
static constexpr std::int64_t BlockHeader = 8;

// The allocator's own statistics count blocks in its per-thread cache as used, which hides up to some kilobytes.
void *operator new(std::size_t size)
{
    void *const block = std::malloc(size); // NOLINT(cppcoreguidelines-no-malloc)
    if (!block) {
        throw std::bad_alloc();
    }
    heapBytes += static_cast<std::int64_t>(malloc_usable_size(block)) + BlockHeader;
    heapPeak = std::max(heapPeak, heapBytes);
    return block;
}

void operator delete(void *block) noexcept
{
    if (block) {
        heapBytes -= static_cast<std::int64_t>(malloc_usable_size(block)) + BlockHeader;
    }
    std::free(block); // NOLINT(cppcoreguidelines-no-malloc)
}

void operator delete(void *block, std::size_t size) noexcept
{
    (void)size;
    operator delete(block);
}

namespace rhubarbtiller::bench {

double allocatedBytes()
{
    return static_cast<double>(heapBytes);
}

double peakBytesDuring(const std::function<void()> &call)
{
    const auto before = heapBytes;
    heapPeak = before;
    call();
    return static_cast<double>(heapPeak - before);
}

} // namespace rhubarbtiller::bench
