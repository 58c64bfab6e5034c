#pragma once

#include <system_error>

namespace rhubarbtiller::http {

enum class HttpError {
    Timeout = 1,
    ConnectionRefused,
    ConnectionReset,
    ConnectionFailed,
    Cancelled,
    IncompleteResponse,
    OversizedResponse,
    MalformedResponse,
    MalformedRequest,
    RepeatRefused,
    AddressInUse,
    InternalError,
};

/// Returns the error category of this layer. Precondition: none. Thread safety: any thread.
const std::error_category &httpCategory();

std::error_code make_error_code(HttpError error);

/// Converts an error of Asio or of the operating system to this layer. Precondition: none. Thread safety: any thread.
std::error_code fromSystemError(std::error_code error);

} // namespace rhubarbtiller::http

template<>
struct std::is_error_code_enum<rhubarbtiller::http::HttpError> : std::true_type
{
};
