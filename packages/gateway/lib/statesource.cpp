#include <rhubarbtiller/gateway/statesource.h>

namespace rhubarbtiller::gateway {

namespace {

class SourceCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "state source";
    }

    std::string message(int condition) const override
    {
        switch (static_cast<SourceError>(condition)) {
        case SourceError::Unavailable:
            return "the store is unavailable";
        case SourceError::HistoryGone:
            return "the store has discarded the changes since this version";
        case SourceError::Rejected:
            return "the store rejected the request";
        case SourceError::Malformed:
            return "the response of the store could not be decoded";
        case SourceError::Conflict:
            return "the row has another version than expected";
        }
        return "unknown error";
    }
};

} // namespace

const std::error_category &sourceCategory()
{
    static const SourceCategory category;
    return category;
}

std::error_code make_error_code(SourceError error)
{
    return {static_cast<int>(error), sourceCategory()};
}

} // namespace rhubarbtiller::gateway
