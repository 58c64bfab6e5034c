#include <rhubarbtiller/http/connectionledger.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace rhubarbtiller;
using namespace rhubarbtiller::http;
using namespace std::chrono_literals;

static constexpr std::uint32_t Group = 1;
static constexpr std::uint64_t Kilobyte = 1000;
static constexpr std::uint64_t Megabyte = 1000 * Kilobyte;
static const CallerMemoryLimits Limits{ByteCount(40 * Megabyte), ByteCount(60 * Megabyte)};

static std::vector<LedgerNumber> numbersOf(const std::vector<ConnectionLedger::Victim> &victims)
{
    std::vector<LedgerNumber> numbers;
    for (const auto &victim : victims) {
        numbers.push_back(victim.number);
    }
    return numbers;
}

static bool contains(const std::vector<LedgerNumber> &numbers, LedgerNumber number)
{
    return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

// Guards against callers with ordinary uploads that are refused because others stop short of the end of large bodies.
TEST_CASE("the memory of callers that stop short is freed before that of ordinary uploads")
{
    ConnectionLedger ledger(Limits);
    MonotonicTime now{};
    // 12 callers hold 3 MB each without progress; 20 upload 360 KB each, of which half has arrived.
    for (LedgerNumber number = 1; number <= 12; ++number) {
        ledger.open(number, Group, now);
        ledger.onRead(number, ByteCount(3 * Megabyte), ByteCount(3 * Megabyte), now);
    }
    now += 3s;
    for (LedgerNumber number = 101; number <= 120; ++number) {
        ledger.open(number, Group, now);
        ledger.onRead(number, ByteCount(180 * Kilobyte), ByteCount(180 * Kilobyte), now);
    }
    CHECK_FALSE(ledger.isExhausted());
    CHECK(ledger.takeVictims(now).empty());
    ledger.open(200, Group, now);
    ledger.onRead(200, ByteCount(500 * Kilobyte), ByteCount(500 * Kilobyte), now);
    CHECK(ledger.isExhausted());
    const auto victims = numbersOf(ledger.takeVictims(now));
    REQUIRE_FALSE(victims.empty());
    CHECK(std::all_of(victims.begin(), victims.end(), [](LedgerNumber number) {
        return number <= 12;
    }));
    CHECK_FALSE(ledger.isExhausted());
    CHECK_MESSAGE(ledger.takeVictims(now).empty(), "a connection was chosen twice");
}

// Guards against a decision by size alone, by which the caller that still sends ends before the one that has stopped.
TEST_CASE("of two equal holders the one without progress and the older one end first")
{
    ConnectionLedger ledger({ByteCount(10 * Megabyte), ByteCount(12 * Megabyte)});
    MonotonicTime now{};
    SUBCASE("progress")
    {
        for (LedgerNumber number = 1; number <= 3; ++number) {
            ledger.open(number, Group, now);
            ledger.onRead(number, ByteCount(2 * Megabyte), ByteCount(2 * Megabyte), now);
        }
        now += 5s;
        ledger.onRead(1, ByteCount(3 * Megabyte + 500 * Kilobyte), ByteCount(1500 * Kilobyte), now);
        ledger.onRead(2, ByteCount(3 * Megabyte + 500 * Kilobyte), ByteCount(1500 * Kilobyte), now - 4s);
        ledger.onRead(3, ByteCount(3 * Megabyte + 500 * Kilobyte), ByteCount(1500 * Kilobyte), now);
        CHECK(numbersOf(ledger.takeVictims(now)).front() == 2);
    }
    SUBCASE("age")
    {
        for (LedgerNumber number = 1; number <= 3; ++number) {
            ledger.open(number, Group, now);
            ledger.onRead(number, ByteCount(3500 * Kilobyte), ByteCount(3500 * Kilobyte), now + number * 1s);
        }
        CHECK(numbersOf(ledger.takeVictims(now + 4s)).front() == 1);
    }
}

// Guards against the loss of requests that servers work on.
TEST_CASE("connections whose requests have been read are never chosen")
{
    ConnectionLedger ledger(Limits);
    const MonotonicTime now{};
    for (LedgerNumber number = 1; number <= 50; ++number) {
        ledger.open(number, Group, now);
        ledger.onRead(number, ByteCount(Megabyte), ByteCount(Megabyte), now);
        ledger.onRequestRead(number, ByteCount(0), now);
        ledger.onRequest(number, ByteCount(Megabyte));
    }
    ledger.open(60, Group, now);
    ledger.onRead(60, ByteCount(10 * Kilobyte), ByteCount(10 * Kilobyte), now);
    CHECK(numbersOf(ledger.takeVictims(now + 1s)) == std::vector<LedgerNumber>{60});
    CHECK_FALSE(ledger.isExhausted());
    CHECK_MESSAGE(!ledger.takeReplaceable(Group, now + 10s), "a connection with a request in progress was given to another caller");
    ledger.onResponse(7, now + 10s);
    ledger.onReleased(ByteCount(Megabyte));
    CHECK(ledger.chargedBytes() == ByteCount(49 * Megabyte));
    CHECK_FALSE(ledger.takeReplaceable(Group, now + 10s + 500ms));
    CHECK(ledger.takeReplaceable(Group, now + 12s) == LedgerNumber(7));
}

// Guards against a body behind a request in progress that ends that request, and against one that is chosen before others.
TEST_CASE("a connection with an earlier request is chosen last and ends after its responses")
{
    ConnectionLedger ledger(Limits);
    const MonotonicTime now{};
    ledger.open(1, Group, now);
    ledger.onRequest(1, ByteCount(100));
    ledger.onRead(1, ByteCount(30 * Megabyte), ByteCount(30 * Megabyte), now);
    ledger.open(2, Group, now);
    ledger.onRead(2, ByteCount(4 * Megabyte), ByteCount(4 * Megabyte), now);
    ledger.open(3, Group, now);
    ledger.onRead(3, ByteCount(7 * Megabyte), ByteCount(7 * Megabyte), now);
    const auto victims = ledger.takeVictims(now + 1s);
    CHECK(numbersOf(victims) == std::vector<LedgerNumber>{3});
    CHECK_FALSE(victims.front().hasUnanswered);
    ledger.onRead(1, ByteCount(50 * Megabyte), ByteCount(20 * Megabyte), now + 1s);
    const auto more = ledger.takeVictims(now + 1s);
    CHECK(contains(numbersOf(more), 1));
    CHECK(more.back().number == 1);
    CHECK(more.back().hasUnanswered);
}

// Guards against a limit that refuses a permitted request of a host without other load.
TEST_CASE("a single large request may exceed the limit of requests, but not that of all memory")
{
    ConnectionLedger ledger(Limits);
    const MonotonicTime now{};
    ledger.open(1, Group, now);
    ledger.onRead(1, ByteCount(55 * Megabyte), ByteCount(55 * Megabyte), now);
    CHECK(ledger.takeVictims(now).empty());
    ledger.open(5, Group, now);
    ledger.onRead(5, ByteCount(360 * Kilobyte), ByteCount(360 * Kilobyte), now);
    CHECK_MESSAGE(ledger.takeVictims(now).empty(), "a small request beside a permitted large one was refused");
    ledger.close(5);
    SUBCASE("beyond the limit of all memory")
    {
        ledger.onRead(1, ByteCount(61 * Megabyte), ByteCount(6 * Megabyte), now);
        CHECK(numbersOf(ledger.takeVictims(now)) == std::vector<LedgerNumber>{1});
    }
    SUBCASE("with unread responses")
    {
        ledger.chargeUnread(ByteCount(6 * Megabyte));
        CHECK(numbersOf(ledger.takeVictims(now)) == std::vector<LedgerNumber>{1});
        ledger.removeUnread(ByteCount(6 * Megabyte));
    }
    SUBCASE("beside others")
    {
        ledger.open(2, Group, now);
        ledger.onRead(2, ByteCount(6 * Megabyte), ByteCount(6 * Megabyte), now);
        CHECK(numbersOf(ledger.takeVictims(now)) == std::vector<LedgerNumber>{1});
    }
    ledger.close(1);
    CHECK(ledger.chargedBytes().count() <= 6 * Megabyte);
}

// Guards against large uploads that servers work on and that leave ordinary callers nothing.
TEST_CASE("large requests leave a part of the memory to small ones")
{
    ConnectionLedger ledger(Limits);
    const MonotonicTime now{};
    for (LedgerNumber number = 1; number <= 4; ++number) {
        ledger.open(number, Group, now);
        ledger.onRequest(number, ByteCount(10 * Megabyte));
    }
    for (LedgerNumber number = 11; number <= 20; ++number) {
        ledger.open(number, Group, now);
        ledger.onRead(number, ByteCount(Megabyte), ByteCount(Megabyte), now);
    }
    CHECK_FALSE(ledger.isExhausted());
    CHECK(ledger.takeVictims(now).empty());
    SUBCASE("a further large request is refused")
    {
        ledger.open(30, Group, now);
        ledger.onRead(30, ByteCount(2 * Megabyte), ByteCount(2 * Megabyte), now);
        CHECK(ledger.isExhausted());
        CHECK(numbersOf(ledger.takeVictims(now)) == std::vector<LedgerNumber>{30});
        CHECK_FALSE(ledger.isExhausted());
    }
    SUBCASE("small requests beyond their part are refused")
    {
        ledger.open(30, Group, now);
        ledger.onRead(30, ByteCount(Megabyte / 2), ByteCount(Megabyte / 2), now);
        CHECK(ledger.isExhausted());
        CHECK_FALSE(ledger.takeVictims(now).empty());
        CHECK_FALSE(ledger.isExhausted());
    }
    SUBCASE("a response alone frees nothing")
    {
        ledger.onResponse(1, now);
        CHECK(ledger.chargedBytes() == ByteCount(50 * Megabyte));
        ledger.onReleased(ByteCount(10 * Megabyte));
        CHECK(ledger.chargedBytes() == ByteCount(40 * Megabyte));
    }
}

// Guards against callers that take all connections without a request, and against ending connections that callers still use.
TEST_CASE("a new connection replaces one without a request before the one that is idle for longest")
{
    ConnectionLedger ledger(Limits);
    MonotonicTime now{};
    ledger.open(1, Group, now);
    ledger.onRequestRead(1, ByteCount(0), now);
    now += 2s;
    ledger.open(2, Group, now);
    ledger.onRequestRead(2, ByteCount(0), now);
    ledger.open(3, Group, now);
    now += 500ms;
    CHECK_FALSE(ledger.takeReplaceable(Group + 1, now));
    CHECK(ledger.takeReplaceable(Group, now) == LedgerNumber(1));
    CHECK_FALSE(ledger.takeReplaceable(Group, now));
    now += 2s;
    CHECK(ledger.takeReplaceable(Group, now) == LedgerNumber(3));
    CHECK(ledger.takeReplaceable(Group, now) == LedgerNumber(2));
    CHECK_FALSE(ledger.takeReplaceable(Group, now));
}

// Guards against charges that stay after a connection has gone, so that the limit is reached without any caller.
TEST_CASE("a closed connection leaves no charge")
{
    ConnectionLedger ledger(Limits);
    const MonotonicTime now{};
    for (LedgerNumber number = 1; number <= 100; ++number) {
        ledger.open(number, Group, now);
        ledger.onRequest(number, ByteCount(Kilobyte));
        ledger.onRead(number, ByteCount(Megabyte), ByteCount(Megabyte), now);
        ledger.takeVictims(now);
        ledger.close(number);
        ledger.onResponse(number, now);
        ledger.onReleased(ByteCount(Kilobyte));
        ledger.onRead(number, ByteCount(Megabyte), ByteCount(Megabyte), now);
    }
    CHECK(ledger.chargedBytes() == ByteCount(0));
}

// Guards against a further upload that is refused beside a permitted large one.
TEST_CASE("an upload of a few megabytes beside a permitted large one is not refused")
{
    ConnectionLedger ledger(Limits);
    const MonotonicTime now{};
    ledger.open(1, Group, now);
    ledger.onRead(1, ByteCount(46 * Megabyte), ByteCount(46 * Megabyte), now);
    CHECK(ledger.takeVictims(now).empty());
    ledger.open(2, Group, now);
    ledger.onRead(2, ByteCount(2 * Megabyte), ByteCount(2 * Megabyte), now);
    CHECK(numbersOf(ledger.takeVictims(now)).empty());
}

// Guards against the end of about half of the small requests because their share is exceeded by a few bytes.
TEST_CASE("small requests beyond their share end until the share has an eighth of headroom, and not half of it")
{
    ConnectionLedger ledger(Limits);
    const MonotonicTime now{};
    for (LedgerNumber number = 1; number <= 4; ++number) {
        ledger.open(number, Group, now);
        ledger.onRequest(number, ByteCount(10 * Megabyte));
    }
    for (LedgerNumber number = 101; number <= 201; ++number) {
        ledger.open(number, Group, now);
        ledger.onRead(number, ByteCount(100 * Kilobyte), ByteCount(100 * Kilobyte), now);
    }
    const auto ended = ledger.takeVictims(now).size();
    MESSAGE("ended ", ended, " of 101");
    CHECK(ended <= 20);
}

// Guards against the end of all small requests that are read while others are at servers.
TEST_CASE("a share that is half used by small requests at servers does not end every small request that is read")
{
    ConnectionLedger ledger(Limits);
    const MonotonicTime now{};
    for (LedgerNumber number = 1; number <= 4; ++number) {
        ledger.open(number, Group, now);
        ledger.onRequest(number, ByteCount(10 * Megabyte));
    }
    for (LedgerNumber number = 11; number <= 16; ++number) {
        ledger.open(number, Group, now);
        ledger.onRequest(number, ByteCount(Megabyte));
    }
    for (LedgerNumber number = 101; number <= 141; ++number) {
        ledger.open(number, Group, now);
        ledger.onRead(number, ByteCount(100 * Kilobyte), ByteCount(100 * Kilobyte), now);
    }
    const auto ended = ledger.takeVictims(now).size();
    MESSAGE("ended ", ended, " of 41");
    CHECK(ended < 41);
}
