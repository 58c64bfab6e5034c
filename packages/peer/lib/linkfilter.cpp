#include <rhubarbtiller/peer/linkfilter.h>

namespace rhubarbtiller::peer {

bool LinkFilter::allowsIncoming(const HostId &) const
{
    return true;
}

bool LinkFilter::allowsOutgoing(const HostId &) const
{
    return true;
}

} // namespace rhubarbtiller::peer
