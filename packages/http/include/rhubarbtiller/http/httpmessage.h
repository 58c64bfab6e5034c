#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rhubarbtiller::http {

struct Header
{
    std::string name;
    std::string value;

    bool operator==(const Header &) const = default;
};

using Headers = std::vector<Header>;

struct HttpRequest
{
    std::string method;
    /// Path and query, as on the request line.
    std::string target;
    Headers headers;
    std::string body;
};

struct HttpResponse
{
    int status = 0;
    Headers headers;
    std::string body;
};

/// Returns the value of the first header with this name in any case, or an empty view. Thread safety: any thread.
std::string_view findHeader(const Headers &headers, std::string_view name);

/// Returns whether two header names are equal without regard to case. Thread safety: any thread.
bool isSameHeaderName(std::string_view left, std::string_view right);

/// Removes every header with this name in any case. Thread safety: one thread for each list.
void removeHeader(Headers &headers, std::string_view name);

} // namespace rhubarbtiller::http
