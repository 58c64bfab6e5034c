#include "processorlimit.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <optional>

namespace rhubarbtiller::soak {

using std::chrono::nanoseconds;

static constexpr std::chrono::milliseconds Period{100};

/// Returns the processor time that a process has used, or nothing if it has ended.
static std::optional<nanoseconds> processorTime(pid_t process)
{
    clockid_t clock{};
    timespec time{};
    if (::clock_getcpuclockid(process, &clock) != 0 || ::clock_gettime(clock, &time) != 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(time.tv_sec) + nanoseconds(time.tv_nsec);
}

ProcessorLimit::ProcessorLimit(GatewayFleet &limitedFleet, double coresOfHost)
    : fleet(limitedFleet), quota(std::chrono::duration_cast<nanoseconds>(Period * coresOfHost))
{
    this->budgets.resize(static_cast<std::size_t>(limitedFleet.hostCount()));
}

void ProcessorLimit::update(const std::vector<bool> &paused)
{
    const auto now = std::chrono::steady_clock::now();
    const bool isNewPeriod = now >= this->periodEnd;
    if (isNewPeriod) {
        this->periodEnd = now + Period;
    }
    for (int host = 0; host < this->fleet.hostCount(); ++host) {
        auto &budget = this->budgets[static_cast<std::size_t>(host)];
        const auto process = this->fleet.process(host).processId();
        if (this->fleet.exitCode(host)) {
            continue;
        }
        const auto used = processorTime(process);
        if (!used) {
            continue;
        }
        if (budget.process != process) {
            budget = {process, *used, this->quota, false};
        }
        budget.left -= *used - std::exchange(budget.used, *used);
        if (isNewPeriod) {
            budget.left = std::min(budget.left, nanoseconds(0)) + this->quota;
        }
        const bool isOver = budget.left <= nanoseconds(0);
        // A process that a fault has stopped is continued by the fault; the limit then applies from the next update on.
        if (paused[static_cast<std::size_t>(host)]) {
            budget.isStopped = false;
            continue;
        }
        if (isOver != budget.isStopped) {
            budget.isStopped = isOver;
            this->stopCount += isOver ? 1 : 0;
            this->fleet.signal(host, isOver ? SIGSTOP : SIGCONT);
        }
    }
}

} // namespace rhubarbtiller::soak
