#include "linkfaults.h"

#include <rhubarbtiller/telemetry/log.h>

namespace rhubarbtiller::host {

template<class Id>
static void setMember(std::set<Id> &set, const Id &id, bool isMember)
{
    if (isMember) {
        set.insert(id);
    } else {
        set.erase(id);
    }
}

void LinkFaults::set(const HostId &id, const Endpoint &address, bool dropIncoming, bool dropOutgoing)
{
    const std::lock_guard lock(this->writerMutex);
    auto next = std::make_shared<Faults>(*this->faults.read());
    setMember(next->silentHosts, id, dropIncoming);
    setMember(next->silentAddresses, address, dropIncoming);
    setMember(next->deafHosts, id, dropOutgoing);
    setMember(next->deafAddresses, address, dropOutgoing);
    this->faults.publish(std::move(next));
    telemetry::logEvent(
        telemetry::LogLevel::Warning, "link_fault", {{"peer", id.text()}, {"incoming", dropIncoming}, {"outgoing", dropOutgoing}});
}

bool LinkFaults::passesTo(const Endpoint &peer) const
{
    return !this->faults.read()->deafAddresses.contains(peer);
}

bool LinkFaults::passesFrom(const Endpoint &peer) const
{
    return !this->faults.read()->silentAddresses.contains(peer);
}

bool LinkFaults::passesFromHost(const HostId &sender) const
{
    return !this->faults.read()->silentHosts.contains(sender);
}

bool LinkFaults::passesToHost(const HostId &sender) const
{
    return !this->faults.read()->deafHosts.contains(sender);
}

} // namespace rhubarbtiller::host
