#include <rhubarbtiller/http/errors.h>

#include <asio/error.hpp>

#include <string>

namespace rhubarbtiller::http {

namespace {

class HttpCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "rhubarbtiller.http";
    }

    std::string message(int code) const override
    {
        switch (static_cast<HttpError>(code)) {
        case HttpError::Timeout:
            return "deadline passed";
        case HttpError::ConnectionRefused:
            return "connection refused";
        case HttpError::ConnectionReset:
            return "connection closed by the server before a response";
        case HttpError::ConnectionFailed:
            return "connection could not be made";
        case HttpError::Cancelled:
            return "call cancelled";
        case HttpError::IncompleteResponse:
            return "response ended before its announced end";
        case HttpError::OversizedResponse:
            return "response is larger than allowed";
        case HttpError::MalformedResponse:
            return "response is malformed or its framing is ambiguous";
        case HttpError::MalformedRequest:
            return "request cannot be sent as it is";
        case HttpError::RepeatRefused:
            return "connection closed before a response, request not repeated";
        case HttpError::AddressInUse:
            return "address in use";
        case HttpError::InternalError:
            return "internal error of the HTTP layer";
        }
        return "unknown HTTP error";
    }
};

} // namespace

const std::error_category &httpCategory()
{
    static const HttpCategory category;
    return category;
}

std::error_code make_error_code(HttpError error)
{
    return {static_cast<int>(error), httpCategory()};
}

std::error_code fromSystemError(std::error_code error)
{
    if (!error) {
        return {};
    }
    if (error == asio::error::timed_out) {
        return HttpError::Timeout;
    }
    if (error == asio::error::connection_refused) {
        return HttpError::ConnectionRefused;
    }
    if (error == asio::error::connection_reset || error == asio::error::broken_pipe || error == asio::error::eof) {
        return HttpError::ConnectionReset;
    }
    if (error == asio::error::operation_aborted) {
        return HttpError::Cancelled;
    }
    if (error == asio::error::address_in_use) {
        return HttpError::AddressInUse;
    }
    return HttpError::ConnectionFailed;
}

} // namespace rhubarbtiller::http
