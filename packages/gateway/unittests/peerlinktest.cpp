#include "peerlink.h"
#include "fakes.h"

#include <rhubarbtiller/testing/fakehttpclient.h>

#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <algorithm>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;

namespace {

/// One host of a fleet on loopback; its store never responds.
class LinkedHost
{
public:
    LinkedHost(asio::io_context &context,
               const Clock &hostClock,
               balance::HostRecord record,
               const std::vector<FailureDomainId> &failureDomains)
        : clock(hostClock)
        , socket(makeUdpSocket(context))
        , random(record.incarnation.count())
        , directory(std::move(record), 2, false)
        , sync({context,
                this->clock,
                this->random,
                this->source,
                this->decoder,
                this->http,
                this->state,
                this->directory.own().failureDomain,
                [] {
                }})
        , link({context,
                this->clock,
                this->random,
                this->directory,
                this->board,
                this->quota,
                this->sync,
                *this->socket,
                failureDomains,
                {},
                [](const PeerReplicaStatus &) {
                },
                this->retries,
                [] {
                    return MonotonicTime();
                }})
    {
    }

    const Clock &clock;
    std::unique_ptr<DatagramSocket> socket;
    SeededRandom random;
    FakeSource source;
    PlainDecoder decoder;
    testing::FakeHttpClient http{[](const http::HttpCall &) {
        return http::HttpOutcome{make_error_code(SourceError::Unavailable), false};
    }};
    RcuCell<catalog::FleetState> state;
    balance::HostDirectory directory;
    balance::Scoreboard board;
    balance::OrganisationQuota quota{5s};
    balance::RetryBudget retries{balance::RetryBudgetBounds()};
    StateSync sync;
    PeerLink link;
};

/// Returns loopback addresses with different ports that were free a moment ago.
std::vector<Endpoint> freeAddresses(asio::io_context &context, std::size_t count)
{
    std::vector<asio::ip::udp::socket> probes;
    std::vector<Endpoint> addresses;
    for (std::size_t i = 0; i < count; ++i) {
        const auto &probe = probes.emplace_back(context, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
        addresses.emplace_back("127.0.0.1:" + std::to_string(probe.local_endpoint().port()));
    }
    return addresses;
}

balance::HostRecord recordFor(const std::string &id, const Endpoint &address, std::uint64_t incarnation)
{
    balance::HostRecord record;
    record.id = HostId(id);
    record.failureDomain = FailureDomainId(id.substr(0, 1));
    record.callerAddress = address;
    record.peerAddress = address;
    record.controlAddress = address;
    record.incarnation = Incarnation(incarnation);
    return record;
}

} // namespace

/// Starts five hosts in each failure domain, and checks that the entry hosts, two a domain, discover each other within a second.
static void checkDiscovery(const std::vector<std::string> &domains)
{
    const auto entryHosts = static_cast<std::ptrdiff_t>(2 * domains.size());
    asio::io_context context;
    const SystemClock clock;
    const auto addresses = freeAddresses(context, 5 * domains.size());
    std::vector<FailureDomainId> failureDomains(domains.begin(), domains.end());
    std::vector<balance::HostRecord> records;
    for (int number = 1; number <= 5; ++number) {
        for (const auto &domain : domains) {
            records.push_back(recordFor(domain + std::to_string(number), addresses[records.size()], records.size() + 1));
        }
    }
    std::vector<std::unique_ptr<LinkedHost>> hosts;
    for (const auto &record : records) {
        hosts.push_back(std::make_unique<LinkedHost>(context, clock, record, failureDomains));
        auto &directory = hosts.back()->directory;
        for (const auto &other : records) {
            // Entry hosts initially know the entry hosts of other failure domains with the same number, and all standby hosts.
            const bool isOwnDomain = other.failureDomain == record.failureDomain;
            const bool isSameGroup = other.id.text().back() == record.id.text().back();
            if (isOwnDomain || isSameGroup || other.id.text().back() > '2') {
                directory.onListed(other, clock.now());
            }
        }
        directory.setMembershipKnown();
    }
    for (const auto &host : hosts) {
        REQUIRE_FALSE(host->link.start());
    }
    const auto haveDiscoveredAll = [&hosts, &clock, entryHosts] {
        return std::all_of(hosts.begin(), hosts.begin() + entryHosts, [&clock, entryHosts](const auto &host) {
            return host->directory.allEntryHosts(clock.now()).size() == static_cast<std::size_t>(entryHosts);
        });
    };
    const auto areEntryHosts = [&hosts, entryHosts] {
        return std::all_of(hosts.begin(), hosts.begin() + entryHosts, [](const auto &host) {
            return host->directory.isEntryHost();
        });
    };
    const auto begin = clock.now();
    while (!areEntryHosts() && clock.now() - begin < 10s) {
        context.run_for(10ms);
    }
    REQUIRE(areEntryHosts());
    const auto enteredAt = clock.now();
    while (!haveDiscoveredAll() && clock.now() - enteredAt < 10s) {
        context.run_for(10ms);
    }
    const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - enteredAt);
    MESSAGE("all entry hosts discovered each other " << taken.count() << " ms after the last became an entry host");
    CHECK(taken < 1s);
}

// Until the entry hosts exchange heartbeats, each group admits more than its share of a rate.
TEST_CASE("entry hosts of two groups that start at once discover each other within a second")
{
    checkDiscovery({"a", "b", "c"});
}

// A datagram announces fewer hosts than such a fleet has entry hosts.
TEST_CASE("entry hosts of many failure domains that start at once discover each other within a second")
{
    checkDiscovery({"a", "b", "c", "d", "e", "f", "g", "h"});
}

// Guards against a host sending requests to a server for 150 ms after another host of its domain has seen it fail.
TEST_CASE("failures that follow each other at once are all reported within milliseconds")
{
    asio::io_context context;
    const SystemClock clock;
    const auto addresses = freeAddresses(context, 2);
    const std::vector<FailureDomainId> failureDomains = {FailureDomainId("a")};
    LinkedHost sender(context, clock, recordFor("a1", addresses[0], 1), failureDomains);
    LinkedHost receiver(context, clock, recordFor("a2", addresses[1], 2), failureDomains);
    sender.directory.onListed(receiver.directory.own(), clock.now());
    receiver.directory.onListed(sender.directory.own(), clock.now());
    std::vector<catalog::ServerEntry> entries(2);
    entries[0].id = BackendServerId("s0");
    entries[1].id = BackendServerId("s1");
    const catalog::ServerTable table(entries);
    for (auto *const host : {&sender, &receiver}) {
        host->directory.setMembershipKnown();
        host->board.retain(table);
        REQUIRE_FALSE(host->link.start());
    }
    const auto begin = clock.now();
    while (sender.directory.servingPeers(clock.now()).empty() && clock.now() - begin < 10s) {
        context.run_for(10ms);
    }
    REQUIRE_FALSE(sender.directory.servingPeers(clock.now()).empty());
    // Twenty pairs, of which a report at the regular interval would include some by coincidence.
    int late = 0;
    for (int i = 0; i < 20; ++i) {
        context.run_for(20ms);
        for (const auto &entry : entries) {
            sender.board.observe(entry.id, balance::Evidence::BrokenAnswer, clock.now());
            sender.link.sendUrgentReports();
        }
        const auto sentAt = clock.now();
        const auto isReported = [&receiver, &entries, sentAt] {
            return std::all_of(entries.begin(), entries.end(), [&receiver, sentAt](const auto &entry) {
                return receiver.board.state(entry.id).lastReachedByFleetAt >= sentAt;
            });
        };
        while (!isReported() && clock.now() - sentAt < 200ms) {
            context.run_for(1ms);
        }
        late += clock.now() - sentAt > 30ms ? 1 : 0;
    }
    // A busy machine may delay single reports.
    CHECK(late <= 3);
}
