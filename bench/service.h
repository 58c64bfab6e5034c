#pragma once

#include "deployment.h"

#include <nlohmann/json.hpp>

namespace rhubarbtiller::bench {

/// Measures goodput, refusals and latency beside a greedy organisation, while a failure domain leaves and returns, and while
/// servers restart cold; prints tables.
nlohmann::json measureServiceLevel(const Deployment &deployment);

} // namespace rhubarbtiller::bench
