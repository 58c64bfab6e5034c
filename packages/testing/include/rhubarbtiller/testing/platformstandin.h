#pragma once

#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/testing/dynamoendpoint.h>
#include <rhubarbtiller/testing/rawhttpserver.h>
#include <rhubarbtiller/testing/servicefaults.h>

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace rhubarbtiller::testing {

/// The platform's table service, object store and host list over HTTP, in memory.
///
/// POST / is the DynamoDB API, GET /hosts the host list document, GET and PUT /bucket/object the object store. Control:
/// POST /control/faults {"service":"table"|"objects"|"hosts"|"all", "outage":"none"|"refuse"|"silent"|"reset",
/// "delayMs", "loseNextWriteAnswers", "lateNextWrites", "lateMs", "readsPerSecond", "writesPerSecond"} sets the named
/// members; PUT /control/hosts {"document":{...},"lagMs":n} has the host list show the document after the lag;
/// GET /control/state counts the calls. Thread safety: the thread of the io_context.
class PlatformStandin
{
public:
    /// Precondition: \p ioContext outlives the stand-in and has one thread.
    explicit PlatformStandin(asio::io_context &ioContext);

    /// Binds the address. Throws std::system_error if that fails.
    void start(const Endpoint &address);

    /// Returns the bound address. Precondition: started.
    Endpoint boundAddress() const;

private:
    using Connection = std::shared_ptr<RawConnection>;

    struct Service
    {
        ServiceFaults faults;
        /// Calls above this number in a second are refused as throttled; 0 for no limit.
        std::uint32_t readsPerSecond = 0;
        std::uint32_t writesPerSecond = 0;
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t failed = 0;
        std::chrono::steady_clock::time_point secondBegan;
        std::uint32_t readsInSecond = 0;
        std::uint32_t writesInSecond = 0;
    };

    void onRequest(http::HttpRequest request, const Connection &connection);
    void onControl(const http::HttpRequest &request, const Connection &connection);
    void onServiceCall(const std::string &serviceName, http::HttpRequest request, const Connection &connection);
    void execute(Service &service, const http::HttpRequest &request, bool isWrite, const Connection &connection);
    bool isThrottled(Service &service, bool isWrite) const;
    http::HttpResponse perform(const http::HttpRequest &request);
    http::HttpResponse performObjectCall(const http::HttpRequest &request);
    bool applyFaults(const std::string &json);
    bool applyHosts(const std::string &json);
    std::string currentHosts();
    void later(Duration delay, std::function<void()> action);

    asio::io_context &context;
    RawHttpServer server;
    DynamoEndpoint dynamo;
    std::map<std::string, std::string> objects;
    std::map<std::string, Service> services;
    /// Documents and the times from which they are shown.
    std::deque<std::pair<std::chrono::steady_clock::time_point, std::string>> hostDocuments;
};

} // namespace rhubarbtiller::testing
