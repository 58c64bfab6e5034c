#pragma once

#include <rhubarbtiller/base/strongnumber.h>

namespace rhubarbtiller::catalog {

/// Hosts read no larger header of a caller's request, whatever the configuration allows.
inline constexpr ByteCount MaxReadHeader{64 * 1024};

/// Hosts read no larger body of a caller's request, whatever the configuration allows.
inline constexpr ByteCount MaxReadBody{64 * 1024 * 1024};

} // namespace rhubarbtiller::catalog
