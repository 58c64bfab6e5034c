#pragma once

#include <system_error>

namespace rhubarbtiller::peer {

enum class PeerError {
    Timeout = 1,
    ConnectionFailed,
    ConnectionBroken,
    AuthenticationFailed,
    OversizedMessage,
    MalformedMessage,
    QueueFull,
    Stopped,
    AddressInUse,
};

/// Returns the error category of this layer. Precondition: none. Thread safety: any thread.
const std::error_category &peerCategory();

std::error_code make_error_code(PeerError error);

} // namespace rhubarbtiller::peer

template<>
struct std::is_error_code_enum<rhubarbtiller::peer::PeerError> : std::true_type
{
};
