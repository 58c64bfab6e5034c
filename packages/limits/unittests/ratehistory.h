#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/limits/tokenbucket.h>

#include <vector>

namespace rhubarbtiller::limits {

/// The times at which requests of one organisation were admitted, over all hosts, in any order.
using AdmissionHistory = std::vector<MonotonicTime>;

/// Returns whether in every window the admissions are at most rate x window + burst.
///
/// Only windows that begin and end with an admission matter. Sweeps once over the sorted history: the level of a leaky
/// bucket after an admission is the largest excess over all windows that end there. Precondition: none.
bool admittedWithinRate(AdmissionHistory history, const TokenLimit &limit);

} // namespace rhubarbtiller::limits
