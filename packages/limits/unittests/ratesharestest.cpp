#include "ratehistory.h"

#include <rhubarbtiller/limits/rateshares.h>

#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

using namespace rhubarbtiller;
using namespace rhubarbtiller::limits;
using namespace std::chrono_literals;

static const MonotonicTime start{std::chrono::hours(1)};
static const TokenLimit limit{RequestRate(10), RequestCount(30)};
static const RateSlice slice{OrganisationId("seats-desk"), 0, ShardId(7)};

namespace {

/// Shares that a test sets directly.
class FixedShares : public ShareSource
{
public:
    CarriedShares shares(ShardId, MonotonicTime now) const override
    {
        return CarriedShares::fromIntervals(this->intervals, now);
    }

    std::vector<ShareInterval> intervals{3, ShareInterval{start, MonotonicTime::max()}};
};

} // namespace

static int admitAll(RateShares &rateShares, const RateSlice &of, const TokenLimit &under, MonotonicTime now)
{
    int admitted = 0;
    while (rateShares.admit(of, under, now).verdict == AdmissionVerdict::Admitted) {
        ++admitted;
    }
    return admitted;
}

// Guards against a host that admits without a share, or after the deadline of its shares, for example after a pause.
TEST_CASE("a host without shares is not responsible and keeps no entry")
{
    FixedShares source;
    RateShares rateShares(source, start);
    source.intervals.clear();
    CHECK(rateShares.admit(slice, limit, start + 1h).verdict == AdmissionVerdict::NotResponsible);
    source.intervals = {ShareInterval{start, start + 3s}};
    CHECK(rateShares.admit(slice, limit, start + 3s).verdict == AdmissionVerdict::NotResponsible);
    CHECK(rateShares.lend(slice, limit, RequestCount(5), 50ms, start + 3s).count() == 0);
    rateShares.credit(slice, limit, RequestCount(5), start + 3s);
    CHECK(rateShares.entryCount() == 0);
    CHECK(rateShares.admit(slice, limit, start + 2s).verdict == AdmissionVerdict::Admitted);
}

// Guards against a limit of zero or one that is not a number, which must allow nothing.
TEST_CASE("a limit of zero allows nothing")
{
    FixedShares source;
    RateShares rateShares(source, start);
    for (const double rate : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN()}) {
        const auto admission = rateShares.admit(slice, {RequestRate(rate), RequestCount(5)}, start + 1h);
        CHECK(admission.verdict == AdmissionVerdict::RateExceeded);
        CHECK(admission.retryAfter == Duration::max());
    }
    CHECK(rateShares.entryCount() == 0);
}

// Guards against tokens that a restarted host finds.
TEST_CASE("a new host starts empty")
{
    FixedShares source;
    RateShares rateShares(source, start + 1h);
    const auto admission = rateShares.admit(slice, limit, start + 1h);
    CHECK(admission.verdict == AdmissionVerdict::RateExceeded);
    CHECK(admission.retryAfter == 100ms);
}

// Guards against entries of idle organisations that stay, and against a removal that mints or loses tokens.
TEST_CASE("an idle entry is dropped without effect on the tokens")
{
    FixedShares source;
    RateShares rateShares(source, start);
    MonotonicTime now = start + 1h;
    CHECK(admitAll(rateShares, slice, limit, now) == 30);
    CHECK(rateShares.entryCount() == 1);
    now += 2s;
    CHECK(rateShares.dropIdle(0s, now) == 0);
    now += 1s;
    CHECK(rateShares.dropIdle(10s, now) == 0);
    CHECK(rateShares.dropIdle(0s, now) == 1);
    CHECK(rateShares.entryCount() == 0);
    CHECK(admitAll(rateShares, slice, limit, now) == 30);
    CHECK(admitAll(rateShares, slice, limit, now) == 0);
}

// Guards against an entry that is dropped and made again to accrue for a time at which its shares were elsewhere.
TEST_CASE("an entry that is made again accrues only while its shares were carried")
{
    FixedShares source;
    RateShares rateShares(source, start);
    CHECK(admitAll(rateShares, slice, limit, start + 1h) == 30);
    CHECK(rateShares.dropIdle(10s, start + 2h) == 1);
    source.intervals = {ShareInterval{start + 2h, MonotonicTime::max()}, ShareInterval{start, MonotonicTime::max()}};
    CHECK(admitAll(rateShares, slice, limit, start + 2h) == 10);
}

// Guards against tokens minted by a change of the limit, with or without an entry, also when old and new limit alternate.
TEST_CASE("a change of the limit mints nothing")
{
    FixedShares source;
    RateShares rateShares(source, start);
    const TokenLimit larger{RequestRate(100), RequestCount(300)};
    MonotonicTime now = start + 1h;
    CHECK(admitAll(rateShares, slice, limit, now) == 30);
    CHECK(admitAll(rateShares, slice, larger, now) == 0);
    now += 1s;
    CHECK(admitAll(rateShares, slice, larger, now) == 100);
    now += 100ms;
    int admitted = 0;
    for (int i = 0; i < 50; ++i) {
        admitted += rateShares.admit(slice, i % 2 == 0 ? limit : larger, now).verdict == AdmissionVerdict::Admitted ? 1 : 0;
    }
    CHECK(admitted <= 10);
    SUBCASE("without an entry")
    {
        const RateSlice idle{OrganisationId("idle"), 0, ShardId(3)};
        rateShares.onLimitChanged(idle.organisation, now);
        CHECK(admitAll(rateShares, idle, larger, now) == 0);
        CHECK(admitAll(rateShares, idle, larger, now + 100ms) == 10);
    }
    SUBCASE("closed entries are removed")
    {
        rateShares.dropIdle(1h, now);
        CHECK(rateShares.entryCount() == 1);
    }
}

// Guards against a token that is given back to the wrong place, twice through a refused admission, or lost for a known "not run".
TEST_CASE("a token of a request that did not run is given back")
{
    FixedShares source;
    RateShares rateShares(source, start);
    MonotonicTime now = start + 1h;
    CHECK(admitAll(rateShares, slice, limit, now) == 30);
    now += 100ms;
    const auto admission = rateShares.admit(slice, limit, now);
    REQUIRE(admission.verdict == AdmissionVerdict::Admitted);
    const auto refused = rateShares.admit(slice, limit, now);
    REQUIRE(refused.verdict == AdmissionVerdict::RateExceeded);
    CHECK_FALSE(rateShares.giveBack(slice, refused, now));
    CHECK(rateShares.giveBack(slice, admission, now + 1ms));
    CHECK(admitAll(rateShares, slice, limit, now + 1ms) == 1);
}

// Guards against a lost update, a freed entry, or a second open bucket of one slice when threads admit, give back, lend,
// change the limit and drop entries at the same time.
TEST_CASE("threads that race stay within the rate")
{
    FixedShares source;
    RateShares rateShares(source, start);
    const TokenLimit quick{RequestRate(1000), RequestCount(10)};
    const TokenLimit slower{RequestRate(900), RequestCount(10)};
    std::atomic<std::int64_t> milliseconds{0};
    std::atomic<int> running{4};
    std::vector<AdmissionHistory> histories(4);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < histories.size(); ++i) {
        threads.emplace_back([&, i] {
            for (int k = 0; k < 5000; ++k) {
                const MonotonicTime now = start + std::chrono::milliseconds(milliseconds);
                const TokenLimit &current = k / 50 % 2 == 0 ? quick : slower;
                const auto admission = rateShares.admit(slice, current, now);
                if (admission.verdict == AdmissionVerdict::Admitted && (k % 7 != 0 || !rateShares.giveBack(slice, admission, now))) {
                    histories[i].push_back(now);
                }
                const auto lent = rateShares.lend(slice, current, RequestCount(k % 11 == 0 ? 1 : 0), 1ms, now);
                histories[i].insert(histories[i].end(), static_cast<std::size_t>(lent.count()), now);
                if (k % 16 == 0) {
                    milliseconds += k % 512 == 0 ? 30 : 1;
                }
            }
            --running;
        });
    }
    while (running > 0) {
        rateShares.dropIdle(10ms, start + std::chrono::milliseconds(milliseconds));
    }
    for (auto &thread : threads) {
        thread.join();
    }
    AdmissionHistory all;
    for (const auto &history : histories) {
        all.insert(all.end(), history.begin(), history.end());
    }
    CHECK(all.size() > 500);
    CHECK(admittedWithinRate(all, quick));
    MESSAGE("admitted " << all.size() << " in " << milliseconds.load() << " ms at 1000/s");
}
