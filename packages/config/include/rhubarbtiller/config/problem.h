#pragma once

#include <string>
#include <system_error>
#include <vector>

namespace rhubarbtiller::config {

/// One fault of a document, said so that its author can mend it.
struct Problem
{
    std::error_code error;
    /// Where the fault is, for example "pools[2].servers[0].address".
    std::string path;
    std::string value;
    std::string allowed;

    /// Returns the fault in one line. Thread safety: any thread.
    std::string describe() const;
};

using Problems = std::vector<Problem>;

} // namespace rhubarbtiller::config
