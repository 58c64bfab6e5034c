#include "linkfaults.h"

#include <rhubarbtiller/telemetry/log.h>

namespace rhubarbtiller::host {

void LinkFaults::set(const HostId &peer, bool dropIncoming, bool dropOutgoing)
{
    const std::lock_guard lock(this->writerMutex);
    auto next = std::make_shared<Faults>(*this->faults.read());
    (*next)[peer] = {dropIncoming, dropOutgoing};
    this->faults.publish(std::move(next));
    telemetry::logEvent(
        telemetry::LogLevel::Warning, "link_fault", {{"peer", peer.text()}, {"incoming", dropIncoming}, {"outgoing", dropOutgoing}});
}

LinkFaults::Fault LinkFaults::faultOf(const HostId &peer) const
{
    const auto all = this->faults.read();
    const auto found = all->find(peer);
    return found == all->end() ? Fault{} : found->second;
}

bool LinkFaults::allowsIncoming(const HostId &peer) const
{
    return !this->faultOf(peer).dropsIncoming;
}

bool LinkFaults::allowsOutgoing(const HostId &peer) const
{
    return !this->faultOf(peer).dropsOutgoing;
}

} // namespace rhubarbtiller::host
