#pragma once

#include <cstdint>
#include <vector>

namespace rhubarbtiller::soak {

/// Returns the seeds that a randomized test plays: RHUBARBTILLER_SEED alone, those of RHUBARBTILLER_SOAK_SEEDS ("FIRST COUNT"), or
/// \p standard if neither is set. Thread safety: any thread, while none changes the environment.
std::vector<std::uint64_t> seedsToPlay(std::uint64_t standard);

} // namespace rhubarbtiller::soak
