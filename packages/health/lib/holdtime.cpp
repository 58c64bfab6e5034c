#include <rhubarbtiller/health/holdtime.h>

#include <algorithm>

namespace rhubarbtiller::health {

void HoldTime::start(const HoldTimeSettings &settings, MonotonicTime now)
{
    if (this->isRunning) {
        return;
    }
    const bool isFirst = this->last == Duration{} || now - this->until > this->last * settings.quietHolds;
    this->last = isFirst ? settings.first : std::min(this->last * 2, settings.longest);
    this->until = now + this->last;
    this->isRunning = true;
}

bool HoldTime::holds(MonotonicTime now) const
{
    return this->isRunning && now < this->until;
}

bool HoldTime::finish(MonotonicTime now)
{
    if (!this->isRunning || now < this->until) {
        return false;
    }
    this->isRunning = false;
    return true;
}

} // namespace rhubarbtiller::health
