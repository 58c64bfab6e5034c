#include <rhubarbtiller/testing/platformstandin.h>

#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <set>
#include <stdexcept>
#include <utility>
#include <vector>

namespace rhubarbtiller::testing {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

static http::HttpResponse jsonResponse(int status, const Json &json)
{
    return {status, {{"Content-Type", "application/json"}}, json.dump()};
}

static http::HttpResponse xmlError(int status, const std::string &code)
{
    return {status,
            {{"Content-Type", "application/xml"}},
            "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<Error><Code>" + code + "</Code><Message>" + code + "</Message></Error>"};
}

PlatformStandin::PlatformStandin(asio::io_context &ioContext)
    : context(ioContext)
    , server(ioContext,
             [this](http::HttpRequest request, const Connection &connection) {
                 this->onRequest(std::move(request), connection);
             })
    , services({{"table", {}}, {"objects", {}}, {"hosts", {}}})
{
    this->hostDocuments.emplace_back(SteadyClock::now(), R"({"hosts":[]})");
}

void PlatformStandin::start(const Endpoint &address)
{
    this->server.start(address);
}

Endpoint PlatformStandin::boundAddress() const
{
    return this->server.boundAddress();
}

void PlatformStandin::onRequest(http::HttpRequest request, const Connection &connection)
{
    if (request.target.rfind("/control/", 0) == 0) {
        this->onControl(request, connection);
    } else if (request.method == "POST" && request.target == "/") {
        this->onServiceCall("table", std::move(request), connection);
    } else if (request.target == "/hosts") {
        this->onServiceCall("hosts", std::move(request), connection);
    } else {
        this->onServiceCall("objects", std::move(request), connection);
    }
}

void PlatformStandin::onServiceCall(const std::string &serviceName, http::HttpRequest request, const Connection &connection)
{
    Service &service = this->services.at(serviceName);
    const bool isWrite = request.method == "PUT" || DynamoEndpoint::isWrite(request);
    ++(isWrite ? service.writes : service.reads);
    switch (service.faults.outage) {
    case OutageMode::Refuse:
        ++service.failed;
        connection->respond(xmlError(503, "ServiceUnavailable"));
        return;
    case OutageMode::Silent:
        ++service.failed;
        return;
    case OutageMode::Reset:
        ++service.failed;
        connection->reset();
        return;
    case OutageMode::None:
        break;
    }
    if (this->isThrottled(service, isWrite)) {
        ++service.failed;
        connection->respond(serviceName == "table"
                                ? DynamoEndpoint::errorResponse(400, "ProvisionedThroughputExceededException", "too many calls")
                                : xmlError(503, "SlowDown"));
        return;
    }
    if (service.faults.delay.count() == 0) {
        this->execute(service, request, isWrite, connection);
        return;
    }
    this->later(service.faults.delay, [this, &service, request = std::move(request), isWrite, connection] {
        this->execute(service, request, isWrite, connection);
    });
}

void PlatformStandin::execute(Service &service, const http::HttpRequest &request, bool isWrite, const Connection &connection)
{
    if (isWrite && service.faults.lateNextWrites > 0) {
        --service.faults.lateNextWrites;
        this->later(service.faults.lateTime, [this, request] {
            this->perform(request);
        });
        return;
    }
    auto response = this->perform(request);
    if (isWrite && service.faults.loseNextWriteAnswers > 0) {
        --service.faults.loseNextWriteAnswers;
        connection->reset();
        return;
    }
    connection->respond(response);
}

bool PlatformStandin::isThrottled(Service &service, bool isWrite) const
{
    const auto now = SteadyClock::now();
    if (now - service.secondBegan >= std::chrono::seconds(1)) {
        service.secondBegan = now;
        service.readsInSecond = 0;
        service.writesInSecond = 0;
    }
    const std::uint32_t limit = isWrite ? service.writesPerSecond : service.readsPerSecond;
    std::uint32_t &count = isWrite ? service.writesInSecond : service.readsInSecond;
    if (limit > 0 && count >= limit) {
        return true;
    }
    ++count;
    return false;
}

http::HttpResponse PlatformStandin::perform(const http::HttpRequest &request)
{
    if (request.method == "POST" && request.target == "/") {
        return this->dynamo.handle(request);
    }
    if (request.target == "/hosts") {
        if (request.method != "GET") {
            return xmlError(405, "MethodNotAllowed");
        }
        return {200, {{"Content-Type", "application/json"}}, this->currentHosts()};
    }
    return this->performObjectCall(request);
}

http::HttpResponse PlatformStandin::performObjectCall(const http::HttpRequest &request)
{
    const auto slash = request.target.find('/', 1);
    if (slash == std::string::npos || slash + 1 == request.target.size()) {
        return xmlError(400, "InvalidURI");
    }
    if (request.method == "PUT") {
        this->objects[request.target] = request.body;
        return {200, {{"ETag", "\"" + std::to_string(std::hash<std::string>{}(request.body)) + "\""}}, ""};
    }
    if (request.method != "GET") {
        return xmlError(405, "MethodNotAllowed");
    }
    const auto found = this->objects.find(request.target);
    if (found == this->objects.end()) {
        return xmlError(404, "NoSuchKey");
    }
    return {200, {{"Content-Type", "binary/octet-stream"}}, found->second};
}

void PlatformStandin::onControl(const http::HttpRequest &request, const Connection &connection)
{
    const std::string call = request.method + " " + request.target;
    if (call == "POST /control/faults") {
        const bool isAccepted = this->applyFaults(request.body);
        connection->respond(jsonResponse(isAccepted ? 200 : 400, {{"accepted", isAccepted}}));
    } else if (call == "PUT /control/hosts") {
        const bool isAccepted = this->applyHosts(request.body);
        connection->respond(jsonResponse(isAccepted ? 200 : 400, {{"accepted", isAccepted}}));
    } else if (call == "GET /control/state") {
        Json state = {{"transactions", this->dynamo.table().writeCount()}, {"objects", this->objects.size()}};
        for (const auto &[name, service] : this->services) {
            state["services"][name] = {{"reads", service.reads}, {"writes", service.writes}, {"failed", service.failed}};
        }
        connection->respond(jsonResponse(200, state));
    } else {
        connection->respond(jsonResponse(404, {{"error", "no such control endpoint"}}));
    }
}

bool PlatformStandin::applyFaults(const std::string &json)
{
    static const std::map<std::string, OutageMode> outages
        = {{"none", OutageMode::None}, {"refuse", OutageMode::Refuse}, {"silent", OutageMode::Silent}, {"reset", OutageMode::Reset}};
    static const std::set<std::string> known
        = {"service", "outage", "delayMs", "loseNextWriteAnswers", "lateNextWrites", "lateMs", "readsPerSecond", "writesPerSecond"};
    try {
        const Json object = Json::parse(json);
        for (const auto &member : object.items()) {
            if (!known.contains(member.key())) {
                return false;
            }
        }
        const auto name = object.value("service", std::string("all"));
        if (name != "all" && !this->services.contains(name)) {
            return false;
        }
        std::vector<std::pair<Service *, Service>> changed;
        for (auto &[serviceName, service] : this->services) {
            if (name != "all" && name != serviceName) {
                continue;
            }
            Service next = service;
            ServiceFaults &faults = next.faults;
            if (object.contains("outage")) {
                faults.outage = outages.at(object.at("outage").get<std::string>());
            }
            if (object.contains("delayMs")) {
                faults.delay = std::chrono::milliseconds(object.at("delayMs").get<std::int64_t>());
            }
            faults.loseNextWriteAnswers = object.value("loseNextWriteAnswers", faults.loseNextWriteAnswers);
            faults.lateNextWrites = object.value("lateNextWrites", faults.lateNextWrites);
            if (object.contains("lateMs")) {
                faults.lateTime = std::chrono::milliseconds(object.at("lateMs").get<std::int64_t>());
            }
            next.readsPerSecond = object.value("readsPerSecond", next.readsPerSecond);
            next.writesPerSecond = object.value("writesPerSecond", next.writesPerSecond);
            changed.emplace_back(&service, next);
        }
        for (const auto &[service, next] : changed) {
            *service = next;
        }
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

bool PlatformStandin::applyHosts(const std::string &json)
{
    try {
        const Json object = Json::parse(json);
        const auto lag = std::chrono::milliseconds(object.value("lagMs", std::int64_t{0}));
        const auto shownFrom = SteadyClock::now() + lag;
        // A newer document replaces older ones that would be shown after it.
        while (this->hostDocuments.size() > 1 && this->hostDocuments.back().first >= shownFrom) {
            this->hostDocuments.pop_back();
        }
        this->hostDocuments.emplace_back(shownFrom, object.at("document").dump());
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

std::string PlatformStandin::currentHosts()
{
    const auto now = SteadyClock::now();
    while (this->hostDocuments.size() > 1 && this->hostDocuments[1].first <= now) {
        this->hostDocuments.pop_front();
    }
    return this->hostDocuments.front().second;
}

void PlatformStandin::later(Duration delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
    timer->async_wait([timer, action = std::move(action)](std::error_code error) {
        if (!error) {
            action();
        }
    });
}

} // namespace rhubarbtiller::testing
