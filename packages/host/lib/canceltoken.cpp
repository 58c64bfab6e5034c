#include <rhubarbtiller/host/canceltoken.h>

namespace rhubarbtiller::host {

void CancelToken::cancel()
{
    std::vector<std::function<void()>> toCall;
    {
        const std::lock_guard lock(this->mutex);
        if (this->cancelled) {
            return;
        }
        this->cancelled = true;
        toCall.swap(this->handlers);
    }
    for (const auto &handler : toCall) {
        handler();
    }
}

bool CancelToken::isCancelled() const
{
    const std::lock_guard lock(this->mutex);
    return this->cancelled;
}

void CancelToken::onCancel(std::function<void()> handler)
{
    {
        const std::lock_guard lock(this->mutex);
        if (!this->cancelled) {
            this->handlers.push_back(std::move(handler));
            return;
        }
    }
    handler();
}

} // namespace rhubarbtiller::host
