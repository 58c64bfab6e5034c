#include <rhubarbtiller/routing/keyextractor.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::routing;

// Guards against a key that reaches a backend server in a header of another case, a duplicate or the query.
TEST_CASE("the key is removed in every form")
{
    Headers headers = {{"aUTHORIZATION", "bearer  s3cret"},
                       {"x-api-KEY", "s3cret"},
                       {"X-Api-Key", "s3cret"},
                       {"Referer", "http://app/?k=s3cret"},
                       {"X-Encoded", "s%33cret"},
                       {"Accept", "*/*"}};
    std::string target = "/forecast/north?day=2&API%5fkey=s3cret&hour=4";
    const auto key = extractKey(headers, target, "");
    CHECK(key.fault == Reason::None);
    REQUIRE(key.digest);
    CHECK(*key.digest == digestOfKey("s3cret"));
    CHECK(headers == Headers{{"Accept", "*/*"}});
    CHECK(target == "/forecast/north?day=2&hour=4");
}

// Guards against a request that runs for one organisation while it carries the key of another.
TEST_CASE("two different keys are refused")
{
    Headers headers = {{"X-Api-Key", "one"}, {"Authorization", "Bearer two"}};
    std::string target = "/";
    CHECK(extractKey(headers, target, "").fault == Reason::AmbiguousKey);
    CHECK(headers.empty());
}

// Guards against a key that reaches a backend server inside the path or the body.
TEST_CASE("a key in the path or body is refused")
{
    Headers headers = {{"X-Api-Key", "s3cret"}};
    std::string target = "/forecast/s3cret";
    CHECK(extractKey(headers, target, "").fault == Reason::KeyInContent);
    headers = {{"X-Api-Key", "s3cret"}};
    target = "/forecast";
    CHECK(extractKey(headers, target, R"({"key":"s3cret"})").fault == Reason::KeyInContent);
}

// Guards against a caller without a key that is taken for one with an empty key.
TEST_CASE("an empty key counts as none")
{
    Headers headers = {{"X-Api-Key", ""}, {"Authorization", "Basic abc"}};
    std::string target = "/?api_key=";
    const auto key = extractKey(headers, target, "");
    CHECK_FALSE(key.digest);
    CHECK(key.fault == Reason::None);
    CHECK(headers.empty());
    CHECK(target == "/");
}
