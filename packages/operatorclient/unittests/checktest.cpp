#include <rhubarbtiller/operatorclient/commands.h>

#include <doctest/doctest.h>

#include <sstream>

using namespace rhubarbtiller;
using namespace rhubarbtiller::operatorclient;

// Guards against a folder of tables that is checked as a document, and against a check of a document that needs settings.
TEST_CASE("a folder is checked as tables, and any other path as a configuration document")
{
    std::vector<std::string> checked;
    const auto run = [&checked](const std::string &path) {
        std::ostringstream output;
        std::ostringstream errors;
        Options options;
        options.against = "in-force.json";
        return runCommand(
            {"check", path},
            options,
            [] {
                FAIL("a check needs no session");
                return nullptr;
            },
            {},
            [&checked](const std::string &file, const Options &given, std::ostream &, std::ostream &) {
                checked.push_back(file + " " + given.against);
                return ExitCode::Warnings;
            },
            output,
            errors);
    };
    CHECK(run("configuration.json") == ExitCode::Warnings);
    CHECK(checked == std::vector<std::string>{"configuration.json in-force.json"});
    // The root folder holds no tables.
    CHECK(run("/") == ExitCode::Invalid);
    CHECK(checked.size() == 1);
}
