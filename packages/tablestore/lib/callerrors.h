#pragma once

#include <rhubarbtiller/http/httpmessage.h>
#include <rhubarbtiller/tablestore/errors.h>

#include <string>
#include <system_error>

namespace rhubarbtiller::tablestore {

/// Converts an error of the HTTP client to this layer. Precondition: \p error is set. Thread safety: any thread.
PlatformError fromHttpError(const std::error_code &error);

/// Returns what a status other than success means without regard to the body. Thread safety: any thread.
PlatformError fromHttpStatus(int status);

/// Returns what an error response of the table service means. Precondition: the status is not 2xx. Thread safety: any thread.
PlatformError fromDynamoError(const http::HttpResponse &response);

} // namespace rhubarbtiller::tablestore
