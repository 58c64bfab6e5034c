#include "responseframing.h"

#include <algorithm>

namespace rhubarbtiller::http {

ResponseFraming::ResponseFraming(bool answersHeadRequest) : answersHead(answersHeadRequest)
{
}

static std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

static bool isNumber(std::string_view text)
{
    return !text.empty() && text.size() < 19 && std::all_of(text.begin(), text.end(), [](char digit) {
        return digit >= '0' && digit <= '9';
    });
}

bool ResponseFraming::onHeaderLine(std::string_view line)
{
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
        line.remove_suffix(1);
    }
    if (!this->isHeaderOpen) {
        // After the final header libcurl hands over the trailer of a chunked body, which is dropped.
        return this->hasFinalHeader || this->onStatusLine(line);
    }
    if (line.empty()) {
        return this->onEndOfHeader();
    }
    const auto colon = line.find(':');
    if (line.front() == ' ' || line.front() == '\t' || colon == std::string_view::npos || colon == 0
        || line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos) {
        return false;
    }
    const std::string_view name = line.substr(0, colon);
    if (name.find_first_of(" \t") != std::string_view::npos) {
        return false;
    }
    this->headers.push_back({std::string(name), std::string(trimmed(line.substr(colon + 1)))});
    return true;
}

bool ResponseFraming::onStatusLine(std::string_view line)
{
    // "HTTP/1.1 200 ..."
    if (line.size() < 12 || (line.substr(0, 9) != "HTTP/1.1 " && line.substr(0, 9) != "HTTP/1.0 ") || !isNumber(line.substr(9, 3))
        || (line.size() > 12 && line[12] != ' ')) {
        return false;
    }
    this->statusCode = (line[9] - '0') * 100 + (line[10] - '0') * 10 + (line[11] - '0');
    this->headers.clear();
    this->isHeaderOpen = true;
    // A change of protocol was never asked for.
    return this->statusCode >= 100 && this->statusCode <= 599 && this->statusCode != 101;
}

bool ResponseFraming::onEndOfHeader()
{
    this->isHeaderOpen = false;
    if (this->statusCode < 200) {
        return true;
    }
    int lengths = 0;
    int encodings = 0;
    for (const Header &header : this->headers) {
        if (isSameHeaderName(header.name, "Content-Length")) {
            ++lengths;
            if (!isNumber(header.value)) {
                return false;
            }
        } else if (isSameHeaderName(header.name, "Transfer-Encoding")) {
            ++encodings;
            if (!isSameHeaderName(header.value, "chunked")) {
                return false;
            }
        }
    }
    if (lengths + encodings > 1) {
        return false;
    }
    this->hasFinalHeader = true;
    const bool forbidsBody = this->answersHead || this->statusCode == 204 || this->statusCode == 304;
    this->hasAnnouncedEnd = forbidsBody || lengths + encodings == 1;
    return true;
}

bool ResponseFraming::isComplete() const
{
    return this->hasFinalHeader && this->hasAnnouncedEnd;
}

int ResponseFraming::status() const
{
    return this->statusCode;
}

Headers ResponseFraming::takeHeaders()
{
    return std::move(this->headers);
}

} // namespace rhubarbtiller::http
