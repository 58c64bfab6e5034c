#pragma once

#include <rhubarbtiller/http/httpclient.h>
#include <rhubarbtiller/platform/serviceaccess.h>
#include <rhubarbtiller/platform/tableservice.h>

namespace rhubarbtiller::platform {

/// Speaks the Amazon DynamoDB low-level JSON API, version 2012-08-10.
///
/// The table's primary key consists of the string attributes "pk" (partition) and "sk" (sort). No call is repeated
/// here: the caller decides. Thread safety: any thread.
class DynamoTableService : public TableService
{
public:
    /// Precondition: \p httpClient outlives every call.
    DynamoTableService(http::HttpClient &httpClient, ServiceAccess serviceAccess, std::string table);

    void readItem(ItemKey key, MonotonicTime deadline, Handler<Result<Item>> handler) override;
    void queryItems(KeyRange range, MonotonicTime deadline, Handler<Result<ItemPage>> handler) override;
    void writeTransaction(Transaction transaction, MonotonicTime deadline, Handler<Status> handler) override;

private:
    http::HttpClient &client;
    ServiceAccess access;
    std::string tableName;
};

} // namespace rhubarbtiller::platform
