#include <rhubarbtiller/config/errors.h>

#include <string>

namespace rhubarbtiller::config {

namespace {

class ConfigCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "rhubarbtiller.config";
    }

    std::string message(int code) const override
    {
        switch (static_cast<ConfigError>(code)) {
        case ConfigError::MalformedDocument:
            return "document is not well-formed JSON";
        case ConfigError::UnknownField:
            return "unknown field";
        case ConfigError::MissingField:
            return "missing field";
        case ConfigError::WrongValue:
            return "value is not allowed";
        case ConfigError::BrokenReference:
            return "reference to a row that does not exist";
        case ConfigError::DuplicateRow:
            return "two rows have the same name";
        case ConfigError::VersionGap:
            return "change does not follow the known version";
        }
        return "unknown configuration error";
    }
};

} // namespace

const std::error_category &configCategory()
{
    static const ConfigCategory category;
    return category;
}

std::error_code make_error_code(ConfigError error)
{
    return {static_cast<int>(error), configCategory()};
}

} // namespace rhubarbtiller::config
