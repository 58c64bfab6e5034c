#pragma once

#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/http/httpmessage.h>

#include <http_parser.h>

#include <string_view>

namespace rhubarbtiller::gateway {

/// Incremental parser for one HTTP response of a backend server.
///
/// Skips interim responses (1xx) and trailers. A status outside of 100 to 599, an unsolicited change of protocol, a body above the limit
/// and unbounded data outside of the body are malformed. Thread safety: one thread.
class ResponseParser
{
public:
    /// \p isHead is true for a HEAD request, whose response has no body. Precondition: none.
    ResponseParser(bool isHead, ByteCount maxBody);
    ResponseParser(const ResponseParser &) = delete;
    ResponseParser &operator=(const ResponseParser &) = delete;

    /// Parses bytes up to the end of the response; returns how many it consumed. Precondition: neither complete nor malformed.
    std::size_t parse(std::string_view bytes);

    /// Handles the end of the connection; returns whether that completes the response. Precondition: not malformed.
    bool finish();

    /// Returns the number of bytes consumed so far. Precondition: none.
    ByteCount consumedBytes() const
    {
        return ByteCount(this->consumed);
    }

    /// Returns the size of the buffered headers and body, in bytes. Precondition: none.
    ByteCount bufferedBytes() const
    {
        return ByteCount(this->buffered);
    }

    bool isComplete() const
    {
        return this->complete;
    }

    bool isMalformed() const
    {
        return this->malformed;
    }

    /// Returns whether the connection is reusable for another request. Precondition: complete.
    bool shouldKeepAlive() const
    {
        return this->isKeptAlive;
    }

    /// Moves the response out. Precondition: complete.
    http::HttpResponse take()
    {
        return std::move(this->response);
    }

private:
    static ResponseParser &self(http_parser *parser)
    {
        return *static_cast<ResponseParser *>(parser->data);
    }

    static const http_parser_settings &callbacks();

    http_parser parser{};
    http::HttpResponse response;
    const ByteCount bodyLimit;
    std::uint64_t consumed = 0;
    std::uint64_t buffered = 0;
    bool isHeadResponse;
    /// Whether the header section is complete; later headers belong to a trailer.
    bool isHeaderComplete = false;
    bool isInValue = false;
    bool complete = false;
    bool malformed = false;
    bool isKeptAlive = false;
};

} // namespace rhubarbtiller::gateway
