#pragma once

#include <rhubarbtiller/base/strongid.h>

namespace rhubarbtiller::peer {

/// Decides whether messages pass between this host and a peer; tests use it to cut links in one direction.
class LinkFilter
{
public:
    LinkFilter() = default;
    LinkFilter(const LinkFilter &) = delete;
    LinkFilter &operator=(const LinkFilter &) = delete;
    virtual ~LinkFilter() = default;

    /// Returns whether messages from \p peer arrive. Thread safety: any thread.
    virtual bool allowsIncoming(const HostId &peer) const;

    /// Returns whether messages to \p peer leave. Thread safety: any thread.
    virtual bool allowsOutgoing(const HostId &peer) const;
};

} // namespace rhubarbtiller::peer
