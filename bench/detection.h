#pragma once

#include "deployment.h"

#include <nlohmann/json.hpp>

namespace rhubarbtiller::bench {

/// Measures detection time, false ejections and failed requests for each gray mode, policy and sensitivity; prints a table.
nlohmann::json measureDetection(const Deployment &deployment);

} // namespace rhubarbtiller::bench
