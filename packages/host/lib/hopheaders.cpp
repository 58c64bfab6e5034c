#include "hopheaders.h"

#include <string>

namespace rhubarbtiller::host {

static constexpr std::string_view HopHeaders[] = {"Connection",
                                                  "Proxy-Connection",
                                                  "Keep-Alive",
                                                  "Proxy-Authenticate",
                                                  "Proxy-Authorization",
                                                  "TE",
                                                  "Trailer",
                                                  "Transfer-Encoding",
                                                  "Upgrade",
                                                  "Expect"};

static std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

void removeHopHeaders(Headers &headers)
{
    // The headers that "Connection" names concern this connection as well.
    std::string named(findHeader(headers, "Connection"));
    std::string_view rest(named);
    while (!rest.empty()) {
        const auto comma = rest.find(',');
        if (const auto name = trimmed(rest.substr(0, comma)); !name.empty()) {
            removeHeader(headers, name);
        }
        rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
    }
    for (const auto name : HopHeaders) {
        removeHeader(headers, name);
    }
}

} // namespace rhubarbtiller::host
