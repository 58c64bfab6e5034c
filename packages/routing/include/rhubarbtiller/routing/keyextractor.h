#pragma once

#include <rhubarbtiller/base/header.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/routing/refusal.h>

#include <optional>
#include <string>
#include <string_view>

namespace rhubarbtiller::routing {

/// What was found when the key was removed from a request.
struct ExtractedKey
{
    /// The digest of the key; unset if the request carries none.
    std::optional<KeyDigest> digest;
    /// Reason::None, or why the request must be refused.
    Reason fault = Reason::None;
};

/// Returns the SHA-256 digest of a key. Precondition: none. Thread safety: any thread.
KeyDigest digestOfKey(std::string_view key);

/// Removes the caller's key from a request in every form and returns its digest.
///
/// Keys come as "Authorization: Bearer", "X-Api-Key" or the query parameter "api_key". All headers and parameters of
/// these names are removed, and so is every other header that contains the key. A request whose path, query or body
/// contains the key is refused, since removing it there would change the request.
/// Precondition: none. Thread safety: any thread.
ExtractedKey extractKey(Headers &headers, std::string &target, std::string_view body);

} // namespace rhubarbtiller::routing
