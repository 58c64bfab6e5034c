#pragma once

#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/tablestore/tableservice.h>

#include <vector>

namespace rhubarbtiller::tablestore {

enum class ListedHostState {
    Live,
    Leaving,
};

/// A host as the platform knows it; the list lags behind the actual state.
struct ListedHost
{
    HostId id;
    Endpoint address;
    FailureDomainId failureDomain;
    ListedHostState state = ListedHostState::Live;

    bool operator==(const ListedHost &) const = default;
};

/// The platform's list of live and leaving hosts.
///
/// All errors are of PlatformError. Thread safety: any thread; handlers run exactly once and may run before the call returns.
class HostList
{
public:
    HostList() = default;
    HostList(const HostList &) = delete;
    HostList &operator=(const HostList &) = delete;
    virtual ~HostList() = default;

    /// Reads the whole list. Precondition: none. Thread safety: any thread.
    virtual void readHosts(MonotonicTime deadline, Handler<Result<std::vector<ListedHost>>> handler) = 0;
};

} // namespace rhubarbtiller::tablestore
