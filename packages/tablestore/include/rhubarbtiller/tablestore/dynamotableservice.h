#pragma once

#include <rhubarbtiller/http/httpclient.h>
#include <rhubarbtiller/tablestore/serviceaccess.h>
#include <rhubarbtiller/tablestore/tableservice.h>

#include <memory>
#include <optional>
#include <string>

namespace rhubarbtiller::tablestore {

/// Speaks the Amazon DynamoDB low-level JSON API, version 2012-08-10.
///
/// The table's primary key consists of the string attributes "pk" (partition) and "sk" (sort). No call is repeated
/// here: the caller decides. Thread safety: any thread.
class DynamoTableService : public TableService
{
public:
    /// Precondition: \p httpClient outlives every call.
    DynamoTableService(http::HttpClient &httpClient, ServiceAccess serviceAccess, std::string table);

    ~DynamoTableService() override;

    void readItem(ItemKey key, MonotonicTime deadline, Handler<Result<Item>> handler) override;
    void queryItems(KeyRange range, MonotonicTime deadline, Handler<Result<ItemPage>> handler) override;
    void writeTransaction(Transaction transaction, MonotonicTime deadline, Handler<Status> handler) override;

private:
    struct Connection;

    static void queryPage(const std::shared_ptr<const Connection> &connection,
                          const std::shared_ptr<void> &state,
                          const std::optional<ItemKey> &startAfter);

    /// Shared with the calls under way, so that the service may be destroyed before they end.
    std::shared_ptr<const Connection> connection;
};

} // namespace rhubarbtiller::tablestore
