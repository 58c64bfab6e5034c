#pragma once

#include "fleetchecker.h"

#include <rhubarbtiller/base/random.h>
#include <rhubarbtiller/membership/freshness.h>
#include <rhubarbtiller/membership/placement.h>
#include <rhubarbtiller/membership/votes.h>
#include <rhubarbtiller/testing/virtualclock.h>

#include <functional>
#include <queue>
#include <set>

namespace rhubarbtiller::membership::testing {

/// Mechanisms that a test takes out, to show that the checker notices.
struct MissingMechanisms
{
    bool guardianStartWait = false;
    bool guardianSettledWait = false;
    bool witnessSilence = false;
    bool requestEvidenceRule = false;
};

struct FleetOptions
{
    std::uint64_t seed = 1;
    std::size_t hostCount = 9;
    std::size_t domainCount = 3;
    std::size_t witnessCount = 5;
    std::uint32_t shardCount = 8;
    /// Observe after every event instead of every 20 ms only.
    bool observesEvents = true;
    Duration observationPeriod = std::chrono::milliseconds(20);
    MissingMechanisms missing;
};

/// A fleet of hosts that run the decision objects over a fake network, store and clocks.
class FakeFleet
{
public:
    struct Message
    {
        VoteRequest request;
        EvidenceVector evidence;
        MonotonicTime sentAt;
        std::uint64_t run = 0;
    };

    struct Node
    {
        config::Host row;
        bool isAlive = false;
        std::uint64_t run = 0;
        /// Local time runs at this rate, and starts at another moment than true time.
        double rate = 1;
        Duration offset{0};
        MonotonicTime pausedUntil{};
        bool isFetching = false;
        std::unique_ptr<FreshnessLease> lease;
        std::unique_ptr<VoteGuardian> guardian;
        std::unique_ptr<VoteHolder> holder;
        std::shared_ptr<const Placement> placement;
        std::shared_ptr<const config::Snapshot> snapshot;
    };

    explicit FakeFleet(const FleetOptions &fleetOptions) : options(fleetOptions), random(fleetOptions.seed)
    {
        std::vector<config::Row> rows;
        std::vector<config::Host> hosts;
        for (std::size_t i = 0; i < this->options.hostCount; ++i) {
            config::Host row;
            row.id = HostId("h" + std::to_string(i));
            row.failureDomain = FailureDomainId("d" + std::to_string(i % this->options.domainCount));
            hosts.push_back(row);
            rows.emplace_back(row);
            Node &node = this->nodes[row.id];
            node.row = row;
            node.rate = 0.995 + 0.0001 * static_cast<double>(this->random.below(101));
            node.offset = std::chrono::seconds(this->random.below(1000));
        }
        config::FleetParameters fleet;
        fleet.shardCount = this->options.shardCount;
        fleet.witnesses = chooseWitnesses(hosts, this->options.witnessCount);
        rows.emplace_back(fleet);
        this->log.push_back(config::Snapshot::fromRows(ConfigVersion(1), ConfigVersion(1), rows));
        for (const auto &host : hosts) {
            this->restart(host.id);
        }
        this->observeRegularly();
    }

    /// Runs the events of the next span of true time.
    void run(Duration span)
    {
        const MonotonicTime end = this->trueTime() + span;
        while (!this->events.empty() && this->events.top().at <= end) {
            const Event event = this->events.top();
            this->events.pop();
            this->clock.advance(event.at - this->trueTime());
            event.action();
            if (this->options.observesEvents) {
                this->observe();
            }
        }
        this->clock.advance(end - this->trueTime());
    }

    MonotonicTime trueTime() const
    {
        return this->clock.now();
    }

    MonotonicTime localTime(const Node &node) const
    {
        const auto sinceStart = this->trueTime().time_since_epoch();
        return MonotonicTime(std::chrono::duration_cast<Duration>(sinceStart * node.rate) + node.offset);
    }

    void restart(const HostId &id)
    {
        Node &node = this->nodes.at(id);
        const MonotonicTime now = this->localTime(node);
        node.isAlive = true;
        node.isFetching = false;
        node.pausedUntil = MonotonicTime{};
        ++node.run;
        node.snapshot = nullptr;
        node.placement = nullptr;
        node.lease = std::make_unique<FreshnessLease>(id, now);
        node.guardian = std::make_unique<VoteGuardian>(id, this->options.missing.guardianStartWait ? now - std::chrono::hours(1) : now);
        node.holder = std::make_unique<VoteHolder>(id, Incarnation(node.run));
        this->scheduleFor(id, this->delay(std::chrono::milliseconds(300)), [this, id] {
            this->tick(id);
        });
    }

    void stop(const HostId &id)
    {
        this->nodes.at(id).isAlive = false;
    }

    void pause(const HostId &id, Duration span)
    {
        this->nodes.at(id).pausedUntil = this->trueTime() + span;
    }

    /// Writes the next version, in which \p edit has changed the rows; returns whether it was written.
    bool change(const HostId &writer, const std::function<void(std::vector<config::Mutation> &, const config::Snapshot &)> &edit)
    {
        const Node &node = this->nodes.at(writer);
        if (!this->isStoreUp || !node.isAlive || !node.snapshot || node.snapshot != this->log.back()) {
            return false;
        }
        config::Change next;
        next.version = ConfigVersion(this->log.back()->version().count() + 1);
        edit(next.mutations, *this->log.back());
        this->log.push_back(this->log.back()->apply(next));
        return true;
    }

    /// Adds the host to the roster, or removes it from there.
    bool changeRoster(const HostId &writer, const HostId &host)
    {
        return this->change(writer, [&](auto &mutations, const config::Snapshot &current) {
            if (current.hosts().contains(host) && !keepsWitnessMajority(current, host)) {
                return;
            }
            if (current.hosts().contains(host)) {
                mutations.emplace_back(config::DeleteRow{config::Table::Hosts, host.text()});
                return;
            }
            mutations.emplace_back(config::PutRow{this->nodes.at(host).row});
        });
    }

    /// Replaces the witnesses by those that suit the roster, by the rule that FreshnessLease states.
    bool changeWitnesses(const HostId &writer)
    {
        const Node &node = this->nodes.at(writer);
        if (!node.isAlive || node.lease->settledVersion(this->localTime(node)) < node.lease->appliedVersion()) {
            return false;
        }
        return this->change(writer, [&](auto &mutations, const config::Snapshot &current) {
            std::vector<config::Host> hosts;
            for (const auto &[id, row] : current.hosts()) {
                hosts.push_back(row);
            }
            config::FleetParameters fleet = current.fleetParameters();
            if (!fleet.previousWitnesses.empty()) {
                fleet.previousWitnesses.clear();
            } else {
                fleet.previousWitnesses = fleet.witnesses;
                fleet.witnesses = chooseWitnesses(hosts, this->options.witnessCount);
            }
            mutations.emplace_back(config::PutRow{fleet});
        });
    }

    void observe()
    {
        std::vector<HostObservation> all;
        for (const auto &[id, node] : this->nodes) {
            if (!node.isAlive || !node.snapshot) {
                continue;
            }
            const MonotonicTime now = this->localTime(node);
            const Freshness freshness = node.lease->state(now);
            HostObservation seen{id, Incarnation(node.run), freshness.holds(now), freshness.version, freshness.settled, {}, {}};
            for (const auto shard : node.placement->shardsOf(id)) {
                if (node.holder->owns(shard, freshness, now)) {
                    seen.owned.push_back(shard);
                }
                double share = node.holder->share(shard, freshness, now);
                if (node.guardian->ownShareAvailable(shard, freshness, now)) {
                    share += 1.0 / static_cast<double>(node.placement->guardians(shard).size());
                }
                seen.shares[shard] = share;
            }
            all.push_back(std::move(seen));
        }
        this->checker.observe(std::chrono::duration<double>(this->trueTime() - this->firstMoment).count(), all);
    }

    std::size_t servingHosts() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->nodes, [this](const auto &entry) {
            return entry.second.isAlive && entry.second.lease->holds(this->localTime(entry.second));
        }));
    }

    std::vector<HostId> hostIds() const
    {
        std::vector<HostId> ids;
        for (const auto &[id, node] : this->nodes) {
            ids.push_back(id);
        }
        return ids;
    }

    FleetOptions options;
    SeededRandom random;
    rhubarbtiller::testing::VirtualClock clock;
    MonotonicTime firstMoment = clock.now();
    std::map<HostId, Node> nodes;
    std::vector<std::shared_ptr<const config::Snapshot>> log;
    bool isStoreUp = true;
    std::set<std::pair<HostId, HostId>> cutLinks;
    int dropPercent = 0;
    int duplicatePercent = 0;
    int slowPercent = 0;
    FleetChecker checker;

private:
    struct Event
    {
        MonotonicTime at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::pair(this->at, this->order) > std::pair(other.at, other.order);
        }
    };

    Duration delay(Duration bound)
    {
        return Duration(this->random.below(static_cast<std::uint64_t>(bound.count())));
    }

    bool chance(int percent)
    {
        return static_cast<int>(this->random.below(100)) < percent;
    }

    void schedule(Duration after, std::function<void()> action)
    {
        this->events.push(Event{this->trueTime() + after, ++this->lastOrder, std::move(action)});
    }

    /// Schedules work of one process; it waits while the process is paused and is lost when the process ends.
    void scheduleFor(const HostId &id, Duration after, std::function<void()> action)
    {
        this->schedule(after, [this, id, run = this->nodes.at(id).run, action = std::move(action)] {
            const Node &node = this->nodes.at(id);
            if (!node.isAlive || node.run != run) {
                return;
            }
            if (this->trueTime() < node.pausedUntil) {
                this->scheduleFor(id, node.pausedUntil - this->trueTime() + this->delay(std::chrono::milliseconds(1)), action);
                return;
            }
            action();
        });
    }

    Duration messageDelay()
    {
        return this->chance(this->slowPercent) ? this->delay(std::chrono::seconds(6)) : this->delay(std::chrono::milliseconds(3));
    }

    /// Delivers to whatever process runs on the receiving host at that time.
    void send(const HostId &from, const HostId &to, const std::function<void()> &action)
    {
        if (from == to) {
            action();
            return;
        }
        const int copies = this->chance(this->duplicatePercent) ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (this->chance(this->dropPercent) || this->cutLinks.contains({from, to})) {
                continue;
            }
            this->schedule(this->messageDelay(), [this, to, action] {
                if (this->nodes.at(to).isAlive) {
                    this->scheduleFor(to, Duration::zero(), action);
                }
            });
        }
    }

    void tick(const HostId &id)
    {
        this->scheduleFor(id, std::chrono::milliseconds(950) + this->delay(std::chrono::milliseconds(100)), [this, id] {
            this->tick(id);
        });
        Node &node = this->nodes.at(id);
        this->readStore(id);
        if (!node.snapshot) {
            auto peer = std::next(this->nodes.begin(), static_cast<std::ptrdiff_t>(this->random.below(this->nodes.size())));
            this->fetchFromPeer(id, peer->first);
            return;
        }
        for (const auto &guardian : node.holder->peersToAsk()) {
            const MonotonicTime now = this->localTime(node);
            const auto request = node.holder->requestFor(guardian, node.lease->state(now), now);
            const Message message{request, node.lease->evidenceVector(now), now, node.run};
            this->send(id, guardian, [this, id, guardian, message] {
                this->receiveRequest(id, guardian, message);
            });
        }
    }

    void receiveRequest(const HostId &from, const HostId &to, const Message &message)
    {
        Node &node = this->nodes.at(to);
        if (!node.snapshot) {
            return;
        }
        const MonotonicTime now = this->localTime(node);
        if (this->options.missing.requestEvidenceRule) {
            node.lease->onReplyEvidence(message.evidence, now, now);
        }
        node.lease->onRequestEvidence(message.evidence);
        Freshness freshness = node.lease->state(now);
        if (this->options.missing.guardianSettledWait) {
            freshness.settled = freshness.version;
        }
        const VoteReply reply = node.guardian->onVoteRequest(message.request, freshness, now);
        this->send(to, from, [this, from, to, message, reply, evidence = node.lease->evidenceVector(now)] {
            this->receiveReply(from, to, message, reply, evidence);
        });
    }

    void
    receiveReply(const HostId &id, const HostId &guardian, const Message &message, const VoteReply &reply, const EvidenceVector &evidence)
    {
        Node &node = this->nodes.at(id);
        if (node.run != message.run) {
            return;
        }
        node.lease->onReplyEvidence(evidence, message.sentAt, this->localTime(node));
        node.holder->onVoteReply(guardian, message.request, message.sentAt, reply);
        if (reply.configVersion > node.lease->appliedVersion()) {
            this->fetchFromPeer(id, guardian);
        }
    }

    void readStore(const HostId &id)
    {
        const Node &node = this->nodes.at(id);
        const MonotonicTime sentAt = this->localTime(node);
        this->schedule(this->messageDelay(), [this, id, sentAt, run = node.run] {
            if (!this->isStoreUp || this->nodes.at(id).run != run) {
                return;
            }
            const ConfigVersion head = this->log.back()->version();
            this->scheduleFor(id, this->messageDelay(), [this, id, sentAt, head] {
                Node &reader = this->nodes.at(id);
                reader.lease->onStoreRead(head, sentAt, this->localTime(reader));
                if (head > reader.lease->appliedVersion() && this->isStoreUp) {
                    this->scheduleFor(id, this->messageDelay(), [this, id, head] {
                        this->applyUpTo(id, head);
                    });
                }
            });
        });
    }

    void fetchFromPeer(const HostId &id, const HostId &peer)
    {
        this->send(id, peer, [this, id, peer] {
            const Node &source = this->nodes.at(peer);
            if (!source.snapshot) {
                return;
            }
            this->send(peer, id, [this, id, version = source.snapshot->version()] {
                this->applyUpTo(id, version);
            });
        });
    }

    /// Applies the missing versions one by one; a process that knows none takes the snapshot.
    void applyUpTo(const HostId &id, ConfigVersion version)
    {
        Node &node = this->nodes.at(id);
        const std::uint64_t first = node.snapshot ? node.snapshot->version().count() + 1 : version.count();
        for (std::uint64_t next = first; next <= version.count(); ++next) {
            const MonotonicTime now = this->localTime(node);
            node.snapshot = this->log[next - 1];
            node.placement = Placement::build(*node.snapshot, node.placement);
            node.lease->onApplied(node.snapshot->version(), node.snapshot->fleetParameters(), now);
            if (this->options.missing.witnessSilence && first == next && node.run > 1) {
                node.lease->onStoreRead(node.snapshot->version(), now - std::chrono::hours(1), now);
            }
            node.guardian->onPlacement(node.snapshot->version(), node.placement);
            node.holder->onPlacement(node.snapshot->version(), node.placement);
        }
    }

    void observeRegularly()
    {
        this->schedule(this->options.observationPeriod, [this] {
            this->observe();
            this->observeRegularly();
        });
    }

    std::priority_queue<Event> events;
    std::uint64_t lastOrder = 0;
};

} // namespace rhubarbtiller::membership::testing
