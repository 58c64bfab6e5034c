#include "detection.h"
#include "refusals.h"
#include "service.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>

DEFINE_string(out, "", "file for the results as JSON");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    nlohmann::json results;
    results["seeds"] = rhubarbtiller::bench::Seeds;
    std::printf("seeds 101 202 303 (detection), 1 2 3 (refusals); %zu hosts\n", rhubarbtiller::bench::HostCount);
    for (const auto &deployment : rhubarbtiller::bench::deployments()) {
        auto &result = results["deployments"][deployment.name];
        result["detection"] = rhubarbtiller::bench::measureDetection(deployment);
        result["service"] = rhubarbtiller::bench::measureServiceLevel(deployment);
    }
    results["refusals"] = rhubarbtiller::bench::measureRefusals();
    if (!FLAGS_out.empty()) {
        std::ofstream(FLAGS_out) << results.dump(2) << "\n";
    }
    return 0;
}
