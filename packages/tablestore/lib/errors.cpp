#include <rhubarbtiller/tablestore/errors.h>

#include <string>

namespace rhubarbtiller::tablestore {

namespace {

class PlatformCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "rhubarbtiller.platform";
    }

    std::string message(int code) const override
    {
        switch (static_cast<PlatformError>(code)) {
        case PlatformError::ConditionFailed:
            return "condition of the write does not hold";
        case PlatformError::TransactionConflict:
            return "another transaction on the item was under way";
        case PlatformError::NotFound:
            return "item or object does not exist";
        case PlatformError::Unavailable:
            return "service is unavailable";
        case PlatformError::Timeout:
            return "no response before the deadline";
        case PlatformError::Throttled:
            return "service refused the call because of too many calls";
        case PlatformError::Malformed:
            return "response or stored value is malformed";
        case PlatformError::Unauthorized:
            return "service refused the credential";
        case PlatformError::InvalidRequest:
            return "service refused the call as invalid";
        }
        return "unknown platform error";
    }
};

} // namespace

const std::error_category &platformCategory()
{
    static const PlatformCategory category;
    return category;
}

std::error_code make_error_code(PlatformError error)
{
    return {static_cast<int>(error), platformCategory()};
}

bool isOutcomeUnknown(const std::error_code &error)
{
    if (!error) {
        return false;
    }
    if (error.category() != platformCategory()) {
        return true;
    }
    switch (static_cast<PlatformError>(error.value())) {
    case PlatformError::Unavailable:
    case PlatformError::Timeout:
    case PlatformError::Malformed:
        return true;
    default:
        return false;
    }
}

} // namespace rhubarbtiller::tablestore
