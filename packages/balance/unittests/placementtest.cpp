#include <rhubarbtiller/balance/placement.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

#include <queue>
#include <set>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const catalog::ServiceName Service("service");

namespace {

/// A service with some servers, and the state that placement reads.
class PlacementFixture
{
public:
    explicit PlacementFixture(int servers, const std::string &domain = "a")
    {
        catalog::CatalogParts parts;
        parts.services.push_back({Service, RequestRate(2)});
        this->fleet.catalog = std::make_shared<catalog::Catalog>(std::move(parts));
        for (int i = 0; i < servers; ++i) {
            catalog::ServerEntry entry;
            entry.id = BackendServerId("s" + std::to_string(i));
            entry.service = Service;
            entry.failureDomain = FailureDomainId(domain);
            entry.slots = SlotCount(2);
            this->entries.push_back(entry);
        }
        this->update();
        this->query.service = Service;
        this->query.ownDomain = FailureDomainId("a");
        this->query.trialPolicy = TrialPolicy::All;
    }

    void update()
    {
        this->fleet.servers = std::make_shared<catalog::ServerTable>(this->entries);
        this->board.retain(*this->fleet.servers);
    }

    Placement choose()
    {
        return chooseServer(this->query, this->fleet, this->board, this->random, this->clock.now());
    }

    testing::VirtualClock clock;
    SeededRandom random{7};
    Scoreboard board;
    catalog::FleetState fleet;
    std::vector<catalog::ServerEntry> entries;
    PlacementQuery query;
};

} // namespace

TEST_CASE("draining servers, servers of evacuated domains and excluded servers get no requests")
{
    PlacementFixture fixture(3);
    fixture.entries[0].isDraining = true;
    fixture.entries[1].failureDomain = FailureDomainId("b");
    fixture.update();
    fixture.fleet.evacuatedDomains.insert(FailureDomainId("b"));
    for (int i = 0; i < 20; ++i) {
        REQUIRE(fixture.choose().server != nullptr);
        CHECK(fixture.choose().server->id.text() == "s2");
    }
    fixture.query.excluded.push_back(BackendServerId("s2"));
    CHECK(fixture.choose().server == nullptr);
    CHECK(fixture.choose().failure == PlacementFailure::NoServer);
}

TEST_CASE("requests that cannot be retried go to servers with recent successes")
{
    PlacementFixture fixture(5);
    // No server is due for a request.
    for (const auto &entry : fixture.entries) {
        fixture.board.onSent(entry.id, fixture.clock.now());
        fixture.board.onFinished(entry.id);
    }
    fixture.board.observe(BackendServerId("s3"), Evidence::Success, fixture.clock.now());
    CHECK(fixture.choose().server->id.text() == "s3");
    fixture.board.observe(BackendServerId("s3"), Evidence::BrokenAnswer, fixture.clock.now());
    CHECK(fixture.choose().server->id.text() != "s3");
}

TEST_CASE("evidence of other hosts counts like that of this host")
{
    PlacementFixture fixture(2);
    fixture.board.applyRemoteReport(HostId("other"), {{BackendServerId("s0"), Evidence::BrokenAnswer}}, {}, fixture.clock.now());
    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.choose().server->id.text() == "s1");
    }
}

TEST_CASE("retryable requests reach every healthy server within seconds")
{
    PlacementFixture fixture(10);
    fixture.query.isRetryable = true;
    std::set<std::string> used;
    for (int i = 0; i < 30; ++i) {
        const auto placement = fixture.choose();
        REQUIRE(placement.server != nullptr);
        used.insert(placement.server->id.text());
        fixture.board.onSent(placement.server->id, fixture.clock.now());
        fixture.board.onFinished(placement.server->id);
        fixture.board.observe(placement.server->id, Evidence::Success, fixture.clock.now());
        fixture.clock.advance(100ms);
    }
    CHECK(used.size() == 10);
}

TEST_CASE("a server is saturated by the requests of all hosts together")
{
    PlacementFixture fixture(1);
    fixture.board.applyRemoteReport(HostId("other"), {}, {{BackendServerId("s0"), 20}}, fixture.clock.now());
    CHECK(fixture.choose().failure == PlacementFailure::Saturated);
    // A reported count expires unless the host repeats it.
    fixture.clock.advance(2s);
    CHECK(fixture.choose().server != nullptr);
}

TEST_CASE("a server that refuses connections is excluded during the backoff")
{
    PlacementFixture fixture(1);
    fixture.board.onConnectFailed(BackendServerId("s0"), fixture.clock.now());
    CHECK(fixture.choose().server == nullptr);
    fixture.clock.advance(2s);
    CHECK(fixture.choose().server != nullptr);
}

TEST_CASE("requests that cannot be retried wait for a reliable server instead of a failing one")
{
    PlacementFixture fixture(2);
    fixture.board.observe(BackendServerId("s0"), Evidence::BrokenAnswer, fixture.clock.now());
    fixture.board.observe(BackendServerId("s0"), Evidence::BrokenAnswer, fixture.clock.now());
    fixture.board.applyRemoteReport(HostId("other"), {}, {{BackendServerId("s1"), 20}}, fixture.clock.now());
    CHECK(fixture.choose().failure == PlacementFailure::Saturated);
    fixture.query.isRetryable = true;
    CHECK(fixture.choose().server->id.text() == "s0");
    // When all servers fail, the best of them is better than none.
    fixture.query.isRetryable = false;
    fixture.board.observe(BackendServerId("s1"), Evidence::BrokenAnswer, fixture.clock.now());
    fixture.board.observe(BackendServerId("s1"), Evidence::BrokenAnswer, fixture.clock.now());
    CHECK(fixture.choose().server->id.text() == "s0");
}

TEST_CASE("servers that refuse connections are chosen after the others")
{
    PlacementFixture fixture(3);
    fixture.board.onConnectFailed(BackendServerId("s0"), fixture.clock.now());
    fixture.board.onConnectFailed(BackendServerId("s1"), fixture.clock.now());
    fixture.clock.advance(3s);
    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.choose().server->id.text() == "s2");
    }
}

TEST_CASE("a server of the own domain is preferred unless it probably fails")
{
    PlacementFixture fixture(2);
    fixture.entries[1].failureDomain = FailureDomainId("b");
    fixture.update();
    CHECK(fixture.choose().server->id.text() == "s0");
    fixture.board.observe(BackendServerId("s0"), Evidence::BrokenAnswer, fixture.clock.now());
    CHECK(fixture.choose().server->id.text() == "s1");
}

TEST_CASE("the entry hosts of a domain share the request rate of a cold server")
{
    PlacementFixture fixture(1);
    fixture.entries[0].coldUntil = fixture.clock.now() + 1h;
    fixture.update();
    fixture.query.entryHostsInDomain = 2;
    int sent = 0;
    for (int i = 0; i < 1000; ++i) {
        sent += fixture.choose().server != nullptr ? 1 : 0;
        fixture.clock.advance(10ms);
    }
    // One of two hosts, at 2 a second for 10 s, and the first at once.
    CHECK(sent <= 11);
    CHECK(sent >= 9);
}

// Each part of a partitioned failure domain has a full set of entry hosts, which together overload a cold server.
TEST_CASE("a part of a partitioned domain sends its part of the rate to a cold server")
{
    PlacementFixture fixture(1);
    fixture.entries[0].coldUntil = fixture.clock.now() + 1h;
    fixture.update();
    fixture.query.entryHostsInDomain = 2;
    const auto sendForTenSeconds = [&fixture] {
        int sent = 0;
        for (int i = 0; i < 1000; ++i) {
            sent += fixture.choose().server != nullptr ? 1 : 0;
            fixture.clock.advance(10ms);
        }
        return sent;
    };
    fixture.query.domainReach = 0;
    CHECK(sendForTenSeconds() == 0);
    fixture.query.domainReach = 0.5;
    const int sent = sendForTenSeconds();
    CHECK(sent <= 6);
    CHECK(sent >= 4);
}

TEST_CASE("only entry hosts of its own domain send to a cold server")
{
    PlacementFixture fixture(1);
    fixture.entries[0].coldUntil = fixture.clock.now() + 1h;
    fixture.update();
    fixture.query.isEntryHost = false;
    CHECK(fixture.choose().server == nullptr);
    fixture.query.isEntryHost = true;
    fixture.query.ownDomain = FailureDomainId("b");
    CHECK(fixture.choose().server == nullptr);
}

TEST_CASE("few requests are lost to failing servers when these are a fifth of all")
{
    // Load: 60 requests a second that cannot be retried and 20 that can, 30 servers, 6 of which fail three in four.
    PlacementFixture fixture(30);
    std::set<std::string> failing{"s0", "s5", "s10", "s15", "s20", "s25"};
    SeededRandom failureRandom(42);
    int lost = 0;
    int sent = 0;
    std::priority_queue<std::pair<MonotonicTime, std::string>, std::vector<std::pair<MonotonicTime, std::string>>, std::greater<>> running;
    for (int i = 0; i < 800; ++i) {
        while (!running.empty() && running.top().first <= fixture.clock.now()) {
            fixture.board.onFinished(BackendServerId(running.top().second));
            running.pop();
        }
        fixture.query.isRetryable = i % 4 == 0;
        const auto placement = fixture.choose();
        REQUIRE(placement.server != nullptr);
        const auto id = placement.server->id;
        fixture.board.onSent(id, fixture.clock.now());
        const bool fails = failing.contains(id.text()) && failureRandom.below(4) != 0;
        if (fails) {
            fixture.board.onFinished(id);
        } else {
            running.emplace(fixture.clock.now() + 270ms, id.text());
        }
        fixture.board.observe(id, fails ? Evidence::BrokenAnswer : Evidence::Success, fixture.clock.now());
        if (!fixture.query.isRetryable) {
            ++sent;
            lost += fails ? 1 : 0;
        }
        fixture.clock.advance(Duration(1s) / 80);
    }
    // An even distribution would lose 15 in 100.
    CHECK(lost * 100 <= sent * 3);
}

TEST_CASE("servers that failed 2 s ago get requests that cannot be retried")
{
    static constexpr int Servers = 9;
    PlacementFixture fixture(Servers);
    for (int i = 0; i < 3; ++i) {
        fixture.board.observe(BackendServerId("s" + std::to_string(i)), Evidence::BrokenAnswer, fixture.clock.now());
    }
    for (int i = 3; i < Servers; ++i) {
        fixture.board.observe(BackendServerId("s" + std::to_string(i)), Evidence::Success, fixture.clock.now());
    }
    fixture.clock.advance(2s);
    std::set<std::string> used;
    // 2 s at 12 requests a second.
    for (int i = 0; i < 24; ++i) {
        const auto placement = fixture.choose();
        REQUIRE(placement.server != nullptr);
        used.insert(placement.server->id.text());
        fixture.board.onSent(placement.server->id, fixture.clock.now());
        fixture.board.onFinished(placement.server->id);
        fixture.clock.advance(83ms);
    }
    CHECK(used.size() >= 7);
}

// Guards against healthy servers that get no requests while failing ones are used and count for the floor.
TEST_CASE("unused servers without recent failures get requests while others fail")
{
    static constexpr int Servers = 13;
    static constexpr int Failing = 9;
    PlacementFixture fixture(Servers);
    std::set<std::string> used;
    // 2 s at 20 requests a second; the failing servers get requests of other hosts, and two of the healthy ones do.
    for (int i = 0; i < 40; ++i) {
        for (int server = 0; server < Failing + 2; ++server) {
            const BackendServerId id("s" + std::to_string(server));
            fixture.board.applyRemoteReport(
                HostId("other"), {{id, server < Failing ? Evidence::BrokenAnswer : Evidence::Success}}, {}, fixture.clock.now());
        }
        const auto placement = fixture.choose();
        REQUIRE(placement.server != nullptr);
        used.insert(placement.server->id.text());
        fixture.board.onSent(placement.server->id, fixture.clock.now());
        fixture.board.onFinished(placement.server->id);
        fixture.clock.advance(50ms);
    }
    CHECK(used.contains("s11"));
    CHECK(used.contains("s12"));
}

// Servers that hung for a while are healthy again 2 s later, while the estimate still prefers the used ones.
TEST_CASE("servers that failed more than 2 s ago get trials")
{
    static constexpr int Servers = 13;
    static constexpr int Failed = 3;
    PlacementFixture fixture(Servers);
    for (int i = 0; i < Failed; ++i) {
        fixture.board.observe(BackendServerId("s" + std::to_string(i)), Evidence::BrokenAnswer, fixture.clock.now());
    }
    std::set<std::string> early;
    std::set<std::string> late;
    // 2.5 s at 20 requests a second.
    for (int i = 0; i < 50; ++i) {
        for (int server = Failed; server < Servers; ++server) {
            const BackendServerId id("s" + std::to_string(server));
            fixture.board.applyRemoteReport(HostId("other"), {{id, Evidence::Success}}, {}, fixture.clock.now());
        }
        const auto placement = fixture.choose();
        REQUIRE(placement.server != nullptr);
        (i < 40 ? early : late).insert(placement.server->id.text());
        fixture.board.onSent(placement.server->id, fixture.clock.now());
        fixture.board.onFinished(placement.server->id);
        fixture.clock.advance(50ms);
    }
    for (int i = 0; i < Failed; ++i) {
        const auto id = "s" + std::to_string(i);
        CHECK_FALSE(early.contains(id));
        CHECK(late.contains(id));
    }
}

// The requests of another host hang for 1.9 s; it reports them every 400 ms, and each 900 ms that there is no answer.
TEST_CASE("a server with hanging requests gets a trial 2 s after the last one was sent")
{
    PlacementFixture fixture(10);
    const BackendServerId hanging("s0");
    std::set<std::string> early;
    std::set<std::string> late;
    for (int i = 0; i < 24; ++i) {
        const auto passed = i * 100ms;
        if (passed % 400ms == 0ms && passed < 1900ms) {
            fixture.board.applyRemoteReport(HostId("other"), {}, {{hanging, 2}}, fixture.clock.now());
        }
        if (passed == 900ms || passed == 1800ms) {
            fixture.board.applyRemoteReport(
                HostId("other"), {{hanging, Evidence::Overdue}, {hanging, Evidence::Overdue}}, {}, fixture.clock.now());
        }
        if (passed == 1900ms) {
            fixture.board.applyRemoteReport(HostId("other"), {}, {{hanging, 0}}, fixture.clock.now());
        }
        for (int server = 1; server < 10; ++server) {
            const BackendServerId id("s" + std::to_string(server));
            fixture.board.applyRemoteReport(HostId("other"), {{id, Evidence::Success}}, {}, fixture.clock.now());
        }
        const auto placement = fixture.choose();
        REQUIRE(placement.server != nullptr);
        (passed < 2s ? early : late).insert(placement.server->id.text());
        fixture.board.onSent(placement.server->id, fixture.clock.now());
        fixture.board.onFinished(placement.server->id);
        fixture.clock.advance(100ms);
    }
    CHECK_FALSE(early.contains("s0"));
    CHECK(late.contains("s0"));
}

TEST_CASE("the interval of trials of a failing server grows to 6 s, and a success resets it")
{
    PlacementFixture fixture(10);
    const BackendServerId failing("s0");
    std::vector<MonotonicTime> attemptTimes;
    // 30 s at 10 requests a second; another host keeps the other servers in use.
    for (int i = 0; i < 300; ++i) {
        for (int server = 1; server < 10; ++server) {
            const BackendServerId id("s" + std::to_string(server));
            fixture.board.applyRemoteReport(HostId("other"), {{id, Evidence::Success}}, {}, fixture.clock.now());
        }
        const auto placement = fixture.choose();
        REQUIRE(placement.server != nullptr);
        fixture.board.onSent(placement.server->id, fixture.clock.now());
        fixture.board.onFinished(placement.server->id);
        if (placement.server->id == failing) {
            attemptTimes.push_back(fixture.clock.now());
            fixture.board.observe(failing, Evidence::BrokenAnswer, fixture.clock.now());
        }
        fixture.clock.advance(100ms);
    }
    REQUIRE(attemptTimes.size() >= 6);
    CHECK(attemptTimes[1] - attemptTimes[0] == 2s);
    CHECK(attemptTimes[2] - attemptTimes[1] == 2s);
    CHECK(attemptTimes[3] - attemptTimes[2] == 2s);
    CHECK(attemptTimes[4] - attemptTimes[3] == 4s);
    CHECK(attemptTimes[5] - attemptTimes[4] == 6s);
    CHECK(attemptTimes.back() - *(attemptTimes.end() - 2) == 6s);
    fixture.board.observe(failing, Evidence::Success, fixture.clock.now());
    fixture.board.observe(failing, Evidence::BrokenAnswer, fixture.clock.now());
    CHECK(fixture.board.state(failing).retryAt() == fixture.clock.now() + 2s);
}

TEST_CASE("a host with others ranked before it sends trials later, and retryable requests reach unused servers earlier")
{
    PlacementFixture fixture(2);
    const auto isChosenAfter = [&fixture](Duration unused) {
        const auto now = fixture.clock.now();
        fixture.board.state(BackendServerId("s0")).lastReachedByFleetAt = now - unused;
        fixture.board.observe(BackendServerId("s1"), Evidence::Success, now);
        fixture.board.state(BackendServerId("s1")).lastUsedAt = now;
        return fixture.choose().server->id.text() == "s0";
    };
    fixture.clock.advance(10s);
    CHECK(isChosenAfter(1450ms));
    CHECK_FALSE(isChosenAfter(1350ms));
    fixture.query.rankInDomain = 1;
    CHECK_FALSE(isChosenAfter(1600ms));
    CHECK(isChosenAfter(1700ms));
    fixture.query.rankInDomain = 0;
    fixture.query.isRetryable = true;
    CHECK(isChosenAfter(1050ms));
}

TEST_CASE("while a service is healthy, servers get trials once their failure estimate has recovered")
{
    PlacementFixture fixture(2);
    fixture.query.trialPolicy = TrialPolicy::Few;
    const BackendServerId failed("s0");
    fixture.board.observe(failed, Evidence::BrokenAnswer, fixture.clock.now());
    fixture.board.observe(failed, Evidence::BrokenAnswer, fixture.clock.now());
    Duration trialDelay{};
    for (int i = 0; i < 100 && trialDelay == 0ms; ++i) {
        fixture.board.observe(BackendServerId("s1"), Evidence::Success, fixture.clock.now());
        const auto placement = fixture.choose();
        REQUIRE(placement.server != nullptr);
        CHECK(placement.isTrial == (placement.server->id == failed));
        trialDelay = placement.isTrial ? i * 100ms : 0ms;
        fixture.clock.advance(100ms);
    }
    CHECK(trialDelay > 4s);
    CHECK(trialDelay < 6s);
    fixture.query.trialPolicy = TrialPolicy::None;
    CHECK(fixture.choose().server->id != failed);
}

TEST_CASE("a service counts as failing by the evidence of all hosts, overdue answers included")
{
    PlacementFixture fixture(4);
    const auto now = fixture.clock.now();
    for (int i = 0; i < 50; ++i) {
        fixture.board.applyRemoteReport(HostId("other"), {{BackendServerId("s1"), Evidence::Success}}, {}, now);
    }
    for (int i = 0; i < 4; ++i) {
        fixture.board.applyRemoteReport(HostId("other"), {{BackendServerId("s0"), Evidence::Overdue}}, {}, now);
    }
    CHECK_FALSE(fixture.board.isFailing(Service, now));
    fixture.board.observe(BackendServerId("s0"), Evidence::Overdue, now);
    CHECK(fixture.board.isFailing(Service, now));
    CHECK_FALSE(fixture.board.isFailing(catalog::ServiceName("other"), now));
    CHECK_FALSE(fixture.board.isFailing(Service, now + 3s));
}

TEST_CASE("a server that refused connections gets a trial after the backoff although others are healthy")
{
    PlacementFixture fixture(3);
    const BackendServerId refused("s0");
    fixture.board.onConnectFailed(refused, fixture.clock.now());
    fixture.clock.advance(3s);
    for (int i = 1; i < 3; ++i) {
        fixture.board.observe(BackendServerId("s" + std::to_string(i)), Evidence::Success, fixture.clock.now());
    }
    CHECK(fixture.choose().server->id == refused);
}

// A host whose link to a server is cut reports its request as load until the connection fails.
TEST_CASE("a server that another host cannot reach gets requests from this host")
{
    PlacementFixture fixture(10);
    const BackendServerId unreached("s0");
    for (int i = 0; i < 10; ++i) {
        fixture.board.observe(BackendServerId("s" + std::to_string(i)), Evidence::Success, fixture.clock.now());
    }
    fixture.clock.advance(2s);
    for (int i = 1; i < 10; ++i) {
        fixture.board.applyRemoteReport(
            HostId("other"), {{BackendServerId("s" + std::to_string(i)), Evidence::Success}}, {}, fixture.clock.now());
    }
    fixture.board.applyRemoteReport(HostId("other"), {}, {{unreached, 1}}, fixture.clock.now());
    CHECK(fixture.choose().server->id != unreached);
    fixture.clock.advance(300ms);
    fixture.board.applyRemoteReport(HostId("other"), {}, {{unreached, 0}}, fixture.clock.now());
    CHECK(fixture.choose().server->id == unreached);
}

// The failure estimate of a server that was slow a moment ago is lower than that of one that failed 2 s ago.
TEST_CASE("a slow server does not delay the trials of others")
{
    PlacementFixture fixture(10);
    fixture.board.observe(BackendServerId("s0"), Evidence::BrokenAnswer, fixture.clock.now());
    fixture.clock.advance(2100ms);
    fixture.board.observe(BackendServerId("s1"), Evidence::Overdue, fixture.clock.now());
    for (int i = 2; i < 10; ++i) {
        fixture.board.applyRemoteReport(
            HostId("other"), {{BackendServerId("s" + std::to_string(i)), Evidence::Success}}, {}, fixture.clock.now());
    }
    std::set<std::string> used;
    for (int i = 0; i < 3; ++i) {
        const auto placement = fixture.choose();
        REQUIRE(placement.server != nullptr);
        used.insert(placement.server->id.text());
        fixture.board.onSent(placement.server->id, fixture.clock.now());
        fixture.board.onFinished(placement.server->id);
    }
    CHECK(used.contains("s0"));
}

// Hosts of other failure domains do not report the use of healthy servers, so that all of those would look unused.
TEST_CASE("servers of other failure domains get no trials")
{
    PlacementFixture fixture(12);
    for (std::size_t i = 3; i < fixture.entries.size(); ++i) {
        fixture.entries[i].failureDomain = FailureDomainId("b");
    }
    fixture.update();
    for (int i = 0; i < 40; ++i) {
        for (int own = 0; own < 3; ++own) {
            fixture.board.observe(BackendServerId("s" + std::to_string(own)), Evidence::Success, fixture.clock.now());
        }
        const auto placement = fixture.choose();
        REQUIRE(placement.server != nullptr);
        CHECK(placement.server->failureDomain.text() == "a");
        fixture.board.onSent(placement.server->id, fixture.clock.now());
        fixture.board.onFinished(placement.server->id);
        fixture.clock.advance(80ms);
    }
}

TEST_CASE("cold servers that have just started do not delay the trials of warm ones")
{
    PlacementFixture fixture(24);
    fixture.clock.advance(10s);
    for (std::size_t i = 4; i < fixture.entries.size(); ++i) {
        fixture.entries[i].coldUntil = fixture.clock.now() + 3s;
    }
    fixture.update();
    for (int i = 0; i < 4; ++i) {
        const auto placement = fixture.choose();
        REQUIRE(placement.server != nullptr);
        CHECK_FALSE(placement.isCold);
        fixture.board.onSent(placement.server->id, fixture.clock.now());
    }
    CHECK(fixture.choose().isCold);
}

// A service gets as many new servers as it had while a part of the old ones fails.
TEST_CASE("servers that were added do not delay the trial of one that failed 2 s ago")
{
    PlacementFixture fixture(24);
    fixture.clock.advance(10s);
    const BackendServerId failed("s0");
    fixture.board.observe(failed, Evidence::BrokenAnswer, fixture.clock.now());
    fixture.clock.advance(2s);
    CHECK(fixture.choose().server->id == failed);
}

// The address of a server that has ended may belong to a server of another service before its entry goes.
TEST_CASE("a server whose address answers for another one gets no requests until its entry changes")
{
    PlacementFixture fixture(2);
    fixture.entries[0].address = Endpoint("127.0.0.1:1");
    fixture.entries[1].address = Endpoint("127.0.0.1:2");
    fixture.update();
    fixture.clock.advance(10s);
    fixture.board.onWrongServer(BackendServerId("s0"), Endpoint("127.0.0.1:1"), fixture.clock.now());
    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.choose().server->id.text() == "s1");
    }
    fixture.query.excluded.push_back(BackendServerId("s1"));
    CHECK(fixture.choose().server == nullptr);
    fixture.entries[0].address = Endpoint("127.0.0.1:3");
    fixture.update();
    CHECK(fixture.choose().server != nullptr);
    fixture.entries[0].address = Endpoint("127.0.0.1:1");
    fixture.update();
    fixture.clock.advance(6s);
    CHECK(fixture.choose().server != nullptr);
}

TEST_CASE("requests below the floor go to unused servers until nine of ten are in use")
{
    PlacementFixture fixture(10);
    fixture.query.trialPolicy = TrialPolicy::BelowFloor;
    fixture.clock.advance(10s);
    for (int i = 0; i < 9; ++i) {
        const auto placement = fixture.choose();
        REQUIRE(placement.server != nullptr);
        CHECK(placement.isTrial);
        fixture.board.onSent(placement.server->id, fixture.clock.now());
        fixture.board.onFinished(placement.server->id);
        fixture.board.observe(placement.server->id, Evidence::Success, fixture.clock.now());
    }
    CHECK_FALSE(fixture.choose().isTrial);
}

TEST_CASE("a server that another host uses counts as used")
{
    PlacementFixture fixture(2);
    fixture.board.observe(BackendServerId("s0"), Evidence::BrokenAnswer, fixture.clock.now());
    fixture.clock.advance(10s);
    fixture.board.applyRemoteReport(HostId("other"), {{BackendServerId("s1"), Evidence::Success}}, {}, fixture.clock.now());
    CHECK(fixture.choose().server->id.text() == "s0");
    fixture.board.applyRemoteReport(HostId("other"), {}, {{BackendServerId("s0"), 1}}, fixture.clock.now());
    CHECK(fixture.choose().server->id.text() == "s1");
}

// Guards against requests to a version that a roll-out does not allow, in particular as trials of unused servers.
TEST_CASE("only servers of the versions that a roll-out allows get requests")
{
    PlacementFixture fixture(4);
    for (std::size_t i = 0; i < fixture.entries.size(); ++i) {
        fixture.entries[i].version = catalog::ServiceVersion("v" + std::to_string(i % 3));
    }
    fixture.update();
    const auto versions = [&fixture] {
        std::set<std::string> chosen;
        for (int i = 0; i < 200; ++i) {
            fixture.clock.advance(50ms);
            if (const auto placement = fixture.choose(); placement.server != nullptr) {
                chosen.insert(placement.server->version.text());
            }
        }
        return chosen;
    };
    CHECK(versions() == std::set<std::string>{"v0", "v1", "v2"});
    fixture.query.versions.target = catalog::ServiceVersion("v1");
    fixture.query.versions.rule = VersionRule::OnlyTarget;
    CHECK(versions() == std::set<std::string>{"v1"});
    fixture.query.versions.rule = VersionRule::NotTarget;
    CHECK(versions() == std::set<std::string>{"v0", "v2"});
    fixture.query.versions.rejected.insert(catalog::ServiceVersion("v2"));
    CHECK(versions() == std::set<std::string>{"v0"});
    fixture.query.versions.rule = VersionRule::Any;
    CHECK(versions() == std::set<std::string>{"v0", "v1"});
}
