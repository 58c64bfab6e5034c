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

/// Sends the heartbeats of nine other hosts to a standby host; the first two are entry hosts.
class Domain
{
public:
    Domain()
    {
        for (int i = 0; i < 9; ++i) {
            HostRecord record;
            record.id = HostId("h" + std::to_string(i));
            record.incarnation = Incarnation(1);
            record.isEntry = i < 2;
            record.heartbeatInterval = record.isEntry ? EntryInterval : StandbyInterval;
            this->records.push_back(record);
        }
        this->reach.onOwnInterval(StandbyInterval);
        this->run(10s);
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
    DomainReach reach{Window, 2};
    std::vector<HostRecord> records;
    std::vector<bool> silent = std::vector<bool>(9);
};

} // namespace

TEST_CASE("a host that receives all heartbeats of its domain may use all of its limits")
{
    const Domain domain;
    CHECK(domain.share() == 1);
}

// The lost entry hosts may go on to admit requests on the other side of a partition, whoever takes the role on this side.
TEST_CASE("a lost entry host keeps its portion of the limits although it is replaced")
{
    Domain domain;
    domain.silence(0, 1);
    domain.run(1250ms);
    CHECK(domain.share() == 0.5);
    domain.records[2].isEntry = true;
    domain.records[2].heartbeatInterval = EntryInterval;
    domain.run(2s);
    CHECK(domain.share() == 0.5);
}

// Until it counts as unreachable, both parts of a fleet would go on to use the whole limits for a second.
TEST_CASE("the portion of an entry host is withheld after two missed heartbeats, and given back with the next one")
{
    Domain domain;
    domain.silence(0, 1);
    // The last heartbeat was 250 ms before.
    domain.run(250ms);
    CHECK(domain.share() == 1);
    domain.run(250ms);
    CHECK(domain.share() == 0.5);
    domain.silence(0, 1, false);
    domain.run(250ms);
    CHECK(domain.share() == 1);
}

TEST_CASE("a part of a domain without its entry hosts gets a portion by its size after the others have counted it as lost")
{
    Domain domain;
    domain.silence(0, 7);
    domain.run(1250ms);
    CHECK(domain.share() == 0);
    // The other hosts notice the loss of the last standby host after this time, and use less for a window before this part uses more.
    domain.run(4 * StandbyInterval + Window - 1s);
    CHECK(domain.share() == 0);
    domain.run(2s);
    CHECK(domain.share() == doctest::Approx(0.3));
}

TEST_CASE("a part of a domain with its entry hosts leaves the others their portion")
{
    Domain domain;
    domain.silence(5, 9);
    // The last heartbeats are valid for three to four intervals more.
    domain.run(4s);
    CHECK(domain.share() == 1);
    domain.run(2250ms);
    CHECK(domain.share() == doctest::Approx(0.6));
    domain.run(60s);
    CHECK(domain.share() == doctest::Approx(0.6));
}

// What a host admitted while it was out of reach is in the window, but was reported to nobody on this side.
TEST_CASE("the portion of a host that returns stays withheld for a window")
{
    Domain domain;
    domain.silence(0, 1);
    domain.run(3s);
    domain.silence(0, 1, false);
    domain.run(Window - 250ms);
    CHECK(domain.share() == 0.5);
    domain.run(500ms);
    CHECK(domain.share() == 1);
}

TEST_CASE("a host that has taken the role while it was out of reach is withheld as the standby host that it was")
{
    Domain domain;
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
    Domain domain;
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
    Domain domain;
    domain.records[0].isLeaving = true;
    domain.run(250ms);
    domain.silence(0, 1);
    domain.run(20s);
    CHECK(domain.share() == 1);
}

TEST_CASE("a host that ended without notice is counted until partitions have usually ended")
{
    Domain domain;
    domain.silence(8, 9);
    domain.run(5min);
    CHECK(domain.share() == doctest::Approx(0.9));
    domain.run(6min);
    CHECK(domain.share() == 1);
}
