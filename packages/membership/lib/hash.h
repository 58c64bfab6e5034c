#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string_view>

namespace rhubarbtiller::membership {

/// Separates the hashes of names of different kinds; the values are part of the placement that all hosts share.
enum class HashKind : std::uint64_t {
    Guardian = 1,
    Organisation = 2,
    Pool = 3,
    BackendServer = 4,
    Witness = 5,
    WitnessDomain = 6,
    Ring = 7,
};

/// Returns the hash of a name for one kind of use and one number, such as a shard or a slice.
inline std::uint64_t hashOf(HashKind kind, std::string_view name, std::uint64_t number = 0)
{
    const std::uint64_t seedParts[] = {static_cast<std::uint64_t>(kind), number};
    return XXH3_64bits_withSeed(name.data(), name.size(), XXH3_64bits(seedParts, sizeof(seedParts)));
}

} // namespace rhubarbtiller::membership
