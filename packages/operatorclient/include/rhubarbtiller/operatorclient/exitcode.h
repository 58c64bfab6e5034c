#pragma once

namespace rhubarbtiller::operatorclient {

/// How rhubarbtillerctl ends; the numbers are part of its documented interface.
enum class ExitCode {
    /// Done; a change is accepted.
    Success = 0,
    Usage = 1,
    /// The settings or tables have faults.
    Invalid = 2,
    /// The store does not answer; whether a change was written is said in the message.
    StoreUnavailable = 3,
    /// Another operator changed the tables since the base revision.
    Conflict = 4,
    /// The change stands in the log and will come into force, but acceptance was not confirmed in time.
    NotYetAccepted = 5,
    /// The named key, server, host or failure domain does not exist.
    NotFound = 6,
    /// The check of a configuration document found warnings only.
    Warnings = 1,
    /// A configuration document cannot be read or is not JSON.
    Unreadable = 3,
};

} // namespace rhubarbtiller::operatorclient
