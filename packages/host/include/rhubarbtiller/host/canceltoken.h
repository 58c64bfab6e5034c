#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace rhubarbtiller::host {

/// Tells the parts of a request that its caller has gone.
class CancelToken
{
public:
    CancelToken() = default;
    CancelToken(const CancelToken &) = delete;
    CancelToken &operator=(const CancelToken &) = delete;

    /// Cancels the request and calls the handlers; later calls do nothing. Precondition: none. Thread safety: any thread.
    void cancel();

    /// Returns whether the request was cancelled. Precondition: none. Thread safety: any thread.
    bool isCancelled() const;

    /// Has \p handler called on cancellation, at once if it has happened. Precondition: none. Thread safety: any thread.
    void onCancel(std::function<void()> handler);

private:
    mutable std::mutex mutex;
    bool cancelled = false;
    std::vector<std::function<void()>> handlers;
};

} // namespace rhubarbtiller::host
