#pragma once

#include <rhubarbtiller/http/httpclient.h>
#include <rhubarbtiller/tablestore/hostlist.h>

#include <string>

namespace rhubarbtiller::tablestore {

/// Reads the host list as a JSON document by GET.
///
/// The document is {"hosts":[{"id":"h1","address":"10.0.0.1:7000","failureDomain":"a","state":"live"}]}, where state is
/// "live" or "leaving". Other members are ignored; a host with a missing member or another state makes the document
/// malformed. Thread safety: any thread.
class HttpHostList : public HostList
{
public:
    /// Precondition: \p httpClient outlives every call; \p documentTarget is a path such as "/hosts".
    HttpHostList(http::HttpClient &httpClient, Endpoint listServer, std::string documentTarget);

    void readHosts(MonotonicTime deadline, Handler<Result<std::vector<ListedHost>>> handler) override;

private:
    http::HttpClient &client;
    Endpoint server;
    std::string target;
};

} // namespace rhubarbtiller::tablestore
