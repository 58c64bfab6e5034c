#include <rhubarbtiller/base/header.h>

#include <algorithm>

namespace rhubarbtiller {

static char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

bool isSameHeaderName(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, {}, lowerCase, lowerCase);
}

std::string_view findHeader(const Headers &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (isSameHeaderName(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

void removeHeader(Headers &headers, std::string_view name)
{
    std::erase_if(headers, [name](const Header &header) {
        return isSameHeaderName(header.name, name);
    });
}

} // namespace rhubarbtiller
