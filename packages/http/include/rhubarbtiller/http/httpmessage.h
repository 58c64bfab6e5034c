#pragma once

#include <rhubarbtiller/base/header.h>
#include <rhubarbtiller/http/body.h>

#include <string>

namespace rhubarbtiller::http {

using rhubarbtiller::findHeader;
using rhubarbtiller::Header;
using rhubarbtiller::Headers;
using rhubarbtiller::isSameHeaderName;
using rhubarbtiller::removeHeader;

struct HttpRequest
{
    std::string method;
    /// Path and query, as on the request line.
    std::string target;
    Headers headers;
    Body body;
};

struct HttpResponse
{
    int status = 0;
    Headers headers;
    std::string body;
};

} // namespace rhubarbtiller::http
