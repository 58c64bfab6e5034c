#include <rhubarbtiller/config/snapshot.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::config;

static Change changeAt(std::uint64_t version, std::vector<Mutation> mutations)
{
    return Change{ConfigVersion(version), ChangeId("change"), "test", std::move(mutations)};
}

// Guards against a route that catches paths which only share its first letters.
TEST_CASE("the longest path prefix on a segment boundary wins")
{
    Route seats;
    seats.name = RouteName("seats");
    seats.pathPrefix = "/seats";
    seats.methods = {"GET"};
    Route holds = seats;
    holds.name = RouteName("holds");
    holds.pathPrefix = "/seats/holds/";
    const auto snapshot = Snapshot().apply(changeAt(1, {PutRow{seats}, PutRow{holds}}));
    CHECK(snapshot->findRoute("GET", "/seats")->name == seats.name);
    CHECK(snapshot->findRoute("GET", "/seats/12")->name == seats.name);
    CHECK(snapshot->findRoute("GET", "/seats/holds/7")->name == holds.name);
    CHECK(snapshot->findRoute("GET", "/seatsale") == nullptr);
    CHECK(snapshot->findRoute("POST", "/seats") == nullptr);
}

// Guards against a withdrawn key that stays in a later snapshot, or vanishes from an earlier one that is in use.
TEST_CASE("deleting a key affects only the later snapshot")
{
    const KeyGrant grant{KeyDigest("d1"), KeyName("k1"), OrganisationId("surf-school")};
    const auto granted = Snapshot().apply(changeAt(1, {PutRow{grant}}));
    const auto withdrawn = granted->apply(changeAt(2, {DeleteRow{Table::Keys, "d1"}}));
    CHECK(granted->findKey(KeyDigest("d1")) != nullptr);
    CHECK(withdrawn->findKey(KeyDigest("d1")) == nullptr);
    CHECK(withdrawn->keyTable().size() == 0);
}
