#include <rhubarbtiller/catalog/servertable.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::catalog;

static Route route(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route result;
    result.name = RouteName(name);
    result.virtualHost = host;
    result.prefix = prefix;
    result.weightedServices.push_back({ServiceName("service"), 1});
    return result;
}

static Catalog exampleCatalog()
{
    CatalogParts parts;
    parts.version = ConfigVersion(7);
    parts.routes = {route("root", "a.example", "/"),
                    route("deep", "a.example", "/x/y/"),
                    route("short", "a.example", "/x/"),
                    route("other", "b.example", "/x/")};
    parts.services.push_back({ServiceName("service"), RequestRate(2)});
    parts.organisations.push_back({OrganisationId("org"), 1, RequestRate(5), RequestCount(3)});
    parts.keys.emplace_back("key-1", 0);
    parts.keys.emplace_back("key-2", 0);
    return Catalog(std::move(parts));
}

TEST_CASE("the route with the longest prefix of the path on its virtual host is chosen")
{
    const auto catalog = exampleCatalog();
    CHECK(catalog.findRoute("a.example", "/x/y/z")->name.text() == "deep");
    CHECK(catalog.findRoute("a.example", "/x/yz")->name.text() == "short");
    CHECK(catalog.findRoute("a.example", "/x")->name.text() == "root");
    CHECK(catalog.findRoute("b.example", "/x/y/z")->name.text() == "other");
}

TEST_CASE("a path that matches no prefix has no route")
{
    const auto catalog = exampleCatalog();
    CHECK(catalog.findRoute("b.example", "/y") == nullptr);
    CHECK(catalog.findRoute("c.example", "/x/") == nullptr);
    CHECK(catalog.findRoute("a.example", "") == nullptr);
}

TEST_CASE("each key maps to its organisation and an unknown key to none")
{
    const auto catalog = exampleCatalog();
    CHECK(catalog.findOrganisation("key-2")->id.text() == "org");
    CHECK(catalog.findOrganisation("key-3") == nullptr);
}

TEST_CASE("a server table lists the servers of each service")
{
    ServerEntry first;
    first.id = BackendServerId("s1");
    first.service = ServiceName("one");
    auto second = first;
    second.id = BackendServerId("s2");
    second.service = ServiceName("two");
    const ServerTable table({first, second});
    REQUIRE(table.serversOf(ServiceName("two")).size() == 1);
    CHECK(table.entries()[table.serversOf(ServiceName("two")).front()].id.text() == "s2");
    CHECK(table.serversOf(ServiceName("three")).empty());
}
