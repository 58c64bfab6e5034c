#include <rhubarbtiller/settings/settings.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::settings;

static const char *const Complete = R"({
    // Comments are allowed.
    "id": "h1", "failureDomain": "a",
    "callerAddress": "127.0.0.1:0", "peerAddress": "127.0.0.1:0", "operatorAddress": "[::1]:0",
    "peerCredential": "0123456789abcdef", "operatorCredential": "fedcba9876543210",
    "platform": {"tableAddress": "127.0.0.1:1", "objectAddress": "127.0.0.1:1", "hostListAddress": "127.0.0.1:1"}
})";

// Guards against a host that starts with a setting it silently ignored.
TEST_CASE("unknown and wrong settings are reported with their path and the allowed values")
{
    config::Problems problems;
    REQUIRE(parseHostSettings(Complete, problems));

    std::string wrong(Complete);
    wrong.replace(wrong.find("\"h1\""), 4, "\"h1\", \"thraeds\": 2, \"threads\": 0");
    CHECK_FALSE(parseHostSettings(wrong, problems));
    REQUIRE(problems.size() == 2);
    CHECK(problems[0].describe() == "settings.threads: value is not allowed: 0 (allowed: a whole number from 1 to 64)");
    CHECK(problems[1].path == "settings.thraeds");
}

// Guards against a credential that shows up in the report of a fault.
TEST_CASE("faults in credentials do not show the credential")
{
    config::Problems problems;
    std::string wrong(Complete);
    wrong.replace(wrong.find("fedcba9876543210"), 16, "short");
    CHECK_FALSE(parseHostSettings(wrong, problems));
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].describe().find("short") == std::string::npos);
}
