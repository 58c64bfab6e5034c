#include <rhubarbtiller/gateway/gatewayprocess.h>

#include "peerlink.h"
#include "requestflow.h"
#include "serviceusemonitor.h"
#include "statepage.h"
#include "statesync.h"
#include "thriftcodec.h"

#include <rhubarbtiller/http/curlhttpclient.h>
#include <rhubarbtiller/http/restinioserver.h>
#include <rhubarbtiller/telemetry/log.h>

#include <asio/post.hpp>

#include <charconv>

namespace rhubarbtiller::gateway {

using std::chrono::milliseconds;
using telemetry::logEvent;
using telemetry::LogLevel;

/// Callers keep connections idle for a while by their own rules; the server lets them decide.
static constexpr milliseconds CallerIdleTime{120'000};

/// Requests that a caller may send before the first is answered.
static constexpr std::uint32_t MaxPipelined = 16;

/// The process ends this long before it would be killed.
static constexpr milliseconds StopMargin{700};

/// Callers that learned of this host before it began to stop have asked again after this many lifetimes of an answer.
static constexpr int StopLifetimes = 2;

/// Without a request for this long, nobody uses this host any more.
static constexpr milliseconds QuietBeforeStop{1500};

static constexpr milliseconds StopCheckInterval{100};

/// How often waiting requests are looked after, with and without some.
static constexpr milliseconds BusyPumpInterval{20};
static constexpr milliseconds IdlePumpInterval{100};

/// Least pause between attempts to write the address of this host to the store, at most twice as long.
static constexpr milliseconds RegisterRetryPause{1000};

namespace {

/// Starts a flow for each request of a caller.
class CallerHandler : public http::RequestHandler
{
public:
    explicit CallerHandler(FlowContext &flowContext) : flow(flowContext)
    {
    }

    void onRequest(http::HttpRequest request, std::shared_ptr<http::Responder> responder) override
    {
        std::make_shared<RequestFlow>(this->flow, std::move(responder))->start(std::move(request));
    }

private:
    FlowContext &flow;
};

/// Answers on the control port; the state page is made on the thread that owns the state.
class ControlHandler : public http::RequestHandler
{
public:
    using Function = std::function<http::HttpResponse(const http::HttpRequest &)>;

    ControlHandler(asio::io_context &servingContext, std::function<http::HttpResponse()> statePage, Function others)
        : serving(servingContext), makeStatePage(std::move(statePage)), answerOthers(std::move(others))
    {
    }

    void onRequest(http::HttpRequest request, std::shared_ptr<http::Responder> responder) override
    {
        if (request.method != "GET" || request.target != StateTarget) {
            responder->respond(this->answerOthers(request));
            return;
        }
        asio::post(this->serving, [this, responder = std::move(responder)] {
            responder->respond(this->makeStatePage());
        });
    }

private:
    static constexpr std::string_view StateTarget = "/state";

    asio::io_context &serving;
    std::function<http::HttpResponse()> makeStatePage;
    Function answerOthers;
};

/// Calls a function for each request.
class FunctionHandler : public http::RequestHandler
{
public:
    using Function = std::function<http::HttpResponse(const http::HttpRequest &)>;

    explicit FunctionHandler(Function answering) : function(std::move(answering))
    {
    }

    void onRequest(http::HttpRequest request, std::shared_ptr<http::Responder> responder) override
    {
        responder->respond(this->function(request));
    }

private:
    Function function;
};

} // namespace

static http::HttpResponse statusOnly(int status)
{
    return {status, {}, {}};
}

struct GatewayProcess::Parts
{
    Parts(asio::io_context &servingContext,
          asio::io_context &controlContext,
          GatewaySettings gatewaySettings,
          const PlatformFactory &factory,
          std::function<void()> whenStopped);

    std::error_code start();
    void registerHost();
    void readHosts();
    void onPublished();
    void applySettings(const GatewaySettings &changed);
    void beginStop();
    void checkStop();
    void pumpWaiting();
    http::HttpResponse answerAddresses(const http::HttpRequest &request);
    http::HttpResponse answerReadiness(const http::HttpRequest &request);
    http::HttpResponse answerControl(const http::HttpRequest &request);
    http::HttpResponse answerState();
    std::vector<Endpoint> seedPeers() const;

    asio::io_context &serving;
    asio::io_context &control;
    GatewaySettings settings;
    std::function<void()> stopped;
    SystemClock clock;
    SystemRandom random;
    telemetry::Metrics metrics;
    std::unique_ptr<telemetry::SpanExporter> spans;
    std::unique_ptr<http::HttpClient> storeClient;
    PlatformParts platform;
    RcuCell<catalog::FleetState> state;
    balance::HostDirectory directory;
    balance::Scoreboard board;
    balance::OrganisationQuota quota;
    balance::RetryBudget retries;
    balance::WeightedSplit split;
    std::unique_ptr<BackendClient> backend;
    FlowContext flow;
    ServiceUseMonitor useMonitor;
    StateSync sync;
    PeerLink link;
    CallerHandler callerHandler;
    FunctionHandler directoryHandler;
    FunctionHandler readinessHandler;
    ControlHandler controlHandler;
    std::unique_ptr<http::HttpServer> callerServer;
    std::unique_ptr<http::HttpServer> directoryServer;
    std::unique_ptr<http::HttpServer> readinessServer;
    std::unique_ptr<http::HttpServer> controlServer;
    asio::steady_timer stopTimer;
    asio::steady_timer pumpTimer;
    asio::steady_timer registerTimer;
    MonotonicTime stopBeganAt{};
    std::atomic<bool> isStopping{false};
    /// Whether the list was read although this host does not stand in it yet.
    bool hasReadHosts = false;
    std::atomic<bool> hasState{false};
};

static balance::HostRecord ownRecord(const GatewaySettings &settings, const Clock &clock)
{
    balance::HostRecord record;
    record.id = settings.id;
    record.failureDomain = settings.failureDomain;
    record.callerAddress = settings.callerAddress;
    record.peerAddress = settings.peerAddress;
    record.controlAddress = settings.controlAddress;
    record.milliCores = settings.milliCores;
    const auto sinceEpoch = clock.wallNow().time_since_epoch();
    record.incarnation = Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count()));
    return record;
}

/// Leaves three quarters of the memory to the process itself, the tables, and answers on their way to callers.
static ResponseLimits answerLimits(ByteCount memory)
{
    constexpr std::uint64_t Part = 4;
    ResponseLimits limits;
    limits.maxBuffered = ByteCount(memory.count() / Part);
    return limits;
}

GatewayProcess::Parts::Parts(asio::io_context &servingContext,
                             asio::io_context &controlContext,
                             GatewaySettings gatewaySettings,
                             const PlatformFactory &factory,
                             std::function<void()> whenStopped)
    : serving(servingContext)
    , control(controlContext)
    , settings(std::move(gatewaySettings))
    , stopped(std::move(whenStopped))
    , spans(settings.spanOutput.empty() ? nullptr : telemetry::makeJsonLinesExporter(settings.spanOutput))
    , storeClient(http::makeCurlHttpClient(controlContext, clock))
    , platform(factory(settings, *storeClient, clock))
    , directory(ownRecord(settings, clock), settings.entryHostsPerDomain, false)
    , quota(settings.quotaWindow)
    , retries(settings.retryBudget)
    , backend(makeBackendClient(servingContext, clock, *platform.dialect, answerLimits(settings.memory)))
    , flow{servingContext,
           clock,
           random,
           *platform.dialect,
           *backend,
           state,
           board,
           quota,
           retries,
           split,
           directory,
           metrics,
           [this] {
               this->link.onEvidence();
           },
           0}
    , useMonitor(settings.failureDomain, metrics)
    , sync({controlContext,
            clock,
            random,
            *platform.source,
            *platform.decoder,
            *storeClient,
            state,
            settings.failureDomain,
            [this] {
                asio::post(this->serving, [this] {
                    this->onPublished();
                });
            }})
    , link({servingContext,
            clock,
            random,
            directory,
            board,
            quota,
            sync,
            settings.failureDomains,
            seedPeers(),
            [this](const PeerStanding &standing) {
                asio::post(this->control, [this, standing] {
                    this->sync.onPeer(standing);
                });
            },
            retries,
            [this] {
                return this->flow.lastAdmittedAt;
            }})
    , callerHandler(flow)
    , directoryHandler([this](const http::HttpRequest &request) {
        return this->answerAddresses(request);
    })
    , readinessHandler([this](const http::HttpRequest &request) {
        return this->answerReadiness(request);
    })
    , controlHandler(
          servingContext,
          [this] {
              return this->answerState();
          },
          [this](const http::HttpRequest &request) {
              return this->answerControl(request);
          })
    , stopTimer(servingContext)
    , pumpTimer(servingContext)
    , registerTimer(controlContext)
{
    this->flow.spans = this->spans.get();
    http::ServerLimits limits;
    limits.maxHeader = ByteCount(64 * 1024);
    limits.maxBody = ByteCount(64 * 1024 * 1024);
    limits.maxPipelinedRequests = MaxPipelined;
    limits.idleTimeLimit = CallerIdleTime;
    this->callerServer = http::makeRestinioServer(this->serving, this->settings.callerAddress, limits, this->callerHandler);
    this->directoryServer = http::makeRestinioServer(this->serving, this->settings.directoryAddress, {}, this->directoryHandler);
    this->readinessServer = http::makeRestinioServer(this->serving, this->settings.readinessAddress, {}, this->readinessHandler);
    this->controlServer = http::makeRestinioServer(this->control, this->settings.controlAddress, {}, this->controlHandler);
}

/// Returns the peer addresses of the seeds: the peer port is the same on all hosts.
std::vector<Endpoint> GatewayProcess::Parts::seedPeers() const
{
    const auto &own = this->settings.peerAddress.text();
    const auto port = own.substr(own.rfind(':'));
    std::vector<Endpoint> peers;
    for (const auto &seed : this->settings.seeds) {
        const Endpoint peer(seed.text().substr(0, seed.text().rfind(':')) + port);
        if (peer != this->settings.peerAddress) {
            peers.push_back(peer);
        }
    }
    return peers;
}

std::error_code GatewayProcess::Parts::start()
{
    for (auto *const server : {&this->callerServer, &this->directoryServer, &this->readinessServer, &this->controlServer}) {
        if (const auto error = (*server)->start()) {
            return error;
        }
    }
    if (const auto error = this->link.start()) {
        return error;
    }
    this->pumpWaiting();
    asio::post(this->control, [this] {
        this->sync.start();
        this->registerHost();
    });
    logEvent(LogLevel::Info,
             "started",
             {{"host", this->settings.id.text()},
              {"failure_domain", this->settings.failureDomain.text()},
              {"incarnation", this->directory.own().incarnation.count()}});
    return {};
}

/// Writes the addresses of this host for hosts that start later, and reads those of the others.
void GatewayProcess::Parts::registerHost()
{
    const auto beat = beatOf(ownRecord(this->settings, this->clock));
    this->platform.source->write(SourceTable::Hosts, this->settings.callerAddress.text(), encodeThrift(beat), [this](Status error) {
        if (error) {
            logEvent(LogLevel::Warning, "registration_failed", {{"error", error.message()}});
            // Others may stand in the list already.
            if (!std::exchange(this->hasReadHosts, true)) {
                this->readHosts();
            }
            this->registerTimer.expires_after(RegisterRetryPause + milliseconds(this->random.below(RegisterRetryPause.count())));
            this->registerTimer.async_wait([this](std::error_code cancelled) {
                if (!cancelled) {
                    this->registerHost();
                }
            });
            return;
        }
        this->readHosts();
    });
}

void GatewayProcess::Parts::readHosts()
{
    this->platform.source->read(SourceTable::Hosts, [this](const Result<SourceBatch> &batch) {
        if (!batch) {
            // The seeds and the hosts that start later make this host known all the same.
            logEvent(LogLevel::Warning, "hosts_not_read", {{"error", batch.error().message()}});
            return;
        }
        std::vector<balance::HostRecord> records;
        for (const auto &row : batch->rows) {
            if (const auto beat = decodeThrift<wire::HostBeat>(row.value)) {
                records.push_back(recordOf(*beat));
            } else {
                logEvent(LogLevel::Warning, "host_row_malformed", {{"key", row.key}});
            }
        }
        asio::post(this->serving, [this, records = std::move(records)] {
            for (const auto &record : records) {
                this->directory.onListed(record, this->clock.now());
            }
            this->directory.setOthersKnown();
            this->link.announce();
        });
    });
}

void GatewayProcess::Parts::onPublished()
{
    const auto current = this->state.read();
    const auto now = this->clock.now();
    this->board.retain(*current->servers);
    if (current->catalog) {
        this->quota.configure(*current->catalog, now);
        this->metrics.setAppliedVersion(current->catalog->version());
        this->hasState = true;
    }
    std::set<BackendServerId> known;
    for (const auto &entry : current->servers->entries()) {
        known.insert(entry.id);
    }
    this->backend->retain([&known](const BackendServerId &server) {
        return known.contains(server);
    });
    if (this->directory.isEntryHost()) {
        this->link.announce();
    }
}

http::HttpResponse GatewayProcess::Parts::answerAddresses(const http::HttpRequest &request)
{
    const auto domain = this->platform.dialect->decodeAddressQuery(request);
    if (!domain) {
        return statusOnly(404);
    }
    if (this->link.isCutOff()) {
        // Others may know better which hosts callers can reach.
        logEvent(LogLevel::Info, "address_question_refused", {{"reason", "cut_off"}, {"failure_domain", domain->text()}});
        return statusOnly(503);
    }
    const auto now = this->clock.now();
    std::vector<Endpoint> addresses;
    for (const auto *const host : this->directory.entryHostsFor(*domain, now)) {
        addresses.push_back(host->callerAddress);
    }
    if (addresses.empty()) {
        logEvent(LogLevel::Warning, "no_entry_host", {{"failure_domain", domain->text()}});
        return statusOnly(503);
    }
    return this->platform.dialect->addressResponse(addresses, this->settings.addressLifetime);
}

http::HttpResponse GatewayProcess::Parts::answerReadiness(const http::HttpRequest &request)
{
    if (!this->platform.dialect->isReadinessProbe(request)) {
        return statusOnly(404);
    }
    return statusOnly(this->hasState.load() && !this->isStopping.load() ? 200 : 503);
}

http::HttpResponse GatewayProcess::Parts::answerControl(const http::HttpRequest &request)
{
    static constexpr std::string_view ReplicaPath = "/replica/";
    const std::string_view target = request.target;
    if (target == "/metrics") {
        return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, this->metrics.exposition()};
    }
    const auto question = target.find("?after=");
    if (!target.starts_with(ReplicaPath) || question == std::string_view::npos) {
        return statusOnly(404);
    }
    const auto table = target.substr(ReplicaPath.size(), question - ReplicaPath.size());
    const auto version = target.substr(question + std::string_view("?after=").size());
    std::uint64_t after = 0;
    const bool isNumber = std::from_chars(version.data(), version.data() + version.size(), after).ec == std::errc();
    if (!isNumber || (table != "configuration" && table != "servers")) {
        return statusOnly(400);
    }
    const auto source = table == "servers" ? SourceTable::Servers : SourceTable::Configuration;
    return this->sync.answerPeer(request, source, after);
}

http::HttpResponse GatewayProcess::Parts::answerState()
{
    const auto current = this->state.read();
    const StatePageParts page{this->directory,
                              this->board,
                              this->quota,
                              current.get(),
                              this->sync.standing(),
                              this->hasState.load() && !this->isStopping.load(),
                              this->flow.requestsInProgress};
    return {200, {{"Content-Type", "application/json"}}, statePage(page, this->clock.now())};
}

void GatewayProcess::Parts::applySettings(const GatewaySettings &changed)
{
    auto applied = this->settings;
    applied.addressLifetime = changed.addressLifetime;
    applied.stopGrace = changed.stopGrace;
    applied.retryBudget = changed.retryBudget;
    applied.logLevel = changed.logLevel;
    const bool needsRestart = applied != changed;
    this->settings = std::move(applied);
    this->retries.reconfigure(this->settings.retryBudget);
    telemetry::setLogLevel(telemetry::logLevelByName(this->settings.logLevel));
    logEvent(LogLevel::Info, "settings_applied", {{"log_level", this->settings.logLevel}, {"needs_restart", needsRestart}});
}

void GatewayProcess::Parts::beginStop()
{
    if (this->isStopping.exchange(true)) {
        return;
    }
    this->stopBeganAt = this->clock.now();
    logEvent(LogLevel::Info, "stopping", {{"requests", this->flow.requestsInProgress}});
    this->directory.beginLeaving();
    this->callerServer->closeAfterResponses();
    this->link.announce();
    this->checkStop();
}

/// Looks after the waiting requests, since slots also become free at other hosts, and after the use of servers, which hosts that
/// serve nobody are not told.
void GatewayProcess::Parts::pumpWaiting()
{
    this->flow.dispatchQueue.dispatch(this->clock.now());
    if (const auto current = this->state.read(); current && current->servers && this->directory.isEntryHost()) {
        this->useMonitor.update(*current, this->board, this->flow.outcomes, this->clock.now());
    }
    this->pumpTimer.expires_after(this->flow.dispatchQueue.isEmpty() ? IdlePumpInterval : BusyPumpInterval);
    this->pumpTimer.async_wait([this](std::error_code error) {
        if (!error) {
            this->pumpWaiting();
        }
    });
}

void GatewayProcess::Parts::checkStop()
{
    const auto now = this->clock.now();
    const bool isIdle = this->flow.requestsInProgress == 0 && now - this->flow.lastRequestAt >= QuietBeforeStop
        && now - this->stopBeganAt >= this->settings.addressLifetime * StopLifetimes;
    if (isIdle || now - this->stopBeganAt >= this->settings.stopGrace - StopMargin) {
        logEvent(LogLevel::Info, "stopped", {{"requests", this->flow.requestsInProgress}});
        this->stopped();
        return;
    }
    this->stopTimer.expires_after(StopCheckInterval);
    this->stopTimer.async_wait([this](std::error_code error) {
        if (!error) {
            this->checkStop();
        }
    });
}

GatewayProcess::GatewayProcess(asio::io_context &servingContext,
                               asio::io_context &controlContext,
                               GatewaySettings gatewaySettings,
                               const PlatformFactory &platform,
                               std::function<void()> whenStopped)
    : parts(std::make_unique<Parts>(servingContext, controlContext, std::move(gatewaySettings), platform, std::move(whenStopped)))
{
}

GatewayProcess::~GatewayProcess() = default;

std::error_code GatewayProcess::start()
{
    return this->parts->start();
}

void GatewayProcess::applySettings(const GatewaySettings &changed)
{
    this->parts->applySettings(changed);
}

void GatewayProcess::beginStop()
{
    this->parts->beginStop();
}

} // namespace rhubarbtiller::gateway
