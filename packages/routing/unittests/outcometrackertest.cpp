#include <rhubarbtiller/routing/outcometracker.h>

#include <doctest/doctest.h>

using namespace rhubarbtiller::routing;

// Guards against a second run of non-idempotent work after an attempt whose outcome is not known.
TEST_CASE("non-idempotent work is attempted again only if it did not run")
{
    OutcomeTracker tracker(false);
    tracker.onAttemptEnded(Execution::NotRun);
    CHECK(tracker.mayAttemptAgain());
    tracker.onAttemptEnded(Execution::Unknown);
    CHECK_FALSE(tracker.mayAttemptAgain());
}

// Guards against "not run" after an earlier attempt that may have run.
TEST_CASE("one attempt of unknown outcome outweighs later ones that did not run")
{
    OutcomeTracker tracker(true);
    tracker.onAttemptEnded(Execution::Unknown);
    tracker.onAttemptEnded(Execution::NotRun);
    CHECK(tracker.execution() == Execution::Unknown);
    tracker.onAttemptEnded(Execution::Ran);
    CHECK(tracker.execution() == Execution::Ran);
    tracker.onAttemptEnded(Execution::Unknown);
    CHECK(tracker.execution() == Execution::Ran);
}
