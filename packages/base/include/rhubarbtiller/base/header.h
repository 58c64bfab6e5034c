#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rhubarbtiller {

/// One header field of an HTTP message.
struct Header
{
    std::string name;
    std::string value;

    bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

/// Returns whether two header names are equal, ignoring the case of ASCII letters. Thread safety: any thread.
bool isSameHeaderName(std::string_view left, std::string_view right);

/// Returns the value of the first header with this name, ignoring case, or an empty view. Thread safety: any thread.
std::string_view findHeader(const Headers &headers, std::string_view name);

/// Removes every header with this name, ignoring case. Thread safety: one thread per list.
void removeHeader(Headers &headers, std::string_view name);

} // namespace rhubarbtiller
