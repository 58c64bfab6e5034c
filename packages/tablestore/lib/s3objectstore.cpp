#include <rhubarbtiller/tablestore/s3objectstore.h>

#include "callerrors.h"

#include <rhubarbtiller/base/digest.h>

#include <utility>

namespace rhubarbtiller::tablestore {

// Snapshots of the target size take some megabytes; the bound keeps a wrong object from exhausting a host's memory.
static constexpr ByteCount MaxObject{64 * 1024 * 1024};

static http::HttpCall makeCall(const ServiceAccess &access, const std::string &bucketName, const ObjectName &name, MonotonicTime deadline)
{
    http::HttpCall call;
    call.server = access.server;
    call.deadline = deadline;
    call.maxAnswer = MaxObject;
    call.request.target = "/" + bucketName + "/" + name.text();
    if (!access.region.empty()) {
        call.awsSignature = "aws:amz:" + access.region + ":s3";
        call.awsCredential = access.credential;
    }
    return call;
}

/// Throttling by S3 has the status 503, as other failures have, and is told by the code in the body only.
static PlatformError fromS3Error(const http::HttpResponse &response)
{
    if (response.status == 503 && response.body.find("<Code>SlowDown</Code>") != std::string::npos) {
        return PlatformError::Throttled;
    }
    if (response.status == 404 && response.body.find("<Code>NoSuchBucket</Code>") != std::string::npos) {
        return PlatformError::InvalidRequest;
    }
    return fromHttpStatus(response.status);
}

S3ObjectStore::S3ObjectStore(http::HttpClient &httpClient, ServiceAccess serviceAccess, std::string bucket)
    : client(httpClient), access(std::move(serviceAccess)), bucketName(std::move(bucket))
{
}

void S3ObjectStore::readObject(ObjectName name, MonotonicTime deadline, Handler<Result<std::string>> handler)
{
    auto call = makeCall(this->access, this->bucketName, name, deadline);
    call.request.method = "GET";
    call.request.headers.push_back({"x-amz-content-sha256", sha256Hex("")});
    this->client.send(std::move(call), [handler = std::move(handler)](http::HttpOutcome outcome) {
        if (!outcome.response) {
            handler(make_error_code(fromHttpError(outcome.response.error())));
            return;
        }
        if (outcome.response->status != 200) {
            handler(make_error_code(fromS3Error(*outcome.response)));
            return;
        }
        handler(std::move(outcome.response).value().body);
    });
}

void S3ObjectStore::writeObject(ObjectName name, std::string content, MonotonicTime deadline, Handler<Status> handler)
{
    auto call = makeCall(this->access, this->bucketName, name, deadline);
    call.request.method = "PUT";
    call.request.headers = {{"Content-Type", "application/octet-stream"}, {"x-amz-content-sha256", sha256Hex(content)}};
    call.request.body = std::move(content);
    this->client.send(std::move(call), [handler = std::move(handler)](const http::HttpOutcome &outcome) {
        if (!outcome.response) {
            handler(make_error_code(fromHttpError(outcome.response.error())));
            return;
        }
        handler(outcome.response->status == 200 ? Status() : make_error_code(fromS3Error(*outcome.response)));
    });
}

} // namespace rhubarbtiller::tablestore
