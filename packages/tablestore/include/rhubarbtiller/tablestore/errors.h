#pragma once

#include <system_error>

namespace rhubarbtiller::tablestore {

enum class PlatformError {
    /// A condition of the write does not hold; nothing was written.
    ConditionFailed = 1,
    /// Another transaction on the same item was under way; nothing was written and the call may be repeated.
    TransactionConflict,
    /// The item or object does not exist.
    NotFound,
    /// The service could not be reached or reported a failure of its own; a write may have taken effect.
    Unavailable,
    /// No response came before the deadline; a write may have taken effect.
    Timeout,
    /// The service refused the call because of too many calls; nothing was written.
    Throttled,
    /// The response does not follow the protocol or a stored value is not what it should be; a write may have taken effect.
    Malformed,
    /// The service refused the credential; nothing was written.
    Unauthorized,
    /// The service refused the call as invalid; nothing was written.
    InvalidRequest,
};

/// Returns the error category of this layer. Precondition: none. Thread safety: any thread.
const std::error_category &platformCategory();

std::error_code make_error_code(PlatformError error);

/// Returns whether a write that ended with this error may have taken effect, now or later.
///
/// Codes of other categories count as unknown. Precondition: none. Thread safety: any thread.
bool isOutcomeUnknown(const std::error_code &error);

} // namespace rhubarbtiller::tablestore

template<>
struct std::is_error_code_enum<rhubarbtiller::tablestore::PlatformError> : std::true_type
{
};
