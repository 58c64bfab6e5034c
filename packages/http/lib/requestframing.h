#pragma once

#include <rhubarbtiller/base/strongnumber.h>

#include <http_parser.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace rhubarbtiller::http {

/// Follows the bytes of a connection and refuses requests whose framing is malformed or ambiguous.
///
/// It is stricter than http_parser, which accepts line folding, bare line feeds and trailers.
/// Thread safety: one thread.
class RequestFraming
{
public:
    RequestFraming(ByteCount headerLimit, ByteCount bodyLimit);

    /// Takes the next bytes; returns 0 or the HTTP status with which the connection is to be refused.
    ///
    /// Appends to \p passedOn what a reader of requests gets instead of the bytes: the header of a request, without the fields of its
    /// framing, once the request is complete. Its body comes from takeBody(). Precondition: no earlier call returned a refusal.
    int accept(std::string_view bytes, std::string &passedOn);

    /// Returns the body of the oldest complete request whose body was not taken yet. Precondition: there is one.
    std::string takeBody();

    /// Frees the body of the request that is being read. Precondition: accept() is not called any more.
    void dropBody();

    /// Returns the estimated memory of the request that is being read, here and at its reader. Precondition: none.
    ByteCount heldBytes() const;

    /// Returns whether the header of a request has begun and has not ended. Precondition: none.
    bool isInsideHeader() const;

    /// Returns whether a request has begun and has not ended. Precondition: none.
    bool isInsideRequest() const;

    /// Returns how many requests have ended. Precondition: none.
    std::uint64_t finishedRequests() const;

    /// Returns once for each request whether its sender waits for "100 Continue" before it sends the body.
    bool takeContinueWish();

private:
    std::size_t acceptHeader(std::string_view bytes, int &refusal);
    std::size_t acceptBody(std::string_view bytes, int &refusal);
    int checkHeader();
    int checkFields(std::string_view fields, bool isOldVersion);
    void beginRequest();
    void passRequest();
    void reserveBody(std::size_t size);

    static int onHeaderField(http_parser *parser, const char *text, std::size_t size);
    static int onBody(http_parser *parser, const char *text, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onChunkHeader(http_parser *parser);
    static int onMessageComplete(http_parser *parser);

    const std::uint64_t maxHeader;
    const std::uint64_t maxBody;
    std::unique_ptr<http_parser> parser;
    std::string header;
    std::size_t headerSize = 0;
    std::string body;
    /// The length that the header announces.
    std::uint64_t announcedSize = 0;
    /// Bodies of complete requests that were not taken yet.
    std::deque<std::string> completeBodies;
    /// The text that accept() appends to; set while it runs.
    std::string *output = nullptr;
    std::uint64_t finished = 0;
    bool isInBody = false;
    bool isComplete = false;
    bool isPastHeader = false;
    bool hasTrailer = false;
    bool isOversized = false;
    bool wantsContinue = false;
    bool isChunked = false;
};

} // namespace rhubarbtiller::http
