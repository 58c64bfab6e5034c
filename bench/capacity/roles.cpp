#include "fleet.h"
#include "messages.h"
#include "suites.h"

#include <rhubarbtiller/membership/placement.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>

namespace rhubarbtiller::bench {

/// What one host bears in the fleet of the target size while every first guardian owns its shards.
struct Burden
{
    double peers = 0;
    double guardedShards = 0;
    double ownedShards = 0;
    double servers = 0;
    double pools = 0;
    double organisations = 0;
    double reportsSent = 0;
    double reportsReceived = 0;
    double samplesReceived = 0;
    /// Sent and received, each second, with the frame header.
    double voteMessages = 0;
    double voteBytes = 0;
    double reportMessages = 0;
    double reportBytes = 0;
    /// Hosts with which messages are exchanged each second.
    std::set<HostId> contacts;
};

/// Guardians of a shard whose votes its owner needs.
static constexpr std::ptrdiff_t GuardianMajority = 2;

/// Hosts in one rack: the page names racks, but no size of one.
static constexpr std::size_t RackSize = 20;

using Burdens = std::map<HostId, Burden>;

static void addVotes(const membership::Placement &placement, Burdens &burdens)
{
    for (auto &[host, burden] : burdens) {
        const auto &own = placement.shardsOf(host);
        burden.guardedShards = static_cast<double>(own.size());
        const auto peers = placement.peersOf(host);
        burden.peers = static_cast<double>(peers.size());
        for (const auto &peer : peers) {
            const auto common = static_cast<std::size_t>(std::ranges::count_if(own, [&](ShardId shard) {
                return placement.isGuardian(shard, peer);
            }));
            // Each of the two asks the other once a second.
            burden.voteBytes += 2
                * (encodedBytes(voteRequest(common, membership::WitnessCount)) + encodedBytes(voteReply(common, membership::WitnessCount)));
            burden.voteMessages += 4;
            burden.contacts.insert(peer);
        }
    }
}

/// One report a second for each pool with own servers to each guardian of the pool, as PoolController::reportPool() sends.
static void addReports(const config::Snapshot &snapshot, const membership::Placement &placement, Burdens &burdens)
{
    for (const auto &[name, pool] : snapshot.pools()) {
        const auto &guardians = placement.guardians(placement.shardOf(name));
        burdens[guardians.front()].pools += 1;
        std::map<HostId, std::size_t> serversOfOwner;
        for (const auto &server : pool->servers) {
            const auto &owner = placement.guardians(placement.shardOf(server.id, server.failureDomain)).front();
            ++serversOfOwner[owner];
            burdens[owner].servers += 1;
        }
        for (const auto &[owner, servers] : serversOfOwner) {
            if (owner == guardians.front()) {
                burdens[owner].samplesReceived += static_cast<double>(servers);
                continue;
            }
            for (const auto &guardian : guardians) {
                if (guardian == owner) {
                    continue;
                }
                const auto reply = guardian == guardians.front() ? ejectionReply(0) : notOwnerReply();
                const double bytes = encodedBytes(serverReport(servers)) + encodedBytes(reply);
                burdens[owner].reportsSent += 1;
                burdens[guardian].reportsReceived += 1;
                burdens[guardian].samplesReceived += static_cast<double>(servers);
                for (const auto &end : {owner, guardian}) {
                    burdens[end].reportBytes += bytes;
                    burdens[end].reportMessages += 2;
                }
                burdens[owner].contacts.insert(guardian);
                burdens[guardian].contacts.insert(owner);
            }
        }
    }
}

static void addBurden(Report &report, const Burdens &burdens, const std::string &name, const std::function<double(const Burden &)> &value)
{
    std::vector<double> values;
    double sum = 0;
    for (const auto &[host, burden] : burdens) {
        values.push_back(value(burden));
        sum += values.back();
    }
    std::ranges::sort(values);
    report.add("target.host." + name + ".mean", "host", name, {{1, sum / static_cast<double>(values.size())}});
    report.add("target.host." + name + ".p95", "host", name, {{1, values[values.size() * 95 / 100]}});
    report.add("target.host." + name + ".most", "host", name, {{1, values.back()}});
}

/// Counts what keeps a majority of its guardians when some hosts are lost.
static void addLoss(Report &report,
                    const std::string &name,
                    const config::Snapshot &snapshot,
                    const membership::Placement &placement,
                    const std::function<bool(const HostId &)> &isLost)
{
    const auto left = [&](ShardId shard) {
        return GuardianMajority <= std::ranges::count_if(placement.guardians(shard), [&](const HostId &guardian) {
                   return !isLost(guardian);
               });
    };
    double moved = 0;
    double orphaned = 0;
    for (std::uint32_t number = 0; number < placement.shardCount(); ++number) {
        const ShardId shard(number);
        const bool isMoved = isLost(placement.guardians(shard).front());
        orphaned += left(shard) ? 0 : 1;
        moved += isMoved && left(shard) ? 1 : 0;
    }
    double servers = 0;
    double unowned = 0;
    for (const auto &[poolName, pool] : snapshot.pools()) {
        for (const auto &server : pool->servers) {
            const bool isDomainLost = std::ranges::all_of(snapshot.hosts(), [&](const auto &entry) {
                return entry.second.failureDomain != server.failureDomain || isLost(entry.first);
            });
            if (isDomainLost) {
                continue;
            }
            servers += 1;
            unowned += left(placement.shardOf(server.id, server.failureDomain)) ? 0 : 1;
        }
    }
    const auto witnesses = std::ranges::count_if(snapshot.fleetParameters().witnesses, [&](const HostId &witness) {
        return !isLost(witness);
    });
    const auto lost = std::ranges::count_if(snapshot.hosts(), [&](const auto &entry) {
        return isLost(entry.first);
    });
    report.add("loss." + name + ".hosts", "loss", "hosts", {{1, static_cast<double>(lost)}});
    report.add("loss." + name + ".shardsMoved", "loss", "shards", {{1, moved}});
    report.add("loss." + name + ".shardsWithoutMajority", "loss", "shards", {{1, orphaned}});
    report.add("loss." + name + ".serversInRemainingDomains", "loss", "servers", {{1, servers}});
    report.add("loss." + name + ".serversWithoutOwner", "loss", "servers", {{1, unowned}});
    report.add("loss." + name + ".witnessesLeft", "loss", "witnesses", {{1, static_cast<double>(witnesses)}});
}

static void addLosses(Report &report, const config::Snapshot &snapshot, const membership::Placement &placement)
{
    const auto domainOf = [&](const HostId &host) -> const std::string & {
        return snapshot.hosts().at(host).failureDomain.text();
    };
    addLoss(report, "host", snapshot, placement, [](const HostId &host) {
        return host == hostName(0);
    });
    // A rack lies in one failure domain.
    std::set<HostId> rack;
    for (std::size_t i = 0; rack.size() < RackSize; i += 4) {
        rack.insert(hostName(i));
    }
    addLoss(report, "rack", snapshot, placement, [&](const HostId &host) {
        return rack.contains(host);
    });
    addLoss(report, "failureDomain", snapshot, placement, [&](const HostId &host) {
        return domainOf(host) == "south-1";
    });
    addLoss(report, "regionSouth", snapshot, placement, [&](const HostId &host) {
        return domainOf(host).starts_with("south");
    });
    addLoss(report, "regionNorth", snapshot, placement, [&](const HostId &host) {
        return domainOf(host).starts_with("north");
    });
}

void measureRoles(Report &report)
{
    const auto snapshot = makeSnapshot(TargetSize);
    const auto placement = membership::Placement::build(*snapshot);
    Burdens burdens;
    for (const auto &[id, host] : snapshot->hosts()) {
        burdens.emplace(id, Burden{});
    }
    addVotes(*placement, burdens);
    addReports(*snapshot, *placement, burdens);
    for (std::uint32_t shard = 0; shard < placement->shardCount(); ++shard) {
        burdens[placement->guardians(ShardId(shard)).front()].ownedShards += 1;
    }
    snapshot->organisationTable().forEach([&](const OrganisationId &id, const config::Organisation &) {
        burdens[placement->guardians(placement->shardOf(id, 0)).front()].organisations += 1;
    });
    addBurden(report, burdens, "peers", [](const Burden &burden) {
        return burden.peers;
    });
    addBurden(report, burdens, "guardedShards", [](const Burden &burden) {
        return burden.guardedShards;
    });
    addBurden(report, burdens, "ownedShards", [](const Burden &burden) {
        return burden.ownedShards;
    });
    addBurden(report, burdens, "servers", [](const Burden &burden) {
        return burden.servers;
    });
    addBurden(report, burdens, "pools", [](const Burden &burden) {
        return burden.pools;
    });
    addBurden(report, burdens, "organisations", [](const Burden &burden) {
        return burden.organisations;
    });
    addBurden(report, burdens, "contacts", [](const Burden &burden) {
        return static_cast<double>(burden.contacts.size());
    });
    addBurden(report, burdens, "reportsSent", [](const Burden &burden) {
        return burden.reportsSent;
    });
    addBurden(report, burdens, "reportsReceived", [](const Burden &burden) {
        return burden.reportsReceived;
    });
    addBurden(report, burdens, "samplesReceived", [](const Burden &burden) {
        return burden.samplesReceived;
    });
    addBurden(report, burdens, "voteMessages", [](const Burden &burden) {
        return burden.voteMessages;
    });
    addBurden(report, burdens, "voteBytes", [](const Burden &burden) {
        return burden.voteBytes;
    });
    addBurden(report, burdens, "reportMessages", [](const Burden &burden) {
        return burden.reportMessages;
    });
    addBurden(report, burdens, "reportBytes", [](const Burden &burden) {
        return burden.reportBytes;
    });
    addLosses(report, *snapshot, *placement);
}

} // namespace rhubarbtiller::bench
