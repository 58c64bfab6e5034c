#include "fleet.h"
#include "suites.h"

#include <rhubarbtiller/membership/freshness.h>
#include <rhubarbtiller/membership/placement.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

namespace rhubarbtiller::bench {

static constexpr Duration Period = std::chrono::seconds(1);

/// One way between two hosts; about the distance of two failure domains in docs/design.md section 1.4.
static constexpr Duration NetworkDelay = std::chrono::microseconds(1500);

static constexpr Duration StoreDelay = std::chrono::milliseconds(5);

static constexpr Duration CheckInterval = std::chrono::milliseconds(50);

static constexpr std::size_t Trials = 11;

/// The freshness leases of all hosts on a virtual time line, exchanging evidence along the placement's graph.
///
/// Every host reads the head of the log and asks its peers once a second, each at a random phase. Nothing is lost.
class EvidenceFleet
{
public:
    EvidenceFleet(const config::Snapshot &snapshot, std::uint64_t seed) : parameters(snapshot.fleetParameters())
    {
        const auto placement = membership::Placement::build(snapshot);
        std::map<HostId, std::size_t> positions;
        for (const auto &[id, host] : snapshot.hosts()) {
            positions.emplace(id, positions.size());
        }
        std::mt19937_64 random(seed);
        std::uniform_int_distribution<Duration::rep> phase(0, Period.count() - 1);
        for (const auto &[id, position] : positions) {
            Member member{membership::FreshnessLease(id, this->now), {}};
            for (const auto &peer : placement->peersOf(id)) {
                member.peers.push_back(positions.at(peer));
            }
            member.lease.onApplied(this->version, this->parameters, this->now);
            this->members.push_back(std::move(member));
            this->actions.push_back({Duration(phase(random)), position, true});
            this->actions.push_back({Duration(phase(random)), position, false});
        }
        this->actions.push_back({Period, 0, false});
        std::ranges::sort(this->actions, {}, &Action::phase);
    }

    /// Runs all actions up to \p until.
    void runTo(MonotonicTime until)
    {
        while (true) {
            const auto &action = this->actions[this->nextAction];
            if (this->periodStart + action.phase > until) {
                break;
            }
            this->now = this->periodStart + action.phase;
            if (action.phase == Period) {
                this->periodStart += Period;
                this->nextAction = 0;
                continue;
            }
            if (action.isPoll) {
                this->poll(this->members[action.host]);
            } else {
                this->ask(this->members[action.host]);
            }
            ++this->nextAction;
        }
        this->now = until;
    }

    void commit()
    {
        this->version = ConfigVersion(this->version.count() + 1);
    }

    void stopStore()
    {
        this->isStoreUp = false;
    }

    /// Returns the number of hosts that know the newest version to be settled.
    std::size_t settledHosts() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->members, [this](const Member &member) {
            return member.lease.settledVersion(this->now) >= this->version;
        }));
    }

    /// Returns the number of hosts whose lease holds.
    std::size_t freshHosts() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(this->members, [this](const Member &member) {
            return member.lease.holds(this->now);
        }));
    }

    MonotonicTime time() const
    {
        return this->now;
    }

    std::size_t size() const
    {
        return this->members.size();
    }

private:
    struct Member
    {
        membership::FreshnessLease lease;
        std::vector<std::size_t> peers;
    };

    struct Action
    {
        Duration phase;
        std::size_t host;
        bool isPoll;
    };

    void poll(Member &member)
    {
        if (!this->isStoreUp) {
            return;
        }
        member.lease.onApplied(this->version, this->parameters, this->now + StoreDelay);
        member.lease.onStoreRead(this->version, this->now, this->now + StoreDelay);
    }

    void ask(Member &member)
    {
        const auto own = member.lease.evidenceVector(this->now);
        for (const auto peer : member.peers) {
            auto &other = this->members[peer].lease;
            other.onRequestEvidence(own);
            member.lease.onReplyEvidence(other.evidenceVector(this->now + NetworkDelay), this->now, this->now + 2 * NetworkDelay);
        }
    }

    config::FleetParameters parameters;
    ConfigVersion version = FleetVersion;
    bool isStoreUp = true;
    MonotonicTime now{std::chrono::hours(1)};
    MonotonicTime periodStart = this->now;
    std::size_t nextAction = 0;
    std::vector<Member> members;
    std::vector<Action> actions;
};

struct SettlingTimes
{
    std::vector<double> first;
    std::vector<double> half;
    std::vector<double> all;
    std::vector<double> freshPercent;
};

static SettlingTimes settlingTimes(std::size_t hosts)
{
    const auto snapshot = makeSnapshot({.hosts = hosts, .shards = (hosts * TargetSize.shards + TargetSize.hosts - 1) / TargetSize.hosts});
    SettlingTimes times;
    for (std::size_t seed = 1; seed <= Trials; ++seed) {
        EvidenceFleet fleet(*snapshot, seed);
        fleet.runTo(fleet.time() + std::chrono::seconds(12));
        fleet.commit();
        const auto committedAt = fleet.time();
        std::size_t settled = 0;
        while (settled < fleet.size() && fleet.time() < committedAt + std::chrono::seconds(30)) {
            fleet.runTo(fleet.time() + CheckInterval);
            const auto before = settled;
            settled = fleet.settledHosts();
            const double taken = std::chrono::duration<double>(fleet.time() - committedAt).count();
            if (before == 0 && settled > 0) {
                times.first.push_back(taken);
            }
            if (before * 2 < fleet.size() && settled * 2 >= fleet.size()) {
                times.half.push_back(taken);
            }
            if (settled == fleet.size()) {
                times.all.push_back(taken);
            }
        }
        fleet.stopStore();
        // Well past the freshness lease, so that only the witnesses' evidence is left.
        fleet.runTo(fleet.time() + std::chrono::seconds(10));
        std::size_t leastFresh = fleet.size();
        for (int i = 0; i < 100; ++i) {
            fleet.runTo(fleet.time() + CheckInterval);
            leastFresh = std::min(leastFresh, fleet.freshHosts());
        }
        times.freshPercent.push_back(100.0 * static_cast<double>(leastFresh) / static_cast<double>(fleet.size()));
    }
    return times;
}

void measureEvidence(Report &report)
{
    std::vector<Point> first;
    std::vector<Point> firstMost;
    std::vector<Point> half;
    std::vector<Point> all;
    std::vector<Point> allMost;
    std::vector<Point> fresh;
    for (const std::size_t hosts : {12, 24, 60, 120, 240, 480}) {
        auto times = settlingTimes(hosts);
        const auto size = static_cast<double>(hosts);
        const auto take = [size](std::vector<double> &values, std::vector<Point> &median, std::vector<Point> *most) {
            if (values.empty()) {
                return;
            }
            std::ranges::sort(values);
            median.push_back({size, values[values.size() / 2]});
            if (most) {
                most->push_back({size, values.back()});
            }
        };
        take(times.first, first, &firstMost);
        take(times.half, half, nullptr);
        take(times.all, all, &allMost);
        fresh.push_back({size, *std::ranges::min_element(times.freshPercent)});
    }
    report.add("virtual.settled.firstHost.median", "host", "s", std::move(first));
    report.add("virtual.settled.firstHost.most", "host", "s", std::move(firstMost));
    report.add("virtual.settled.halfOfHosts.median", "host", "s", std::move(half));
    report.add("virtual.settled.allHosts.median", "host", "s", std::move(all));
    report.add("virtual.settled.allHosts.most", "host", "s", std::move(allMost));
    report.add("virtual.storeDown.freshHosts.least", "host", "%", std::move(fresh));
}

} // namespace rhubarbtiller::bench
