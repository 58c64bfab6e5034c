#include <rhubarbtiller/routing/addressanswer.h>

#include <algorithm>

namespace rhubarbtiller::routing {

static bool takesNewCallers(const config::Host &host, const config::Snapshot &snapshot, const std::set<HostId> &leaving)
{
    return host.state == config::HostState::Active && !leaving.contains(host.id) && !snapshot.isWithdrawn(host.failureDomain);
}

static void addUnlessPresent(std::vector<const config::Host *> &hosts, const config::Host &host)
{
    if (std::ranges::find(hosts, &host) == hosts.end()) {
        hosts.push_back(&host);
    }
}

std::vector<const config::Host *> hostsForOrganisation(const config::Snapshot &snapshot,
                                                       const membership::Placement &placement,
                                                       const config::Organisation &organisation,
                                                       const std::set<HostId> &leaving)
{
    std::vector<const config::Host *> hosts;
    const auto slices = membership::sliceCount(organisation.rate);
    for (std::size_t rank = 0; rank < membership::GuardianCount; ++rank) {
        for (std::uint32_t slice = 0; slice < slices; ++slice) {
            const auto &guardians = placement.guardians(placement.shardOf(organisation.id, slice));
            if (rank >= guardians.size()) {
                continue;
            }
            const auto found = snapshot.hosts().find(guardians[rank]);
            if (found != snapshot.hosts().end() && takesNewCallers(found->second, snapshot, leaving)) {
                addUnlessPresent(hosts, found->second);
            }
        }
    }
    for (const auto &[id, host] : snapshot.hosts()) {
        if (hosts.size() >= MaxAddresses) {
            break;
        }
        if (takesNewCallers(host, snapshot, leaving)) {
            addUnlessPresent(hosts, host);
        }
    }
    if (hosts.empty()) {
        // An answer with a leaving host is better than none: it serves until the last answer that names it has expired.
        for (const auto &[id, host] : snapshot.hosts()) {
            addUnlessPresent(hosts, host);
        }
    }
    // A large organisation has more slices than MaxAddresses, and all its homes must get callers.
    const auto most = std::max<std::size_t>(MaxAddresses, slices);
    if (hosts.size() > most) {
        hosts.resize(most);
    }
    return hosts;
}

} // namespace rhubarbtiller::routing
