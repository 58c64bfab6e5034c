#pragma once

#include <rhubarbtiller/http/httpmessage.h>
#include <rhubarbtiller/testing/memorytable.h>

#include <map>
#include <string>

namespace rhubarbtiller::testing {

/// Answers GetItem, Query and TransactWriteItems of the DynamoDB low-level JSON API from a table in memory.
///
/// It takes the table's key to be the string attributes "pk" and "sk". Conditions are "attribute_not_exists(pk)" and
/// "name = :value"; updates are "SET name = :value, ...". Thread safety: one thread.
class DynamoEndpoint
{
public:
    /// Answers a call. Precondition: none; a call that it does not understand gets a ValidationException.
    http::HttpResponse handle(const http::HttpRequest &request);

    /// Returns whether the call changes items, judged by its X-Amz-Target. Precondition: none.
    static bool isWrite(const http::HttpRequest &request);

    /// Makes the response of an error. Precondition: \p type is the name of an exception of the API.
    static http::HttpResponse errorResponse(int status, const std::string &type, const std::string &message);

    /// Returns the items behind the endpoint. Precondition: none.
    MemoryTable &table()
    {
        return this->items;
    }

private:
    MemoryTable items;
    /// The body of each executed transaction by its token.
    std::map<std::string, std::string> bodyByToken;
};

} // namespace rhubarbtiller::testing
