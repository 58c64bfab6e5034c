#include "ratehistory.h"

#include <algorithm>

namespace rhubarbtiller::limits {

bool admittedWithinRate(AdmissionHistory history, const TokenLimit &limit)
{
    // Allows for the rounding of sums of doubles, far below one request.
    static constexpr double Rounding = 1e-6;
    std::sort(history.begin(), history.end());
    double level = 0;
    for (std::size_t i = 0; i < history.size(); ++i) {
        if (i > 0) {
            const double seconds = std::chrono::duration<double>(history[i] - history[i - 1]).count();
            level = std::max(0.0, level - limit.rate.count() * seconds);
        }
        level += 1;
        if (level > limit.burst.count() + Rounding) {
            return false;
        }
    }
    return true;
}

} // namespace rhubarbtiller::limits
