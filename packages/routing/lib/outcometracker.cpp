#include <rhubarbtiller/routing/outcometracker.h>

namespace rhubarbtiller::routing {

OutcomeTracker::OutcomeTracker(bool isIdempotent) : idempotent(isIdempotent)
{
}

void OutcomeTracker::onAttemptEnded(Execution execution)
{
    // One attempt that ran decides; one with an unknown outcome outweighs any number that did not run.
    if (execution == Execution::Ran || this->known == Execution::NotRun) {
        this->known = execution;
    }
}

bool OutcomeTracker::mayAttemptAgain() const
{
    return this->idempotent || this->known == Execution::NotRun;
}

Execution OutcomeTracker::execution() const
{
    return this->known;
}

} // namespace rhubarbtiller::routing
