#include "slotchecker.h"

#include <rhubarbtiller/health/serverslots.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <random>

using namespace rhubarbtiller;
using namespace rhubarbtiller::health;
using namespace rhubarbtiller::health::testing;
using namespace std::chrono_literals;

namespace {

/// Mechanisms that can be taken out to show that the checker notices.
struct SlotMechanisms
{
    /// A new owner waits for the requests of the previous one.
    bool holdsBack = true;
    /// Signs of a restart reach the slots.
    bool reportsRestartSigns = true;
    /// The cold limit holds after an idle time.
    bool checksIdle = true;
    /// An owner stops at the deadline of its votes.
    bool endsOwnership = true;
    /// A handover tells the requests that still run.
    bool countsHandedOver = true;
    /// The slow start takes longer than the warm-up of the server.
    bool hasWarmUpMargin = true;
    /// The limit starts at the cold slots.
    bool startsCold = true;
};

struct Flight
{
    SlotLease lease;
    std::size_t host = 0;
    MonotonicTime sendAt;
    MonotonicTime readyAt;
    MonotonicTime startedAt;
    MonotonicTime endsAt;
    bool isSent = false;
    /// Set when the host can learn the outcome.
    std::optional<MonotonicTime> answerAt;
    SlotOutcome outcome = SlotOutcome::Success;
};

struct OwnerHost
{
    std::unique_ptr<ServerSlots> slots;
    MonotonicTime pausedUntil;
};

/// Plays one backend server with changing owners, pauses and cold restarts.
class SlotHistory
{
public:
    static constexpr std::size_t HostCount = 3;
    static constexpr Duration Step = 5ms;
    static constexpr Duration Vote = 3s;
    static constexpr Duration TimeLimit = 2s;
    static constexpr Duration WarmAnswer = 60ms;
    static constexpr int ColdFactor = 5;

    SlotHistory(std::uint64_t seed, SlotMechanisms inForce) : random(seed), mechanisms(inForce)
    {
        this->pool.slotsPerServer = SlotCount(4);
        this->pool.coldSlots = SlotCount(this->mechanisms.startsCold ? 1 : 4);
        this->pool.warmUpTime = 6s;
        SlotSettings settings;
        settings.idleBeforeCheck = this->mechanisms.checksIdle ? settings.idleBeforeCheck : Duration(1h);
        settings.warmUpMargin = this->mechanisms.hasWarmUpMargin ? settings.warmUpMargin : 0.75;
        for (OwnerHost &host : this->hosts) {
            host.slots = std::make_unique<ServerSlots>(settings);
        }
        // Calm histories reach the full limit, rough ones combine faults.
        constexpr std::array<Duration, 3> Means{6s, 15s, 50s};
        this->meanPause = Means[this->below(Means.size())];
        this->meanRestart = Means[this->below(Means.size())];
        this->meanHandOver = Means[this->below(Means.size())];
    }

    std::vector<SlotEvent> play()
    {
        this->record(SlotEvent::Kind::Bears, this->bears());
        const MonotonicTime end = this->now + 120s;
        this->takeOver(0, this->now);
        while (this->now < end) {
            this->now += Step;
            this->runServer();
            this->pauseHosts();
            this->answer();
            this->moveOwnership();
            this->offer();
            this->sendGranted();
        }
        return this->events;
    }

    std::size_t startCount() const
    {
        return static_cast<std::size_t>(std::count_if(this->events.begin(), this->events.end(), [](const SlotEvent &event) {
            return event.kind == SlotEvent::Kind::Start;
        }));
    }

    std::uint32_t mostRunning() const
    {
        return this->most;
    }

private:
    double uniform()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    }

    std::size_t below(std::size_t bound)
    {
        return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->random);
    }

    bool happens(Duration mean)
    {
        return this->uniform() < static_cast<double>(Step.count()) / static_cast<double>(mean.count());
    }

    Duration between(Duration shortest, Duration longest)
    {
        return shortest + std::chrono::duration_cast<Duration>((longest - shortest) * this->uniform());
    }

    bool isPaused(std::size_t host) const
    {
        return this->hosts[host].pausedUntil > this->now;
    }

    std::uint32_t bears() const
    {
        const double share = std::min(1.0, this->warmSeconds / 6.0);
        return 1 + static_cast<std::uint32_t>(std::floor(3 * share));
    }

    void record(SlotEvent::Kind kind, std::uint32_t bears = 0)
    {
        this->events.push_back(SlotEvent{this->now, kind, bears});
    }

    /// The server warms up while it works, and restarts cold from time to time.
    void runServer()
    {
        const std::uint32_t before = this->bears();
        if (this->running > 0) {
            this->warmSeconds += std::chrono::duration<double>(Step).count();
        }
        if (this->restartsNow || this->happens(this->meanRestart)) {
            this->restartsNow = false;
            this->record(SlotEvent::Kind::Restart);
            this->running = 0;
            this->warmSeconds = 0;
            this->downUntil = this->now + this->between(1050ms, 2s);
            for (Flight &flight : this->flights) {
                if (flight.isSent && !flight.answerAt) {
                    flight.answerAt = this->now + this->between(1ms, 3ms);
                    flight.outcome = SlotOutcome::ConnectionReset;
                }
            }
        }
        if (this->bears() != before) {
            this->record(SlotEvent::Kind::Bears, this->bears());
        }
        for (Flight &flight : this->flights) {
            const bool isAtServer = flight.isSent && !flight.answerAt;
            if (isAtServer && (flight.endsAt <= this->now || flight.lease.deadline <= this->now)) {
                flight.answerAt = this->now + this->between(1ms, 3ms);
                flight.outcome = flight.endsAt < flight.lease.deadline ? SlotOutcome::Success : SlotOutcome::Failure;
                --this->running;
                this->record(SlotEvent::Kind::End);
            }
        }
    }

    void pauseHosts()
    {
        for (OwnerHost &host : this->hosts) {
            if (host.pausedUntil <= this->now && this->happens(this->meanPause)) {
                host.pausedUntil = this->now + this->between(0s, 8s);
            }
        }
    }

    /// Gives the outcomes to the hosts, which learn them as soon as they are not paused.
    void answer()
    {
        std::vector<Flight> answered;
        std::erase_if(this->flights, [&](const Flight &flight) {
            const bool isKnown = flight.answerAt && *flight.answerAt <= this->now && !this->isPaused(flight.host);
            if (isKnown) {
                answered.push_back(flight);
            }
            return isKnown;
        });
        for (const Flight &flight : answered) {
            const bool isSign = flight.outcome == SlotOutcome::ConnectionReset || flight.outcome == SlotOutcome::ConnectionRefused;
            const SlotOutcome seen = isSign && !this->mechanisms.reportsRestartSigns ? SlotOutcome::Failure : flight.outcome;
            this->hosts[flight.host].slots->release(flight.lease, seen, this->now - flight.sendAt, this->now);
        }
    }

    void takeOver(std::size_t host, MonotonicTime takeOverAt)
    {
        this->owner = host;
        this->ownedUntil = this->now + Vote;
        this->hasLostVotes = false;
        this->hosts[host].slots->takeOver(BackendServerId("s"), this->pool, takeOverAt, this->lease(), this->now);
    }

    MonotonicTime lease() const
    {
        return this->mechanisms.endsOwnership ? this->ownedUntil : this->now + 1h;
    }

    /// Stands in for the vote leases: a next owner exists only after the deadline of the previous one, or by handover.
    void moveOwnership()
    {
        if (this->ownedUntil <= this->now) {
            const std::size_t next = this->below(HostCount);
            if (this->isPaused(next)) {
                return;
            }
            // The previous owner may have granted until its deadline, and its requests may run for their time limit.
            this->takeOver(next, this->mechanisms.holdsBack ? this->ownedUntil + TimeLimit : this->now);
            return;
        }
        if (this->isPaused(this->owner)) {
            return;
        }
        ServerSlots &slots = *this->hosts[this->owner].slots;
        const std::size_t next = this->below(HostCount);
        if (this->happens(this->meanHandOver) && next != this->owner && !this->isPaused(next)) {
            auto handOver = slots.handOver(BackendServerId("s"), this->now);
            if (handOver) {
                handOver->running = this->mechanisms.countsHandedOver ? handOver->running : SlotCount(0);
                this->owner = next;
                this->hasLostVotes = false;
                this->ownedUntil = this->now + Vote;
                this->hosts[next].slots->receive(BackendServerId("s"), this->pool, *handOver, this->lease(), this->now);
            }
            return;
        }
        // Votes that are lost without a pause are not renewed.
        const bool isRenewal = this->ownedUntil - this->now <= 2s;
        this->hasLostVotes = this->hasLostVotes || (isRenewal && this->happens(200ms));
        if (!this->hasLostVotes && isRenewal) {
            this->ownedUntil = this->now + Vote;
            slots.extendOwnership(BackendServerId("s"), this->lease(), this->now);
        }
    }

    /// Sends requests to the owner and to a host that still believes that it is the owner; with quiet times in between.
    void offer()
    {
        if (this->happens(3s)) {
            this->isQuiet = this->uniform() < 0.25;
        }
        for (std::size_t index = 0; index < HostCount; ++index) {
            if (this->isPaused(index)) {
                continue;
            }
            if (!this->isQuiet && this->uniform() < 0.15) {
                const SlotRequest request{OrganisationId(std::to_string(this->below(3))), this->now + this->between(200ms, TimeLimit)};
                this->hosts[index].slots->acquire(BackendServerId("s"), request, this->now, [this, index](Result<SlotLease> result) {
                    if (result) {
                        Flight flight;
                        flight.lease = *result;
                        flight.host = index;
                        flight.sendAt = this->now;
                        flight.readyAt = this->now + this->between(0ms, 20ms);
                        this->flights.push_back(flight);
                        if (this->uniform() < 0.002) {
                            // A pause between the grant and the sending of the request.
                            this->hosts[index].pausedUntil = this->now + this->between(1s, 3s);
                            this->restartsNow = this->uniform() < 0.5;
                        }
                    }
                });
            }
            this->hosts[index].slots->advance(this->now);
        }
    }

    void sendGranted()
    {
        for (Flight &flight : this->flights) {
            if (flight.isSent || flight.answerAt || flight.readyAt > this->now || this->isPaused(flight.host)) {
                continue;
            }
            if (flight.lease.sendBy <= this->now) {
                flight.answerAt = this->now;
                flight.outcome = SlotOutcome::NotSent;
                continue;
            }
            if (this->now < this->downUntil) {
                flight.answerAt = this->now + 1ms;
                flight.outcome = SlotOutcome::ConnectionRefused;
                continue;
            }
            flight.isSent = true;
            const bool isCold = this->bears() < 4;
            flight.endsAt = this->now + this->between(WarmAnswer, WarmAnswer * 3 / 2) * (isCold ? ColdFactor : 1);
            if (this->uniform() < 0.02) {
                // Some requests hang until their deadline.
                flight.endsAt = flight.lease.deadline;
            }
            this->record(SlotEvent::Kind::Start);
            this->most = std::max(this->most, ++this->running);
        }
    }

    std::mt19937_64 random;
    Duration meanPause{};
    Duration meanRestart{};
    Duration meanHandOver{};
    SlotMechanisms mechanisms;
    config::Pool pool;
    MonotonicTime now{1h};
    std::array<OwnerHost, HostCount> hosts;
    std::size_t owner = 0;
    MonotonicTime ownedUntil;
    bool hasLostVotes = false;
    bool isQuiet = false;
    bool restartsNow = false;
    std::vector<Flight> flights;
    std::vector<SlotEvent> events;
    std::uint32_t running = 0;
    std::uint32_t most = 0;
    double warmSeconds = 0;
    MonotonicTime downUntil;
};

} // namespace

constexpr std::uint64_t MostHistories = 300;

/// Returns the seed of the first history that overloads the server.
static std::optional<std::uint64_t> firstOverload(const SlotMechanisms &mechanisms, std::uint64_t mostHistories)
{
    for (std::uint64_t seed = 1; seed <= mostHistories; ++seed) {
        if (findOverload(SlotHistory(seed, mechanisms).play())) {
            return seed;
        }
    }
    return std::nullopt;
}

// Guards against a checker that passes everything.
TEST_CASE("the slot checker finds overloads in hand-made histories")
{
    using Kind = SlotEvent::Kind;
    const MonotonicTime at(1h);
    CHECK_FALSE(findOverload({{at, Kind::Bears, 1}, {at, Kind::Start}, {at, Kind::End}, {at, Kind::Start}}));
    CHECK(findOverload({{at, Kind::Bears, 1}, {at, Kind::Start}, {at, Kind::Start}}));
    CHECK(findOverload({{at, Kind::Start}}));
    // Requests that run when the server is lost do not count at the restarted one.
    CHECK_FALSE(findOverload(
        {{at, Kind::Bears, 2}, {at, Kind::Start}, {at, Kind::Start}, {at, Kind::Restart}, {at, Kind::Bears, 1}, {at, Kind::Start}}));
    CHECK(findOverload({{at, Kind::Bears, 2}, {at, Kind::Restart}, {at, Kind::Bears, 1}, {at, Kind::Start}, {at, Kind::Start}}));
}

// Guards against more load than a server bears, across changes of owner, pauses and cold restarts (I6).
TEST_CASE("slots never overload a server in fixed histories")
{
    std::size_t starts = 0;
    std::uint32_t most = 0;
    for (const std::uint64_t seed : {5, 1234, 777, 20261204}) {
        MESSAGE("seed " << seed);
        SlotHistory history(seed, {});
        const auto overload = findOverload(history.play());
        CHECK_MESSAGE(!overload, "seed=" << seed << " " << overload.value_or(""));
        starts += history.startCount();
        most = std::max(most, history.mostRunning());
    }
    MESSAGE("requests " << starts << ", most at the same time " << most);
    // Without load and without warm servers the property would hold trivially.
    CHECK(starts > 500);
    CHECK(most == 4);
}

TEST_CASE("slots never overload a server in generated histories")
{
    CHECK(rc::check("slots", [](std::uint64_t seed) {
        const auto overload = findOverload(SlotHistory(seed, {}).play());
        if (overload) {
            RC_LOG() << "seed=" << seed << " " << *overload;
        }
        RC_ASSERT(!overload);
    }));
}

// Guards against histories that are too tame to need a mechanism.
TEST_CASE("without one of the mechanisms a server is overloaded")
{
    CHECK_FALSE(firstOverload({}, 20));
    const auto without = [](const std::string &name, bool SlotMechanisms::*mechanism) {
        SlotMechanisms mechanisms;
        mechanisms.*mechanism = false;
        const auto seed = firstOverload(mechanisms, MostHistories);
        MESSAGE("without " << name << " the history of seed " << seed.value_or(0) << " is the first to overload the server");
        CHECK(seed.has_value());
    };
    without("holding back", &SlotMechanisms::holdsBack);
    without("restart signs", &SlotMechanisms::reportsRestartSigns);
    without("the check after an idle time", &SlotMechanisms::checksIdle);
    without("the end of ownership", &SlotMechanisms::endsOwnership);
    without("handed-over requests", &SlotMechanisms::countsHandedOver);
    without("the margin of the warm-up", &SlotMechanisms::hasWarmUpMargin);
    without("the cold start", &SlotMechanisms::startsCold);
}
