#pragma once

#include <rhubarbtiller/base/rcucell.h>
#include <rhubarbtiller/peer/linkfilter.h>

#include <map>
#include <mutex>

namespace rhubarbtiller::host {

/// Drops messages from and to chosen peers, so that tests of real processes can cut links in one direction.
class LinkFaults : public peer::LinkFilter
{
public:
    /// Sets which messages of a peer are dropped. Precondition: none. Thread safety: any thread.
    void set(const HostId &peer, bool dropIncoming, bool dropOutgoing);

    bool allowsIncoming(const HostId &peer) const override;
    bool allowsOutgoing(const HostId &peer) const override;

private:
    struct Fault
    {
        bool dropsIncoming = false;
        bool dropsOutgoing = false;
    };

    using Faults = std::map<HostId, Fault>;

    Fault faultOf(const HostId &peer) const;

    std::mutex writerMutex;
    RcuCell<Faults> faults{std::make_shared<const Faults>()};
};

} // namespace rhubarbtiller::host
