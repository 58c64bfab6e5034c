#pragma once

#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace rhubarbtiller::membership::testing {

/// What one process says about itself at one true moment.
struct HostObservation
{
    HostId host;
    Incarnation incarnation;
    bool holdsLease = false;
    ConfigVersion applied;
    ConfigVersion settled;
    std::vector<ShardId> owned;
    /// The part of each shard's rate that the process may use as a holder or a guardian.
    std::map<ShardId, double> shares;
};

/// Checks the safety properties over a history of observations.
class FleetChecker
{
public:
    void observe(double seconds, const std::vector<HostObservation> &hosts)
    {
        std::map<ShardId, HostId> owners;
        std::map<ShardId, double> shares;
        for (const auto &host : hosts) {
            this->settled = std::max(this->settled, host.settled);
            auto &last = this->applied[host.host];
            if (last.first == host.incarnation && host.applied < last.second) {
                this->report(seconds, host.host.text() + " went back from version " + number(last.second));
            }
            last = {host.incarnation, host.applied};
        }
        for (const auto &host : hosts) {
            if (host.holdsLease && host.applied < this->settled) {
                this->report(seconds,
                             host.host.text() + " acts on version " + number(host.applied) + " after " + number(this->settled)
                                 + " is settled");
            }
            for (const auto shard : host.owned) {
                if (const auto [owner, isFirst] = owners.emplace(shard, host.host); !isFirst) {
                    this->report(seconds, "shard " + number(shard) + " is owned by " + owner->second.text() + " and " + host.host.text());
                }
            }
            for (const auto &[shard, share] : host.shares) {
                shares[shard] += share;
            }
        }
        for (const auto &[shard, share] : shares) {
            if (share > 1.001) {
                this->report(seconds, "the shares of shard " + number(shard) + " sum to " + std::to_string(share));
            }
        }
        this->ownerCount = owners.size();
        ++this->observations;
    }

    const std::vector<std::string> &violations() const
    {
        return this->found;
    }

    /// Returns the number of shards that had an owner at the last observation.
    std::size_t ownedShards() const
    {
        return this->ownerCount;
    }

    ConfigVersion highestSettled() const
    {
        return this->settled;
    }

    std::size_t observationCount() const
    {
        return this->observations;
    }

private:
    template<class Number>
    static std::string number(Number value)
    {
        return std::to_string(value.count());
    }

    void report(double seconds, const std::string &text)
    {
        if (this->found.size() < 10) {
            this->found.push_back(std::to_string(seconds) + " s: " + text);
        }
    }

    ConfigVersion settled;
    std::map<HostId, std::pair<Incarnation, ConfigVersion>> applied;
    std::vector<std::string> found;
    std::size_t ownerCount = 0;
    std::size_t observations = 0;
};

} // namespace rhubarbtiller::membership::testing
