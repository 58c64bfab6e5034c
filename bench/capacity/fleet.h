#pragma once

#include <rhubarbtiller/config/snapshot.h>

#include <cstddef>
#include <memory>

namespace rhubarbtiller::bench {

/// The numbers of rows of a generated configuration.
struct FleetSize
{
    std::size_t organisations = 0;
    std::size_t keys = 0;
    std::size_t routes = 0;
    std::size_t pools = 0;
    std::size_t servers = 0;
    std::size_t hosts = 0;
    std::size_t shards = 64;
};

/// The target size of docs/design.md section 1.5, with one key for each organisation.
inline constexpr FleetSize TargetSize{22000, 22000, 3900, 140, 7200, 480, 1024};

/// The version of every generated snapshot; as long on the wire as after two years of 1,500 changes a day.
inline constexpr ConfigVersion FleetVersion{1'000'000};

config::Organisation makeOrganisation(std::size_t number);
config::KeyGrant makeKey(std::size_t number, std::size_t organisations);
config::Route makeRoute(std::size_t number, std::size_t pools);
config::Host makeHost(std::size_t number);
HostId hostName(std::size_t number);

/// Builds a configuration of this size; ids have the lengths that are usual in the deployments. Thread safety: any thread.
std::shared_ptr<const config::Snapshot> makeSnapshot(const FleetSize &size);

} // namespace rhubarbtiller::bench
