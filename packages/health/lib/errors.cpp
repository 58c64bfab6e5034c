#include <rhubarbtiller/health/errors.h>

#include <string>

namespace rhubarbtiller::health {

namespace {

class HealthCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "health";
    }

    std::string message(int value) const override
    {
        switch (static_cast<HealthError>(value)) {
        case HealthError::NotOwner:
            return "this host may not act for the server or pool now";
        case HealthError::HoldingBack:
            return "requests of the previous owner may still run";
        case HealthError::QueueFull:
            return "too many requests wait for the server";
        case HealthError::DeadlinePassed:
            return "the deadline of the request has passed";
        case HealthError::Cancelled:
            return "the request was withdrawn while it waited";
        case HealthError::UnknownServer:
            return "the pool has no such server in service";
        case HealthError::FloorReached:
            return "the ejection would take the pool below its floor";
        case HealthError::LeasesUnknown:
            return "leases of the previous pool owner may still be in force";
        }
        return "unknown health error";
    }
};

} // namespace

const std::error_category &healthCategory()
{
    static const HealthCategory Category;
    return Category;
}

std::error_code make_error_code(HealthError error)
{
    return {static_cast<int>(error), healthCategory()};
}

} // namespace rhubarbtiller::health
