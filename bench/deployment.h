#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongnumber.h>

#include <cstdint>
#include <string>
#include <vector>

namespace rhubarbtiller::bench {

/// A service of a deployment as docs/design.md section 1.4 describes it.
struct Service
{
    std::string name;
    std::size_t servers = 0;
    SlotCount slots;
    Percent floor;
};

/// One of the two deployments of docs/design.md section 1.4.
struct Deployment
{
    std::string name;
    /// One way between two failure domains.
    Duration betweenDomains{};
    std::vector<Service> services;
};

inline constexpr std::size_t HostCount = 44;
inline constexpr std::size_t DomainCount = 3;
inline constexpr std::size_t OrganisationCount = 8;

/// The parts of the load that the organisations send, in percent; a few are large.
inline constexpr double OrganisationShares[OrganisationCount] = {30, 25, 20, 9, 6, 4, 3, 3};

/// The random seeds of all runs.
inline constexpr std::uint64_t Seeds[] = {101, 202, 303};

/// Returns both deployments. Thread safety: any thread.
std::vector<Deployment> deployments();

} // namespace rhubarbtiller::bench
