#include <rhubarbtiller/host/peerhealth.h>

#include <algorithm>

namespace rhubarbtiller::host {

/// The first pause is short, since a single failure is often a restart; it doubles up to the longest.
static constexpr Duration FirstPause = std::chrono::milliseconds(250);
static constexpr int MostDoublings = 4;

void PeerHealth::onFailure(const HostId &peer, MonotonicTime now)
{
    const std::lock_guard lock(this->mutex);
    auto &failure = this->failures[peer];
    failure.suspectUntil = now + FirstPause * (1 << std::min(failure.inRow, MostDoublings));
    ++failure.inRow;
}

void PeerHealth::onSuccess(const HostId &peer)
{
    const std::lock_guard lock(this->mutex);
    this->failures.erase(peer);
}

bool PeerHealth::isSuspect(const HostId &peer, MonotonicTime now) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->failures.find(peer);
    return found != this->failures.end() && now < found->second.suspectUntil;
}

} // namespace rhubarbtiller::host
