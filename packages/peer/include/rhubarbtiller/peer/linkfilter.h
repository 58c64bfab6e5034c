#pragma once

#include <rhubarbtiller/base/strongid.h>

namespace rhubarbtiller::peer {

/// Decides which messages are lost, so that runs of real processes can cut a link in one direction.
///
/// A message that does not pass is dropped silently, as by a network that loses packets. The default passes everything.
class LinkFilter
{
public:
    LinkFilter() = default;
    LinkFilter(const LinkFilter &) = delete;
    LinkFilter &operator=(const LinkFilter &) = delete;
    virtual ~LinkFilter() = default;

    /// Returns whether a message that this host sends to \p peer passes. Thread safety: any thread.
    virtual bool passesTo(const Endpoint &peer) const;

    /// Returns whether a reply of \p peer to this host passes. Thread safety: any thread.
    virtual bool passesFrom(const Endpoint &peer) const;

    /// Returns whether a message that \p sender sent to this host passes. Thread safety: any thread.
    virtual bool passesFromHost(const HostId &sender) const;

    /// Returns whether this host's reply to \p sender passes. Thread safety: any thread.
    virtual bool passesToHost(const HostId &sender) const;
};

} // namespace rhubarbtiller::peer
