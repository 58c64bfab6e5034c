#pragma once

#include <rhubarbtiller/http/httpclient.h>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace rhubarbtiller::testing {

/// An HTTP client that answers each call at once from a function and remembers the calls.
///
/// Thread safety: one thread.
class FakeHttpClient : public http::HttpClient
{
public:
    using Server = std::function<http::HttpOutcome(const http::HttpCall &)>;

    explicit FakeHttpClient(Server answeringServer) : server(std::move(answeringServer))
    {
    }

    std::shared_ptr<http::HttpCallHandle> send(http::HttpCall call, http::HttpHandler handler) override
    {
        this->calls.push_back(call);
        handler(this->server(call));
        return std::make_shared<Handle>();
    }

    /// Replaces the function that answers. Precondition: not called while it runs.
    void setServer(Server answeringServer)
    {
        this->server = std::move(answeringServer);
    }

    std::vector<http::HttpCall> calls;

private:
    class Handle : public http::HttpCallHandle
    {
    public:
        void cancel() override
        {
        }
    };

    Server server;
};

} // namespace rhubarbtiller::testing
