#include "peerreports.h"

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;
using namespace std::chrono_literals;
using balance::Evidence;

static const FailureDomainId Own("a");
static const FailureDomainId Other("b");

namespace {

/// Servers under test, with two slots each: two of the own failure domain and one of another, among many other servers.
class ReportFixture
{
public:
    explicit ReportFixture(int others = 500)
    {
        std::vector<catalog::ServerEntry> entries;
        for (const auto &[id, domain] : {std::pair("s1", Own), std::pair("s2", Own), std::pair("s3", Other)}) {
            catalog::ServerEntry entry;
            entry.id = BackendServerId(id);
            entry.failureDomain = domain;
            entry.slots = SlotCount(2);
            entries.push_back(entry);
        }
        for (int i = 0; i < others; ++i) {
            catalog::ServerEntry entry;
            entry.id = BackendServerId("other" + std::to_string(i));
            entry.failureDomain = Own;
            entries.push_back(entry);
        }
        this->board.retain(catalog::ServerTable(entries));
        this->clock.advance(1h);
    }

    void send(const char *server)
    {
        this->board.onSent(BackendServerId(server), this->clock.now());
    }

    void finish(const char *server)
    {
        this->board.onFinished(BackendServerId(server));
    }

    testing::VirtualClock clock;
    balance::Scoreboard board;
    balance::OrganisationQuota quota{5s};
    PeerReports reports{this->board, this->quota, Own};
};

} // namespace

static std::vector<std::string> serversIn(const std::optional<wire::Datagram> &datagram)
{
    std::vector<std::string> servers;
    if (datagram) {
        for (const auto &load : datagram->loads) {
            servers.push_back(load.server + "=" + std::to_string(load.outstanding));
        }
        for (const auto &entry : datagram->evidence) {
            servers.push_back(entry.server + ":" + std::string(balance::evidenceName(static_cast<Evidence>(entry.evidence))));
        }
    }
    std::sort(servers.begin(), servers.end());
    return servers;
}

using Texts = std::vector<std::string>;

TEST_CASE("other failure domains receive reports on failures, on their servers and on full ones")
{
    ReportFixture fixture;
    fixture.send("s1");
    fixture.send("s2");
    fixture.send("s2");
    fixture.send("s3");
    const auto now = fixture.clock.now();
    fixture.board.observe(BackendServerId("s1"), Evidence::Success, now);
    fixture.board.observe(BackendServerId("s2"), Evidence::BrokenAnswer, now);
    fixture.board.observe(BackendServerId("s3"), Evidence::Success, now);
    fixture.reports.collect(now);
    CHECK(serversIn(fixture.reports.compose(Own, now)) == Texts{"s1:success", "s1=1", "s2:broken_answer", "s2=2", "s3:success", "s3=1"});
    CHECK(serversIn(fixture.reports.compose(Other, now)) == Texts{"s2:broken_answer", "s2=2", "s3:success", "s3=1"});
}

TEST_CASE("a failure domain that uses servers of this one receives all reports for a while")
{
    ReportFixture fixture;
    fixture.reports.onLoads(Other, {{BackendServerId("s1"), 1}}, fixture.clock.now());
    fixture.send("s2");
    fixture.board.observe(BackendServerId("s2"), Evidence::Success, fixture.clock.now());
    fixture.reports.collect(fixture.clock.now());
    CHECK(serversIn(fixture.reports.compose(Other, fixture.clock.now())) == Texts{"s2:success", "s2=1"});
    fixture.clock.advance(3s);
    // Requests of the other domain to its own servers do not count as use of this domain.
    fixture.reports.onLoads(Other, {{BackendServerId("s3"), 1}}, fixture.clock.now());
    fixture.reports.collect(fixture.clock.now());
    CHECK(serversIn(fixture.reports.compose(Other, fixture.clock.now())) == Texts{"s2=0"});
}

TEST_CASE("in a fleet with few servers all hosts receive all reports")
{
    ReportFixture fixture(10);
    fixture.send("s1");
    fixture.board.observe(BackendServerId("s2"), Evidence::Success, fixture.clock.now());
    fixture.reports.collect(fixture.clock.now());
    CHECK(serversIn(fixture.reports.compose(Other, fixture.clock.now())) == Texts{"s1=1", "s2:success"});
}

TEST_CASE("a server whose slots are all in use across the hosts is reported, and again when a slot is free")
{
    ReportFixture fixture;
    fixture.send("s1");
    const auto now = fixture.clock.now();
    fixture.reports.collect(now);
    CHECK_FALSE(fixture.reports.compose(Other, now));
    fixture.board.applyRemoteReport(HostId("peer"), {}, {{BackendServerId("s1"), 1}}, now);
    fixture.reports.collect(now);
    CHECK(serversIn(fixture.reports.compose(Other, now)) == Texts{"s1=1"});
    fixture.board.applyRemoteReport(HostId("peer"), {}, {{BackendServerId("s1"), 0}}, now);
    fixture.reports.collect(now);
    CHECK(serversIn(fixture.reports.compose(Other, now)) == Texts{"s1=0"});
}

TEST_CASE("an unchanged load is repeated only before it expires at the receiver")
{
    ReportFixture fixture;
    fixture.send("s1");
    fixture.reports.collect(fixture.clock.now());
    CHECK(fixture.reports.compose(Own, fixture.clock.now()));
    fixture.clock.advance(150ms);
    fixture.reports.collect(fixture.clock.now());
    CHECK_FALSE(fixture.reports.compose(Own, fixture.clock.now()));
    fixture.clock.advance(300ms);
    fixture.reports.collect(fixture.clock.now());
    CHECK(serversIn(fixture.reports.compose(Own, fixture.clock.now())) == Texts{"s1=1"});
    fixture.finish("s1");
    fixture.reports.collect(fixture.clock.now());
    CHECK(serversIn(fixture.reports.compose(Own, fixture.clock.now())) == Texts{"s1=0"});
}

TEST_CASE("admissions are reported at their interval unless an organisation is close to its limit")
{
    ReportFixture fixture;
    catalog::CatalogParts parts;
    parts.organisations.push_back({OrganisationId("org"), {}, RequestRate(10), RequestCount(0)});
    fixture.quota.configure(catalog::Catalog(std::move(parts)), fixture.clock.now() - 1h);
    const auto admitsAndReports = [&fixture](int admissions) {
        for (int i = 0; i < admissions; ++i) {
            fixture.quota.admit(OrganisationId("org"), fixture.clock.now());
        }
        fixture.reports.collect(fixture.clock.now());
        const auto datagram = fixture.reports.compose(Other, fixture.clock.now());
        return datagram && datagram->__isset.admissions;
    };
    CHECK(admitsAndReports(1));
    fixture.clock.advance(100ms);
    CHECK_FALSE(admitsAndReports(1));
    fixture.clock.advance(250ms);
    CHECK(admitsAndReports(1));
    fixture.clock.advance(50ms);
    CHECK(admitsAndReports(40));
}

static catalog::Catalog catalogWith(const std::vector<std::string> &organisations)
{
    catalog::CatalogParts parts;
    for (const auto &id : organisations) {
        parts.organisations.push_back({OrganisationId(id), {}, RequestRate(10), RequestCount(10)});
    }
    return catalog::Catalog(std::move(parts));
}

TEST_CASE("admissions of a host with unknown addresses count")
{
    ReportFixture fixture;
    fixture.quota.configure(catalogWith({"org"}), fixture.clock.now());
    fixture.clock.advance(10s);
    wire::Datagram report;
    wire::HostBrief brief;
    brief.host = "unknown";
    brief.incarnation = 7;
    report.__set_brief(brief);
    wire::Admissions admissions;
    admissions.organisation = "org";
    admissions.admitted = 40;
    admissions.sinceLastReport = 4;
    report.__set_admissions({admissions});
    fixture.reports.onAdmissions(report, fixture.clock.now());
    CHECK(fixture.quota.admit(OrganisationId("org"), fixture.clock.now()).used == doctest::Approx(4));
}

TEST_CASE("window uses are transferred from one host to another")
{
    ReportFixture old;
    CHECK(old.reports.composeWindowUses(old.clock.now()).empty());
    old.quota.configure(catalogWith({"org", "idle"}), old.clock.now());
    old.clock.advance(10s);
    for (int i = 0; i < 30; ++i) {
        old.quota.admit(OrganisationId("org"), old.clock.now());
        old.quota.takeReport();
    }
    const auto responses = old.reports.composeWindowUses(old.clock.now());
    REQUIRE(responses.size() == 1);
    CHECK(responses.front().namesAllUses);
    CHECK(responses.front().windowUses.size() == 1);
    ReportFixture fresh;
    fresh.quota.configure(catalogWith({"org", "idle"}), fresh.clock.now());
    fresh.reports.onWindowUses(responses.front(), {}, fresh.clock.now());
    CHECK(fresh.quota.admit(OrganisationId("org"), fresh.clock.now()).used == doctest::Approx(30));
    CHECK(fresh.quota.admit(OrganisationId("idle"), fresh.clock.now()).used == doctest::Approx(0));
}

TEST_CASE("many window uses take several datagrams, none of which is complete")
{
    ReportFixture fixture;
    std::vector<std::string> organisations;
    organisations.reserve(1200);
    for (int i = 0; i < 1200; ++i) {
        organisations.push_back("org" + std::to_string(i));
    }
    fixture.quota.configure(catalogWith(organisations), fixture.clock.now());
    const auto responses = fixture.reports.composeWindowUses(fixture.clock.now());
    REQUIRE(responses.size() == 3);
    for (const auto &response : responses) {
        CHECK_FALSE(response.namesAllUses);
        CHECK(response.windowUses.size() <= 500);
    }
}

TEST_CASE("a datagram without a full or compact heartbeat has no sender")
{
    wire::Datagram datagram;
    CHECK_FALSE(hasSender(datagram));
    datagram.__set_brief({});
    CHECK_FALSE(hasSender(datagram));
    wire::HostBrief brief;
    brief.host = "h";
    datagram.__set_brief(brief);
    CHECK(hasSender(datagram));
    wire::Datagram full;
    wire::HostBeat beat;
    beat.host = "h";
    full.__set_sender(beat);
    CHECK(hasSender(full));
}
