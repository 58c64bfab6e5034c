#pragma once

namespace rhubarbtiller {

/// The command line is malformed.
inline constexpr int ExitUsage = 1;
/// The settings file could not be read or is invalid.
inline constexpr int ExitSettings = 2;
/// A listening port could not be opened.
inline constexpr int ExitPorts = 3;

} // namespace rhubarbtiller
