#pragma once

#include <rhubarbtiller/base/header.h>

namespace rhubarbtiller::host {

/// Removes the headers that concern one connection only (RFC 9110, section 7.6.1). Thread safety: one thread for each list.
void removeHopHeaders(Headers &headers);

} // namespace rhubarbtiller::host
