#pragma once

#include <string>

namespace rhubarbtiller {

/// Runs a host of a gateway fleet until a stop signal; returns the exit code of the process.
///
/// With \p checkOnly, only validates the settings. Precondition: the command line is parsed. Thread safety: the main thread.
int runGateway(const std::string &settingsPath, bool checkOnly);

} // namespace rhubarbtiller
