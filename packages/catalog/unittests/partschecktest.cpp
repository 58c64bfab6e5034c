// Guards against configurations that hosts accept without a word although a part of them has no effect: each test gives a
// valid configuration one fault, and expects exactly the finding for it.
#include <rhubarbtiller/catalog/partscheck.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::catalog;
using namespace std::chrono_literals;

static Route route(const std::string &name, const std::string &prefix)
{
    Route result;
    result.name = RouteName(name);
    result.virtualHost = "a.example";
    result.prefix = prefix;
    result.timeLimit = 2s;
    result.latencyObjective = 1s;
    result.weightedServices.push_back({ServiceName("s"), 1});
    return result;
}

static CatalogParts validParts()
{
    CatalogParts parts;
    parts.version = ConfigVersion(7);
    parts.routes = {route("r1", "/x/"), route("r2", "/y/")};
    parts.services.push_back({ServiceName("s"), RequestRate(2)});
    parts.organisations.push_back({OrganisationId("o1"), 1, RequestRate(5), RequestCount(3)});
    parts.organisations.push_back({OrganisationId("o2"), {}, RequestRate(0), RequestCount(0)});
    parts.keys = {{"secret-1", 0}, {"secret-2", 1}};
    return parts;
}

/// Checks that the only finding is of this severity, name and property.
static void checkFinding(const CatalogParts &parts, Severity severity, const std::string &name, Property property)
{
    const auto findings = checkParts(parts);
    REQUIRE(findings.size() == 1);
    CHECK(findings.front().severity == severity);
    CHECK(findings.front().name == name);
    CHECK(findings.front().property == property);
    CHECK(findings.front().message.find("secret") == std::string::npos);
}

TEST_CASE("valid parts have no findings")
{
    CHECK(checkParts(validParts()).empty());
}

TEST_CASE("a route with the host and prefix of an earlier one is found")
{
    auto parts = validParts();
    parts.routes[1].prefix = "/x/";
    checkFinding(parts, Severity::Error, "r2", Property::Prefix);
    parts.routes[1].virtualHost = "b.example";
    CHECK(checkParts(parts).empty());
}

TEST_CASE("a prefix that does not begin and end with a slash is found")
{
    for (const auto *const prefix : {"/y", "y/", ""}) {
        auto parts = validParts();
        parts.routes[1].prefix = prefix;
        checkFinding(parts, Severity::Error, "r2", Property::Prefix);
    }
}

TEST_CASE("names that are used twice are found")
{
    auto parts = validParts();
    parts.routes[1].name = RouteName("r1");
    checkFinding(parts, Severity::Error, "r1", Property::Name);
    parts = validParts();
    parts.services.push_back({ServiceName("s"), RequestRate(9)});
    checkFinding(parts, Severity::Error, "s", Property::Name);
    parts = validParts();
    parts.organisations[1].id = OrganisationId("o1");
    checkFinding(parts, Severity::Error, "o1", Property::Name);
}

TEST_CASE("services that are not defined, not used, or listed twice are found")
{
    auto parts = validParts();
    parts.routes[1].weightedServices.push_back({ServiceName("t"), 1});
    checkFinding(parts, Severity::Error, "r2", Property::Services);
    parts = validParts();
    parts.services.push_back({ServiceName("t"), RequestRate(1)});
    checkFinding(parts, Severity::Warning, "t", Property::Name);
    parts = validParts();
    parts.routes[1].weightedServices.push_back({ServiceName("s"), 1});
    checkFinding(parts, Severity::Warning, "r2", Property::Services);
}

TEST_CASE("a time limit below the latency objective is found")
{
    auto parts = validParts();
    parts.routes[0].timeLimit = 500ms;
    checkFinding(parts, Severity::Warning, "r1", Property::TimeLimit);
    // Without a time limit the default of the hosts applies.
    parts.routes[0].timeLimit = Duration(0);
    CHECK(checkParts(parts).empty());
}

TEST_CASE("several attempts of a route that is executed at most once are found")
{
    auto parts = validParts();
    parts.routes[0].maxAttempts = 2;
    checkFinding(parts, Severity::Warning, "r1", Property::MaxAttempts);
    parts.routes[0].retrySemantics = RetrySemantics::Idempotent;
    CHECK(checkParts(parts).empty());
}

TEST_CASE("organisations without keys and shared keys are found")
{
    auto parts = validParts();
    parts.keys.pop_back();
    checkFinding(parts, Severity::Warning, "o2", Property::Keys);
    parts = validParts();
    parts.keys.emplace_back("secret-1", 1);
    checkFinding(parts, Severity::Error, "o2", Property::Keys);
    parts = validParts();
    parts.keys.emplace_back("secret-2", 1);
    checkFinding(parts, Severity::Warning, "o2", Property::Keys);
}

TEST_CASE("a limit that never allows a request, and a burst without a rate, are found")
{
    auto parts = validParts();
    parts.organisations[0].rate = RequestRate(0.1);
    parts.organisations[0].burst = RequestCount(0);
    checkFinding(parts, Severity::Warning, "o1", Property::Burst);
    parts.organisations[0].rate = RequestRate(0.2);
    CHECK(checkParts(parts).empty());
    parts = validParts();
    parts.organisations[1].burst = RequestCount(3);
    checkFinding(parts, Severity::Warning, "o2", Property::Burst);
}

TEST_CASE("sizes above the ones that hosts read are found")
{
    auto parts = validParts();
    parts.limits.maxHeader = ByteCount(64 * 1024);
    parts.limits.maxBody = ByteCount(64 * 1024 * 1024);
    CHECK(checkParts(parts).empty());
    parts.limits.maxHeader = ByteCount(64 * 1024 + 1);
    checkFinding(parts, Severity::Warning, "", Property::MaxHeader);
    parts = validParts();
    parts.limits.maxBody = ByteCount(64 * 1024 * 1024 + 1);
    checkFinding(parts, Severity::Warning, "", Property::MaxBody);
}

TEST_CASE("a version that is not higher than the one in force is an error")
{
    auto proposed = validParts();
    for (const auto version : {6, 7}) {
        proposed.version = ConfigVersion(static_cast<std::uint64_t>(version));
        const auto findings = checkVersion(validParts(), proposed);
        REQUIRE(findings.size() == 1);
        CHECK(findings.front().severity == Severity::Error);
        CHECK(findings.front().property == Property::Version);
    }
    proposed.version = ConfigVersion(8);
    CHECK(checkVersion(validParts(), proposed).empty());
}

TEST_CASE("added, changed and removed entries are listed with the properties that changed, and without keys")
{
    CHECK(compareParts(validParts(), validParts()).empty());
    auto proposed = validParts();
    proposed.routes[0].timeLimit = 3s;
    proposed.routes[1].name = RouteName("r3");
    proposed.keys[0].first = "secret-3";
    proposed.limits.idleTime = 15s;
    const auto differences = compareParts(validParts(), proposed);
    REQUIRE(differences.size() == 5);
    CHECK(differences[0].name == "r1");
    REQUIRE(differences[0].properties.size() == 1);
    CHECK(differences[0].properties[0].property == Property::TimeLimit);
    CHECK(differences[0].properties[0].before == "2 s");
    CHECK(differences[0].properties[0].after == "3 s");
    CHECK(differences[1].name == "r3");
    CHECK(differences[1].change == PartDifference::Change::Added);
    CHECK(differences[2].name == "o1");
    REQUIRE(differences[2].properties.size() == 1);
    CHECK(differences[2].properties[0].before == "1 keys");
    CHECK(differences[2].properties[0].after == "1 keys, 1 of them new");
    CHECK(differences[3].kind == EntryKind::Limits);
    CHECK(differences[3].properties[0].property == Property::IdleTime);
    CHECK(differences[4].name == "r2");
    CHECK(differences[4].change == PartDifference::Change::Removed);
}
