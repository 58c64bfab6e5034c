#include <rhubarbtiller/balance/organisationquota.h>

#include <rhubarbtiller/base/random.h>
#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

#include <deque>

using namespace rhubarbtiller;
using namespace rhubarbtiller::balance;
using namespace std::chrono_literals;

static const OrganisationId Org("org");
constexpr auto Window = 5s;

static catalog::Catalog catalogWith(double rate, double burst)
{
    catalog::CatalogParts parts;
    parts.organisations.push_back({Org, {}, RequestRate(rate), RequestCount(burst)});
    return catalog::Catalog(std::move(parts));
}

/// Returns the most admissions in any span of one window.
static std::size_t mostInWindow(const std::vector<MonotonicTime> &admissions)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < admissions.size(); ++i) {
        while (admissions[i] - admissions[first] >= Window) {
            ++first;
        }
        most = std::max(most, i - first + 1);
    }
    return most;
}

TEST_CASE("an organisation without a rate is always admitted")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.configure(catalogWith(0, 0), clock.now());
    for (int i = 0; i < 1000; ++i) {
        CHECK_FALSE(quota.admit(Org, clock.now()).retryAfter);
    }
}

TEST_CASE("no window contains more admissions than rate times window plus burst")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.configure(catalogWith(20, 20), clock.now());
    std::vector<MonotonicTime> admissions;
    for (int i = 0; i < 6000; ++i) {
        if (!quota.admit(Org, clock.now()).retryAfter) {
            admissions.push_back(clock.now());
        }
        clock.advance(5ms);
        if (i % 30 == 0) {
            quota.takeReport();
        }
    }
    CHECK(mostInWindow(admissions) <= 120);
    // The rate has to be usable in full: six windows of about 120.
    CHECK(admissions.size() >= 600);
}

TEST_CASE("a refusal contains the delay until the next attempt")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.configure(catalogWith(1.9, 0.5), clock.now());
    const auto decision = quota.admit(Org, clock.now());
    REQUIRE(decision.retryAfter);
    CHECK(*decision.retryAfter > Duration(0));
    CHECK(*decision.retryAfter <= Window);
    // The rate has freed the admissions of half a second, the time that a process needs to start.
    CHECK(decision.used == doctest::Approx(9.05));
}

TEST_CASE("a new host assumes full use before its start and admits what the rate has freed since")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.configure(catalogWith(20, 20), clock.now());
    clock.advance(500ms);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        admitted += quota.admit(Org, clock.now()).retryAfter ? 0 : 1;
    }
    CHECK(admitted == 20);
}

TEST_CASE("a new host that receives reports of half of the others admits half of what the rate has freed")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.configure(catalogWith(20, 20), clock.now());
    quota.setRateShare(0.5, 1);
    clock.advance(500ms);
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
        admitted += quota.admit(Org, clock.now()).retryAfter ? 0 : 1;
    }
    CHECK(admitted == 10);
}

TEST_CASE("a cancelled admission does not count")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.configure(catalogWith(1, 0), clock.now());
    clock.advance(500ms);
    REQUIRE_FALSE(quota.admit(Org, clock.now()).retryAfter);
    REQUIRE(quota.admit(Org, clock.now()).retryAfter);
    quota.cancelAdmission(Org, clock.now());
    CHECK_FALSE(quota.admit(Org, clock.now()).retryAfter);
}

TEST_CASE("the first report of another host does not count what it admitted long ago")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.configure(catalogWith(20, 0), clock.now());
    clock.advance(10s);
    quota.onReport(HostId("other"), Incarnation(1), {{Org, 1000}}, clock.now());
    CHECK(quota.admit(Org, clock.now()).used == doctest::Approx(0));
    quota.onReport(HostId("other"), Incarnation(1), {{Org, 1010}}, clock.now());
    CHECK(quota.admit(Org, clock.now()).used == doctest::Approx(11));
    // A report that arrives out of order does not reduce the count.
    quota.onReport(HostId("other"), Incarnation(1), {{Org, 1005}}, clock.now());
    CHECK(quota.admit(Org, clock.now()).used == doctest::Approx(12));
}

TEST_CASE("a part of a partitioned fleet keeps to its share")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.configure(catalogWith(20, 20), clock.now());
    quota.setRateShare(1.0 / 3, 2);
    clock.advance(20s);
    std::vector<MonotonicTime> admissions;
    for (int i = 0; i < 4000; ++i) {
        if (!quota.admit(Org, clock.now()).retryAfter) {
            admissions.push_back(clock.now());
        }
        quota.takeReport();
        clock.advance(5ms);
    }
    CHECK(mostInWindow(admissions) <= 40);
}

namespace {

/// Six hosts that send each other reports with a delay, some of which are lost.
class QuotaFleet
{
public:
    QuotaFleet(testing::VirtualClock &timeSource, std::uint64_t seed, double lossShare)
        : clock(timeSource), random(seed), loss(lossShare), hosts(6, OrganisationQuota(Window))
    {
        for (auto &host : this->hosts) {
            host.configure(catalogWith(60, 60), this->clock.now());
            host.setRateShare(1, this->hosts.size());
        }
    }

    void step()
    {
        while (!this->inFlight.empty() && this->inFlight.front().arrivesAt <= this->clock.now()) {
            const auto &message = this->inFlight.front();
            this->hosts[message.to].onReport(hostId(message.from), this->incarnations[message.from], message.counts, this->clock.now());
            this->inFlight.pop_front();
        }
        this->queryWindowUses();
        for (std::size_t from = 0; from < this->hosts.size(); ++from) {
            const bool isDue = this->steps % 30 == from || (this->steps % 10 == 0 && this->hosts[from].hasUrgentReport());
            if (!isDue) {
                continue;
            }
            const auto counts = this->hosts[from].takeReport();
            for (std::size_t to = 0; to < this->hosts.size() && !counts.empty(); ++to) {
                if (to != from && static_cast<double>(this->random.below(1000)) >= this->loss * 1000) {
                    this->inFlight.push_back({from, to, this->clock.now() + 3ms, counts});
                }
            }
        }
        ++this->steps;
    }

    /// Replaces the first hosts by new processes without any counts.
    void restart(std::size_t count)
    {
        for (std::size_t host = 0; host < count; ++host) {
            this->hosts[host] = OrganisationQuota(Window);
            this->hosts[host].configure(catalogWith(60, 60), this->clock.now());
            this->hosts[host].setRateShare(1, this->hosts.size());
            this->incarnations[host] = Incarnation(this->incarnations[host].count() + 1);
        }
        std::erase_if(this->inFlight, [count](const Message &message) {
            return message.to < count || message.from < count;
        });
    }

    OrganisationQuota &randomHost()
    {
        return this->hosts[this->random.below(this->hosts.size())];
    }

private:
    struct Message
    {
        std::size_t from;
        std::size_t to;
        MonotonicTime arrivesAt;
        std::vector<AdmissionCount> counts;
    };

    static HostId hostId(std::size_t host)
    {
        return HostId(std::to_string(host));
    }

    /// Lets a host that needs window uses query a random other host, every 50 ms.
    void queryWindowUses()
    {
        const auto now = this->clock.now();
        for (std::size_t host = 0; host < this->hosts.size() && this->steps % 10 == 0; ++host) {
            const auto other = this->random.below(this->hosts.size());
            const auto uses = this->hosts[other].windowUses(now);
            if (other != host && this->hosts[host].needsWindowUses(now) && uses) {
                this->hosts[host].onWindowUses(hostId(other), this->incarnations[other], *uses, true, now);
            }
        }
    }

    testing::VirtualClock &clock;
    SeededRandom random;
    double loss;
    std::vector<OrganisationQuota> hosts;
    std::vector<Incarnation> incarnations = std::vector<Incarnation>(6, Incarnation(1));
    std::deque<Message> inFlight;
    std::size_t steps = 0;
};

} // namespace

TEST_CASE("six hosts together limit an overloading organisation to at most its limit plus a tenth and 20 requests")
{
    for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
        CAPTURE(seed);
        testing::VirtualClock clock;
        QuotaFleet fleet(clock, seed, 0.02);
        std::vector<MonotonicTime> admissions;
        int refused = 0;
        for (int i = 0; i < 4000; ++i) {
            fleet.step();
            // Low load for the first seconds, then five times the rate.
            const int arrivals = i < 1200 ? (i % 4 == 0 ? 1 : 0) : 2;
            for (int k = 0; k < arrivals; ++k) {
                if (fleet.randomHost().admit(Org, clock.now()).retryAfter) {
                    ++refused;
                } else {
                    admissions.push_back(clock.now());
                }
            }
            clock.advance(5ms);
        }
        const double limit = 60 * 5 + 60;
        CHECK(static_cast<double>(mostInWindow(admissions)) <= limit * 1.1 + 20);
        CHECK(refused > 0);
    }
}

TEST_CASE("six hosts refuse no request of an organisation that stays within its rate")
{
    for (const std::uint64_t seed : {11, 12, 13}) {
        CAPTURE(seed);
        testing::VirtualClock clock;
        QuotaFleet fleet(clock, seed, 0.02);
        int refused = 0;
        for (int i = 0; i < 4000; ++i) {
            fleet.step();
            if (i > 200 && i % 4 == 0) {
                refused += fleet.randomHost().admit(Org, clock.now()).retryAfter ? 1 : 0;
            }
            clock.advance(5ms);
        }
        CHECK(refused == 0);
    }
}

TEST_CASE("hosts that restart together after a burst take the used part of the limit from the answers of the others")
{
    for (const std::uint64_t seed : {21, 22, 23, 24, 25}) {
        CAPTURE(seed);
        testing::VirtualClock clock;
        QuotaFleet fleet(clock, seed, 0.02);
        std::vector<MonotonicTime> admissions;
        for (int i = 0; i < 4000; ++i) {
            // The burst uses the whole limit in one to two seconds.
            if (i == 1200 + 400) {
                fleet.restart(4);
            }
            fleet.step();
            const int arrivals = i < 1200 ? (i % 40 == 0 ? 1 : 0) : 2;
            for (int k = 0; k < arrivals; ++k) {
                if (!fleet.randomHost().admit(Org, clock.now()).retryAfter) {
                    admissions.push_back(clock.now());
                }
            }
            clock.advance(5ms);
        }
        const double limit = 60 * 5 + 60;
        CHECK(static_cast<double>(mostInWindow(admissions)) <= limit * 1.1 + 20);
    }
}

TEST_CASE("a host that begins to serve admits what is left according to the answers of the others")
{
    testing::VirtualClock clock;
    OrganisationQuota old(Window);
    old.configure(catalogWith(20, 20), clock.now());
    clock.advance(20s);
    for (int i = 0; i < 50; ++i) {
        REQUIRE_FALSE(old.admit(Org, clock.now()).retryAfter);
    }
    clock.advance(1s);
    OrganisationQuota fresh(Window);
    fresh.configure(catalogWith(20, 20), clock.now());
    REQUIRE(fresh.needsWindowUses(clock.now()));
    fresh.onWindowUses(HostId("old"), Incarnation(1), old.windowUses(clock.now()).value(), true, clock.now());
    CHECK_FALSE(fresh.needsWindowUses(clock.now()));
    CHECK(fresh.admit(Org, clock.now()).used == doctest::Approx(50));
    // The report contains admissions that the answer already contained.
    fresh.onReport(HostId("old"), Incarnation(1), old.takeReport(), clock.now());
    CHECK(fresh.admit(Org, clock.now()).used == doctest::Approx(51));
    clock.advance(4300ms);
    CHECK(fresh.admit(Org, clock.now()).used == doctest::Approx(2));
}

TEST_CASE("an organisation that a complete answer does not list used nothing")
{
    testing::VirtualClock clock;
    OrganisationQuota fresh(Window);
    fresh.configure(catalogWith(20, 20), clock.now());
    fresh.onWindowUses(HostId("old"), Incarnation(1), {}, false, clock.now());
    CHECK(fresh.admit(Org, clock.now()).used > 100);
    CHECK(fresh.needsWindowUses(clock.now()));
    fresh.onWindowUses(HostId("old"), Incarnation(1), {}, true, clock.now());
    CHECK(fresh.admit(Org, clock.now()).used < 20);
}

TEST_CASE("an answer of a host that has just started itself does not end the queries")
{
    testing::VirtualClock clock;
    OrganisationQuota first(Window);
    OrganisationQuota second(Window);
    first.configure(catalogWith(20, 20), clock.now());
    second.configure(catalogWith(20, 20), clock.now());
    second.onWindowUses(HostId("first"), Incarnation(1), first.windowUses(clock.now()).value(), true, clock.now());
    CHECK(second.needsWindowUses(clock.now()));
    CHECK(second.admit(Org, clock.now()).used > 100);
    clock.advance(1s);
    CHECK_FALSE(second.needsWindowUses(clock.now()));
}

TEST_CASE("a report that arrives before the catalog does not reduce the assumed use")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.onReport(HostId("other"), Incarnation(1), {{Org, 10, 2}}, clock.now());
    quota.configure(catalogWith(20, 20), clock.now());
    CHECK(quota.admit(Org, clock.now()).used >= 110);
}

TEST_CASE("the first report of another host counts what it admitted since its previous report")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.configure(catalogWith(20, 0), clock.now());
    clock.advance(10s);
    quota.onReport(HostId("other"), Incarnation(1), {{Org, 1000, 7}}, clock.now());
    CHECK(quota.admit(Org, clock.now()).used == doctest::Approx(7));
}

TEST_CASE("a host without a catalog returns no window uses")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    CHECK_FALSE(quota.windowUses(clock.now()).has_value());
    quota.configure(catalogWith(20, 20), clock.now());
    const auto uses = quota.windowUses(clock.now());
    REQUIRE(uses.has_value());
    CHECK(uses->size() == 1);
}

TEST_CASE("a change of role just after the start keeps the admissions freed during the restart")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.configure(catalogWith(20, 20), clock.now());
    clock.advance(100ms);
    quota.assumeFullUse(clock.now());
    CHECK(quota.needsWindowUses(clock.now()));
    CHECK(quota.admit(Org, clock.now()).used == doctest::Approx(108));
    clock.advance(2s);
    quota.assumeFullUse(clock.now());
    CHECK(quota.admit(Org, clock.now()).used == doctest::Approx(120));
}

TEST_CASE("a late first catalog does not prolong the assumption that the rate was used up before the start")
{
    testing::VirtualClock clock;
    clock.advance(10s);
    const auto admitted = [&clock](Duration delay) {
        OrganisationQuota quota(5s);
        const auto startedAt = clock.now();
        quota.setStart(startedAt);
        quota.configure(catalogWith(20, 0), startedAt + delay);
        int count = 0;
        while (!quota.admit(Org, startedAt + 1s).retryAfter) {
            ++count;
        }
        return count;
    };
    CHECK(admitted(0ms) > 0);
    CHECK(admitted(800ms) == admitted(0ms));
}

// A part of a partitioned fleet whose entry hosts are all on the other side does not know what they admitted just before the cut.
TEST_CASE("assumed use of a host that takes over in a part of its domain stays until the window has passed")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.configure(catalogWith(10, 0), clock.now());
    clock.advance(20s);
    quota.assumeFullUse(clock.now());
    quota.setDomainReach(0.5);
    clock.advance(4900ms);
    CHECK(quota.admit(Org, clock.now()).retryAfter);
    clock.advance(1200ms);
    CHECK_FALSE(quota.admit(Org, clock.now()).retryAfter);
}

// A start of all hosts after which one is missing must not stop all organisations for a window.
TEST_CASE("assumed use of a new process expires at the rate although hosts are lost")
{
    testing::VirtualClock clock;
    OrganisationQuota quota(Window);
    quota.configure(catalogWith(10, 0), clock.now());
    quota.setDomainReach(0.9);
    clock.advance(1s);
    CHECK_FALSE(quota.admit(Org, clock.now()).retryAfter);
}

// A host that began to serve in one part of a fleet ignored what hosts of the other part, unknown to it, had admitted in the last window.
TEST_CASE("a full report to a host that has received none before counts the admissions of the last window")
{
    testing::VirtualClock clock;
    OrganisationQuota sender(Window);
    OrganisationQuota receiver(Window);
    sender.configure(catalogWith(20, 20), clock.now());
    receiver.configure(catalogWith(20, 20), clock.now());
    clock.advance(20s);
    for (int second = 0; second < 10; ++second) {
        for (int i = 0; i < 4; ++i) {
            CHECK_FALSE(sender.admit(Org, clock.now()).retryAfter);
        }
        sender.takeReport();
        clock.advance(1s);
    }
    const auto report = sender.takeFullReport(clock.now());
    REQUIRE(report.size() == 1);
    CHECK(report.front().admitted == 40);
    receiver.onReport(HostId("sender"), Incarnation(1), report, clock.now());
    CHECK(receiver.admit(Org, clock.now()).used == doctest::Approx(20));
}
