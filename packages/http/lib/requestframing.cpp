#include "requestframing.h"

#include <rhubarbtiller/http/httpmessage.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <utility>

namespace rhubarbtiller::http {

static constexpr int BadRequest = 400;
static constexpr int ContentTooLarge = 413;
static constexpr int HeaderTooLarge = 431;

/// Idle connections keep the memory of a header up to this capacity.
static constexpr std::size_t MaxKeptHeader = 4096;

/// A body that has this part of its expected size gets the memory for all of it.
static constexpr std::uint64_t ExpectedSizeDivisor = 4;

/// Memory of a header in relation to its size: its text here and its fields with the spare capacity of their strings. Measured with 800
/// headers of 60 KB: 2.3.
static constexpr std::uint64_t HeaderMemoryFactor = 3;

/// An assignment of an empty string keeps the memory of the old one.
static void freeMemory(std::string &text)
{
    std::string().swap(text);
}

static bool isTokenCharacter(char letter)
{
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9')
        || std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
}

static bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

static std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

RequestFraming::RequestFraming(ByteCount headerLimit, ByteCount bodyLimit)
    : maxHeader(headerLimit.count()), maxBody(bodyLimit.count()), parser(std::make_unique<http_parser>())
{
    this->beginRequest();
}

void RequestFraming::beginRequest()
{
    http_parser_init(this->parser.get(), HTTP_REQUEST);
    this->parser->data = this;
    if (this->header.capacity() > MaxKeptHeader) {
        freeMemory(this->header);
    }
    this->header.clear();
    this->headerSize = 0;
    freeMemory(this->body);
    this->announcedSize = 0;
    this->isChunked = false;
    this->isInBody = false;
    this->isComplete = false;
    this->isPastHeader = false;
    this->hasTrailer = false;
    this->isOversized = false;
    this->wantsContinue = false;
}

int RequestFraming::accept(std::string_view bytes, std::string &passedOn)
{
    this->output = &passedOn;
    int refusal = 0;
    while (!bytes.empty() && refusal == 0) {
        const std::size_t taken = this->isInBody ? this->acceptBody(bytes, refusal) : this->acceptHeader(bytes, refusal);
        bytes.remove_prefix(taken);
        if (this->isComplete && refusal == 0) {
            this->passRequest();
            ++this->finished;
            this->beginRequest();
        }
    }
    this->output = nullptr;
    return refusal;
}

ByteCount RequestFraming::heldBytes() const
{
    const std::size_t size = this->isInBody ? this->headerSize : this->header.size();
    return ByteCount(size * HeaderMemoryFactor + this->body.size());
}

bool RequestFraming::isInsideHeader() const
{
    return !this->isInBody && !this->header.empty();
}

bool RequestFraming::isInsideRequest() const
{
    return this->isInBody || !this->header.empty();
}

std::uint64_t RequestFraming::finishedRequests() const
{
    return this->finished;
}

bool RequestFraming::takeContinueWish()
{
    return std::exchange(this->wantsContinue, false);
}

std::size_t RequestFraming::acceptHeader(std::string_view bytes, int &refusal)
{
    std::size_t taken = 0;
    while (taken < bytes.size()) {
        const char letter = bytes[taken++];
        const char previous = this->header.empty() ? '\n' : this->header.back();
        const bool breaksLine = (letter == '\n') != (previous == '\r');
        const bool foldsLine = previous == '\n' && (letter == ' ' || letter == '\t');
        if (letter == '\0' || breaksLine || foldsLine) {
            refusal = BadRequest;
            return taken;
        }
        this->header.push_back(letter);
        if (this->header.size() > this->maxHeader) {
            refusal = HeaderTooLarge;
            return taken;
        }
        if (this->header == "\r\n") {
            // An empty line before a request line is skipped, as RFC 9112 section 2.2 asks.
            this->header.clear();
        } else if (letter == '\n' && this->header.ends_with("\r\n\r\n")) {
            refusal = this->checkHeader();
            return taken;
        }
    }
    return taken;
}

int RequestFraming::checkHeader()
{
    const std::string_view text = this->header;
    const auto lineEnd = text.find("\r\n");
    const std::string_view line = text.substr(0, lineEnd);
    const auto firstSpace = line.find(' ');
    const auto lastSpace = line.rfind(' ');
    if (firstSpace == std::string_view::npos || lastSpace == firstSpace) {
        return BadRequest;
    }
    const std::string_view target = line.substr(firstSpace + 1, lastSpace - firstSpace - 1);
    const std::string_view version = line.substr(lastSpace + 1);
    const bool isPlainTarget
        = !target.empty() && (target.front() == '/' || target == "*") && std::none_of(target.begin(), target.end(), [](char letter) {
              const auto code = static_cast<unsigned char>(letter);
              return code <= 0x20 || code == 0x7f || letter == '#';
          });
    if (!isToken(line.substr(0, firstSpace)) || !isPlainTarget || (version != "HTTP/1.1" && version != "HTTP/1.0")) {
        return BadRequest;
    }
    if (const int refusal = this->checkFields(text.substr(lineEnd + 2, text.size() - lineEnd - 4), version == "HTTP/1.0"); refusal != 0) {
        return refusal;
    }
    this->isInBody = true;
    this->headerSize = text.size();
    int refusal = 0;
    if (this->acceptBody(text, refusal) != text.size() && refusal == 0) {
        refusal = BadRequest;
    }
    return refusal;
}

int RequestFraming::checkFields(std::string_view fields, bool isOldVersion)
{
    int lengths = 0;
    int encodings = 0;
    int hosts = 0;
    bool expectsContinue = false;
    std::uint64_t length = 0;
    while (!fields.empty()) {
        const auto end = fields.find("\r\n");
        const std::string_view line = fields.substr(0, end);
        fields.remove_prefix(end + 2);
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
            return BadRequest;
        }
        const std::string_view name = line.substr(0, colon);
        const std::string_view value = trimmed(line.substr(colon + 1));
        const bool hasControl = std::any_of(value.begin(), value.end(), [](char letter) {
            const auto code = static_cast<unsigned char>(letter);
            return (code < 0x20 && letter != '\t') || code == 0x7f;
        });
        if (hasControl) {
            return BadRequest;
        }
        if (isSameHeaderName(name, "Content-Length")) {
            ++lengths;
            const auto [stop, error] = std::from_chars(value.data(), value.data() + value.size(), length);
            if (value.empty() || error != std::errc() || stop != value.data() + value.size()) {
                return BadRequest;
            }
        } else if (isSameHeaderName(name, "Transfer-Encoding")) {
            ++encodings;
            this->isChunked = true;
            if (!isSameHeaderName(value, "chunked") || isOldVersion) {
                return BadRequest;
            }
        } else if (isSameHeaderName(name, "Host")) {
            ++hosts;
        } else if (isSameHeaderName(name, "Expect")) {
            expectsContinue = isSameHeaderName(value, "100-continue") && !isOldVersion;
        }
    }
    if (lengths + encodings > 1 || hosts > 1 || (hosts == 0 && !isOldVersion)) {
        return BadRequest;
    }
    if (length > this->maxBody) {
        return ContentTooLarge;
    }
    this->announcedSize = length;
    this->wantsContinue = expectsContinue && (length > 0 || encodings > 0);
    return 0;
}

std::size_t RequestFraming::acceptBody(std::string_view bytes, int &refusal)
{
    static const http_parser_settings callbacks = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_header_field = &RequestFraming::onHeaderField;
        settings.on_body = &RequestFraming::onBody;
        settings.on_headers_complete = &RequestFraming::onHeadersComplete;
        settings.on_chunk_header = &RequestFraming::onChunkHeader;
        settings.on_message_complete = &RequestFraming::onMessageComplete;
        return settings;
    }();
    const std::size_t taken = http_parser_execute(this->parser.get(), &callbacks, bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(this->parser.get());
    if (this->isOversized) {
        refusal = ContentTooLarge;
    } else if (this->hasTrailer || (error != HPE_OK && error != HPE_PAUSED) || (!this->isComplete && taken != bytes.size())) {
        refusal = BadRequest;
    }
    return taken;
}

int RequestFraming::onHeaderField(http_parser *parser, const char *, std::size_t)
{
    auto &self = *static_cast<RequestFraming *>(parser->data);
    self.hasTrailer = self.hasTrailer || self.isPastHeader;
    return self.hasTrailer ? 1 : 0;
}

int RequestFraming::onBody(http_parser *parser, const char *text, std::size_t size)
{
    auto &self = *static_cast<RequestFraming *>(parser->data);
    self.isOversized = self.body.size() + size > self.maxBody;
    if (self.isOversized) {
        return 1;
    }
    self.reserveBody(self.body.size() + size);
    self.body.append(text, size);
    return 0;
}

/// Growth by doubling up to the end would hold up to twice the expected size while the bytes are copied. Memory that is not written to is
/// not resident.
void RequestFraming::reserveBody(std::size_t size)
{
    if (size <= this->body.capacity()) {
        return;
    }
    const std::uint64_t expected = this->isChunked ? this->maxBody : this->announcedSize;
    const bool isNearExpected = size >= expected / ExpectedSizeDivisor;
    this->body.reserve(isNearExpected ? std::max<std::size_t>(size, expected) : 2 * size);
}

/// Passes on the header without the fields that announce a body.
void RequestFraming::passRequest()
{
    std::string_view rest = this->header;
    while (!rest.empty()) {
        const auto lineSize = rest.find("\r\n") + 2;
        const std::string_view line = rest.substr(0, lineSize);
        const std::string_view name = line.substr(0, line.find(':'));
        rest.remove_prefix(lineSize);
        if (isSameHeaderName(name, "Upgrade")) {
            // The reader would hold a request that asks for another protocol until the response to the one before, uncounted.
            this->output->append("Connection: close\r\n");
        } else if (!isSameHeaderName(name, "Content-Length") && !isSameHeaderName(name, "Transfer-Encoding")) {
            this->output->append(line);
        }
    }
    this->completeBodies.push_back(std::move(this->body));
}

std::string RequestFraming::takeBody()
{
    assert(!this->completeBodies.empty() && "a body was taken twice");
    std::string taken = std::move(this->completeBodies.front());
    this->completeBodies.pop_front();
    return taken;
}

void RequestFraming::dropBody()
{
    freeMemory(this->body);
}

int RequestFraming::onHeadersComplete(http_parser *parser)
{
    static_cast<RequestFraming *>(parser->data)->isPastHeader = true;
    return 0;
}

int RequestFraming::onChunkHeader(http_parser *parser)
{
    auto &self = *static_cast<RequestFraming *>(parser->data);
    self.isOversized = parser->content_length > self.maxBody;
    return self.isOversized ? 1 : 0;
}

int RequestFraming::onMessageComplete(http_parser *parser)
{
    auto &self = *static_cast<RequestFraming *>(parser->data);
    self.isComplete = true;
    http_parser_pause(parser, 1);
    return 0;
}

} // namespace rhubarbtiller::http
