#pragma once

#include <rhubarbtiller/base/strongnumber.h>

#include <optional>
#include <string>
#include <string_view>

namespace rhubarbtiller::http {

/// The content coding of deflated() in the headers Accept-Encoding and Content-Encoding (RFC 9110, section 8.4.1.2).
inline constexpr std::string_view DeflateCoding = "deflate";

/// Returns the bytes in the zlib format. Precondition: none. Thread safety: any thread.
std::string deflated(std::string_view bytes);

/// Returns the bytes that were deflated, or nothing if they are malformed or more than \p most.
///
/// Precondition: none. Thread safety: any thread.
std::optional<std::string> inflated(std::string_view bytes, ByteCount most);

} // namespace rhubarbtiller::http
