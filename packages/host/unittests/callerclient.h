#pragma once

#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/http/httpmessage.h>

#include <functional>
#include <string>

namespace rhubarbtiller::host {

/// What a caller saw of one exchange.
struct Exchange
{
    bool wasConnected = false;
    /// Whether a whole response came, by its framing.
    bool isWhole = false;
    http::HttpResponse response;

    /// Returns a header of the response, or an empty text. Precondition: none.
    std::string header(std::string_view name) const
    {
        return std::string(findHeader(this->response.headers, name));
    }

    std::string executed() const
    {
        return this->header("Rhubarbtiller-Executed");
    }

    std::string reason() const
    {
        return this->header("Rhubarbtiller-Reason");
    }
};

/// Sends bytes on a new connection and waits for a response, the end of the connection, or \p isAbandoned to hold.
Exchange exchange(const Endpoint &server, const std::string &bytes, const std::function<bool()> &isAbandoned = {});

/// Sends a request on a new connection; adds Host and Content-Length.
Exchange send(const Endpoint &server, http::HttpRequest request, const std::function<bool()> &isAbandoned = {});

/// Waits up to eight seconds for a condition and returns whether it came about.
bool eventually(const std::function<bool()> &holds);

} // namespace rhubarbtiller::host
