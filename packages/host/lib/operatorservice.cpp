#include <rhubarbtiller/host/operatorservice.h>

#include "answers.h"

#include <rhubarbtiller/base/digest.h>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <chrono>

using nlohmann::json;

namespace rhubarbtiller::host {

static constexpr std::string_view BearerScheme = "Bearer ";

OperatorService::OperatorService(Parts serviceParts) : parts(std::move(serviceParts))
{
}

bool OperatorService::isAuthorized(const http::HttpRequest &request) const
{
    const auto value = findHeader(request.headers, "Authorization");
    if (!value.starts_with(BearerScheme)) {
        return false;
    }
    // The time taken must not tell how much of a guess is right.
    return isEqualInConstantTime(value.substr(BearerScheme.size()), this->parts.credential);
}

void OperatorService::onRequest(http::HttpRequest request, std::shared_ptr<http::Responder> responder)
{
    if (!this->isAuthorized(request)) {
        responder->respond(jsonResponse(401, R"({"error":"the operator credential is missing or wrong"})"));
        return;
    }
    asio::post(this->parts.controlStrand, [this, request = std::move(request), responder = std::move(responder)] {
        this->answer(request, responder);
    });
}

void OperatorService::answer(const http::HttpRequest &request, const std::shared_ptr<http::Responder> &responder)
{
    const auto &target = request.target;
    if (request.method == "GET" && target == "/health") {
        responder->respond(this->health());
        return;
    }
    if (request.method == "GET" && target == "/metrics") {
        responder->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, this->parts.metrics.exposition()});
        return;
    }
    if (request.method == "GET" && target == "/state") {
        responder->respond(this->state());
        return;
    }
    if (request.method == "POST" && target == "/drain") {
        this->parts.drain.begin();
        responder->respond(jsonResponse(202, R"({"state":"draining"})"));
        return;
    }
    if (request.method == "POST" && target == "/faults/links" && this->parts.setLinkFault) {
        responder->respond(this->setLink(request.body));
        return;
    }
    responder->respond(jsonResponse(404, R"({"error":"no such resource"})"));
}

http::HttpResponse OperatorService::health() const
{
    const auto now = this->parts.clock.now();
    const auto freshness = this->parts.leases.freshness();
    const bool isServing = freshness.holds(now) && this->parts.board.phase.load() != blackboard::Phase::Draining;
    const json document = {{"healthy", isServing}, {"version", freshness.version.count()}};
    return jsonResponse(isServing ? 200 : 503, document.dump());
}

static const char *phaseWord(blackboard::Phase phase)
{
    switch (phase) {
    case blackboard::Phase::Starting:
        return "starting";
    case blackboard::Phase::Serving:
        return "serving";
    case blackboard::Phase::Draining:
        break;
    }
    return "draining";
}

static std::int64_t millisecondsUntil(MonotonicTime deadline, MonotonicTime now)
{
    return deadline <= now ? 0 : std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
}

http::HttpResponse OperatorService::state() const
{
    const auto now = this->parts.clock.now();
    const auto freshness = this->parts.leases.freshness();
    const auto leases = this->parts.board.leases.read();
    json shards = json::array();
    if (leases) {
        for (std::uint32_t shard = 0; shard < leases->shards.size(); ++shard) {
            const auto &lease = leases->shards[shard];
            if (leases->owns(ShardId(shard), now) || !lease.shares.empty()) {
                shards.push_back({{"shard", shard}, {"owned", leases->owns(ShardId(shard), now)}, {"votes", lease.shares.size()}});
            }
        }
    }
    json servers = json::array();
    for (const auto &[server, pool] : this->parts.serverOwner.ownedServers()) {
        servers.push_back({{"server", server.text()},
                           {"pool", pool->name.text()},
                           {"limit", this->parts.slots.limit(server, now).count()},
                           {"running", this->parts.slots.running(server).count()}});
    }
    json ejections = json::array();
    for (const auto &[server, evidence] : this->parts.pools.ejections()) {
        ejections.push_back({{"server", server.text()}, {"evidence", evidence}});
    }
    const json document = {{"host", this->parts.self.text()},
                           {"phase", phaseWord(this->parts.board.phase.load())},
                           {"listed", this->parts.roster.isListed()},
                           {"appliedVersion", freshness.version.count()},
                           {"settledVersion", freshness.settled.count()},
                           {"knownVersion", this->parts.leases.highestKnownVersion().count()},
                           {"freshForMs", millisecondsUntil(freshness.deadline, now)},
                           {"storeReachable", this->parts.configs.isStoreReachable()},
                           {"storeError", this->parts.configs.storeError() ? this->parts.configs.storeError().message() : ""},
                           {"requestsInProgress", this->parts.pipeline.requestsInProgress()},
                           {"shards", std::move(shards)},
                           {"servers", std::move(servers)},
                           {"ejections", std::move(ejections)}};
    return jsonResponse(200, document.dump());
}

http::HttpResponse OperatorService::setLink(const std::string &body) const
{
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("peer") || !document["peer"].is_string()) {
        return jsonResponse(400, R"({"error":"wanted: {\"peer\": id, \"dropIncoming\": flag, \"dropOutgoing\": flag}"})");
    }
    const auto &hosts = this->parts.configs.snapshot()->hosts();
    const auto host = hosts.find(HostId(document["peer"].get<std::string>()));
    if (host == hosts.end()) {
        return jsonResponse(404, R"({"error":"no such host"})");
    }
    this->parts.setLinkFault(host->second, document.value("dropIncoming", false), document.value("dropOutgoing", false));
    return jsonResponse(200, "{}");
}

} // namespace rhubarbtiller::host
