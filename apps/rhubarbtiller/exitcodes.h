#pragma once

namespace rhubarbtiller {

/// The command line could not be read.
inline constexpr int ExitUsage = 1;
/// The settings could not be read or are wrong.
inline constexpr int ExitSettings = 2;
/// A port could not be opened.
inline constexpr int ExitPorts = 3;

} // namespace rhubarbtiller
