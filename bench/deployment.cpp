#include "deployment.h"

namespace rhubarbtiller::bench {

using namespace std::chrono_literals;

std::vector<Deployment> deployments()
{
    return {
        {"swellward", 1500us, {{"forecast", 30, SlotCount(2), Percent(60)}, {"payments", 6, SlotCount(2), Percent(60)}}},
        {"akwaaba", 1ms, {{"seats", 30, SlotCount(4), Percent(60)}, {"fees", 6, SlotCount(4), Percent(60)}}},
    };
}

} // namespace rhubarbtiller::bench
