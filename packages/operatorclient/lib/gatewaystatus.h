#pragma once

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>

namespace rhubarbtiller::operatorclient {

/// Prints what the hosts of a gateway fleet believe: one line a host, then the backend servers that a host distrusts.
///
/// \p hosts is a list of objects with "address", and "state" (a state page) or "error". Precondition: none. Thread safety:
/// any thread.
void printGatewayStatus(const nlohmann::json &hosts, std::ostream &output);

} // namespace rhubarbtiller::operatorclient
