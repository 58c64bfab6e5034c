#include <rhubarbtiller/testing/backendstandin.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <limits>
#include <optional>
#include <utility>

namespace rhubarbtiller::testing {

using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

struct BackendStandin::Run
{
    explicit Run(asio::io_context &context) : timer(context)
    {
    }

    http::HttpRequest request;
    std::string requestId;
    std::weak_ptr<RawConnection> connection;
    asio::steady_timer timer;
    std::optional<GrayRule> rule;
    /// Position in the list of executions; stays valid because the list only grows or is emptied as a whole.
    std::size_t execution = 0;
    std::uint64_t logEpoch = 0;
    bool isRunning = false;
    bool isAnswered = false;
};

static std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return text;
}

static std::string headerValue(const http::Headers &headers, const std::string &name)
{
    for (const auto &header : headers) {
        if (lowerCase(header.name) == name) {
            return header.value;
        }
    }
    return {};
}

static std::optional<std::int64_t> queryNumber(const std::string &target, const std::string &name)
{
    const auto question = target.find('?');
    if (question == std::string::npos) {
        return std::nullopt;
    }
    const std::string query = "&" + target.substr(question + 1);
    const auto at = query.find("&" + name + "=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    return std::strtoll(query.c_str() + at + name.size() + 2, nullptr, 10);
}

static std::int64_t wallMicroseconds()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

static http::HttpResponse jsonResponse(int status, const Json &body)
{
    return {status, {{"Content-Type", "application/json"}}, body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

static http::HttpResponse notRunResponse(const std::string &reason)
{
    auto response = jsonResponse(503, {{"error", reason}});
    response.headers.push_back({"X-Not-Run", "1"});
    response.headers.push_back({"Retry-After", "1"});
    return response;
}

BackendStandin::BackendStandin(asio::io_context &ioContext, BackendSettings initialSettings)
    : context(ioContext)
    , settings(std::move(initialSettings))
    , server(ioContext,
             [this](http::HttpRequest request, const Connection &connection) {
                 this->onRequest(std::move(request), connection);
             })
    , coldUntil(SteadyClock::now() + this->settings.warmUpTime)
{
    this->recordState();
}

BackendStandin::~BackendStandin() = default;

void BackendStandin::start(const Endpoint &address)
{
    this->server.start(address);
}

Endpoint BackendStandin::boundAddress() const
{
    return this->server.boundAddress();
}

void BackendStandin::onRequest(http::HttpRequest request, const Connection &connection)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (path.rfind("/control/", 0) == 0) {
        this->onControl(path, request, connection);
    } else if (path == "/health") {
        this->onHealth(connection);
    } else if (path == "/load") {
        this->onLoad(connection);
    } else {
        this->onWork(std::move(request), connection);
    }
}

void BackendStandin::onControl(const std::string &path, const http::HttpRequest &request, const Connection &connection)
{
    const std::string call = request.method + " " + path;
    const auto respondIf = [&connection](bool isAccepted) {
        connection->respond(jsonResponse(isAccepted ? 200 : 400, {{"accepted", isAccepted}}));
    };
    if (call == "GET /control/executions") {
        connection->respond({200, {{"Content-Type", "application/json"}}, this->executionsJson()});
    } else if (call == "DELETE /control/executions") {
        this->executions.clear();
        ++this->logEpoch;
        this->peakConcurrency = this->running;
        this->peakColdConcurrency = 0;
        respondIf(true);
    } else if (call == "GET /control/state") {
        connection->respond({200, {{"Content-Type", "application/json"}}, this->stateJson()});
    } else if (call == "POST /control/settings") {
        respondIf(this->applySettings(request.body));
        this->recordState();
    } else if (call == "POST /control/rules") {
        respondIf(this->applyRules(request.body));
        this->recordState();
    } else if (call == "POST /control/cold") {
        this->coldUntil = SteadyClock::now() + this->settings.warmUpTime;
        respondIf(true);
    } else {
        connection->respond(jsonResponse(404, {{"error", "no such control endpoint"}}));
    }
}

void BackendStandin::onHealth(const Connection &connection)
{
    ++this->probes;
    bool isHealthy = true;
    switch (this->settings.healthMode) {
    case ReportMode::Silent:
        return;
    case ReportMode::AlwaysGood:
        break;
    case ReportMode::AlwaysBad:
        isHealthy = false;
        break;
    case ReportMode::Lagging:
        isHealthy = this->stateBefore(this->settings.healthLag).isHealthy;
        break;
    }
    connection->respond(jsonResponse(isHealthy ? 200 : 503, {{"healthy", isHealthy}}));
}

void BackendStandin::onLoad(const Connection &connection)
{
    ++this->probes;
    std::uint32_t reported = 0;
    switch (this->settings.loadMode) {
    case ReportMode::Silent:
        return;
    case ReportMode::AlwaysGood:
        break;
    case ReportMode::AlwaysBad:
        reported = this->settings.slots;
        break;
    case ReportMode::Lagging:
        reported = this->stateBefore(this->settings.loadLag).running;
        break;
    }
    connection->respond(jsonResponse(200, {{"running", reported}, {"slots", this->settings.slots}}));
}

void BackendStandin::onWork(http::HttpRequest request, const Connection &connection)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (this->settings.isDraining) {
        ++this->refusedDraining;
        connection->respond(notRunResponse("draining"));
        return;
    }
    const GrayRule *rule = this->findRule(path, headerValue(request.headers, "rhubarbtiller-organisation"));
    if (rule && rule->kind == GrayKind::ResetBefore) {
        connection->reset();
        return;
    }
    if (rule && rule->kind == GrayKind::Hang) {
        return;
    }
    if (this->settings.isShedding && !this->isCollapsed() && this->running >= this->settings.slots) {
        ++this->shed;
        connection->respond(notRunResponse("overload"));
        return;
    }
    this->beginRun(std::move(request), connection, rule);
}

void BackendStandin::beginRun(http::HttpRequest request, const Connection &connection, const GrayRule *rule)
{
    const auto run = std::make_shared<Run>(this->context);
    run->requestId = headerValue(request.headers, "rhubarbtiller-request-id");
    run->connection = connection;
    run->isRunning = true;
    if (rule) {
        run->rule = *rule;
    }
    ++this->running;
    this->peakConcurrency = std::max(this->peakConcurrency, this->running);
    if (this->isCold()) {
        this->peakColdConcurrency = std::max(this->peakColdConcurrency, this->running);
    }

    BackendExecution execution;
    execution.requestId = run->requestId;
    execution.callerTag = headerValue(request.headers, "x-caller-tag");
    execution.idempotencyKey = headerValue(request.headers, "idempotency-key");
    execution.method = request.method;
    execution.target = request.target;
    execution.organisation = headerValue(request.headers, "rhubarbtiller-organisation");
    execution.traceParent = headerValue(request.headers, "traceparent");
    execution.wasCold = this->isCold();
    execution.concurrency = this->running;
    execution.startedAt = wallMicroseconds();
    std::string everything = request.target + "\n" + request.body.text() + "\n";
    for (const auto &header : request.headers) {
        execution.headerNames.push_back(header.name);
        everything += header.name + ": " + header.value + "\n";
    }
    execution.containsSecret
        = std::any_of(this->settings.secrets.begin(), this->settings.secrets.end(), [&everything](const std::string &secret) {
              return !secret.empty() && everything.find(secret) != std::string::npos;
          });
    run->execution = this->executions.size();
    run->logEpoch = this->logEpoch;
    this->executions.push_back(std::move(execution));

    const auto now = SteadyClock::now();
    bool isFailing = this->isCollapsed();
    if (!isFailing && this->isCold() && this->running > this->settings.coldSlots) {
        isFailing = true;
        if (this->settings.coldFailure == ColdFailure::Collapse) {
            this->collapsedUntil = now + this->settings.collapseTime;
            ++this->collapses;
        }
    }
    this->recordState();

    std::chrono::milliseconds duration = this->settings.serviceTime;
    if (const auto asked = queryNumber(request.target, "ms")) {
        duration = std::chrono::milliseconds(*asked);
    }
    if (this->running > this->settings.slots) {
        duration = duration * this->running / std::max(this->settings.slots, 1U);
    }
    if (run->rule && run->rule->kind == GrayKind::Slow) {
        duration += run->rule->delay;
    }
    std::optional<std::chrono::milliseconds> remaining;
    if (const std::string text = headerValue(request.headers, "rhubarbtiller-deadline-ms"); !text.empty()) {
        remaining = std::chrono::milliseconds(std::strtoll(text.c_str(), nullptr, 10));
    }
    const bool willExpire = remaining && *remaining < duration;
    run->request = std::move(request);

    const bool ignoresCancellation = run->rule && run->rule->kind == GrayKind::LateAnswer;
    if (!ignoresCancellation) {
        connection->onClose([this, weakRun = std::weak_ptr<Run>(run)] {
            if (const auto closed = weakRun.lock(); closed && closed->isRunning) {
                closed->timer.cancel();
                this->endRun(closed, "cancelled");
            }
        });
    }
    run->timer.expires_after(willExpire && !ignoresCancellation ? *remaining : duration);
    run->timer.async_wait([this, run, isFailing, isExpired = willExpire && !ignoresCancellation](std::error_code error) {
        if (error || !run->isRunning) {
            return;
        }
        if (isExpired) {
            this->endRun(run, "expired");
            this->answer(run, jsonResponse(504, {{"error", "deadline"}}));
            return;
        }
        if (isFailing || (run->rule && run->rule->kind == GrayKind::Fail)) {
            this->endRun(run, "failed");
            this->answer(run, jsonResponse(run->rule ? run->rule->status : 500, {{"error", "failed"}}));
            return;
        }
        this->endRun(run, "completed");
        this->answer(run, this->workResponse(*run));
    });
}

void BackendStandin::endRun(const std::shared_ptr<Run> &run, const std::string &outcome)
{
    run->isRunning = false;
    --this->running;
    this->recordState();
    if (run->logEpoch == this->logEpoch) {
        auto &execution = this->executions[run->execution];
        execution.outcome = outcome;
        execution.endedAt = wallMicroseconds();
    }
}

http::HttpResponse BackendStandin::workResponse(const Run &run) const
{
    Json body = {{"server", this->settings.id},
                 {"requestId", run.requestId},
                 {"callerTag", headerValue(run.request.headers, "x-caller-tag")},
                 {"organisation", headerValue(run.request.headers, "rhubarbtiller-organisation")},
                 {"method", run.request.method},
                 {"target", run.request.target},
                 {"body", run.request.body.text()}};
    if (const auto bytes = queryNumber(run.request.target, "bytes"); bytes && *bytes > 0) {
        // Bounded, so that a wrong query cannot exhaust the memory of a test machine.
        body["padding"] = std::string(static_cast<std::size_t>(std::min<std::int64_t>(*bytes, 64 * 1024 * 1024)), 'x');
    }
    return jsonResponse(200, body);
}

void BackendStandin::answer(const std::shared_ptr<Run> &run, http::HttpResponse response)
{
    response.headers.push_back({"Rhubarbtiller-Request-Id", run->requestId});
    if (run->rule && run->rule->kind == GrayKind::LateAnswer) {
        run->timer.expires_after(run->rule->delay);
        run->timer.async_wait([this, run, response = std::move(response)](std::error_code error) {
            if (!error) {
                this->sendAnswer(run, response);
            }
        });
        return;
    }
    this->sendAnswer(run, response);
}

void BackendStandin::sendAnswer(const std::shared_ptr<Run> &run, const http::HttpResponse &response)
{
    const auto connection = run->connection.lock();
    if (!connection) {
        return;
    }
    const std::string bytes = RawConnection::serialise(response);
    std::string other = std::exchange(this->lastAnswer, bytes);
    const std::string otherId = std::exchange(this->lastAnswerRequestId, run->requestId);
    if (other.empty() || otherId == run->requestId) {
        auto forged = jsonResponse(200, {{"server", this->settings.id}, {"requestId", "another-request"}, {"callerTag", "another-caller"}});
        forged.headers.push_back({"Rhubarbtiller-Request-Id", "another-request"});
        other = RawConnection::serialise(forged);
    }
    const GrayKind kind = run->rule ? run->rule->kind : GrayKind::Fail;
    switch (kind) {
    case GrayKind::CutShort:
        connection->sendRaw(bytes.substr(0, bytes.size() - response.body.size() / 2 - 1), true);
        return;
    case GrayKind::TrailingBytes:
        connection->sendRaw(bytes + "trailing bytes", false);
        connection->finishRequest();
        return;
    case GrayKind::Crossed:
        connection->sendRaw(other, false);
        connection->finishRequest();
        return;
    case GrayKind::Unsolicited:
        connection->sendRaw(bytes, false);
        connection->finishRequest();
        run->timer.expires_after(run->rule->delay);
        run->timer.async_wait([run, other](std::error_code error) {
            if (const auto open = run->connection.lock(); open && !error) {
                open->sendRaw(other, false);
            }
        });
        return;
    case GrayKind::ResetAfter:
        connection->reset();
        return;
    default:
        connection->sendRaw(bytes, false);
        connection->finishRequest();
    }
}

GrayRule *BackendStandin::findRule(const std::string &path, const std::string &organisation)
{
    const auto elapsed = SteadyClock::now() - this->rulesSetAt;
    for (auto &rule : this->rules) {
        if (path.rfind(rule.pathPrefix, 0) != 0 || (!rule.organisation.empty() && rule.organisation != organisation) || rule.times == 0) {
            continue;
        }
        if (rule.period.count() > 0 && elapsed % rule.period >= rule.activeTime) {
            continue;
        }
        if (rule.fraction < 1 && std::uniform_real_distribution<double>(0, 1)(this->random) >= rule.fraction) {
            continue;
        }
        if (rule.times > 0) {
            --rule.times;
        }
        return &rule;
    }
    return nullptr;
}

bool BackendStandin::isCold() const
{
    return SteadyClock::now() < this->coldUntil;
}

bool BackendStandin::isCollapsed() const
{
    return SteadyClock::now() < this->collapsedUntil;
}

void BackendStandin::recordState()
{
    const auto now = SteadyClock::now();
    this->states.push_back({now, !this->isCollapsed() && !this->settings.isDraining, this->running});
    const auto oldest = now - std::max({this->settings.healthLag, this->settings.loadLag, std::chrono::milliseconds(1000)});
    while (this->states.size() > 1 && this->states[1].at < oldest) {
        this->states.pop_front();
    }
}

BackendStandin::StatePoint BackendStandin::stateBefore(std::chrono::milliseconds lag) const
{
    if (lag.count() == 0) {
        return {SteadyClock::now(), !this->isCollapsed() && !this->settings.isDraining, this->running};
    }
    const auto moment = SteadyClock::now() - lag;
    StatePoint found = this->states.front();
    for (const auto &state : this->states) {
        if (state.at > moment) {
            break;
        }
        found = state;
    }
    return found;
}

std::string BackendStandin::executionsJson() const
{
    Json list = Json::array();
    for (const auto &execution : this->executions) {
        list.push_back({{"requestId", execution.requestId},
                        {"callerTag", execution.callerTag},
                        {"idempotencyKey", execution.idempotencyKey},
                        {"method", execution.method},
                        {"target", execution.target},
                        {"path", execution.target.substr(0, execution.target.find('?'))},
                        {"organisation", execution.organisation},
                        {"traceParent", execution.traceParent},
                        {"headerNames", execution.headerNames},
                        {"containsSecret", execution.containsSecret},
                        {"wasCold", execution.wasCold},
                        {"concurrency", execution.concurrency},
                        {"startedAtUs", execution.startedAt},
                        {"endedAtUs", execution.endedAt},
                        {"outcome", execution.outcome}});
    }
    Json document = Json::parse(this->stateJson());
    document["executions"] = std::move(list);
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string BackendStandin::stateJson() const
{
    return Json{{"server", this->settings.id},
                {"running", this->running},
                {"peakConcurrency", this->peakConcurrency},
                {"peakColdConcurrency", this->peakColdConcurrency},
                {"slots", this->settings.slots},
                {"coldSlots", this->settings.coldSlots},
                {"isCold", this->isCold()},
                {"isCollapsed", this->isCollapsed()},
                {"isDraining", this->settings.isDraining},
                {"collapses", this->collapses},
                {"shed", this->shed},
                {"refusedDraining", this->refusedDraining},
                {"probes", this->probes},
                {"executionCount", this->executions.size()}}
        .dump();
}

static ReportMode reportModeFrom(const std::string &text)
{
    if (text == "lagging") {
        return ReportMode::Lagging;
    }
    if (text == "always-good") {
        return ReportMode::AlwaysGood;
    }
    if (text == "always-bad") {
        return ReportMode::AlwaysBad;
    }
    if (text == "silent") {
        return ReportMode::Silent;
    }
    throw std::invalid_argument("unknown report mode");
}

static GrayKind grayKindFrom(const std::string &text)
{
    static const std::map<std::string, GrayKind> kinds = {{"fail", GrayKind::Fail},
                                                          {"slow", GrayKind::Slow},
                                                          {"late-answer", GrayKind::LateAnswer},
                                                          {"cut-short", GrayKind::CutShort},
                                                          {"trailing-bytes", GrayKind::TrailingBytes},
                                                          {"crossed", GrayKind::Crossed},
                                                          {"unsolicited", GrayKind::Unsolicited},
                                                          {"reset-before", GrayKind::ResetBefore},
                                                          {"reset-after", GrayKind::ResetAfter},
                                                          {"hang", GrayKind::Hang}};
    return kinds.at(text);
}

/// Throws on a member that is not known: a misspelt member would otherwise leave a test without the fault it asks for.
static void refuseUnknownMembers(const Json &object, const std::set<std::string> &known)
{
    for (const auto &member : object.items()) {
        if (!known.contains(member.key())) {
            throw std::invalid_argument("unknown member " + member.key());
        }
    }
}

bool BackendStandin::applySettings(const std::string &json)
{
    try {
        const Json object = Json::parse(json);
        refuseUnknownMembers(object,
                             {"id",
                              "slots",
                              "coldSlots",
                              "warmUpMs",
                              "serviceTimeMs",
                              "shedding",
                              "coldFailure",
                              "collapseMs",
                              "draining",
                              "health",
                              "healthLagMs",
                              "load",
                              "loadLagMs",
                              "secrets",
                              "seed"});
        BackendSettings next = this->settings;
        const auto milliseconds = [&object](const char *name, std::chrono::milliseconds current) {
            return std::chrono::milliseconds(object.value(name, static_cast<std::int64_t>(current.count())));
        };
        next.id = object.value("id", next.id);
        next.slots = object.value("slots", next.slots);
        next.coldSlots = object.value("coldSlots", next.coldSlots);
        next.warmUpTime = milliseconds("warmUpMs", next.warmUpTime);
        next.serviceTime = milliseconds("serviceTimeMs", next.serviceTime);
        next.isShedding = object.value("shedding", next.isShedding);
        next.collapseTime = milliseconds("collapseMs", next.collapseTime);
        next.isDraining = object.value("draining", next.isDraining);
        next.healthLag = milliseconds("healthLagMs", next.healthLag);
        next.loadLag = milliseconds("loadLagMs", next.loadLag);
        next.secrets = object.value("secrets", next.secrets);
        if (object.contains("coldFailure")) {
            const auto text = object.at("coldFailure").get<std::string>();
            if (text != "collapse" && text != "fail") {
                return false;
            }
            next.coldFailure = text == "collapse" ? ColdFailure::Collapse : ColdFailure::FailRequest;
        }
        if (object.contains("health")) {
            next.healthMode = reportModeFrom(object.at("health").get<std::string>());
        }
        if (object.contains("load")) {
            next.loadMode = reportModeFrom(object.at("load").get<std::string>());
        }
        if (object.contains("seed")) {
            this->random.seed(object.at("seed").get<std::uint64_t>());
        }
        this->settings = std::move(next);
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

bool BackendStandin::applyRules(const std::string &json)
{
    try {
        std::vector<GrayRule> next;
        const Json list = Json::parse(json).at("rules");
        for (const Json &object : list) {
            refuseUnknownMembers(object,
                                 {"kind", "pathPrefix", "organisation", "fraction", "status", "delayMs", "periodMs", "activeMs", "times"});
            GrayRule rule;
            rule.kind = grayKindFrom(object.at("kind").get<std::string>());
            rule.pathPrefix = object.value("pathPrefix", rule.pathPrefix);
            rule.organisation = object.value("organisation", rule.organisation);
            rule.fraction = object.value("fraction", rule.fraction);
            rule.status = object.value("status", rule.status);
            rule.delay = std::chrono::milliseconds(object.value("delayMs", std::int64_t{0}));
            rule.period = std::chrono::milliseconds(object.value("periodMs", std::int64_t{0}));
            rule.activeTime = std::chrono::milliseconds(object.value("activeMs", std::int64_t{0}));
            rule.times = object.value("times", rule.times);
            next.push_back(std::move(rule));
        }
        this->rules = std::move(next);
        this->rulesSetAt = SteadyClock::now();
        return true;
    } catch (const std::exception &) {
        return false;
    }
}

} // namespace rhubarbtiller::testing
