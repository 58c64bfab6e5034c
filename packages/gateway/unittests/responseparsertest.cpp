#include "responseparser.h"

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;

static constexpr ByteCount MaxBody(8 * 1024 * 1024);

TEST_CASE("a response ends at its content length, and further bytes are not consumed")
{
    ResponseParser parser(false, MaxBody);
    const std::string first = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX: y\r\n\r\nabc";
    CHECK(parser.parse(first + "HTTP/1.1 200 OK\r\n") == first.size());
    REQUIRE(parser.isComplete());
    CHECK(parser.shouldKeepAlive());
    const auto response = parser.take();
    CHECK(response.body == "abc");
    CHECK(findHeader(response.headers, "x") == "y");
}

TEST_CASE("a chunked response is parsed byte by byte")
{
    ResponseParser parser(false, MaxBody);
    const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (const char byte : text) {
        REQUIRE_FALSE(parser.isComplete());
        CHECK(parser.parse(std::string_view(&byte, 1)) == 1);
    }
    REQUIRE(parser.isComplete());
    CHECK(parser.take().body == "abcde");
}

TEST_CASE("a response without a body is complete at the end of its header section")
{
    ResponseParser parser(false, MaxBody);
    const std::string text = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    CHECK(parser.parse(text) == text.size());
    CHECK(parser.isComplete());
}

TEST_CASE("an interim response is skipped")
{
    ResponseParser parser(false, MaxBody);
    parser.parse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
    REQUIRE(parser.isComplete());
    CHECK(parser.take().status == 200);
}

TEST_CASE("a response without a length ends with its connection, which is not reusable")
{
    ResponseParser parser(false, MaxBody);
    parser.parse("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK_FALSE(parser.isComplete());
    CHECK(parser.finish());
    CHECK_FALSE(parser.shouldKeepAlive());
    CHECK(parser.take().body == "part");
}

TEST_CASE("a truncated response is not complete")
{
    ResponseParser parser(false, MaxBody);
    parser.parse("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
    CHECK_FALSE(parser.finish());
}

TEST_CASE("bytes that are not an HTTP response are malformed")
{
    ResponseParser parser(false, MaxBody);
    parser.parse("garbage garbage\r\n\r\n");
    CHECK(parser.isMalformed());
}

TEST_CASE("the response to a HEAD request has no body")
{
    ResponseParser parser(true, MaxBody);
    parser.parse("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    CHECK(parser.isComplete());
}

/// Returns whether the first \p size bytes of \p text and the end of the connection make a complete response.
static bool isCompleteWhenTruncated(const std::string &text, std::size_t size, bool isHead)
{
    ResponseParser parser(isHead, MaxBody);
    if (size > 0) {
        parser.parse(std::string_view(text).substr(0, size));
    }
    return !parser.isMalformed() && (parser.isComplete() || parser.finish());
}

// Guards against a truncated header section being taken as a response without a body.
TEST_CASE("a response truncated at any byte is not complete")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\n";
    for (const std::string &text : {std::string("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nabc"),
                                    std::string("HTTP/1.1 200 OK\nId: 1\nContent-Length: 3\n\nabc"),
                                    std::string("HTTP/1.0 200 OK\r\nContent-Length: 0\r\nId: 1\r\n\r\n"),
                                    std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"),
                                    chunked + "\r\n",
                                    chunked + "X: y\r\nZ: z\r\n\r\n",
                                    std::string("HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n"),
                                    std::string("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\nId: 1\r\n\r\n"),
                                    std::string("HTTP/1.1 503 Full\r\nId: 1\r\nContent-Length: 0\r\n\r\n")}) {
        CAPTURE(text);
        for (std::size_t size = 0; size < text.size(); ++size) {
            CAPTURE(size);
            CHECK_FALSE(isCompleteWhenTruncated(text, size, false));
        }
        CHECK(isCompleteWhenTruncated(text, text.size(), false));
    }
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n";
    for (std::size_t size = 0; size <= head.size(); ++size) {
        CHECK(isCompleteWhenTruncated(head, size, true) == (size == head.size()));
    }
}

TEST_CASE("a response without a length is not complete if it is truncated inside its header section")
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n";
    const std::string text = head + "body";
    for (std::size_t size = 0; size <= text.size(); ++size) {
        CAPTURE(size);
        CHECK(isCompleteWhenTruncated(text, size, false) == (size >= head.size()));
    }
}

TEST_CASE("the trailer of a chunked response changes none of its headers")
{
    ResponseParser parser(false, MaxBody);
    parser.parse("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nNot-Run: yes\r\nId: 2\r\n\r\n");
    REQUIRE(parser.isComplete());
    const auto response = parser.take();
    CHECK(response.body == "a");
    CHECK(findHeader(response.headers, "id") == "1");
    CHECK(findHeader(response.headers, "not-run").empty());
    CHECK(response.headers.size() == 2);
}

/// Returns how many bytes a parser consumes of \p start and then of \p repeated without end; \p limit if it does not stop.
static std::size_t bytesConsumed(const std::string &start, const std::string &repeated, std::size_t limit)
{
    ResponseParser parser(false, MaxBody);
    std::size_t consumed = start.empty() ? 0 : parser.parse(start);
    while (!parser.isMalformed() && consumed < limit) {
        REQUIRE_FALSE(parser.isComplete());
        consumed += parser.parse(repeated);
    }
    return consumed;
}

TEST_CASE("an endless response is malformed before it exhausts the memory")
{
    static constexpr std::size_t BytesPerMebibyte = 1024 * 1024;
    static constexpr std::size_t MaxHead = BytesPerMebibyte;
    static constexpr std::size_t MaxResponse = 80 * BytesPerMebibyte;
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(1000, 'x');
    CHECK(bytesConsumed("", "\r\n", MaxHead) < MaxHead);
    CHECK(bytesConsumed("HTTP/1.1 200 ", filler, MaxHead) < MaxHead);
    CHECK(bytesConsumed("HTTP/1.1 200 OK\r\n", filler, MaxHead) < MaxHead);
    CHECK(bytesConsumed("HTTP/1.1 200 OK\r\nX: ", filler, MaxHead) < MaxHead);
    CHECK(bytesConsumed("HTTP/1.1 200 OK\r\n", "X: y\r\n", MaxHead) < MaxHead);
    CHECK(bytesConsumed("HTTP/1.1 200 OK\r\nX: y\r\n", " folded\r\n", MaxHead) < MaxHead);
    CHECK(bytesConsumed("", "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n", MaxHead) < MaxHead);
    CHECK(bytesConsumed(chunkedHead + "1;", filler, MaxHead) < MaxHead);
    CHECK(bytesConsumed(chunkedHead, "0", MaxHead) < MaxHead);
    CHECK(bytesConsumed(chunkedHead + "0\r\n", "X: y\r\n", MaxHead) < MaxHead);
    CHECK(bytesConsumed(chunkedHead, "1;" + filler + "\r\nx\r\n", MaxHead) < MaxHead);
    CHECK(bytesConsumed(chunkedHead, "3e8\r\n" + filler + "\r\n", MaxResponse) < MaxResponse);
    CHECK(bytesConsumed("HTTP/1.1 200 OK\r\n\r\n", filler, MaxResponse) < MaxResponse);
}
