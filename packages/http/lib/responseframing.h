#pragma once

#include <rhubarbtiller/http/httpmessage.h>

#include <string_view>

namespace rhubarbtiller::http {

/// Collects the header of a response and checks that its framing is unambiguous.
///
/// Thread safety: one thread.
class ResponseFraming
{
public:
    explicit ResponseFraming(bool answersHeadRequest = false);

    /// Takes one header line with its line end; returns false if the response is to be rejected.
    ///
    /// Precondition: lines come in the order of the response.
    bool onHeaderLine(std::string_view line);

    /// Returns whether a final header was read whose body has an announced end.
    ///
    /// A body that only the end of the connection delimits cannot be told from a body that was cut short.
    bool isComplete() const;

    /// Returns the status of the newest header. Precondition: a status line was read.
    int status() const;

    /// Moves the headers out. Precondition: isComplete().
    Headers takeHeaders();

private:
    bool onStatusLine(std::string_view line);
    bool onEndOfHeader();

    bool answersHead = false;
    int statusCode = 0;
    Headers headers;
    bool isHeaderOpen = false;
    bool hasFinalHeader = false;
    bool hasAnnouncedEnd = false;
};

} // namespace rhubarbtiller::http
