#pragma once

namespace rhubarbtiller {

/// Marks a read-side critical section of read-copy-update for the lifetime of the object.
class RcuReadGuard
{
public:
    RcuReadGuard();
    ~RcuReadGuard();
    RcuReadGuard(const RcuReadGuard &) = delete;
    RcuReadGuard &operator=(const RcuReadGuard &) = delete;
};

/// Blocks until every read-side critical section that had begun has ended.
///
/// Precondition: the calling thread is in no read-side critical section. Thread safety: any thread.
void waitForRcuReaders();

} // namespace rhubarbtiller
