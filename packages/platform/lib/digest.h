#pragma once

#include <string>
#include <string_view>

namespace rhubarbtiller::platform {

/// Returns the SHA-256 digest of a text as 64 lower-case hexadecimal digits. Precondition: none. Thread safety: any thread.
std::string sha256Hex(std::string_view text);

} // namespace rhubarbtiller::platform
