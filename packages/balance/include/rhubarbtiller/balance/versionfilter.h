#pragma once

#include <rhubarbtiller/catalog/servertable.h>

#include <set>

namespace rhubarbtiller::balance {

/// Which servers of a service a request may be sent to during a roll-out.
enum class VersionRule {
    Any,
    OnlyTarget,
    NotTarget,
};

/// The versions of servers that a request may be sent to.
struct VersionFilter
{
    VersionRule rule = VersionRule::Any;
    catalog::ServiceVersion target;
    /// Versions that were rolled back or replaced; the target is never among them.
    std::set<catalog::ServiceVersion> rejected;

    /// Returns whether the request may be sent to servers of a version. Precondition: none. Thread safety: any thread.
    bool allows(const catalog::ServiceVersion &version) const
    {
        if (!this->rejected.empty() && this->rejected.contains(version)) {
            return false;
        }
        return this->rule == VersionRule::Any || (version == this->target) == (this->rule == VersionRule::OnlyTarget);
    }
};

} // namespace rhubarbtiller::balance
