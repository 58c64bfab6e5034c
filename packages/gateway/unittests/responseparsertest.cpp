#include "responseparser.h"

#include <doctest/doctest.h>

using namespace rhubarbtiller;
using namespace rhubarbtiller::gateway;

static constexpr ByteCount MaxBody(8 * 1024 * 1024);

TEST_CASE("an answer ends where its length says, and further bytes are left")
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

TEST_CASE("an answer may come byte by byte and in chunks")
{
    ResponseParser parser(false, MaxBody);
    const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (const char letter : text) {
        REQUIRE_FALSE(parser.isComplete());
        CHECK(parser.parse(std::string_view(&letter, 1)) == 1);
    }
    REQUIRE(parser.isComplete());
    CHECK(parser.take().body == "abcde");
}

TEST_CASE("an answer without a body is complete at the end of its header")
{
    ResponseParser parser(false, MaxBody);
    const std::string text = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    CHECK(parser.parse(text) == text.size());
    CHECK(parser.isComplete());
}

TEST_CASE("an interim answer is passed over")
{
    ResponseParser parser(false, MaxBody);
    parser.parse("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
    REQUIRE(parser.isComplete());
    CHECK(parser.take().status == 200);
}

TEST_CASE("an answer without a length ends with its connection and keeps none")
{
    ResponseParser parser(false, MaxBody);
    parser.parse("HTTP/1.1 200 OK\r\n\r\npart");
    CHECK_FALSE(parser.isComplete());
    CHECK(parser.finish());
    CHECK_FALSE(parser.shouldKeepAlive());
    CHECK(parser.take().body == "part");
}

TEST_CASE("an answer that breaks off is not complete")
{
    ResponseParser parser(false, MaxBody);
    parser.parse("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart");
    CHECK_FALSE(parser.finish());
}

TEST_CASE("bytes that are no answer are malformed")
{
    ResponseParser parser(false, MaxBody);
    parser.parse("garbage garbage\r\n\r\n");
    CHECK(parser.isMalformed());
}

TEST_CASE("the answer to a HEAD has no body")
{
    ResponseParser parser(true, MaxBody);
    parser.parse("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    CHECK(parser.isComplete());
}

/// Returns whether the first \p size bytes of \p text and the end of the connection make a complete response.
static bool isWholeWhenCut(const std::string &text, std::size_t size, bool isHead)
{
    ResponseParser parser(isHead, MaxBody);
    if (size > 0) {
        parser.parse(std::string_view(text).substr(0, size));
    }
    return !parser.isMalformed() && (parser.isComplete() || parser.finish());
}

// Guards against a truncated header section being taken as a response without a body.
TEST_CASE("an answer that breaks off at any byte is not whole")
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
            CHECK_FALSE(isWholeWhenCut(text, size, false));
        }
        CHECK(isWholeWhenCut(text, text.size(), false));
    }
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n";
    for (std::size_t size = 0; size <= head.size(); ++size) {
        CHECK(isWholeWhenCut(head, size, true) == (size == head.size()));
    }
}

TEST_CASE("an answer without a length is not whole when it breaks off inside its head")
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n";
    const std::string text = head + "body";
    for (std::size_t size = 0; size <= text.size(); ++size) {
        CAPTURE(size);
        CHECK(isWholeWhenCut(text, size, false) == (size >= head.size()));
    }
}

TEST_CASE("the trailer of a chunked answer changes none of its headers")
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

/// Returns how many bytes a parser consumes of \p start and then of \p repeated without end; \p most if it does not stop.
static std::size_t bytesTaken(const std::string &start, const std::string &repeated, std::size_t most)
{
    ResponseParser parser(false, MaxBody);
    std::size_t taken = start.empty() ? 0 : parser.parse(start);
    while (!parser.isMalformed() && taken < most) {
        REQUIRE_FALSE(parser.isComplete());
        taken += parser.parse(repeated);
    }
    return taken;
}

TEST_CASE("an answer whose bytes never end is malformed before they fill the memory")
{
    static constexpr std::size_t Mebi = 1024 * 1024;
    static constexpr std::size_t MostHead = Mebi;
    static constexpr std::size_t MostAnswer = 80 * Mebi;
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string filler(1000, 'x');
    CHECK(bytesTaken("", "\r\n", MostHead) < MostHead);
    CHECK(bytesTaken("HTTP/1.1 200 ", filler, MostHead) < MostHead);
    CHECK(bytesTaken("HTTP/1.1 200 OK\r\n", filler, MostHead) < MostHead);
    CHECK(bytesTaken("HTTP/1.1 200 OK\r\nX: ", filler, MostHead) < MostHead);
    CHECK(bytesTaken("HTTP/1.1 200 OK\r\n", "X: y\r\n", MostHead) < MostHead);
    CHECK(bytesTaken("HTTP/1.1 200 OK\r\nX: y\r\n", " folded\r\n", MostHead) < MostHead);
    CHECK(bytesTaken("", "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n", MostHead) < MostHead);
    CHECK(bytesTaken(chunkedHead + "1;", filler, MostHead) < MostHead);
    CHECK(bytesTaken(chunkedHead, "0", MostHead) < MostHead);
    CHECK(bytesTaken(chunkedHead + "0\r\n", "X: y\r\n", MostHead) < MostHead);
    CHECK(bytesTaken(chunkedHead, "1;" + filler + "\r\nx\r\n", MostHead) < MostHead);
    CHECK(bytesTaken(chunkedHead, "3e8\r\n" + filler + "\r\n", MostAnswer) < MostAnswer);
    CHECK(bytesTaken("HTTP/1.1 200 OK\r\n\r\n", filler, MostAnswer) < MostAnswer);
}
