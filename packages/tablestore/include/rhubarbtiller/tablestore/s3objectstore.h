#pragma once

#include <rhubarbtiller/http/httpclient.h>
#include <rhubarbtiller/tablestore/objectstore.h>
#include <rhubarbtiller/tablestore/serviceaccess.h>

namespace rhubarbtiller::tablestore {

/// Speaks the Amazon S3 REST API with path-style addresses: "/bucket/object".
///
/// Thread safety: any thread.
class S3ObjectStore : public ObjectStore
{
public:
    /// Precondition: \p httpClient outlives every call.
    S3ObjectStore(http::HttpClient &httpClient, ServiceAccess serviceAccess, std::string bucket);

    void readObject(ObjectName name, MonotonicTime deadline, Handler<Result<std::string>> handler) override;
    void writeObject(ObjectName name, std::string content, MonotonicTime deadline, Handler<Status> handler) override;

private:
    http::HttpClient &client;
    ServiceAccess access;
    std::string bucketName;
};

} // namespace rhubarbtiller::tablestore
