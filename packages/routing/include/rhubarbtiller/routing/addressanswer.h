#pragma once

#include <rhubarbtiller/config/snapshot.h>
#include <rhubarbtiller/membership/placement.h>

#include <set>
#include <vector>

namespace rhubarbtiller::routing {

/// How long a caller may use the addresses that it was given; a leaving host serves at least this long.
inline constexpr std::chrono::milliseconds AddressLifetime{5000};

/// How many addresses an answer holds at most, so that a caller that loses one can go on.
inline constexpr std::size_t MaxAddresses = 6;

/// Returns the hosts that a caller of \p organisation should use, the best first.
///
/// First come the preferred guardians of the organisation's slices, in the order of the slices, then their
/// other guardians, then any other hosts. Leaving hosts and hosts in withdrawn failure domains are left out unless
/// no others exist. Precondition: none. Thread safety: any thread.
std::vector<const config::Host *> hostsForOrganisation(const config::Snapshot &snapshot,
                                                       const membership::Placement &placement,
                                                       const config::Organisation &organisation,
                                                       const std::set<HostId> &leaving);

} // namespace rhubarbtiller::routing
