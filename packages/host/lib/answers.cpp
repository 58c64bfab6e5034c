#include "answers.h"

#include "hopheaders.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace rhubarbtiller::host {

http::HttpResponse jsonResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}}, std::move(body)};
}

static http::HttpResponse refusalResponse(const routing::Refusal &refusal, const RequestId &id)
{
    const auto &facts = routing::factsOf(refusal.reason);
    const nlohmann::json problem = {
        {"type", "about:blank"},
        {"title", facts.title},
        {"status", facts.status},
        {"executed", routing::executionWord(refusal.execution)},
        {"reason", facts.word},
        {"request", id.text()},
    };
    http::HttpResponse response{
        facts.status, {{"Content-Type", "application/problem+json"}, {"Cache-Control", "no-store"}}, problem.dump()};
    if (refusal.retryAfter) {
        // The header counts whole seconds; a shorter wait would be refused again.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter).count();
        response.headers.push_back({"Retry-After", std::to_string(std::max<std::int64_t>(seconds, 1))});
    }
    response.headers.push_back({"Rhubarbtiller-Reason", std::string(facts.word)});
    return response;
}

http::HttpResponse toResponse(WorkOutcome outcome, const RequestId &id)
{
    http::HttpResponse response;
    if (outcome.response) {
        response = std::move(*outcome.response);
        removeHopHeaders(response.headers);
        removeHeader(response.headers, "Content-Length");
        for (const auto *const name : {"Rhubarbtiller-Executed", "Rhubarbtiller-Reason", "Rhubarbtiller-Request"}) {
            removeHeader(response.headers, name);
        }
    } else {
        response = refusalResponse(outcome.refusal, id);
    }
    response.headers.push_back({"Rhubarbtiller-Executed", std::string(routing::executionWord(outcome.execution))});
    response.headers.push_back({"Rhubarbtiller-Request", id.text()});
    return response;
}

} // namespace rhubarbtiller::host
