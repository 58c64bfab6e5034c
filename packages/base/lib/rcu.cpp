#include <rhubarbtiller/base/rcu.h>

#include <urcu/urcu-bp.h>

#if defined(__SANITIZE_THREAD__)
// ThreadSanitizer does not see the barriers of liburcu; these calls tell it of the order that a grace period gives.
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
