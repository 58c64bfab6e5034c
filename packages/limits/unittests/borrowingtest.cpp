#include <rhubarbtiller/limits/borrowing.h>

#include <doctest/doctest.h>

#include <set>

using namespace rhubarbtiller;
using namespace rhubarbtiller::limits;
using namespace std::chrono_literals;

static const MonotonicTime start{std::chrono::hours(1)};
static const OrganisationId organisation("surf-forecast");
static const TokenLimit limit{RequestRate(100), RequestCount(40)};

// Guards against a duplicated reply that is credited twice, and a late one that arrives after the lender has refilled.
TEST_CASE("a reply is credited once and only in time")
{
    SeededRandom random(1);
    TokenBorrower borrower({}, random);
    const auto call = borrower.onRefused(organisation, 0, 3, limit, start);
    REQUIRE(call);
    CHECK(call->lenderSlice != 0);
    CHECK(call->wanted.count() == 1);
    SUBCASE("duplicate")
    {
        const auto loan = borrower.onReply(call->id, RequestCount(1), start + 10ms);
        REQUIRE(loan);
        CHECK(loan->slice == 0);
        CHECK(loan->tokens.count() == 1);
        CHECK_FALSE(borrower.onReply(call->id, RequestCount(1), start + 11ms));
    }
    SUBCASE("late")
    {
        CHECK_FALSE(borrower.onReply(call->id, RequestCount(1), start + 51ms));
    }
    SUBCASE("unknown")
    {
        CHECK_FALSE(borrower.onReply(LoanCallId(call->id.count() + 1), RequestCount(1), start));
    }
    SUBCASE("more than asked for")
    {
        CHECK(borrower.onReply(call->id, RequestCount(9), start)->tokens.count() == 1);
    }
    SUBCASE("a reply to a call of an earlier run")
    {
        SeededRandom nextRandom(2);
        TokenBorrower nextRun({}, nextRandom);
        REQUIRE(nextRun.onRefused(organisation, 0, 3, limit, start));
        CHECK_FALSE(nextRun.onReply(call->id, RequestCount(1), start));
    }
}

// Guards against a call for each refused request, and against asking a sibling again that has nothing.
TEST_CASE("one call at a time, siblings in turn, empty ones paused")
{
    SeededRandom random(1);
    TokenBorrower borrower({}, random);
    const auto first = borrower.onRefused(organisation, 1, 3, limit, start);
    REQUIRE(first);
    CHECK(first->lenderSlice == 2);
    for (int i = 0; i < 30; ++i) {
        CHECK_FALSE(borrower.onRefused(organisation, 1, 3, limit, start + 1ms));
    }
    CHECK_FALSE(borrower.onReply(first->id, RequestCount(0), start + 2ms));
    const auto second = borrower.onRefused(organisation, 1, 3, limit, start + 3ms);
    REQUIRE(second);
    CHECK(second->lenderSlice == 0);
    CHECK(second->wanted.count() == 20);
    CHECK_FALSE(borrower.onReply(second->id, RequestCount(0), start + 4ms));
    CHECK_FALSE(borrower.onRefused(organisation, 1, 3, limit, start + 5ms));
    CHECK(borrower.onRefused(organisation, 1, 3, limit, start + 505ms));
}

// Guards against a lost reply that blocks borrowing forever.
TEST_CASE("a call without a reply expires")
{
    SeededRandom random(1);
    TokenBorrower borrower({}, random);
    const auto first = borrower.onRefused(organisation, 0, 2, limit, start);
    REQUIRE(first);
    CHECK_FALSE(borrower.onRefused(organisation, 0, 2, limit, start + 51ms));
    CHECK(borrower.onRefused(organisation, 0, 2, limit, start + 600ms));
    CHECK_FALSE(borrower.onReply(first->id, RequestCount(1), start + 600ms));
}

// Guards against a host that floods its peers with calls when many organisations are refused.
TEST_CASE("the calls of a host are limited")
{
    BorrowSettings settings;
    settings.maxCallsPerSecond = 10;
    SeededRandom random(1);
    TokenBorrower borrower(settings, random);
    int calls = 0;
    for (int i = 0; i < 5000; ++i) {
        calls += borrower.onRefused(OrganisationId(std::to_string(i % 500)), 0, 2, limit, start + i * 1ms) ? 1 : 0;
    }
    CHECK(calls <= 10 + 50);
    CHECK(calls >= 50);
}

// Guards against state for organisations that cannot borrow or no longer do.
TEST_CASE("nothing is kept for unsliced or idle organisations")
{
    SeededRandom random(1);
    TokenBorrower borrower({}, random);
    CHECK_FALSE(borrower.onRefused(organisation, 0, 1, limit, start));
    CHECK_FALSE(borrower.onRefused(organisation, 0, 2, {RequestRate(1), RequestCount(1)}, start));
    CHECK(borrower.entryCount() == 0);
    CHECK(borrower.onRefused(organisation, 0, 2, limit, start));
    borrower.dropIdle(start + 100ms);
    CHECK(borrower.entryCount() == 1);
    borrower.dropIdle(start + 10s);
    CHECK(borrower.entryCount() == 0);
}
