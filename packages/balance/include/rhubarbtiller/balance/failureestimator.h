#pragma once

#include <rhubarbtiller/base/clock.h>

#include <optional>
#include <string_view>

namespace rhubarbtiller::balance {

/// What the outcome of a request indicates about the backend server that it was sent to.
enum class Evidence {
    /// A complete answer that is not a server error.
    Success,
    /// A complete answer that reports a server error.
    ServerError,
    /// The connection broke, or the answer was malformed or incomplete.
    BrokenAnswer,
    /// No answer for far longer than requests usually take.
    Overdue,
    /// The server refused the request without running it.
    Shed,
};

/// Returns whether the evidence counts as a failure of the server. Precondition: none. Thread safety: any thread.
bool isFailure(Evidence evidence);

/// Returns the evidence of a number in a message, or nothing for a kind that is not known here, such as one of a newer version.
///
/// Precondition: none. Thread safety: any thread.
std::optional<Evidence> evidenceFromNumber(int number);

/// Returns the name for logs and metrics. Precondition: none. Thread safety: any thread.
std::string_view evidenceName(Evidence evidence);

/// Estimates the probability that the next request to one backend server fails.
///
/// A two-state hidden Markov filter: the server is healthy or failing, changes between the two at known mean rates, and each
/// request is evidence for one of them. One failure is enough to prefer other servers, two or three successes to return.
/// Thread safety: one thread.
class FailureEstimator
{
public:
    /// Updates the estimate with one piece of evidence. Precondition: \p now does not go back.
    void observe(Evidence evidence, MonotonicTime now);

    /// Returns the probability that the server is in its failing state. Precondition: none.
    double failingProbability(MonotonicTime now) const;

    /// Returns the probability that a request sent now fails. Precondition: none.
    double failureProbability(MonotonicTime now) const;

private:
    double failing = InitialFailingProbability;
    MonotonicTime updatedAt{};

    /// Probability that a server without evidence is failing.
    static constexpr double InitialFailingProbability = 0.1;
};

} // namespace rhubarbtiller::balance
