#include <rhubarbtiller/gateway/dialect.h>

namespace rhubarbtiller::gateway {

std::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Malformed:
        return "malformed";
    case RefusalReason::HeaderTooLarge:
        return "header_too_large";
    case RefusalReason::BodyTooLarge:
        return "body_too_large";
    case RefusalReason::NoConfiguration:
        return "no_configuration";
    case RefusalReason::NoRoute:
        return "no_route";
    case RefusalReason::UnknownKey:
        return "unknown_key";
    case RefusalReason::OverQuota:
        return "over_quota";
    case RefusalReason::NoServer:
        return "no_server";
    case RefusalReason::Saturated:
        return "saturated";
    case RefusalReason::NotAccepted:
        return "not_accepted";
    case RefusalReason::RetryBudgetSpent:
        return "retry_budget_spent";
    case RefusalReason::OutcomeUnknown:
        return "outcome_unknown";
    case RefusalReason::DeadlinePassed:
        return "deadline_passed";
    case RefusalReason::Stopping:
        return "stopping";
    }
    return "unknown";
}

} // namespace rhubarbtiller::gateway
