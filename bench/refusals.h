#pragma once

#include "deployment.h"

#include <nlohmann/json.hpp>

namespace rhubarbtiller::bench {

/// Measures requests refused although inside the rate, alone and beside a greedy organisation; prints a table.
///
/// Nothing that the deployments differ in enters these figures, so they hold for both.
nlohmann::json measureRefusals();

} // namespace rhubarbtiller::bench
