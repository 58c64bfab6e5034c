#include <rhubarbtiller/health/serverslots.h>

#include <rhubarbtiller/testing/virtualclock.h>

#include <doctest/doctest.h>

#include <thread>
#include <vector>

using namespace rhubarbtiller;
using namespace rhubarbtiller::health;
using namespace std::chrono_literals;

static const BackendServerId ServerA("a");

static config::Pool poolOf(std::uint32_t slots, std::uint32_t cold)
{
    config::Pool pool;
    pool.slotsPerServer = SlotCount(slots);
    pool.coldSlots = SlotCount(cold);
    pool.warmUpTime = 10s;
    return pool;
}

namespace {

struct Bench
{
    explicit Bench(std::uint32_t slotCount = 4, std::uint32_t cold = 1, SlotSettings settings = {})
        : pool(poolOf(slotCount, cold)), slots(settings)
    {
        this->slots.takeOver(ServerA, this->pool, this->clock.now(), this->clock.now() + 1h, this->clock.now());
    }

    std::size_t acquire(const char *organisation = "o", Duration patience = 30s)
    {
        const std::size_t index = this->answers.size();
        this->answers.emplace_back();
        this->tickets.push_back(this->slots.acquire(ServerA,
                                                    SlotRequest{OrganisationId(organisation), this->clock.now() + patience},
                                                    this->clock.now(),
                                                    [this, index](Result<SlotLease> result) {
                                                        CHECK_FALSE(this->answers[index].has_value());
                                                        this->answers[index] = std::move(result);
                                                    }));
        return index;
    }

    bool isGranted(std::size_t index) const
    {
        return this->answers[index] && *this->answers[index];
    }

    bool isRefused(std::size_t index, HealthError error) const
    {
        return this->answers[index] && this->answers[index]->error() == make_error_code(error);
    }

    void release(std::size_t index, SlotOutcome outcome = SlotOutcome::Success, Duration latency = 50ms)
    {
        REQUIRE(this->isGranted(index));
        this->slots.release(**this->answers[index], outcome, latency, this->clock.now());
    }

    /// Keeps the server busy with successes until it has its full limit.
    void warmUp()
    {
        for (int round = 0; round < 2000 && this->limit() < this->pool.slotsPerServer.count(); ++round) {
            std::vector<std::size_t> running;
            for (std::uint32_t slot = 0; slot < this->limit(); ++slot) {
                running.push_back(this->acquire());
            }
            this->clock.advance(50ms);
            for (const std::size_t index : running) {
                this->release(index);
            }
        }
        REQUIRE(this->limit() == this->pool.slotsPerServer.count());
    }

    std::uint32_t limit() const
    {
        return this->slots.limit(ServerA, this->clock.now()).count();
    }

    testing::VirtualClock clock;
    config::Pool pool;
    ServerSlots slots;
    std::vector<std::optional<Result<SlotLease>>> answers;
    std::vector<SlotTicket> tickets;
};

} // namespace

// Guards against full load on a server whose state is unknown.
TEST_CASE("a server starts at its cold limit and warms up only under load and on successes")
{
    Bench bench;
    CHECK(bench.limit() == 1);
    bench.clock.advance(60s);
    CHECK(bench.limit() == 1);
    for (int round = 0; round < 400; ++round) {
        const auto index = bench.acquire();
        bench.clock.advance(50ms);
        bench.release(index, SlotOutcome::Failure);
    }
    CHECK(bench.limit() == 1);
    const auto start = bench.clock.now();
    bench.warmUp();
    CHECK(bench.clock.now() - start >= 10s);
    CHECK(bench.clock.now() - start <= 15s);
}

// Guards against a restarted server that gets its warm load, for each sign of a restart.
TEST_CASE("signs of a cold restart set the limit back at once")
{
    Bench bench;
    bench.warmUp();
    const auto index = bench.acquire();
    SUBCASE("refused connection")
    {
        bench.release(index, SlotOutcome::ConnectionRefused);
    }
    SUBCASE("reset connection")
    {
        bench.release(index, SlotOutcome::ConnectionReset);
    }
    SUBCASE("shed answer")
    {
        bench.release(index, SlotOutcome::Shed);
    }
    SUBCASE("lost idle connections")
    {
        bench.slots.noteRestartSign(ServerA, bench.clock.now());
    }
    SUBCASE("jump of latency")
    {
        bench.release(index, SlotOutcome::Success, 400ms);
        CHECK(bench.limit() == 4);
        bench.release(bench.acquire(), SlotOutcome::Success, 400ms);
    }
    CHECK(bench.limit() == 1);
}

// Guards against a slow route or a plain failure that is taken for a restart.
TEST_CASE("single slow answers, failures and requests that were not sent leave the limit alone")
{
    Bench bench;
    bench.warmUp();
    for (int round = 0; round < 50; ++round) {
        bench.release(bench.acquire(), SlotOutcome::Success, round % 5 == 0 ? 400ms : 50ms);
    }
    bench.release(bench.acquire(), SlotOutcome::Failure);
    bench.release(bench.acquire(), SlotOutcome::NotSent);
    CHECK(bench.limit() == 4);
}

// Guards against a burst on a server that restarted while it had no requests.
TEST_CASE("after an idle time the cold limit holds until a success of usual latency")
{
    Bench bench;
    bench.warmUp();
    bench.clock.advance(5s);
    const auto first = bench.acquire();
    const auto second = bench.acquire();
    CHECK(bench.isGranted(first));
    CHECK_FALSE(bench.isGranted(second));
    SUBCASE("warm")
    {
        bench.release(first);
        CHECK(bench.isGranted(second));
        CHECK(bench.limit() == 4);
    }
    SUBCASE("cold")
    {
        bench.release(first, SlotOutcome::Success, 400ms);
        CHECK(bench.isGranted(second));
        CHECK(bench.limit() == 1);
    }
}

// Guards against requests beyond the limit, and against an organisation that fills the queue and starves the others.
TEST_CASE("waiting requests are served fairly by organisation and in order inside it")
{
    Bench bench(2, 2);
    const auto a1 = bench.acquire("a");
    const auto a2 = bench.acquire("a");
    const auto a3 = bench.acquire("a");
    const auto a4 = bench.acquire("a");
    const auto b1 = bench.acquire("b");
    CHECK(bench.slots.running(ServerA).count() == 2);
    CHECK(bench.slots.load(ServerA, bench.clock.now())->count() == 2500);
    bench.release(a1);
    CHECK(bench.isGranted(b1));
    CHECK_FALSE(bench.isGranted(a3));
    bench.release(a2);
    CHECK(bench.isGranted(a3));
    CHECK_FALSE(bench.isGranted(a4));
    // A second release of the same lease must not free a second slot.
    bench.release(a2);
    CHECK(bench.slots.running(ServerA).count() == 2);
}

// Guards against an unbounded queue, and against a full queue that locks small organisations out.
TEST_CASE("a full queue refuses the latest request of the largest waiting organisation")
{
    SlotSettings settings;
    settings.maxWaiting = 3;
    Bench bench(1, 1, settings);
    bench.acquire("a");
    const auto a2 = bench.acquire("a");
    const auto a3 = bench.acquire("a");
    const auto a4 = bench.acquire("a");
    const auto b1 = bench.acquire("b");
    CHECK(bench.isRefused(a4, HealthError::QueueFull));
    CHECK_FALSE(bench.answers[b1].has_value());
    CHECK_FALSE(bench.answers[a2].has_value());
    const auto a5 = bench.acquire("a");
    CHECK(bench.isRefused(a5, HealthError::QueueFull));
    CHECK_FALSE(bench.answers[a3].has_value());
}

// Guards against requests that wait past their deadline or run after their caller gave up.
TEST_CASE("waiting requests end by deadline, cancellation and loss of ownership")
{
    Bench bench(1, 1);
    const auto running = bench.acquire();
    const auto late = bench.acquire("o", 1s);
    const auto cancelled = bench.acquire();
    CHECK(bench.slots.nextEventAt() == bench.clock.now() + 1s);
    bench.clock.advance(1s);
    bench.slots.advance(bench.clock.now());
    CHECK(bench.isRefused(late, HealthError::DeadlinePassed));
    CHECK(bench.slots.cancel(ServerA, bench.tickets[cancelled]));
    CHECK(bench.isRefused(cancelled, HealthError::Cancelled));
    CHECK_FALSE(bench.slots.cancel(ServerA, bench.tickets[running]));
    const auto waiting = bench.acquire("o", 3h);
    bench.clock.advance(2h);
    bench.release(running);
    CHECK(bench.isRefused(waiting, HealthError::NotOwner));
    CHECK(bench.isRefused(bench.acquire(), HealthError::NotOwner));
    CHECK_FALSE(bench.slots.extendOwnership(ServerA, bench.clock.now() + 1h, bench.clock.now()));
    CHECK_FALSE(bench.slots.load(ServerA, bench.clock.now()).has_value());
}

// Guards against two owners whose requests run at the same time.
TEST_CASE("a new owner holds back after an unplanned change")
{
    Bench bench;
    bench.slots.takeOver(ServerA, bench.pool, bench.clock.now() + 5s, bench.clock.now() + 1h, bench.clock.now());
    CHECK(bench.isRefused(bench.acquire("o", 2s), HealthError::HoldingBack));
    const auto waits = bench.acquire("o", 8s);
    CHECK_FALSE(bench.answers[waits].has_value());
    CHECK(bench.slots.nextEventAt() == bench.clock.now() + 5s);
    bench.clock.advance(5s);
    bench.slots.advance(bench.clock.now());
    CHECK(bench.isGranted(waits));
}

// Guards against a planned change that starts cold, or that forgets the requests of the previous owner.
TEST_CASE("a planned handover keeps the limit and counts the requests that still run")
{
    Bench bench;
    bench.warmUp();
    const auto running = bench.acquire("o", 2s);
    const auto handOver = bench.slots.handOver(ServerA, bench.clock.now());
    REQUIRE(handOver.has_value());
    CHECK(handOver->limit.count() == 4);
    CHECK(handOver->running.count() == 1);
    CHECK(bench.isRefused(bench.acquire(), HealthError::NotOwner));

    Bench next;
    next.slots.receive(ServerA, next.pool, *handOver, next.clock.now() + 1h, next.clock.now());
    CHECK(next.limit() == 4);
    for (int index = 0; index < 4; ++index) {
        next.acquire();
    }
    CHECK(next.slots.running(ServerA).count() == 3);
    next.clock.advance(2100ms);
    next.slots.advance(next.clock.now());
    CHECK(next.slots.running(ServerA).count() == 4);
    bench.release(running);
}

// Guards against a full load on a server that has just returned from ejection.
TEST_CASE("a server returns from ejection through single probing requests")
{
    Bench bench(4, 2);
    bench.warmUp();
    bench.slots.returnFromEjection(ServerA, bench.clock.now());
    CHECK(bench.limit() == 1);
    for (int probe = 0; probe < 3; ++probe) {
        CHECK(bench.limit() == 1);
        bench.release(bench.acquire());
    }
    CHECK(bench.limit() == 2);
}

// Guards against data races and lost or doubled grants; run it with the thread sanitizer.
TEST_CASE("many threads never exceed the limit and each handler is called once")
{
    const SystemClock clock;
    ServerSlots slots;
    config::Pool pool = poolOf(3, 3);
    slots.takeOver(ServerA, pool, clock.now(), clock.now() + 1h, clock.now());
    std::atomic<int> running{0};
    std::atomic<int> most{0};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    for (int thread = 0; thread < 4; ++thread) {
        threads.emplace_back([&, thread] {
            for (int round = 0; round < 500; ++round) {
                const OrganisationId organisation(std::to_string(thread));
                const auto handler = [&](Result<SlotLease> result) {
                    ++answered;
                    if (!result) {
                        return;
                    }
                    const int now = ++running;
                    int seen = most.load();
                    while (seen < now && !most.compare_exchange_weak(seen, now)) { }
                    --running;
                    slots.release(*result, SlotOutcome::Success, 1ms, clock.now());
                };
                slots.acquire(ServerA, SlotRequest{organisation, clock.now() + 1h}, clock.now(), handler);
                slots.advance(clock.now());
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(answered == 2000);
    CHECK(most <= 3);
    CHECK(slots.running(ServerA).count() == 0);
}
