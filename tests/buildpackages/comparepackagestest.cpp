#include <doctest/doctest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace {

struct Outcome
{
    int status = -1;
    std::string output;
};

} // namespace

static Outcome run(const std::string &command)
{
    Outcome outcome;
    std::FILE *const pipe = popen((command + " 2>&1").c_str(), "r");
    REQUIRE(pipe != nullptr);
    char buffer[4096];
    while (const auto count = std::fread(buffer, 1, sizeof(buffer), pipe)) {
        outcome.output.append(buffer, count);
    }
    const int status = pclose(pipe);
    outcome.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return outcome;
}

static bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

namespace {

/// A package database in a folder of its own, and the comparison against it.
class PackageDatabase
{
public:
    PackageDatabase()
    {
        std::string name = (std::filesystem::temp_directory_path() / "packagesXXXXXX").string();
        REQUIRE(mkdtemp(name.data()) != nullptr);
        this->folder = name;
        std::filesystem::create_directories(this->folder / "info");
        std::filesystem::create_directories(this->folder / "updates");
        std::ofstream(this->folder / "info" / "format") << "1\n";
    }

    ~PackageDatabase()
    {
        std::filesystem::remove_all(this->folder);
    }

    PackageDatabase(const PackageDatabase &) = delete;
    PackageDatabase &operator=(const PackageDatabase &) = delete;

    /// Installs a package with one file; \p fields are further fields of its entry, each with its line end.
    void install(const std::string &name, const std::string &file, const std::string &fields = {})
    {
        std::ofstream(this->folder / "status", std::ios::app)
            << "Package: " << name << "\nStatus: install ok installed\nMaintainer: tests\nArchitecture: all\nVersion: 1\n"
            << fields << "Description: of the tests\n\n";
        std::ofstream(this->folder / "info" / (name + ".list")) << "/.\n" << file << "\n";
    }

    /// Compares files, each with its user after a tab, with a list of packages.
    Outcome compare(const std::string &packages, const std::string &files) const
    {
        std::ofstream(this->folder / "used") << files;
        return run("DPKG_ADMINDIR='" + this->folder.string() + "' '" SOURCE_FOLDER "/scripts/compare-packages' " + packages + " <'"
                   + (this->folder / "used").string() + "'");
    }

private:
    std::filesystem::path folder;
};

/// A library whose headers need those of another package, which it only recommends.
class RecommendedHeaders : public PackageDatabase
{
public:
    RecommendedHeaders()
    {
        this->install("libwire-dev", "/usr/include/wire.h", "Depends: libwire1\nRecommends: libcast-dev\n");
        this->install("libwire1", "/usr/lib/libwire.so.1");
        this->install("libcast-dev", "/usr/include/cast.h", "Depends: libcast1-dev (= 1)\n");
        this->install("libcast1-dev", "/usr/include/cast1.h");
    }
};

} // namespace

TEST_CASE("files of a listed package and of what it depends on pass")
{
    RecommendedHeaders packages;
    const auto outcome = packages.compare("libwire-dev", "/usr/include/wire.h\tpeer.cpp\n/usr/lib/libwire.so.1\tthe link\n");
    CHECK(outcome.status == 0);
    CHECK(contains(outcome.output, "1 files of libwire1"));
}

TEST_CASE("a package that is installed but only recommended is named with the file and the source that needs it")
{
    RecommendedHeaders packages;
    const auto outcome = packages.compare("libwire-dev", "/usr/include/wire.h\tpeer.cpp\n/usr/include/cast1.h\tpeer.cpp\n");
    CHECK(outcome.status == 1);
    CHECK(contains(outcome.output, "package libcast1-dev is not listed: peer.cpp needs /usr/include/cast1.h"));
    CHECK_FALSE(contains(outcome.output, "libwire-dev is not listed"));
}

TEST_CASE("each package that is taken from the list is named")
{
    RecommendedHeaders packages;
    const std::string files = "/usr/include/wire.h\tpeer.cpp\n/usr/include/cast.h\tpeer.cpp\n";
    REQUIRE(packages.compare("libwire-dev libcast-dev", files).status == 0);
    const auto withoutCast = packages.compare("libwire-dev", files);
    CHECK(withoutCast.status == 1);
    CHECK(contains(withoutCast.output, "package libcast-dev is not listed: peer.cpp needs /usr/include/cast.h"));
    const auto withoutWire = packages.compare("libcast-dev", files);
    CHECK(withoutWire.status == 1);
    CHECK(contains(withoutWire.output, "package libwire-dev is not listed: peer.cpp needs /usr/include/wire.h"));
}

TEST_CASE("a file that no package holds fails")
{
    RecommendedHeaders packages;
    const auto outcome = packages.compare("libwire-dev", "/usr/local/include/local.h\tpeer.cpp\n");
    CHECK(outcome.status == 1);
    CHECK(contains(outcome.output, "no package holds /usr/local/include/local.h, which peer.cpp needs"));
}

TEST_CASE("of alternatives only the one that a clean machine installs counts")
{
    PackageDatabase packages;
    packages.install("tool", "/usr/bin/tool", "Depends: first | second\n");
    packages.install("first", "/usr/bin/first");
    packages.install("second", "/usr/bin/second");
    CHECK(packages.compare("tool", "/usr/bin/first\tbuild\n").status == 0);
    CHECK(packages.compare("tool", "/usr/bin/second\tbuild\n").status == 1);
}

TEST_CASE("a virtual package stands for those that provide it")
{
    PackageDatabase packages;
    packages.install("tool", "/usr/bin/tool", "Depends: service (>= 1)\n");
    packages.install("provider", "/usr/bin/provider", "Provides: service (= 2)\n");
    CHECK(packages.compare("tool", "/usr/bin/provider\tbuild\n").status == 0);
}

TEST_CASE("the base system needs no entry")
{
    PackageDatabase packages;
    packages.install("shell", "/bin/shell", "Essential: yes\nDepends: libshell\n");
    packages.install("libshell", "/lib/libshell.so");
    packages.install("required", "/usr/bin/required", "Priority: required\n");
    packages.install("optional", "/usr/bin/optional", "Priority: optional\n");
    CHECK(packages.compare("", "/bin/shell\tbuild\n/lib/libshell.so\tbuild\n/usr/bin/required\tbuild\n").status == 0);
    CHECK(packages.compare("", "/usr/bin/optional\tbuild\n").status == 1);
}

TEST_CASE("a path may be spelled with the link of the merged folders")
{
    PackageDatabase packages;
    packages.install("libold", "/lib/libold.so");
    packages.install("libnew", "/usr/lib/libnew.so");
    CHECK(packages.compare("libold libnew", "/usr/lib/libold.so\tthe link\n/lib/libnew.so\tthe link\n").status == 0);
    CHECK(packages.compare("libold", "/lib/libnew.so\tthe link\n").status == 1);
}

TEST_CASE("a listed package that is not installed fails")
{
    RecommendedHeaders packages;
    const auto outcome = packages.compare("libwire-dev libabsent-dev", "/usr/include/wire.h\tpeer.cpp\n");
    CHECK(outcome.status != 0);
    CHECK(contains(outcome.output, "package libabsent-dev is listed and not installed"));
}

TEST_CASE("the list of the deploy file is read")
{
    const auto outcome = run("'" SOURCE_FOLDER "/scripts/system-packages'");
    CHECK(outcome.status == 0);
    CHECK(contains("\n" + outcome.output, "\nlibthrift-dev\n"));
    CHECK(contains("\n" + outcome.output, "\nlibssl-dev\n"));
}

TEST_CASE("the build has neither a network nor root powers")
{
    const std::string offline = "'" OFFLINE_PROGRAM "' 65534 ";
    const auto user = run(offline + "id -u");
    CHECK(user.status == 0);
    CHECK(user.output != "0\n");
    const auto connection = run(offline + "bash -c 'exec 3<>/dev/tcp/127.0.0.1/9'");
    CHECK(connection.status != 0);
    CHECK(contains(connection.output, "Permission denied"));
    CHECK(run("'" OFFLINE_PROGRAM "' 0 true").status != 0);
}
