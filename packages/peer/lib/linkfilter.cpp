#include <rhubarbtiller/peer/linkfilter.h>

namespace rhubarbtiller::peer {

bool LinkFilter::passesTo(const Endpoint &) const
{
    return true;
}

bool LinkFilter::passesFrom(const Endpoint &) const
{
    return true;
}

bool LinkFilter::passesFromHost(const HostId &) const
{
    return true;
}

bool LinkFilter::passesToHost(const HostId &) const
{
    return true;
}

} // namespace rhubarbtiller::peer
