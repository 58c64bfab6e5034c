#pragma once

#include <rhubarbtiller/routing/refusal.h>

namespace rhubarbtiller::routing {

/// Combines what is known of the attempts of one request and decides whether another attempt is allowed.
///
/// Thread safety: one thread at a time.
class OutcomeTracker
{
public:
    /// Precondition: none.
    explicit OutcomeTracker(bool isIdempotent);

    /// Notes how an attempt ended. Precondition: the attempt has ended.
    void onAttemptEnded(Execution execution);

    /// Returns whether another attempt cannot make non-idempotent work run twice. Precondition: no attempt is running.
    bool mayAttemptAgain() const;

    /// Returns what is known of the request as a whole. Precondition: no attempt is running.
    Execution execution() const;

private:
    bool idempotent;
    Execution known = Execution::NotRun;
};

} // namespace rhubarbtiller::routing
