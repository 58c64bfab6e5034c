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
/// After this time the limit is used again: a second of discovery, a window of admissions that were not reported, and a window of use.
constexpr Duration HealedTime = 1s + Window + Window;

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
        this->parts.assign(records.size(), 0);
        for (std::size_t i = 0; i < records.size(); ++i) {
            this->hosts.push_back(std::make_unique<LimitingHost>(*this, i, records[i], domains));
            for (const auto &other : records) {
                this->hosts[i]->directory.onListed(other, this->clock.now());
            }
        }
        catalog::CatalogParts catalogParts;
        catalogParts.organisations.push_back({Busy, {}, RequestRate(RatePerSecond), RequestCount(Burst)});
        const catalog::Catalog catalog(std::move(catalogParts));
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            REQUIRE_FALSE(this->hosts[i]->link.open());
            this->hosts[i]->quota.configure(catalog, this->clock.now());
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

    /// Moves hosts to a part of the fleet whose datagrams do not reach the rest, and back.
    void cut(const std::vector<std::size_t> &cutHosts)
    {
        for (const auto host : cutHosts) {
            this->parts[host] = 1;
        }
    }

    void heal()
    {
        this->parts.assign(this->parts.size(), 0);
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

    void update(std::size_t index)
    {
        if (this->ended.contains(index)) {
            return;
        }
        this->hosts[index]->link.update();
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
            if (this->ended.contains(asked)) {
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
        if (this->ended.contains(index)) {
            return;
        }
        auto &host = *this->hosts[index];
        if (!host.quota.admit(Busy, now).retryAfter) {
            host.lastAdmittedAt = now;
            this->admissions.push_back(now);
        }
    }

    SeededRandom random;
    const Duration demandInterval;
    std::vector<int> parts;
    std::set<std::size_t> ended;
    std::map<Endpoint, std::size_t> byAddress;
    std::vector<Caller> callers;
    std::deque<MonotonicTime> admissions;
};

std::error_code PartitionedSocket::send(std::string_view bytes, const Endpoint &target)
{
    const auto to = this->fleet.byAddress.at(target);
    if (this->fleet.parts[to] != this->fleet.parts[this->host]) {
        return {};
    }
    this->fleet.scheduler.after(Latency, [&owner = this->fleet, to, data = std::string(bytes), from = this->host] {
        if (!owner.ended.contains(to)) {
            owner.hosts[to]->socket.receiver(data, owner.hosts[from]->directory.own().peerAddress);
        }
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
