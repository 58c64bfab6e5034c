// Guards against roll-outs that stall between hosts and store, or whose state two hosts write differently.

#include "rolloutcontrol.h"
#include "fakes.h"

#include <rhubarbtiller/gateway/settings.h>
#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;
using catalog::RolloutPhase;

static const catalog::ServiceName Service("s");
static const catalog::ServiceVersion Target("v2");

namespace {

/// A store with one table whose writes are conditional.
class ConditionalStore : public FakeSource
{
public:
    using FakeSource::write;

    void read(SourceTable table, BatchHandler handler) override
    {
        REQUIRE(table == SourceTable::Status);
        ++this->reads;
        if (!this->isReachable) {
            handler(make_error_code(SourceError::Unavailable));
            return;
        }
        SourceBatch batch;
        batch.version = this->version;
        for (const auto &[key, row] : this->rows) {
            batch.rows.push_back({key, row.first, row.second, false});
        }
        handler(batch);
    }

    void write(SourceTable, std::string key, std::string value, std::uint64_t expectedVersion, WriteHandler handler) override
    {
        const auto found = this->rows.find(key);
        if (!this->isReachable || (found == this->rows.end() ? 0 : found->second.second) != expectedVersion) {
            handler(make_error_code(this->isReachable ? SourceError::Conflict : SourceError::Unavailable));
            return;
        }
        this->values.push_back(value);
        this->rows[key] = {std::move(value), ++this->version};
        const bool isLost = std::exchange(this->losesNextResponse, false);
        handler(isLost ? make_error_code(SourceError::Unavailable) : Status());
    }

    std::map<std::string, std::pair<std::string, std::uint64_t>> rows;
    std::vector<std::string> values;
    std::uint64_t version = 10;
    unsigned reads = 0;
    bool isReachable = true;
    bool losesNextResponse = false;
};

/// Decodes the number of the phase after the target.
class PhaseDecoder : public PlainDecoder
{
public:
    std::optional<catalog::RolloutStatus> rolloutStatus(const SourceRow &row) const override
    {
        const auto colon = row.value.find(':');
        return catalog::RolloutStatus{Service,
                                      catalog::ServiceVersion(row.value.substr(0, colon)),
                                      static_cast<RolloutPhase>(std::stoi(row.value.substr(colon + 1))),
                                      row.version};
    }

    std::pair<std::string, std::string> encodeRolloutStatus(const catalog::RolloutStatus &status) const override
    {
        return {"rollout/" + status.service.text(), status.target.text() + ":" + std::to_string(static_cast<int>(status.phase))};
    }
};

/// Two hosts with one store, which send requests to a service with servers of two versions.
class RolloutFixture
{
public:
    struct Host
    {
        Host(RolloutFixture &fixture, const std::string &name, const std::string &domain)
            : directory(record(name, domain), 1)
            , control({fixture.context,
                       fixture.context,
                       fixture.clock,
                       fixture.random,
                       this->directory,
                       this->board,
                       fixture.store,
                       fixture.decoder,
                       fixture.metrics,
                       {0.2, 50, 2s, 3s},
                       {FailureDomainId("a"), FailureDomainId("b")},
                       [] {
                           return true;
                       }})
        {
        }

        static balance::HostRecord record(const std::string &name, const std::string &domain)
        {
            balance::HostRecord record;
            record.id = HostId(name);
            record.failureDomain = FailureDomainId(domain);
            record.incarnation = Incarnation(1);
            return record;
        }

        balance::HostDirectory directory;
        balance::Scoreboard board;
        RolloutControl control;
        std::uint64_t sentToTarget = 0;
    };

    struct Open
    {
        Host *host;
        std::uint64_t ticket;
        BackendServerId server;
        MonotonicTime endsAt;
        balance::RolloutResult result;
    };

    RolloutFixture()
    {
        for (int i = 0; i < 8; ++i) {
            catalog::ServerEntry entry;
            entry.id = BackendServerId("s" + std::to_string(i));
            entry.service = Service;
            entry.failureDomain = FailureDomainId("a");
            entry.slots = SlotCount(8);
            entry.version = i % 2 == 0 ? catalog::ServiceVersion("v1") : Target;
            this->entries.push_back(entry);
        }
        this->publish(false);
        this->run(3s);
        this->publish(true);
    }

    void publish(bool hasOrder, const catalog::ServiceVersion &target = Target)
    {
        auto state = std::make_shared<catalog::FleetState>();
        state->catalog = std::make_shared<const catalog::Catalog>(catalog::CatalogParts());
        state->servers = std::make_shared<const catalog::ServerTable>(this->entries);
        if (hasOrder) {
            state->rolloutOrders[Service] = {Service, target, 10s, this->clock.now()};
        }
        for (auto *const host : {&this->first, &this->second}) {
            host->board.retain(*state->servers);
            host->control.onState(state);
        }
    }

    /// Sends one request and ends those whose time has come.
    void request(Host &host)
    {
        const auto filter = host.control.filterFor(Service, true, false);
        const auto &entry = this->entries[this->random.below(4) * 2 + (filter.rule == balance::VersionRule::OnlyTarget ? 1 : 0)];
        const bool isTarget = entry.version == Target;
        host.sentToTarget += isTarget ? 1 : 0;
        host.board.onSent(entry.id, this->clock.now());
        const bool isFailing = isTarget && this->isTargetBad && this->random.below(3) == 0;
        this->open.push_back({&host,
                              host.control.onSent(entry, RouteName("r"), true),
                              entry.id,
                              this->clock.now() + 20ms + 1ms * this->random.below(100),
                              isFailing ? balance::RolloutResult::Failure : balance::RolloutResult::Success});
    }

    void run(Duration duration)
    {
        for (const auto end = this->clock.now() + duration; this->clock.now() < end; this->clock.advance(10ms)) {
            for (auto *const host : {&this->first, &this->second}) {
                host->directory.updateEntryRole(this->clock.now());
                this->request(*host);
                host->control.update();
            }
            std::erase_if(this->open, [this](const Open &each) {
                if (this->clock.now() < each.endsAt) {
                    return false;
                }
                each.host->board.onFinished(each.server);
                each.host->control.onEnded(Service, each.ticket, each.result);
                return true;
            });
            if (++this->ticks % 15 == 0) {
                this->first.directory.onHeartbeat(this->second.directory.own(), this->clock.now());
                this->second.directory.onHeartbeat(this->first.directory.own(), this->clock.now());
                this->second.control.onStates(HostId("first"), Incarnation(1), this->first.control.states(true));
                this->first.control.onStates(HostId("second"), Incarnation(1), this->second.control.states(true));
            }
            this->context.restart();
            this->context.poll();
        }
    }

    asio::io_context context;
    testing::VirtualClock clock;
    SeededRandom random{3};
    ConditionalStore store;
    PhaseDecoder decoder;
    telemetry::Metrics metrics;
    std::vector<catalog::ServerEntry> entries;
    std::vector<Open> open;
    bool isTargetBad = false;
    unsigned ticks = 0;
    Host first{*this, "first", "a"};
    Host second{*this, "second", "b"};
};

using Values = std::vector<std::string>;

} // namespace

TEST_CASE("a good version is switched to, and each state is written once")
{
    RolloutFixture fixture;
    REQUIRE(fixture.first.directory.isEntryHost());
    // The write happens, but the host does not learn of it.
    fixture.store.losesNextResponse = true;
    fixture.run(10s);
    CHECK(fixture.store.values == Values{"v2:1", "v2:2", "v2:3", "v2:4"});
    CHECK(fixture.second.control.filterFor(Service, false, false).rule == balance::VersionRule::OnlyTarget);
    CHECK(fixture.first.control.describe().find("completed") != std::string::npos);
}

TEST_CASE("a bad version gets no more requests before the store can be told, and the result is written when it returns")
{
    RolloutFixture fixture;
    fixture.isTargetBad = true;
    fixture.run(500ms);
    fixture.store.isReachable = false;
    fixture.run(6s);
    CHECK(fixture.store.values == Values{"v2:1"});
    const auto sent = fixture.first.sentToTarget + fixture.second.sentToTarget;
    CHECK(sent > 0);
    CHECK(sent < 150);
    fixture.run(1s);
    CHECK(fixture.first.sentToTarget + fixture.second.sentToTarget == sent);
    fixture.store.isReachable = true;
    fixture.run(1s);
    CHECK(fixture.store.values == Values{"v2:1", "v2:5"});
    fixture.publish(false);
    fixture.run(1s);
    CHECK(fixture.first.sentToTarget + fixture.second.sentToTarget == sent);
}

TEST_CASE("a withdrawn order ends rolled back, and a service without an order is not affected")
{
    RolloutFixture fixture;
    fixture.run(1s);
    CHECK(fixture.first.control.filterFor(catalog::ServiceName("other"), true, false).rule == balance::VersionRule::Any);
    fixture.publish(false);
    fixture.run(1s);
    CHECK(fixture.store.values == Values{"v2:1", "v2:5"});
}

// Guards against calls to the store that go on for as long as the process runs once an order was rolled back and withdrawn.
TEST_CASE("the store is not read for an order that is withdrawn and has its result")
{
    RolloutFixture fixture;
    fixture.run(1s);
    fixture.publish(false);
    fixture.run(1s);
    REQUIRE(fixture.store.values.back() == "v2:5");
    const auto reads = fixture.store.reads;
    fixture.run(5s);
    CHECK(fixture.store.reads == reads);
}

// Guards against a result that ignores the requests of a host at old servers, since it stopped reporting when the order was withdrawn.
TEST_CASE("a host reports on a withdrawn order until it has a result")
{
    RolloutFixture fixture;
    fixture.run(1s);
    fixture.publish(false);
    const auto states = fixture.first.control.states(false);
    REQUIRE(states.size() == 1);
    CHECK(states.front().isCondemned);
    fixture.run(1s);
    CHECK(fixture.first.control.states(false).empty());
}

// Guards against a service without usable servers: from this phase on another host may have announced the completion, at which the servers
// of the version before stop.
TEST_CASE("a version that may have been completed is still used after its order was replaced")
{
    RolloutFixture fixture;
    fixture.run(1s);
    fixture.store.isReachable = false;
    auto states = fixture.first.control.states(false);
    REQUIRE(states.size() == 1);
    states.front().__set_phase(static_cast<std::int8_t>(RolloutPhase::Closing));
    fixture.second.control.onStates(HostId("first"), Incarnation(1), states);
    fixture.publish(true, catalog::ServiceVersion("v3"));
    CHECK(fixture.second.control.filterFor(Service, true, false).allows(Target));
    CHECK_FALSE(fixture.first.control.filterFor(Service, true, false).allows(Target));
}

TEST_CASE("states of unknown phases, services and versions are ignored")
{
    RolloutFixture fixture;
    fixture.run(500ms);
    auto states = fixture.first.control.states(true);
    REQUIRE(states.size() == 1);
    auto odd = states.front();
    odd.__set_phase(99);
    odd.cells.resize(1);
    odd.cells[0].latencies.assign(1000, -5);
    odd.cells[0].successes = -7;
    auto other = states.front();
    other.serviceName = "other";
    other.isCondemned = true;
    auto replaced = states.front();
    replaced.targetVersion = "v3";
    replaced.isCondemned = true;
    fixture.second.control.onStates(HostId("first"), Incarnation(1), {odd, other, replaced});
    CHECK(fixture.second.control.describe().find("\"isBad\":false") != std::string::npos);
    CHECK(fixture.second.control.describe().find("in_progress") != std::string::npos);
}

// Guards against bounds that do not take effect, or that are out of range.
TEST_CASE("the bounds of roll-outs are settings with ranges")
{
    const auto parsed = [](const std::string &rollout) {
        config::Problems problems;
        return parseGatewaySettings(R"({"id": "h", "failureDomain": "a", "callerAddress": "127.0.0.1:1", "readinessAddress": "127.0.0.1:2",
            "directoryAddress": "127.0.0.1:3", "controlAddress": "127.0.0.1:4", "peerAddress": "127.0.0.1:5",
            "storeAddress": "127.0.0.1:6", "rollout": )"
                                        + rollout + "}",
                                    problems);
    };
    REQUIRE(parsed("{}"));
    CHECK(parsed("{}")->rollout == balance::RolloutBounds());
    const auto settings = parsed(R"({"storeAllowanceSeconds": 4, "exposureShare": 0.25, "exposureSlack": 60, "rollbackSeconds": 1.5})");
    REQUIRE(settings);
    CHECK(settings->rollout == balance::RolloutBounds{0.25, 60, 1500ms, 4s});
    CHECK_FALSE(parsed(R"({"exposureShare": 1.5})"));
    CHECK_FALSE(parsed(R"({"exposureSlack": -1})"));
    CHECK_FALSE(parsed(R"({"unknown": 1})"));
}
