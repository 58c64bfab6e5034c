#include <rhubarbtiller/http/httpmessage.h>

#include <algorithm>

namespace rhubarbtiller::http {

// Header names are ASCII; the locale must not take part in comparing them.
static char lowerCase(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

std::string_view findHeader(const Headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const Header &header) {
        return isSameHeaderName(header.name, name);
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char first, char second) {
        return lowerCase(first) == lowerCase(second);
    });
}

void removeHeader(Headers &headers, std::string_view name)
{
    std::erase_if(headers, [name](const Header &header) {
        return isSameHeaderName(header.name, name);
    });
}

} // namespace rhubarbtiller::http
