#pragma once

#include <system_error>

namespace rhubarbtiller::health {

enum class HealthError {
    /// This host may not act for the server or pool now.
    NotOwner = 1,
    /// The new owner still waits for requests of the old one, for longer than the request may wait.
    HoldingBack,
    QueueFull,
    DeadlinePassed,
    /// The caller gave up while the request was waiting.
    Cancelled,
    /// The pool has no such server in service.
    UnknownServer,
    /// The ejection would take the pool below its floor.
    FloorReached,
    /// Leases of the previous pool owner may still be in force.
    LeasesUnknown,
};

/// Returns the error category of this layer. Precondition: none. Thread safety: any thread.
const std::error_category &healthCategory();

std::error_code make_error_code(HealthError error);

} // namespace rhubarbtiller::health

template<>
struct std::is_error_code_enum<rhubarbtiller::health::HealthError> : std::true_type
{
};
