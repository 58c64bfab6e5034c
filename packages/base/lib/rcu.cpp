#include <rhubarbtiller/base/rcu.h>

#include <urcu/urcu-bp.h>

#if defined(__SANITIZE_THREAD__)
// ThreadSanitizer does not recognize the barriers of liburcu; these calls declare the ordering that a grace period guarantees.
extern "C" void __tsan_acquire(void *address);
extern "C" void __tsan_release(void *address);
static char gracePeriodMarker;
#endif

namespace rhubarbtiller {

RcuReadGuard::RcuReadGuard()
{
    urcu_bp_read_lock();
}

RcuReadGuard::~RcuReadGuard()
{
#if defined(__SANITIZE_THREAD__)
    __tsan_release(&gracePeriodMarker);
#endif
    urcu_bp_read_unlock();
}

void waitForRcuReaders()
{
    urcu_bp_synchronize_rcu();
#if defined(__SANITIZE_THREAD__)
    __tsan_acquire(&gracePeriodMarker);
#endif
}

} // namespace rhubarbtiller
