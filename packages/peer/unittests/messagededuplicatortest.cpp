#include <rhubarbtiller/peer/messagededuplicator.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::peer;

static const MonotonicTime Start{std::chrono::hours(1)};

// Guards against a forwarded request that runs although its sender was told that it never would.
TEST_CASE("a request that was cancelled before it arrived does not start")
{
    MessageDeduplicator deduplicator;
    const RequestId id("r1");
    CHECK(deduplicator.cancel(id, Start) == CancelOutcome::NeverStarted);
    CHECK_FALSE(deduplicator.start(id, Start));
    CHECK(deduplicator.cancel(id, Start) == CancelOutcome::NeverStarted);
}

// Guards against a request that runs twice when its message is delivered twice.
TEST_CASE("a request starts once, also after it has finished")
{
    MessageDeduplicator deduplicator;
    const RequestId id("r1");
    CHECK(deduplicator.start(id, Start));
    CHECK_FALSE(deduplicator.start(id, Start));
    CHECK(deduplicator.cancel(id, Start) == CancelOutcome::Running);
    deduplicator.finish(id, Start);
    CHECK_FALSE(deduplicator.start(id, Start));
    CHECK(deduplicator.cancel(id, Start) == CancelOutcome::Finished);
}

// Guards against memory that grows with every request ever forwarded.
TEST_CASE("finished requests are forgotten after the retention time, running ones are not")
{
    MessageDeduplicator deduplicator;
    deduplicator.start(RequestId("long"), Start);
    deduplicator.start(RequestId("short"), Start);
    deduplicator.finish(RequestId("short"), Start);
    deduplicator.start(RequestId("later"), Start + 2 * MessageDeduplicator::RetentionTime);
    CHECK(deduplicator.entryCount() == 2);
    CHECK_FALSE(deduplicator.start(RequestId("long"), Start + 2 * MessageDeduplicator::RetentionTime));
}
