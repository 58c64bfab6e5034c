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
            return "no reply before the deadline";
        case PeerError::ConnectionFailed:
            return "connection to the peer failed";
        case PeerError::ConnectionLost:
            return "connection to the peer was lost";
        case PeerError::Unauthenticated:
            return "peer does not have the shared credential";
        case PeerError::MalformedMessage:
            return "message of the peer is malformed";
        case PeerError::AddressInUse:
            return "peer address cannot be bound";
        case PeerError::Stopped:
            return "peer network is stopped";
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
