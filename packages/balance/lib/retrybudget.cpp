#include <rhubarbtiller/balance/retrybudget.h>

#include <cassert>
#include <utility>

namespace rhubarbtiller::balance {

/// The fraction of the budget that is used; the rest covers requests whose counts move between windows.
static constexpr double UsableFraction = 0.9;

RetryBudget::RetryBudget(const RetryBudgetBounds &bounds)
{
    this->reconfigure(bounds);
}

void RetryBudget::reconfigure(const RetryBudgetBounds &bounds)
{
    this->ratio = bounds.ratio * UsableFraction;
    this->slack = bounds.slack * UsableFraction;
    if (const auto length = bounds.window / SliceCount; std::exchange(this->sliceLength, length) != length) {
        this->services.clear();
    }
}

void RetryBudget::setSlackShare(double share)
{
    assert(share >= 0 && share <= 1 && "a share lies between 0 and 1");
    this->slackShare = share;
}

RetryBudget::Slice &RetryBudget::currentSlice(Slices &slices, MonotonicTime now) const
{
    const std::int64_t number = now.time_since_epoch() / this->sliceLength;
    auto &slice = slices[static_cast<std::size_t>(number) % SliceCount];
    if (slice.number != number) {
        slice = {number, 0, 0};
    }
    return slice;
}

void RetryBudget::onRequest(const catalog::ServiceName &service, MonotonicTime now)
{
    ++this->currentSlice(this->services[service], now).requests;
}

bool RetryBudget::tryRetry(const catalog::ServiceName &service, double reserve, MonotonicTime now)
{
    auto &slices = this->services[service];
    auto &current = this->currentSlice(slices, now);
    double requests = 0;
    double retries = 0;
    for (const auto &slice : slices) {
        if (slice.number > current.number - static_cast<std::int64_t>(SliceCount)) {
            requests += slice.requests;
            retries += slice.retries;
        }
    }
    const double budget = this->ratio * requests + this->slack * this->slackShare;
    if (retries + 1 > budget * (1 - reserve)) {
        return false;
    }
    ++current.retries;
    return true;
}

} // namespace rhubarbtiller::balance
