#include <rhubarbtiller/peer/messagededuplicator.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace rhubarbtiller;
using namespace rhubarbtiller::peer;

static constexpr Duration Retention = std::chrono::seconds(10);
static const MonotonicTime Begin{std::chrono::hours(1)};
static const MonotonicTime Later = Begin + Retention;

// Guards against a request that runs twice because its message was delivered twice (I10).
TEST_CASE("a request starts once")
{
    MessageDeduplicator table(10, Retention, Begin);
    const RequestId request("a");
    CHECK(table.onForward(request, Later) == StartDecision::Start);
    CHECK(table.onForward(request, Later) == StartDecision::Duplicate);
    CHECK(table.onCancel(request, Later) == CancelDecision::Running);
    table.onFinished(request, Later);
    CHECK(table.onForward(request, Later) == StartDecision::Duplicate);
    CHECK(table.onCancel(request, Later) == CancelDecision::Finished);
}

// Guards against a request that starts after its Cancel was answered with "never started" (I9).
TEST_CASE("a cancelled request never starts")
{
    MessageDeduplicator table(10, Retention, Begin);
    const RequestId request("a");
    CHECK(table.onCancel(request, Later) == CancelDecision::NeverStarted);
    CHECK(table.onForward(request, Later) == StartDecision::Barred);
    CHECK(table.onCancel(request, Later) == CancelDecision::NeverStarted);
}

// Guards against "never started" from a process that does not know what ran before it was restarted (I9).
TEST_CASE("a restarted process does not answer for its predecessor")
{
    MessageDeduplicator table(10, Retention, Begin);
    CHECK(table.onCancel(RequestId("a"), Later - Duration(1)) == CancelDecision::Running);
    CHECK(table.onForward(RequestId("a"), Later) == StartDecision::Barred);
    CHECK(table.onCancel(RequestId("b"), Later) == CancelDecision::NeverStarted);
}

// Guards against a table that grows without bound, or that forgets what runs in order to stay small.
TEST_CASE("the table is bounded and keeps what runs")
{
    MessageDeduplicator table(2, Retention, Begin);
    CHECK(table.onForward(RequestId("a"), Later) == StartDecision::Start);
    CHECK(table.onForward(RequestId("b"), Later) == StartDecision::Start);
    CHECK(table.onForward(RequestId("c"), Later) == StartDecision::TableFull);
    CHECK(table.onCancel(RequestId("c"), Later) == CancelDecision::Running);
    table.onFinished(RequestId("b"), Later);
    const MonotonicTime afterRetention = Later + Retention;
    CHECK(table.onForward(RequestId("c"), afterRetention - Duration(1)) == StartDecision::TableFull);
    CHECK(table.onForward(RequestId("c"), afterRetention) == StartDecision::Start);
    CHECK(table.onForward(RequestId("a"), afterRetention) == StartDecision::Duplicate);
    CHECK(table.size() == 2);
}

// Guards against orders of events that the cases above leave out.
TEST_CASE("no order of events starts a request twice or after it was barred")
{
    CHECK(rc::check("within the retention", [](const std::vector<std::pair<unsigned, unsigned>> &events) {
        MessageDeduplicator table(4, Retention, Begin);
        std::map<std::string, int> starts;
        std::set<std::string> running;
        std::set<std::string> neverStarted;
        for (const auto &[action, number] : events) {
            const std::string name = std::to_string(number % 6);
            if (action % 3 == 0) {
                if (table.onForward(RequestId(name), Later) == StartDecision::Start) {
                    RC_ASSERT(++starts[name] == 1);
                    RC_ASSERT(neverStarted.count(name) == 0);
                    running.insert(name);
                }
            } else if (action % 3 == 1) {
                if (running.erase(name) > 0) {
                    table.onFinished(RequestId(name), Later);
                }
            } else if (table.onCancel(RequestId(name), Later) == CancelDecision::NeverStarted) {
                RC_ASSERT(starts.count(name) == 0);
                neverStarted.insert(name);
            }
            RC_ASSERT(table.size() <= 4);
        }
    }));
}
