#include <rhubarbtiller/balance/failureestimator.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace rhubarbtiller::balance {

/// Mean rates of change between the two states, per second: partial failures last some seconds and occur about twice a minute.
static constexpr double HealthyToFailingRate = 1.0 / 30;
static constexpr double FailingToHealthyRate = 1.0 / 4;

/// Share of the requests that fail in each state, from the failure modes of the backend servers.
static constexpr double FailureShareWhenFailing = 0.7;
static constexpr double FailureShareWhenHealthy = 0.015;

/// Bounds of the estimate, so that a few observations suffice to reverse it.
static constexpr double MinFailingProbability = 0.002;
static constexpr double MaxFailingProbability = 0.98;

/// How much more likely the evidence is from a failing server than from a healthy one.
static double likelihoodRatio(Evidence evidence)
{
    switch (evidence) {
    case Evidence::Success:
        return (1 - FailureShareWhenFailing) / (1 - FailureShareWhenHealthy);
    case Evidence::ServerError:
        return 30;
    case Evidence::BrokenAnswer:
        return 120;
    case Evidence::Overdue:
        return 4;
    case Evidence::Shed:
        return 1.6;
    }
    assert(false && "unknown evidence");
    return 1;
}

bool isFailure(Evidence evidence)
{
    return evidence == Evidence::ServerError || evidence == Evidence::BrokenAnswer || evidence == Evidence::Overdue;
}

std::optional<Evidence> evidenceFromNumber(int number)
{
    const bool isKnown = number >= static_cast<int>(Evidence::Success) && number <= static_cast<int>(Evidence::Shed);
    return isKnown ? std::optional(static_cast<Evidence>(number)) : std::nullopt;
}

std::string_view evidenceName(Evidence evidence)
{
    switch (evidence) {
    case Evidence::Success:
        return "success";
    case Evidence::ServerError:
        return "server_error";
    case Evidence::BrokenAnswer:
        return "broken_answer";
    case Evidence::Overdue:
        return "overdue";
    case Evidence::Shed:
        return "shed";
    }
    return "unknown";
}

double FailureEstimator::failingProbability(MonotonicTime now) const
{
    if (this->updatedAt == MonotonicTime()) {
        return this->failing;
    }
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - this->updatedAt).count());
    constexpr double TotalRate = HealthyToFailingRate + FailingToHealthyRate;
    constexpr double Stationary = HealthyToFailingRate / TotalRate;
    return Stationary + (this->failing - Stationary) * std::exp(-TotalRate * seconds);
}

double FailureEstimator::failureProbability(MonotonicTime now) const
{
    const double probability = this->failingProbability(now);
    return probability * FailureShareWhenFailing + (1 - probability) * FailureShareWhenHealthy;
}

void FailureEstimator::observe(Evidence evidence, MonotonicTime now)
{
    const double prior = this->failingProbability(now);
    const double odds = prior / (1 - prior) * likelihoodRatio(evidence);
    this->failing = std::clamp(odds / (1 + odds), MinFailingProbability, MaxFailingProbability);
    this->updatedAt = std::max(this->updatedAt, now);
}

} // namespace rhubarbtiller::balance
