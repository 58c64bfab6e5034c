#include "fakes.h"
#include "peerlink.h"

#include <rhubarbtiller/testing/fakehttpclient.h>
#include <rhubarbtiller/testing/virtualscheduler.h>

#include <doctest/doctest.h>

#include <asio/io_context.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <deque>
#include <numeric>
#include <set>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

namespace {

const OrganisationId Busy("busy");
constexpr Duration Window = 5s;
constexpr double RatePerSecond = 80;
constexpr double Burst = 90;
constexpr double Limit = RatePerSecond * 5 + Burst;
/// The platform tolerates a tenth and 20 requests beyond the limit.
constexpr double Tolerated = Limit * 1.1 + 20;

/// Large enough that the fractions of a retry that each host leaves unused don't matter.
constexpr balance::RetryBudgetBounds RetryBounds{.ratio = 0.2, .slack = 2000, .window = 10s};

constexpr unsigned Domains = 3;
constexpr Duration UpdateInterval = 50ms;
constexpr Duration Latency = 1ms;
constexpr Duration AddressLifetime = 1500ms;
constexpr Duration WarmUp = 12s;
constexpr Duration RestartTime = 500ms;
/// After this time the limit is used again: a second of discovery, a window of admissions that were not reported, and a window of use.
constexpr Duration HealedTime = 1s + Window + Window;

/// The datagrams between the two parts of a fleet that are lost.
enum class Cut {
    None,
    BothWays,
    FromMinor,
    ToMinor,
};

/// Datagrams that the operating system keeps for a process that does not run.
constexpr std::size_t MaxQueuedDatagrams = 200;

class PartitionedFleet;

/// Delivers datagrams to the hosts of the sender's part of the fleet.
class PartitionedSocket : public DatagramSocket
{
public:
    PartitionedSocket(PartitionedFleet &owner, std::size_t index) : fleet(owner), host(index)
    {
    }

    std::error_code open(const Endpoint &, Receiver receiverCode) override
    {
        this->receiver = std::move(receiverCode);
        return {};
    }

    std::error_code send(std::string_view bytes, const Endpoint &target) override;

    Receiver receiver;

private:
    PartitionedFleet &fleet;
    const std::size_t host;
};

/// The parts of a host that decide on admissions; its store never responds.
struct LimitingHost
{
    LimitingHost(PartitionedFleet &owner, std::size_t index, balance::HostRecord record, const std::vector<FailureDomainId> &domains);

    asio::io_context context;
    SeededRandom random;
    PartitionedSocket socket;
    FakeSource source;
    PlainDecoder decoder;
    testing::FakeHttpClient http{[](const http::HttpCall &) {
        return http::HttpOutcome{make_error_code(SourceError::Unavailable), false};
    }};
    RcuCell<catalog::FleetState> state;
    balance::HostDirectory directory;
    balance::Scoreboard board;
    balance::OrganisationQuota quota{Window};
    balance::RetryBudget retries{RetryBounds};
    StateSync sync;
    PeerLink link;
    MonotonicTime lastAdmittedAt{};
};

/// Keeps the addresses of entry hosts for a while, as clients do.
struct Caller
{
    std::size_t domain = 0;
    std::vector<Endpoint> addresses;
    MonotonicTime addressesUntil{};
};

class PartitionedFleet
{
public:
    PartitionedFleet(std::uint64_t seed, std::size_t hostsPerDomain, double demandPerSecond)
        : random(seed), demandInterval(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / demandPerSecond)))
    {
        std::vector<FailureDomainId> domains;
        for (unsigned domain = 0; domain < Domains; ++domain) {
            domains.emplace_back(std::string(1, static_cast<char>('a' + domain)));
        }
        std::vector<balance::HostRecord> records;
        for (std::size_t i = 0; i < hostsPerDomain * Domains; ++i) {
            balance::HostRecord record;
            record.failureDomain = domains[i % Domains];
            record.id = HostId(record.failureDomain.text() + std::to_string(i / Domains));
            record.callerAddress = record.peerAddress = record.controlAddress = Endpoint(record.id.text() + ":1");
            record.incarnation = Incarnation(this->random.below(1000) + 1);
            this->byAddress[record.peerAddress] = i;
            records.push_back(record);
        }
        this->isMinor.assign(records.size(), false);
        this->queues.resize(records.size());
        this->domainIds = domains;
        this->hosts.resize(records.size());
        for (std::size_t i = 0; i < records.size(); ++i) {
            this->startHost(i, records);
            this->scheduler.after(this->randomDelay(UpdateInterval), [this, i] {
                this->update(i);
            });
        }
        for (std::size_t i = 0; i < 60; ++i) {
            this->callers.push_back({i % Domains, {}, {}});
        }
        this->scheduler.after(this->demandInterval, [this] {
            this->sendRequest();
        });
        this->run(WarmUp);
    }

    void run(Duration time)
    {
        this->scheduler.runUntil(this->scheduler.now() + time);
    }

    /// Moves hosts to the minor part of the fleet; datagrams between the parts are lost until heal().
    void cut(const std::vector<std::size_t> &cutHosts, Cut kind = Cut::BothWays)
    {
        this->cutKind = kind;
        for (const auto host : cutHosts) {
            this->isMinor[host] = true;
        }
    }

    void heal()
    {
        this->cutKind = Cut::None;
        this->isMinor.assign(this->isMinor.size(), false);
    }

    /// Stops processes, which keep their state; the operating system keeps some of their datagrams.
    void freeze(const std::vector<std::size_t> &frozenHosts)
    {
        this->frozen.insert(frozenHosts.begin(), frozenHosts.end());
    }

    void thaw()
    {
        const auto thawed = std::exchange(this->frozen, {});
        for (const auto host : thawed) {
            for (const auto &[data, from] : std::exchange(this->queues[host], {})) {
                this->receive(from, host, data);
            }
        }
    }

    /// Ends processes and starts them again without their state after the time that a start takes.
    void restart(const std::vector<std::size_t> &restartedHosts)
    {
        std::vector<balance::HostRecord> records;
        for (const auto &host : this->hosts) {
            records.push_back(host->directory.own());
        }
        for (const auto host : restartedHosts) {
            this->ended.insert(host);
            records[host].incarnation = Incarnation(records[host].incarnation.count() + 1000);
            records[host].isEntry = records[host].isServing = false;
        }
        this->scheduler.after(RestartTime, [this, restartedHosts, records] {
            for (const auto host : restartedHosts) {
                this->ended.erase(host);
                this->startHost(host, records);
            }
        });
    }

    /// Ends hosts for good.
    void end(const std::vector<std::size_t> &endedHosts)
    {
        for (const auto host : endedHosts) {
            this->ended.insert(host);
        }
    }

    std::vector<std::size_t> entryHosts() const
    {
        std::vector<std::size_t> found;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            if (this->hosts[i]->directory.isEntryHost()) {
                found.push_back(i);
            }
        }
        return found;
    }

    /// Returns a random selection of the hosts, one at least.
    std::vector<std::size_t> someHosts(double share)
    {
        std::vector<std::size_t> all(this->hosts.size());
        for (std::size_t i = 0; i < all.size(); ++i) {
            all[i] = i;
        }
        for (std::size_t i = all.size() - 1; i > 0; --i) {
            std::swap(all[i], all[this->random.below(i + 1)]);
        }
        all.resize(std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(all.size()))));
        return all;
    }

    /// Returns the most requests of the organisation that were admitted in any window.
    std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < this->admissions.size(); ++i) {
            while (this->admissions[i] - this->admissions[first] >= Window) {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        return most;
    }

    /// Returns how many requests were admitted in the last \p time.
    std::size_t admittedInLast(Duration time) const
    {
        const auto from = std::lower_bound(this->admissions.begin(), this->admissions.end(), this->clock.now() - time);
        return static_cast<std::size_t>(this->admissions.end() - from);
    }

    /// Returns how many requests reached a host in the last \p time.
    std::size_t offeredInLast(Duration time) const
    {
        const auto from = std::lower_bound(this->offers.begin(), this->offers.end(), this->clock.now() - time);
        return static_cast<std::size_t>(this->offers.end() - from);
    }

    /// Returns how many retries all hosts together have left for a service without requests.
    std::size_t retriesLeft()
    {
        std::size_t count = 0;
        for (const auto &host : this->hosts) {
            while (host->retries.tryRetry(catalog::ServiceName("seats"), 0, this->clock.now())) {
                ++count;
            }
        }
        return count;
    }

    testing::VirtualClock clock;
    testing::VirtualScheduler scheduler{this->clock};
    std::vector<std::unique_ptr<LimitingHost>> hosts;

private:
    friend class PartitionedSocket;

    Duration randomDelay(Duration most)
    {
        return Duration(static_cast<Duration::rep>(this->random.below(static_cast<std::uint64_t>(most.count()))));
    }

    /// Starts the process of a host, which knows the other hosts from the list only.
    void startHost(std::size_t index, const std::vector<balance::HostRecord> &records)
    {
        this->hosts[index] = std::make_unique<LimitingHost>(*this, index, records[index], this->domainIds);
        auto &host = *this->hosts[index];
        for (const auto &other : records) {
            host.directory.onListed(other, this->clock.now());
        }
        catalog::CatalogParts catalogParts;
        catalogParts.organisations.push_back({Busy, {}, RequestRate(RatePerSecond), RequestCount(Burst)});
        REQUIRE_FALSE(host.link.open());
        host.quota.configure(catalog::Catalog(std::move(catalogParts)), this->clock.now());
    }

    bool isCut(std::size_t from, std::size_t to) const
    {
        if (this->isMinor[from] == this->isMinor[to]) {
            return false;
        }
        return this->cutKind == Cut::BothWays || this->cutKind == (this->isMinor[from] ? Cut::FromMinor : Cut::ToMinor);
    }

    void receive(std::size_t from, std::size_t to, const std::string &data)
    {
        if (this->ended.contains(to)) {
            return;
        }
        if (!this->frozen.contains(to)) {
            this->hosts[to]->socket.receiver(data, this->hosts[from]->directory.own().peerAddress);
            return;
        }
        if (this->queues[to].size() < MaxQueuedDatagrams) {
            this->queues[to].emplace_back(data, from);
        }
    }

    void update(std::size_t index)
    {
        if (!this->ended.contains(index) && !this->frozen.contains(index)) {
            this->hosts[index]->link.update();
        }
        this->scheduler.after(UpdateInterval, [this, index] {
            this->update(index);
        });
    }

    void sendRequest()
    {
        this->scheduler.after(this->demandInterval, [this] {
            this->sendRequest();
        });
        const auto now = this->clock.now();
        auto &caller = this->callers[this->random.below(this->callers.size())];
        if (now >= caller.addressesUntil) {
            const auto asked = this->random.below(this->hosts.size() / Domains) * Domains + caller.domain;
            if (this->ended.contains(asked) || this->frozen.contains(asked)) {
                return;
            }
            caller.addresses.clear();
            const auto &directory = this->hosts[asked]->directory;
            for (const auto *const host : directory.entryHostsFor(directory.own().failureDomain, now)) {
                caller.addresses.push_back(host->callerAddress);
            }
            caller.addressesUntil = now + AddressLifetime;
        }
        if (caller.addresses.empty()) {
            return;
        }
        const auto index = this->byAddress.at(caller.addresses[this->random.below(caller.addresses.size())]);
        if (this->ended.contains(index) || this->frozen.contains(index)) {
            return;
        }
        this->offers.push_back(now);
        auto &host = *this->hosts[index];
        if (!host.quota.admit(Busy, now).retryAfter) {
            host.lastAdmittedAt = now;
            this->admissions.push_back(now);
        }
    }

    SeededRandom random;
    const Duration demandInterval;
    std::vector<FailureDomainId> domainIds;
    Cut cutKind = Cut::None;
    std::vector<bool> isMinor;
    std::set<std::size_t> ended;
    std::set<std::size_t> frozen;
    std::vector<std::vector<std::pair<std::string, std::size_t>>> queues;
    std::map<Endpoint, std::size_t> byAddress;
    std::vector<Caller> callers;
    std::deque<MonotonicTime> admissions;
    std::deque<MonotonicTime> offers;
};

std::error_code PartitionedSocket::send(std::string_view bytes, const Endpoint &target)
{
    const auto to = this->fleet.byAddress.at(target);
    if (this->fleet.isCut(this->host, to)) {
        return {};
    }
    this->fleet.scheduler.after(Latency, [&owner = this->fleet, to, data = std::string(bytes), from = this->host] {
        owner.receive(from, to, data);
    });
    return {};
}

LimitingHost::LimitingHost(PartitionedFleet &owner,
                           std::size_t index,
                           balance::HostRecord record,
                           const std::vector<FailureDomainId> &domains)
    : random(index + 1)
    , socket(owner, index)
    , directory(std::move(record), 2, true, Window)
    , sync({this->context,
            owner.clock,
            this->random,
            this->source,
            this->decoder,
            this->http,
            this->state,
            this->directory.own().failureDomain,
            [] {
            }})
    , link({this->context,
            owner.clock,
            this->random,
            this->directory,
            this->board,
            this->quota,
            this->sync,
            this->socket,
            domains,
            {},
            [](const PeerReplicaStatus &) {
            },
            this->retries,
            [this] {
                return this->lastAdmittedAt;
            }})
{
}

} // namespace

/// Returns by how many plays RHUBARBTILLER_SEEDS exceeds those of every test run.
static std::uint64_t additionalSeeds()
{
    const char *const additional = std::getenv("RHUBARBTILLER_SEEDS");
    return additional == nullptr ? 0 : std::strtoull(additional, nullptr, 10);
}

// Hosts that are cut off from the others elect a full set of entry hosts; each part of the fleet admitted the whole limit.
TEST_CASE("the parts of a partitioned fleet together keep the limit of an organisation")
{
    static constexpr std::array Shares{0.1, 0.17, 0.3, 0.5};
    static constexpr std::array Lengths{3000ms, 5500ms, 9000ms, 20000ms};
    static constexpr std::array Demands{150.0, 300.0};
    std::vector<std::uint64_t> seeds(16 + additionalSeeds());
    std::iota(seeds.begin(), seeds.end(), 1);
    // A part that used up its share reported nothing to the other when they heard each other again.
    seeds.push_back(135);
    for (const auto seed : seeds) {
        const auto share = Shares[seed % Shares.size()];
        const auto length = Lengths[seed / Shares.size() % Lengths.size()];
        const auto demand = Demands[seed % Demands.size()];
        PartitionedFleet fleet(seed, 5 + seed % 3 * 5, demand);
        fleet.cut(fleet.someHosts(share));
        fleet.run(length);
        fleet.heal();
        fleet.run(HealedTime);
        const auto most = static_cast<double>(fleet.mostInWindow());
        CHECK_MESSAGE(most <= Tolerated, "seed ", seed, ", ", share, " of the hosts cut off for ", length.count(), " ms");
    }
}

// Hosts that hear each other again counted all that the others had admitted during the cut as admitted at once.
TEST_CASE("the limit of an organisation is used again after a partition")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        PartitionedFleet fleet(seed, 10, 300);
        fleet.cut(fleet.someHosts(seed % 2 == 0 ? 0.5 : 0.17));
        fleet.run(20s);
        fleet.heal();
        fleet.run(HealedTime);
        CHECK_MESSAGE(static_cast<double>(fleet.admittedInLast(Window)) >= RatePerSecond * 5 * 0.9, "seed ", seed);
        CHECK_MESSAGE(static_cast<double>(fleet.mostInWindow()) <= Tolerated, "seed ", seed);
    }
}

// A host that ends for good must not keep its part of the limits from the others for long.
TEST_CASE("the limit of an organisation is used again after entry hosts have ended for good")
{
    PartitionedFleet fleet(1, 10, 300);
    const auto entryHosts = fleet.entryHosts();
    REQUIRE(entryHosts.size() == 6);
    fleet.end({entryHosts.front()});
    fleet.run(20s);
    CHECK(static_cast<double>(fleet.admittedInLast(5s)) >= RatePerSecond * 5 * 0.9);
    CHECK(static_cast<double>(fleet.mostInWindow()) <= Tolerated);
}

// Each part of a partitioned fleet divided the whole slack of the retry budget among its own hosts.
TEST_CASE("the parts of a partitioned fleet together keep the slack of the retry budget")
{
    for (const double share : {0.17, 0.5}) {
        for (const Duration length : {3s, 20s}) {
            PartitionedFleet fleet(1, 10, 150);
            fleet.cut(fleet.someHosts(share));
            fleet.run(length);
            CHECK_MESSAGE(static_cast<double>(fleet.retriesLeft()) <= RetryBounds.slack, share, " cut off");
        }
    }
}

// Only heartbeats in one direction are lost, so that one part counts the hosts of the other, but not the reverse.
TEST_CASE("the parts of a fleet that is cut in one direction together keep the limit of an organisation")
{
    for (std::uint64_t seed = 1; seed <= 8 + additionalSeeds(); ++seed) {
        const auto share = seed % 4 < 2 ? 0.3 : 0.5;
        const auto length = seed % 8 < 4 ? 5500ms : 15000ms;
        PartitionedFleet fleet(seed, 5 + seed % 3 * 5, seed % 5 == 0 ? 150 : 300);
        fleet.cut(fleet.someHosts(share), seed % 2 == 0 ? Cut::FromMinor : Cut::ToMinor);
        fleet.run(length);
        fleet.heal();
        fleet.run(HealedTime);
        CHECK_MESSAGE(static_cast<double>(fleet.mostInWindow()) <= Tolerated, "seed ", seed, ", ", share, " for ", length.count(), " ms");
    }
}

// A frozen host wakes with the portions and counts of the time before.
TEST_CASE("hosts that freeze together keep the limit of an organisation with the others")
{
    for (std::uint64_t seed = 1; seed <= 8 + additionalSeeds(); ++seed) {
        const auto length = seed % 4 < 2 ? 1500ms : 8000ms;
        PartitionedFleet fleet(seed, 5 + seed % 3 * 5, 300);
        fleet.freeze(fleet.someHosts(seed % 2 == 0 ? 0.3 : 0.5));
        fleet.run(length);
        fleet.thaw();
        fleet.run(HealedTime);
        CHECK_MESSAGE(static_cast<double>(fleet.mostInWindow()) <= Tolerated, "seed ", seed, ", ", length.count(), " ms");
    }
}

/// Cuts off half of the hosts, a third of which then start again.
static void playStartsInPart(PartitionedFleet &fleet, std::uint64_t seed)
{
    const auto cutHosts = fleet.someHosts(0.5);
    fleet.cut(cutHosts);
    fleet.run(seed % 2 == 0 ? 700ms : 4000ms);
    fleet.restart({cutHosts.begin(), cutHosts.begin() + static_cast<std::ptrdiff_t>(cutHosts.size() / 3)});
    fleet.run(15s);
}

// A process that starts in one part knows neither the hosts of the other part by their heartbeats nor what they admit.
TEST_CASE("hosts that start again inside a part of a partitioned fleet do not raise its portion")
{
    for (std::uint64_t seed = 1; seed <= 8 + additionalSeeds(); ++seed) {
        PartitionedFleet fleet(seed, 5 + seed % 3 * 5, 300);
        playStartsInPart(fleet, seed);
        CHECK_MESSAGE(static_cast<double>(fleet.mostInWindow()) <= Tolerated, "seed ", seed);
    }
}

// The parts have to know each other's admissions as soon as they use more than their portions.
TEST_CASE("the limit of an organisation holds after a partition in which hosts have started again")
{
    for (std::uint64_t seed = 1; seed <= 8 + additionalSeeds(); ++seed) {
        PartitionedFleet fleet(seed, 5 + seed % 3 * 5, 300);
        playStartsInPart(fleet, seed);
        fleet.heal();
        fleet.run(HealedTime);
        CHECK_MESSAGE(static_cast<double>(fleet.mostInWindow()) <= Tolerated, "seed ", seed);
    }
}

// Callers within their rate were refused for 8 s after a loss of half of the hosts, since the portions of the lost entry hosts were
// withheld.
TEST_CASE("callers within their rate are served by the portion of the remaining hosts two seconds after a loss")
{
    // The limit is three times this demand.
    static constexpr double Demand = 33;
    for (std::uint64_t seed = 1; seed <= 12 + additionalSeeds(); ++seed) {
        const double lost = std::array{0.17, 0.3, 0.5, 0.6}[seed % 4];
        PartitionedFleet fleet(seed, 5 + seed % 3 * 5, Demand);
        fleet.end(fleet.someHosts(lost));
        fleet.run(2s);
        for (int second = 2; second < 12; second += 2) {
            fleet.run(2s);
            const auto offered = static_cast<double>(fleet.offeredInLast(2s));
            const auto admitted = static_cast<double>(fleet.admittedInLast(2s));
            CHECK_MESSAGE(admitted >= std::min(offered, (1 - lost) * Demand * 2) * 0.9,
                          "seed ",
                          seed,
                          ", ",
                          lost,
                          " lost, from ",
                          second,
                          " s on ",
                          admitted,
                          " of ",
                          offered);
        }
    }
}

// No host that remains has received reports, so none knows what the lost ones admitted.
TEST_CASE("callers within their rate are served after the loss of all entry hosts")
{
    static constexpr double Demand = 33;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        PartitionedFleet fleet(seed, 10, Demand);
        fleet.end(fleet.entryHosts());
        fleet.run(2s);
        // A window and the time to notice the loss and to count the remaining hosts.
        fleet.run(6s);
        for (int second = 8; second < 12; second += 2) {
            fleet.run(2s);
            const auto offered = static_cast<double>(fleet.offeredInLast(2s));
            const auto admitted = static_cast<double>(fleet.admittedInLast(2s));
            CHECK_MESSAGE(admitted >= offered * 0.9, "seed ", seed, ", from ", second, " s on ", admitted, " of ", offered);
        }
    }
}

TEST_CASE("the parts of a fleet keep the limit of an organisation when one of them has no entry host of before")
{
    for (std::uint64_t seed = 1; seed <= 8 + additionalSeeds(); ++seed) {
        PartitionedFleet fleet(seed, 5 + seed % 3 * 5, seed % 2 == 0 ? 300 : 150);
        fleet.run(Duration(100ms) * (seed % 50));
        fleet.cut(fleet.entryHosts());
        fleet.run(15s);
        fleet.heal();
        fleet.run(HealedTime);
        CHECK_MESSAGE(static_cast<double>(fleet.mostInWindow()) <= Tolerated, "seed ", seed);
    }
}
