#pragma once

#include <rhubarbtiller/host/work.h>

#include <string>

namespace rhubarbtiller::host {

/// Makes the response to a caller: the backend server's response, or the refusal as a problem document (RFC 9457).
///
/// Thread safety: any thread.
http::HttpResponse toResponse(WorkOutcome outcome, const RequestId &id);

/// Makes a JSON response. Thread safety: any thread.
http::HttpResponse jsonResponse(int status, std::string body);

} // namespace rhubarbtiller::host
