#include "suites.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

DEFINE_string(json, "", "file for the results as JSON; none if empty");

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures the memory, time and bytes that docs/CAPACITY.md is worked out from");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    rhubarbtiller::bench::Report report;
    rhubarbtiller::bench::measureConfiguration(report);
    rhubarbtiller::bench::measureLeases(report);
    rhubarbtiller::bench::measureMessages(report);
    rhubarbtiller::bench::measureServers(report);
    rhubarbtiller::bench::measureRoles(report);
    rhubarbtiller::bench::measureEvidence(report);
    std::cout << report.table();
    if (FLAGS_json.empty()) {
        return 0;
    }
    std::ofstream file(FLAGS_json);
    file << report.json() << '\n';
    return file.good() ? 0 : 1;
}
