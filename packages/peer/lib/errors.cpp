#include <rhubarbtiller/peer/errors.h>

#include <string>

namespace rhubarbtiller::peer {

namespace {

class PeerCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "rhubarbtiller.peer";
    }

    std::string message(int code) const override
    {
        switch (static_cast<PeerError>(code)) {
        case PeerError::Timeout:
            return "deadline passed";
        case PeerError::ConnectionFailed:
            return "connection to the peer could not be made";
        case PeerError::ConnectionBroken:
            return "connection to the peer broke";
        case PeerError::AuthenticationFailed:
            return "peer did not prove that it knows the credential";
        case PeerError::OversizedMessage:
            return "message is larger than a frame may be";
        case PeerError::MalformedMessage:
            return "message is malformed";
        case PeerError::QueueFull:
            return "too many messages wait for the peer";
        case PeerError::Stopped:
            return "peer network is stopped";
        case PeerError::AddressInUse:
            return "address in use";
        }
        return "unknown peer error";
    }
};

} // namespace

const std::error_category &peerCategory()
{
    static const PeerCategory category;
    return category;
}

std::error_code make_error_code(PeerError error)
{
    return {static_cast<int>(error), peerCategory()};
}

} // namespace rhubarbtiller::peer
