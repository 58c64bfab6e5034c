#include "callerrors.h"

#include <rhubarbtiller/http/errors.h>

#include <nlohmann/json.hpp>

#include <map>

namespace rhubarbtiller::tablestore {

using Json = nlohmann::json;

PlatformError fromHttpError(const std::error_code &error)
{
    if (error == http::HttpError::Timeout) {
        return PlatformError::Timeout;
    }
    if (error == http::HttpError::MalformedResponse || error == http::HttpError::OversizedResponse) {
        return PlatformError::Malformed;
    }
    if (error == http::HttpError::MalformedRequest) {
        return PlatformError::InvalidRequest;
    }
    return PlatformError::Unavailable;
}

PlatformError fromHttpStatus(int status)
{
    switch (status) {
    case 401:
    case 403:
        return PlatformError::Unauthorized;
    case 404:
        return PlatformError::NotFound;
    case 408:
        return PlatformError::Unavailable;
    case 429:
        return PlatformError::Throttled;
    default:
        break;
    }
    if (status >= 500) {
        return PlatformError::Unavailable;
    }
    return status >= 400 ? PlatformError::InvalidRequest : PlatformError::Malformed;
}

static PlatformError fromCancellation(const Json &body)
{
    bool isThrottled = false;
    bool isConflicting = false;
    const auto reasons = body.find("CancellationReasons");
    if (reasons == body.end() || !reasons->is_array()) {
        return PlatformError::TransactionConflict;
    }
    for (const auto &reason : *reasons) {
        const auto code = reason.is_object() ? reason.find("Code") : reason.end();
        const std::string text = reason.is_object() && code != reason.end() && code->is_string() ? code->get<std::string>() : "";
        if (text == "ConditionalCheckFailed") {
            return PlatformError::ConditionFailed;
        }
        isThrottled = isThrottled || text == "ThrottlingError" || text == "ProvisionedThroughputExceeded";
        isConflicting = isConflicting || text == "TransactionConflict";
    }
    if (isConflicting) {
        return PlatformError::TransactionConflict;
    }
    return isThrottled ? PlatformError::Throttled : PlatformError::InvalidRequest;
}

PlatformError fromDynamoError(const http::HttpResponse &response)
{
    static const std::map<std::string, PlatformError> byType = {
        {"ConditionalCheckFailedException", PlatformError::ConditionFailed},
        {"TransactionConflictException", PlatformError::TransactionConflict},
        // The first transaction with this token is still under way, so its outcome is open.
        {"TransactionInProgressException", PlatformError::Unavailable},
        {"ProvisionedThroughputExceededException", PlatformError::Throttled},
        {"ThrottlingException", PlatformError::Throttled},
        {"RequestLimitExceeded", PlatformError::Throttled},
        {"AccessDeniedException", PlatformError::Unauthorized},
        {"UnrecognizedClientException", PlatformError::Unauthorized},
        {"IncompleteSignatureException", PlatformError::Unauthorized},
        {"InvalidSignatureException", PlatformError::Unauthorized},
        {"MissingAuthenticationTokenException", PlatformError::Unauthorized},
        {"ExpiredTokenException", PlatformError::Unauthorized},
        {"InternalServerError", PlatformError::Unavailable},
        {"ServiceUnavailable", PlatformError::Unavailable},
        {"ServiceUnavailableException", PlatformError::Unavailable},
    };
    const Json body = Json::parse(response.body, nullptr, false);
    const auto member = body.is_object() ? body.find("__type") : body.end();
    if (!body.is_object() || member == body.end() || !member->is_string() || response.status < 400) {
        const PlatformError error = fromHttpStatus(response.status);
        // The API reports a missing item with a success, so a bare 404 comes from something else than the service.
        return error == PlatformError::NotFound ? PlatformError::Unavailable : error;
    }
    const auto name = member->get<std::string>();
    const auto type = name.substr(name.find('#') == std::string::npos ? 0 : name.find('#') + 1);
    if (type == "TransactionCanceledException") {
        return fromCancellation(body);
    }
    if (const auto known = byType.find(type); known != byType.end()) {
        return known->second;
    }
    // A missing table is a wrong setting and must not look like a missing item.
    return response.status >= 500 ? PlatformError::Unavailable : PlatformError::InvalidRequest;
}

} // namespace rhubarbtiller::tablestore
