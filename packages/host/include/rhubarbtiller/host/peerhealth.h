#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongid.h>

#include <mutex>
#include <unordered_map>

namespace rhubarbtiller::host {

/// Remembers which hosts did not answer a moment ago, so that requests are not sent to them one after the other.
///
/// Thread safety: any thread. A mutex suffices: an entry exists only for hosts that failed, and the map is usually empty.
class PeerHealth
{
public:
    /// Notes that a message to \p peer failed. Precondition: none.
    void onFailure(const HostId &peer, MonotonicTime now);

    /// Notes that \p peer answered. Precondition: none.
    void onSuccess(const HostId &peer);

    /// Returns whether \p peer should be tried only after the others. Precondition: none.
    bool isSuspect(const HostId &peer, MonotonicTime now) const;

private:
    struct Failure
    {
        int inRow = 0;
        MonotonicTime suspectUntil;
    };

    mutable std::mutex mutex;
    std::unordered_map<HostId, Failure> failures;
};

} // namespace rhubarbtiller::host
