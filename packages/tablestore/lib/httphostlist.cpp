#include <rhubarbtiller/tablestore/httphostlist.h>

#include "callerrors.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace rhubarbtiller::tablestore {

using Json = nlohmann::json;

// Room for several thousand hosts; the bound keeps a wrong document from exhausting a host's memory.
static constexpr ByteCount MaxDocument{4 * 1024 * 1024};

static std::optional<std::string> textMember(const Json &object, const char *name)
{
    const auto member = object.find(name);
    if (member == object.end() || !member->is_string()) {
        return std::nullopt;
    }
    return member->get<std::string>();
}

static std::optional<ListedHost> decodeHost(const Json &object)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto id = textMember(object, "id");
    const auto address = textMember(object, "address");
    const auto failureDomain = textMember(object, "failureDomain");
    const auto state = textMember(object, "state");
    if (!id || id->empty() || !address || !failureDomain || !state || (*state != "live" && *state != "leaving")) {
        return std::nullopt;
    }
    return ListedHost{HostId(*id),
                      Endpoint(*address),
                      FailureDomainId(*failureDomain),
                      *state == "live" ? ListedHostState::Live : ListedHostState::Leaving};
}

static Result<std::vector<ListedHost>> decodeDocument(const std::string &text)
{
    const Json document = Json::parse(text, nullptr, false);
    const auto list = document.is_object() ? document.find("hosts") : document.end();
    if (!document.is_object() || list == document.end() || !list->is_array()) {
        return make_error_code(PlatformError::Malformed);
    }
    std::vector<ListedHost> hosts;
    for (const auto &element : *list) {
        auto host = decodeHost(element);
        if (!host) {
            return make_error_code(PlatformError::Malformed);
        }
        hosts.push_back(std::move(*host));
    }
    return hosts;
}

HttpHostList::HttpHostList(http::HttpClient &httpClient, Endpoint listServer, std::string documentTarget)
    : client(httpClient), server(std::move(listServer)), target(std::move(documentTarget))
{
}

void HttpHostList::readHosts(MonotonicTime deadline, Handler<Result<std::vector<ListedHost>>> handler)
{
    http::HttpCall call;
    call.server = this->server;
    call.deadline = deadline;
    call.maxAnswer = MaxDocument;
    call.request.method = "GET";
    call.request.target = this->target;
    this->client.send(std::move(call), [handler = std::move(handler)](const http::HttpOutcome &outcome) {
        if (!outcome.response) {
            handler(make_error_code(fromHttpError(outcome.response.error())));
            return;
        }
        if (outcome.response->status != 200) {
            handler(make_error_code(fromHttpStatus(outcome.response->status)));
            return;
        }
        handler(decodeDocument(outcome.response->body));
    });
}

} // namespace rhubarbtiller::tablestore
