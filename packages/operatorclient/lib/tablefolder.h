#pragma once

#include <rhubarbtiller/config/codec.h>

#include <string>

namespace rhubarbtiller::operatorclient {

/// Reads routes.json and pools.json of a folder; faults go to \p problems. Thread safety: any thread.
config::Tables readTableFolder(const std::string &folder, config::Problems &problems);

} // namespace rhubarbtiller::operatorclient
