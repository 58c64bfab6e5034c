#pragma once

#include <string>
#include <string_view>

namespace rhubarbtiller {

/// Returns the SHA-256 digest of \p text as 64 lower-case hexadecimal digits. Thread safety: any thread.
std::string sha256Hex(std::string_view text);

/// Returns the HMAC-SHA256 of \p text under \p key, as 32 bytes. Thread safety: any thread.
std::string hmacSha256(std::string_view key, std::string_view text);

/// Returns whether two byte strings are equal; the time taken depends only on their lengths. Thread safety: any thread.
bool isEqualInConstantTime(std::string_view left, std::string_view right);

} // namespace rhubarbtiller
