#pragma once

#include <rhubarbtiller/base/rcucell.h>
#include <rhubarbtiller/peer/linkfilter.h>

#include <mutex>
#include <set>

namespace rhubarbtiller::host {

/// Drops messages from and to chosen peers, so that tests of real processes can cut links in one direction.
class LinkFaults : public peer::LinkFilter
{
public:
    /// Sets which messages of the peer \p id at \p address are dropped. Precondition: none. Thread safety: any thread.
    void set(const HostId &id, const Endpoint &address, bool dropIncoming, bool dropOutgoing);

    bool passesTo(const Endpoint &peer) const override;
    bool passesFrom(const Endpoint &peer) const override;
    bool passesFromHost(const HostId &sender) const override;
    bool passesToHost(const HostId &sender) const override;

private:
    struct Faults
    {
        std::set<HostId> silentHosts;
        std::set<Endpoint> silentAddresses;
        std::set<HostId> deafHosts;
        std::set<Endpoint> deafAddresses;
    };

    std::mutex writerMutex;
    RcuCell<Faults> faults{std::make_shared<const Faults>()};
};

} // namespace rhubarbtiller::host
