#pragma once

#include <rhubarbtiller/base/clock.h>
#include <rhubarbtiller/base/result.h>
#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/base/strongnumber.h>
#include <rhubarbtiller/http/httpmessage.h>

#include <functional>
#include <memory>

namespace rhubarbtiller::http {

/// One request to one server.
struct HttpCall
{
    Endpoint server;
    HttpRequest request;
    MonotonicTime deadline;
    ByteCount maxAnswer{1024 * 1024};
    /// Signs the request with AWS Signature Version 4 ("provider:region:service"); empty for none.
    std::string awsSignature;
    /// "access key:secret key" for the signature.
    std::string awsCredential;
};

/// What came of a call.
struct HttpOutcome
{
    /// The whole response, or why there is none.
    Result<HttpResponse> response;
    /// Whether any byte of the request may have reached the server; false only when that is certain.
    bool mayHaveBeenSent = true;
};

using HttpHandler = std::function<void(HttpOutcome)>;

/// Lets the sender of a call give it up.
class HttpCallHandle
{
public:
    HttpCallHandle() = default;
    HttpCallHandle(const HttpCallHandle &) = delete;
    HttpCallHandle &operator=(const HttpCallHandle &) = delete;
    virtual ~HttpCallHandle() = default;

    /// Closes the connection of the call; its handler is called with an error if it was not called before.
    ///
    /// Precondition: none. Thread safety: any thread.
    virtual void cancel() = 0;
};

/// Sends requests and reads whole responses.
///
/// A response counts as whole only if its framing ended as announced. A connection is used again only after a whole
/// response without trailing bytes.
class HttpClient
{
public:
    HttpClient() = default;
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;
    virtual ~HttpClient() = default;

    /// Starts a call; the handler runs exactly once, on a thread of the client.
    ///
    /// Precondition: the client is running. Thread safety: any thread.
    virtual std::shared_ptr<HttpCallHandle> send(HttpCall call, HttpHandler handler) = 0;
};

} // namespace rhubarbtiller::http
