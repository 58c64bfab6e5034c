#include "responseparser.h"

#include <rhubarbtiller/http/framingoverhead.h>

#include <algorithm>

namespace rhubarbtiller::gateway {

/// Result of on_headers_complete that makes http_parser expect no body.
static constexpr int SkipBody = 1;

/// Larger bodies grow as they arrive; a server that announces one and does not send it uses no memory.
static constexpr std::uint64_t MaxReservedBody = 1024 * 1024;

/// Returns whether responses with this status have no body, whatever their headers declare.
static bool forbidsBody(int status)
{
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    return status == NoContent || status == NotModified;
}

/// Returns whether a status is one of the protocol. A change of protocol is never asked for, so that 101 is none.
static bool isValidStatus(int status)
{
    constexpr int FirstStatus = 100;
    constexpr int SwitchingProtocols = 101;
    constexpr int LastStatus = 599;
    return status >= FirstStatus && status <= LastStatus && status != SwitchingProtocols;
}

ResponseParser::ResponseParser(bool isHead, ByteCount maxBody) : bodyLimit(maxBody), isHeadResponse(isHead)
{
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
}

const http_parser_settings &ResponseParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_header_field = [](http_parser *parser, const char *text, std::size_t size) {
            auto &owner = self(parser);
            if (owner.isHeaderComplete) {
                return 0;
            }
            owner.buffered += size;
            if (owner.isInValue || owner.response.headers.empty()) {
                owner.response.headers.emplace_back();
                owner.isInValue = false;
            }
            owner.response.headers.back().name.append(text, size);
            return 0;
        };
        made.on_header_value = [](http_parser *parser, const char *text, std::size_t size) {
            auto &owner = self(parser);
            if (owner.isHeaderComplete) {
                return 0;
            }
            owner.buffered += size;
            owner.isInValue = true;
            if (!owner.response.headers.empty()) {
                owner.response.headers.back().value.append(text, size);
            }
            return 0;
        };
        made.on_headers_complete = [](http_parser *parser) {
            auto &owner = self(parser);
            owner.response.status = static_cast<int>(parser->status_code);
            owner.isHeaderComplete = true;
            if (!isValidStatus(owner.response.status)) {
                return -1;
            }
            if (owner.isHeadResponse || forbidsBody(owner.response.status)) {
                return SkipBody;
            }
            // Growing a body step by step leaves holes in the heap that large responses cannot use.
            if (parser->content_length <= MaxReservedBody) {
                owner.response.body.reserve(std::min<std::uint64_t>(parser->content_length, owner.bodyLimit.count()));
            }
            return 0;
        };
        made.on_body = [](http_parser *parser, const char *text, std::size_t size) {
            auto &owner = self(parser);
            if (owner.response.body.size() + size > owner.bodyLimit.count()) {
                return -1;
            }
            owner.buffered += size;
            owner.response.body.append(text, size);
            return 0;
        };
        made.on_message_complete = [](http_parser *parser) {
            auto &owner = self(parser);
            constexpr int FirstFinalStatus = 200;
            if (owner.response.status < FirstFinalStatus) {
                owner.response = {};
                owner.isInValue = false;
                owner.isHeaderComplete = false;
                owner.buffered = 0;
                return 0;
            }
            owner.complete = true;
            owner.isKeptAlive = http_should_keep_alive(parser) != 0;
            http_parser_pause(parser, 1);
            return 0;
        };
        return made;
    }();
    return settings;
}

std::size_t ResponseParser::parse(std::string_view bytes)
{
    const auto used = http_parser_execute(&this->parser, &callbacks(), bytes.data(), bytes.size());
    this->consumed += used;
    const auto parseError = HTTP_PARSER_ERRNO(&this->parser);
    if (parseError == HPE_PAUSED) {
        return used;
    }
    const bool isEndless = http::isOverheadEndless(ByteCount(this->consumed), ByteCount(this->response.body.size()));
    this->malformed = parseError != HPE_OK || this->parser.upgrade != 0 || isEndless;
    return used;
}

bool ResponseParser::finish()
{
    if (this->complete || this->malformed) {
        return this->complete;
    }
    http_parser_execute(&this->parser, &callbacks(), nullptr, 0);
    const auto parseError = HTTP_PARSER_ERRNO(&this->parser);
    this->malformed = parseError != HPE_OK && parseError != HPE_PAUSED;
    return this->complete;
}

} // namespace rhubarbtiller::gateway
