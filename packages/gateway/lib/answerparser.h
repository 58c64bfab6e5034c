#pragma once

#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/http/httpmessage.h>

#include <http_parser.h>

#include <string_view>

namespace rhubarbtiller::gateway {

/// Reads one answer of a backend server from the bytes of its connection.
///
/// Interim answers (1xx) and trailers are passed over. A body above its limit, and bytes without end beside it, are malformed.
/// Thread safety: one thread.
class AnswerParser
{
public:
    /// \p isHead says that the request was a HEAD, whose answer has no body. Precondition: none.
    AnswerParser(bool isHead, ByteCount maxBody);
    AnswerParser(const AnswerParser &) = delete;
    AnswerParser &operator=(const AnswerParser &) = delete;

    /// Takes bytes up to the end of the answer; returns how many it used. Precondition: neither complete nor malformed.
    std::size_t accept(std::string_view bytes);

    /// Notes the end of the connection; returns whether that completes the answer. Precondition: not malformed.
    bool finish();

    /// Returns the bytes that were used so far. Precondition: none.
    ByteCount takenBytes() const
    {
        return ByteCount(this->taken);
    }

    /// Returns the bytes of the headers and the body that are held in memory. Precondition: none.
    ByteCount heldBytes() const
    {
        return ByteCount(this->held);
    }

    bool isComplete() const
    {
        return this->complete;
    }

    bool isMalformed() const
    {
        return this->malformed;
    }

    /// Returns whether the connection can carry another request. Precondition: complete.
    bool keepsAlive() const
    {
        return this->isKeptAlive;
    }

    /// Moves the answer out. Precondition: complete.
    http::HttpResponse take()
    {
        return std::move(this->response);
    }

private:
    static AnswerParser &self(http_parser *parser)
    {
        return *static_cast<AnswerParser *>(parser->data);
    }

    static const http_parser_settings &callbacks();

    http_parser parser{};
    http::HttpResponse response;
    const ByteCount bodyLimit;
    std::uint64_t taken = 0;
    std::uint64_t held = 0;
    bool isHeadAnswer;
    /// Whether the head was read, so that further headers are those of a trailer.
    bool isHeadRead = false;
    bool isInValue = false;
    bool complete = false;
    bool malformed = false;
    bool isKeptAlive = false;
};

} // namespace rhubarbtiller::gateway
