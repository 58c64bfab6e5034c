#include "ratehistory.h"

#include <rhubarbtiller/limits/tokenbucket.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

using namespace rhubarbtiller;
using namespace rhubarbtiller::limits;
using namespace std::chrono_literals;

static const MonotonicTime start{std::chrono::hours(1)};

static CarriedShares sharesSince(const std::vector<MonotonicTime> &since)
{
    std::vector<ShareInterval> intervals;
    for (const MonotonicTime time : since) {
        intervals.push_back(ShareInterval{time, MonotonicTime::max()});
    }
    return CarriedShares::fromIntervals(intervals, MonotonicTime::max() - 1ns);
}

static const CarriedShares all = sharesSince({start, start, start});

static int takeAll(TokenBucket &bucket, const CarriedShares &shares, MonotonicTime now)
{
    int taken = 0;
    while (bucket.take(shares, now)) {
        ++taken;
    }
    return taken;
}

// Guards against a fresh bucket with tokens: two hosts that each start one would exceed the burst.
TEST_CASE("a bucket starts empty and accrues at the rate up to the burst")
{
    TokenBucket bucket({RequestRate(10), RequestCount(5)}, start, start);
    CHECK_FALSE(bucket.take(all, start));
    CHECK(bucket.timeUntilToken(all, start) == 100ms);
    CHECK_FALSE(bucket.take(all, start + 99ms));
    CHECK(bucket.take(all, start + 100ms));
    CHECK(takeAll(bucket, all, start + 1h) == 5);
}

// Guards against rounding that keeps an integral burst from ever being reached, for example a burst of 1 at a rate of 3.
TEST_CASE("an integral burst is reached at every rate")
{
    for (const double rate : {0.3, 1.0, 3.0, 7.0, 10.0 / 3, 333.0, 499.99, 100000.0}) {
        CAPTURE(rate);
        TokenBucket one({RequestRate(rate), RequestCount(1)}, start, start);
        CHECK(takeAll(one, all, start + 1h) == 1);
        TokenBucket three({RequestRate(rate), RequestCount(3)}, start, start);
        CHECK(takeAll(three, sharesSince({start}), start + 1h) == 1);
    }
}

// Guards against a waiting time after which there is still no token, or an endless wait that is not reported as such.
TEST_CASE("the time until a token is exact")
{
    const TokenLimit limit{RequestRate(10), RequestCount(6)};
    TokenBucket bucket(limit, start, start);
    const auto shares = sharesSince({start, start + 200ms});
    const MonotonicTime now = start + 210ms;
    const Duration wait = bucket.timeUntilToken(shares, now);
    CHECK(wait > 0ns);
    CHECK_FALSE(bucket.take(shares, now + wait - 1ns));
    CHECK(bucket.take(shares, now + wait));
    TokenBucket tooSmall({RequestRate(10), RequestCount(2)}, start, start);
    CHECK(tooSmall.timeUntilToken(sharesSince({start}), start + 1h) == Duration::max());
    CHECK(tooSmall.timeUntilToken(CarriedShares{}, start + 1h) == Duration::max());
}

// Guards against tokens that stay when shares leave, and against tokens that come with a share.
TEST_CASE("tokens shrink with the shares at once and only accrual grows")
{
    TokenBucket bucket({RequestRate(10), RequestCount(30)}, start, start);
    const MonotonicTime now = start + 1h;
    CHECK(bucket.tokens(all, now).count() == doctest::Approx(30));
    CHECK(bucket.tokens(sharesSince({start, start}), now).count() == doctest::Approx(20));
    CHECK(bucket.tokens(sharesSince({start}), now).count() == doctest::Approx(10));
    CHECK(bucket.tokens(sharesSince({start, start, now}), now).count() == doctest::Approx(20));
    CHECK(bucket.tokens(sharesSince({start, start, now - 300ms}), now).count() == doctest::Approx(21));
    CHECK(bucket.tokens(sharesSince({now, now, now}), now).count() == doctest::Approx(0));
}

// Guards against accrual that an outdated time counts again.
TEST_CASE("an outdated time yields no tokens")
{
    TokenBucket bucket({RequestRate(10), RequestCount(5)}, start, start);
    CHECK(takeAll(bucket, all, start + 10s) == 5);
    CHECK_FALSE(bucket.take(all, start + 9s));
    CHECK_FALSE(bucket.take(all, start + 10s));
    CHECK(takeAll(bucket, all, start + 10100ms) == 1);
}

// Guards against a change of limit that mints tokens.
TEST_CASE("a change of the limit keeps the tokens within the new burst")
{
    const TokenLimit before{RequestRate(10), RequestCount(30)};
    const auto youngShares = sharesSince({start + 1h, start + 1h, start + 1h});
    for (const bool areYoung : {false, true}) {
        const CarriedShares &shares = areYoung ? youngShares : all;
        TokenBucket bucket(before, start, start);
        takeAll(bucket, shares, start + 1h);
        const MonotonicTime now = start + 1h + 2s;
        CHECK(bucket.tokens(shares, now).count() == doctest::Approx(20));
        for (const TokenLimit after : {TokenLimit{RequestRate(100), RequestCount(300)},
                                       TokenLimit{RequestRate(1), RequestCount(30)},
                                       TokenLimit{RequestRate(10), RequestCount(6)},
                                       TokenLimit{RequestRate(1000), RequestCount(2)}}) {
            TokenBucket next(after, TokenBucket::emptyTimeAfterChange(before, bucket.emptyTime(), after, shares, now), now);
            // Shares never hold more than they accrued at the limit in force since they arrived.
            const double sinceArrival = areYoung ? std::min(20.0, after.rate.count() * 2) : 20.0;
            const double expected = std::min(sinceArrival, after.burst.count());
            CHECK(next.tokens(shares, now).count() <= expected + 1e-9);
            CHECK(next.tokens(shares, now).count() == doctest::Approx(expected));
        }
    }
}

// Guards against a token given back that accrued again in the meantime, which would exceed the burst.
TEST_CASE("a token is given back only while the bucket was not full since")
{
    TokenBucket bucket({RequestRate(10), RequestCount(10)}, start, start);
    MonotonicTime now = start + 1h;
    std::vector<TokenReceipt> receipts;
    while (const auto receipt = bucket.take(all, now)) {
        receipts.push_back(*receipt);
    }
    REQUIRE(receipts.size() == 10);
    SUBCASE("accepted soon after")
    {
        now += 1ms;
        CHECK(bucket.giveBack(TokenReceipt{now, receipts.back().moved}, now));
        CHECK(takeAll(bucket, all, now) == 1);
    }
    SUBCASE("refused for a token that a full bucket gave")
    {
        CHECK_FALSE(bucket.giveBack(receipts.front(), now));
    }
    SUBCASE("refused after a refill")
    {
        const auto late = bucket.take(all, now + 100ms);
        REQUIRE(late);
        now += 1h;
        CHECK(takeAll(bucket, all, now) == 10);
        CHECK_FALSE(bucket.giveBack(*late, now));
        CHECK(takeAll(bucket, all, now) == 0);
    }
    SUBCASE("at most half of the capacity is accepted")
    {
        int accepted = 0;
        for (int i = 0; i < 10; ++i) {
            accepted += bucket.giveBack(TokenReceipt{now + 1ms, receipts.back().moved}, now + 1ms) ? 1 : 0;
        }
        CHECK(accepted == 5);
    }
}

// Guards against a loan whose tokens accrue again at the lender before they arrive at the borrower.
TEST_CASE("a loan counts against the capacity of the lender while it is under way")
{
    const TokenLimit limit{RequestRate(10), RequestCount(30)};
    TokenBucket bucket(limit, start, start);
    const MonotonicTime now = start + 1h;
    CHECK(bucket.takeMany(RequestCount(100), all, 100ms, now).count() == 15);
    CHECK(bucket.tokens(all, now + 100ms).count() <= 15 + 1e-9);
    TokenBucket full(limit, start, start);
    CHECK(full.takeMany(RequestCount(4), all, 500ms, now).count() == 4);
    CHECK(full.tokens(all, now + 500ms).count() <= 26 + 1e-9);
    full.credit(RequestCount(10), all, now + 400ms);
    CHECK(full.tokens(all, now + 500ms).count() <= 26 + 1e-9);
    TokenBucket small({RequestRate(10), RequestCount(3)}, start, start);
    CHECK(small.takeMany(RequestCount(1), all, 1s, now).count() == 0);
}

// Guards against a lender that is full again before its loan arrives: together the slices would exceed the burst. Without
// the loan time the same run exceeds it, so the check has effect.
TEST_CASE("a loan under way never adds to a full burst")
{
    const TokenLimit limit{RequestRate(100), RequestCount(6)};
    for (const bool isCounted : {true, false}) {
        TokenBucket lender(limit, start, start);
        TokenBucket borrower(limit, start, start);
        AdmissionHistory history;
        const auto drain = [&](TokenBucket &bucket, MonotonicTime now) {
            history.insert(history.end(), static_cast<std::size_t>(takeAll(bucket, all, now)), now);
        };
        const MonotonicTime asked = start + 1h;
        drain(borrower, asked);
        const auto lent = lender.takeMany(RequestCount(3), all, isCounted ? 50ms : 0ms, asked);
        drain(lender, asked + 49ms);
        drain(borrower, asked + 49ms);
        borrower.credit(lent, all, asked + 50ms);
        drain(borrower, asked + 50ms);
        CHECK(admittedWithinRate(history, {RequestRate(200), RequestCount(12)}) == isCounted);
    }
}

// Guards against a credit beyond what the carried shares may hold.
TEST_CASE("a credit is bounded by the capacity of the carried shares")
{
    TokenBucket bucket({RequestRate(10), RequestCount(30)}, start, start);
    const MonotonicTime now = start + 1h;
    CHECK(takeAll(bucket, all, now) == 30);
    bucket.credit(RequestCount(4), all, now);
    CHECK(takeAll(bucket, all, now) == 4);
    bucket.credit(RequestCount(1000), all, now);
    CHECK(takeAll(bucket, all, now) == 30);
    bucket.credit(RequestCount(1000), sharesSince({start, now, now}), now);
    CHECK(takeAll(bucket, sharesSince({start, now, now}), now) == 10);
    bucket.credit(RequestCount(-5), all, now);
    CHECK(bucket.tokens(all, now).count() >= 0);
}

// Guards against any sequence of takes and share changes after which the tokens grew by more than the accrual of the
// carried shares, or a take that costs less than a token.
TEST_CASE("tokens never grow faster than the accrual of the carried shares")
{
    const bool holds = rc::check("random shares and takes", [] {
        const double rate = *rc::gen::element(0.7, 3.0, 10.0, 333.3);
        const double burst = *rc::gen::element(1.0, 3.0, 10.0, 77.7);
        TokenBucket bucket({RequestRate(rate), RequestCount(burst)}, start, start);
        MonotonicTime now = start;
        std::vector<MonotonicTime> since;
        double tokens = 0;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            const auto shares = sharesSince(since);
            const Duration pause = std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
            now += pause;
            const double after = bucket.tokens(shares, now).count();
            const double accrual = rate / 3 * static_cast<double>(since.size()) * std::chrono::duration<double>(pause).count();
            RC_ASSERT(after <= tokens + accrual + 1e-6);
            RC_ASSERT(after <= burst / 3 * static_cast<double>(since.size()) + 1e-6);
            tokens = after;
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                if (since.size() < ShareCount) {
                    since.push_back(now);
                }
                break;
            case 1:
                if (!since.empty()) {
                    since.erase(since.begin() + *rc::gen::inRange<int>(0, static_cast<int>(since.size())));
                }
                break;
            default:
                if (bucket.take(shares, now)) {
                    const double left = bucket.tokens(shares, now).count();
                    RC_ASSERT(left <= tokens - 1 + 1e-6);
                    tokens = left;
                }
                break;
            }
            const double changed = bucket.tokens(sharesSince(since), now).count();
            RC_ASSERT(changed <= tokens + 1e-6);
            tokens = changed;
        }
    });
    CHECK(holds);
}

// Guards against a lost update that admits more than the burst when threads race.
TEST_CASE("threads that race take no more than the bucket held")
{
    TokenBucket bucket({RequestRate(0.001), RequestCount(300)}, start, start);
    const MonotonicTime now = start + std::chrono::hours(24 * 30);
    std::atomic<int> taken{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int k = 0; k < 500; ++k) {
                taken += bucket.take(all, now) ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK(taken == 300);
}
