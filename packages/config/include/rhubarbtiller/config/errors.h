#pragma once

#include <system_error>

namespace rhubarbtiller::config {

enum class ConfigError {
    MalformedDocument = 1,
    UnknownField,
    MissingField,
    WrongValue,
    BrokenReference,
    DuplicateRow,
    VersionGap,
};

/// Returns the error category of this layer. Precondition: none. Thread safety: any thread.
const std::error_category &configCategory();

std::error_code make_error_code(ConfigError error);

} // namespace rhubarbtiller::config

template<>
struct std::is_error_code_enum<rhubarbtiller::config::ConfigError> : std::true_type
{
};
