#include <rhubarbtiller/routing/keyextractor.h>

#include <rhubarbtiller/base/digest.h>

#include <algorithm>
#include <vector>

namespace rhubarbtiller::routing {

static constexpr std::string_view KeyParameter = "api_key";
static constexpr std::string_view BearerScheme = "Bearer ";

KeyDigest digestOfKey(std::string_view key)
{
    return KeyDigest(sha256Hex(key));
}

static int hexValue(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    if (digit >= 'a' && digit <= 'f') {
        return digit - 'a' + 10;
    }
    if (digit >= 'A' && digit <= 'F') {
        return digit - 'A' + 10;
    }
    return -1;
}

static std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0 && hexValue(text[i + 2]) >= 0) {
            decoded.push_back(static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2])));
            i += 2;
            continue;
        }
        decoded.push_back(text[i]);
    }
    return decoded;
}

static std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

static void takeFromHeaders(Headers &headers, std::vector<std::string> &keys)
{
    for (const auto &header : headers) {
        const auto value = trimmed(header.value);
        if (isSameHeaderName(header.name, "X-Api-Key")) {
            keys.emplace_back(value);
            continue;
        }
        if (!isSameHeaderName(header.name, "Authorization")) {
            continue;
        }
        if (value.size() > BearerScheme.size() && isSameHeaderName(value.substr(0, BearerScheme.size()), BearerScheme)) {
            keys.emplace_back(trimmed(value.substr(BearerScheme.size())));
        }
    }
    removeHeader(headers, "X-Api-Key");
    removeHeader(headers, "Authorization");
}

static void takeFromTarget(std::string &target, std::vector<std::string> &keys)
{
    const auto question = target.find('?');
    if (question == std::string::npos) {
        return;
    }
    std::string remaining;
    std::string_view query(target);
    query.remove_prefix(question + 1);
    while (!query.empty()) {
        const auto end = query.find_first_of("&;");
        const auto parameter = query.substr(0, end);
        query.remove_prefix(end == std::string_view::npos ? query.size() : end + 1);
        const auto equals = parameter.find('=');
        if (isSameHeaderName(percentDecoded(parameter.substr(0, equals)), KeyParameter)) {
            keys.push_back(equals == std::string_view::npos ? std::string() : percentDecoded(parameter.substr(equals + 1)));
            continue;
        }
        remaining += remaining.empty() ? "" : "&";
        remaining += parameter;
    }
    target.resize(question);
    if (!remaining.empty()) {
        target += "?" + remaining;
    }
}

static bool contains(std::string_view text, const std::string &key)
{
    return text.find(key) != std::string_view::npos || percentDecoded(text).find(key) != std::string::npos;
}

ExtractedKey extractKey(Headers &headers, std::string &target, std::string_view body)
{
    std::vector<std::string> keys;
    takeFromHeaders(headers, keys);
    takeFromTarget(target, keys);
    std::erase(keys, std::string());
    if (keys.empty()) {
        return {};
    }
    const std::string &key = keys.front();
    if (std::ranges::any_of(keys, [&key](const std::string &other) {
            return other != key;
        })) {
        return {std::nullopt, Reason::AmbiguousKey};
    }
    std::erase_if(headers, [&key](const Header &header) {
        return contains(header.value, key) || contains(header.name, key);
    });
    if (contains(target, key) || contains(body, key)) {
        return {std::nullopt, Reason::KeyInContent};
    }
    return {digestOfKey(key), Reason::None};
}

} // namespace rhubarbtiller::routing
