#include "responseparser.h"

#include <rhubarbtiller/http/framingoverhead.h>

namespace rhubarbtiller::gateway {

/// Result of on_headers_complete that makes http_parser expect no body.
static constexpr int SkipBody = 1;

/// Returns whether responses with this status have no body, whatever their headers declare.
static bool forbidsBody(int status)
{
    constexpr int NoContent = 204;
    constexpr int NotModified = 304;
    return status == NoContent || status == NotModified;
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
            auto &answer = self(parser);
            if (answer.isHeaderComplete) {
                return 0;
            }
            answer.held += size;
            if (answer.isInValue || answer.response.headers.empty()) {
                answer.response.headers.emplace_back();
                answer.isInValue = false;
            }
            answer.response.headers.back().name.append(text, size);
            return 0;
        };
        made.on_header_value = [](http_parser *parser, const char *text, std::size_t size) {
            auto &answer = self(parser);
            if (answer.isHeaderComplete) {
                return 0;
            }
            answer.held += size;
            answer.isInValue = true;
            if (!answer.response.headers.empty()) {
                answer.response.headers.back().value.append(text, size);
            }
            return 0;
        };
        made.on_headers_complete = [](http_parser *parser) {
            auto &answer = self(parser);
            answer.response.status = static_cast<int>(parser->status_code);
            answer.isHeaderComplete = true;
            return answer.isHeadResponse || forbidsBody(answer.response.status) ? SkipBody : 0;
        };
        made.on_body = [](http_parser *parser, const char *text, std::size_t size) {
            auto &answer = self(parser);
            if (answer.response.body.size() + size > answer.bodyLimit.count()) {
                return -1;
            }
            answer.held += size;
            answer.response.body.append(text, size);
            return 0;
        };
        made.on_message_complete = [](http_parser *parser) {
            auto &answer = self(parser);
            constexpr int FirstFinalStatus = 200;
            if (answer.response.status < FirstFinalStatus) {
                answer.response = {};
                answer.isInValue = false;
                answer.isHeaderComplete = false;
                answer.held = 0;
                return 0;
            }
            answer.complete = true;
            answer.isKeptAlive = http_should_keep_alive(parser) != 0;
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
