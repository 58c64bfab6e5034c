#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/limits/shares.h>
#include <rhubarbtiller/membership/freshness.h>

#include <vector>

namespace rhubarbtiller::blackboard {

/// What this host may do for one shard.
struct ShardLease
{
    /// Up to when this host owns the shard; in the past if it does not.
    MonotonicTime ownedUntil{MonotonicTime::min()};
    /// The thirds of the shard's rates that this host carries.
    std::vector<limits::ShareInterval> shares;
};

/// The leases of this host at one moment; deadlines make it safe to read late.
///
/// Thread safety: immutable.
struct LeaseView
{
    membership::Freshness freshness;
    std::vector<ShardLease> shards;

    /// Returns whether this host owns \p shard now. Precondition: none.
    bool owns(ShardId shard, MonotonicTime now) const
    {
        return now < this->ownedUntil(shard);
    }

    /// Returns up to when this host owns \p shard: never beyond the freshness lease. Precondition: none.
    MonotonicTime ownedUntil(ShardId shard) const;
};

} // namespace rhubarbtiller::blackboard
