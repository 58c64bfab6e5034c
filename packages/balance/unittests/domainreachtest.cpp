#include <rhubarbtiller/balance/domainreach.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

namespace {

constexpr Duration Window = 5s;
constexpr Duration EntryInterval = 250ms;
constexpr Duration StandbyInterval = 1500ms;
constexpr Incarnation Own(10);

/// Sends the heartbeats of nine other hosts to a host; the first two are entry hosts, and so is the host itself if \p isEntry.
class Domain
{
public:
    explicit Domain(bool isEntry)
    {
        for (int i = 0; i < 9; ++i) {
            HostRecord record;
            record.id = HostId("h" + std::to_string(i));
            record.incarnation = Incarnation(1);
            record.isEntry = i < 2;
            this->records.push_back(record);
        }
        this->setRole(isEntry);
        this->run(10s);
    }

    /// Hosts send frequent heartbeats to entry hosts.
    void setRole(bool isEntry)
    {
        this->reach.setOwnRole(isEntry, this->clock.now());
        for (auto &record : this->records) {
            record.heartbeatInterval = isEntry || record.isEntry ? EntryInterval : StandbyInterval;
        }
    }

    /// Plays heartbeats of the hosts that are not silent.
    void run(Duration time)
    {
        for (const auto end = this->clock.now() + time; this->clock.now() < end; this->clock.advance(EntryInterval)) {
            for (std::size_t i = 0; i < this->records.size(); ++i) {
                const bool isDue = (this->clock.now() - MonotonicTime()) % this->records[i].heartbeatInterval < EntryInterval;
                if (isDue && !this->silent[i]) {
                    this->reach.onHeartbeat(this->records[i], this->clock.now());
                }
            }
        }
    }

    void silence(std::size_t first, std::size_t last, bool isSilent = true)
    {
        std::fill(
            this->silent.begin() + static_cast<std::ptrdiff_t>(first), this->silent.begin() + static_cast<std::ptrdiff_t>(last), isSilent);
    }

    double share() const
    {
        return this->reach.share(this->clock.now());
    }

    testing::VirtualClock clock;
    DomainReach reach{Own, Window};
    std::vector<HostRecord> records;
    std::vector<bool> silent = std::vector<bool>(9);
};

} // namespace

TEST_CASE("a host that receives all heartbeats of its domain may use all of its limits")
{
    CHECK(Domain(true).share() == 1);
    CHECK(Domain(false).share() == 1);
}

// The lost hosts may go on to admit requests on the other side of a partition, whoever takes their role on this side.
TEST_CASE("a lost host keeps its portion of the limits although it is replaced")
{
    Domain domain(true);
    domain.silence(0, 1);
    domain.run(1250ms);
    CHECK(domain.share() == doctest::Approx(0.9));
    domain.records[2].isEntry = true;
    domain.run(2s);
    CHECK(domain.share() == doctest::Approx(0.9));
}

// Until the loss is noticed, both parts of a fleet go on to use the whole limits.
TEST_CASE("the portion of a host is withheld after two missed heartbeats, and given back with the next one")
{
    Domain domain(true);
    domain.silence(0, 5);
    // The last heartbeat was 250 ms before.
    domain.run(250ms);
    CHECK(domain.share() == 1);
    domain.run(250ms);
    CHECK(domain.share() == doctest::Approx(0.5));
    domain.silence(0, 5, false);
    domain.run(250ms);
    CHECK(domain.share() == 1);
}

// A part without the entry hosts got nothing for 7 to 12 s, since the others noticed its loss that late.
TEST_CASE("a part of a domain without its entry hosts gets the portion of its hosts once its new entry host has counted them")
{
    Domain domain(false);
    domain.silence(0, 6);
    domain.run(1250ms);
    CHECK(domain.share() == 0);
    domain.setRole(true);
    domain.run(500ms);
    CHECK(domain.share() == 0);
    domain.run(250ms);
    CHECK(domain.share() == doctest::Approx(0.4));
    domain.run(60s);
    CHECK(domain.share() == doctest::Approx(0.4));
}

// Hosts that a new entry host knows only by the rare heartbeats of standby hosts may be on the other side.
TEST_CASE("a new entry host does not count hosts without frequent heartbeats")
{
    Domain domain(false);
    domain.run(1s);
    domain.setRole(true);
    for (auto &record : domain.records) {
        record.heartbeatInterval = record.isEntry ? EntryInterval : StandbyInterval;
    }
    domain.run(30s);
    CHECK(domain.share() <= doctest::Approx(0.3));
}

TEST_CASE("a standby host uses what the entry hosts announce, and nothing while they are out of reach")
{
    Domain domain(false);
    domain.records[0].reachPermille = 700;
    // A new entry host has nothing to announce yet.
    domain.records[1].reachPermille = 0;
    domain.run(500ms);
    CHECK(domain.share() == doctest::Approx(0.7));
    domain.silence(0, 2);
    domain.run(500ms);
    CHECK(domain.share() == 0);
}

// It counts only the hosts whose heartbeats it has received, so that it would use the whole limit in a part of the fleet.
TEST_CASE("a process that started after a loss takes the lower figure of an older entry host")
{
    Domain domain(true);
    domain.records[0].reachPermille = 500;
    domain.run(500ms);
    CHECK(domain.share() == doctest::Approx(0.5));
    // Two entry hosts must not keep each other's figure low.
    domain.records[0].incarnation = Incarnation(11);
    domain.run(500ms);
    CHECK(domain.share() == 1);
}

// Its entry hosts may all have started after the loss, while standby hosts have not.
TEST_CASE("a process that started after a loss takes the larger number of hosts that another host has counted")
{
    Domain domain(true);
    domain.records[7].domainHosts = 20;
    domain.run(500ms);
    CHECK(domain.share() == doctest::Approx(0.5));
    CHECK(domain.reach.countedHosts(domain.clock.now()) == 10);
    domain.silence(7, 8);
    domain.run(1250ms);
    CHECK(domain.share() == doctest::Approx(0.9));
}

TEST_CASE("hosts that start inside a part of a domain do not raise its portion")
{
    Domain domain(true);
    domain.silence(0, 5);
    domain.run(2s);
    CHECK(domain.share() == doctest::Approx(0.5));
    for (int i = 0; i < 5; ++i) {
        domain.records.push_back(domain.records[5]);
        domain.records.back().id = HostId("new" + std::to_string(i));
        domain.silent.push_back(false);
    }
    domain.run(30s);
    CHECK(domain.share() == doctest::Approx(0.5));
    // Hosts whose names change with each start would otherwise not count for ten minutes.
    domain.run(31s);
    CHECK(domain.share() == doctest::Approx(10.0 / 15));
}

// What a host admitted while it was out of reach is in the window, but was reported to nobody on this side.
TEST_CASE("the portion of a host that returns stays withheld for a window")
{
    Domain domain(true);
    domain.silence(0, 1);
    domain.run(3s);
    domain.silence(0, 1, false);
    domain.run(Window - 250ms);
    CHECK(domain.share() == doctest::Approx(0.9));
    domain.run(500ms);
    CHECK(domain.share() == 1);
}

TEST_CASE("a host that has taken the role while it was out of reach is withheld as one host")
{
    Domain domain(true);
    domain.silence(8, 9);
    domain.run(10s);
    domain.records[8].isEntry = true;
    domain.silence(8, 9, false);
    domain.run(2s);
    CHECK(domain.share() == doctest::Approx(0.9));
}

// The process before it has ended and admits nothing any more.
TEST_CASE("a host that starts again gives its portion back at once")
{
    Domain domain(true);
    domain.silence(0, 1);
    domain.run(3s);
    domain.records[0].incarnation = Incarnation(2);
    domain.records[0].isEntry = false;
    domain.silence(0, 1, false);
    domain.run(250ms);
    CHECK(domain.share() == 1);
}

TEST_CASE("a host that leaves as planned gives its portion back at once")
{
    Domain domain(true);
    domain.records[0].isLeaving = true;
    domain.run(250ms);
    domain.silence(0, 1);
    domain.run(20s);
    CHECK(domain.share() == 1);
}

TEST_CASE("a host that ended without notice is counted until partitions have usually ended")
{
    Domain domain(true);
    domain.silence(8, 9);
    domain.run(5min);
    CHECK(domain.share() == doctest::Approx(0.9));
    domain.run(6min);
    CHECK(domain.share() == 1);
}
