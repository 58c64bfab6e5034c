#include "seeds.h"

#include <cstdlib>
#include <string>

namespace rhubarbtiller::soak {

std::vector<std::uint64_t> seedsToPlay(std::uint64_t standard)
{
    if (const char *const single = std::getenv("RHUBARBTILLER_SEED")) {
        return {std::stoull(single)};
    }
    const char *const many = std::getenv("RHUBARBTILLER_SOAK_SEEDS");
    if (many == nullptr) {
        return {standard};
    }
    const std::string range(many);
    const auto first = std::stoull(range);
    const auto count = std::stoull(range.substr(range.find(' ') + 1));
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        seeds.push_back(seed);
    }
    return seeds;
}

} // namespace rhubarbtiller::soak
