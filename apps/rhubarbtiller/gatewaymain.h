#pragma once

#include <string>

namespace rhubarbtiller {

/// Runs a host of a gateway fleet until it is told to stop; returns the exit code of the program.
///
/// Precondition: the command line was read. Thread safety: the main thread.
int runGateway(const std::string &settingsPath, bool checksOnly);

} // namespace rhubarbtiller
