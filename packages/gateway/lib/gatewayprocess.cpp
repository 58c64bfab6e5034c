#include <rhubarbtiller/gateway/gatewayprocess.h>

#include "countedsource.h"
#include "peerlink.h"
#include "requestflow.h"
#include "serviceusemonitor.h"
#include "statepage.h"
#include "statesync.h"
#include "thriftcodec.h"

#include <rhubarbtiller/catalog/hostlimits.h>
#include <rhubarbtiller/http/curlhttpclient.h>
#include <rhubarbtiller/http/restinioserver.h>
#include <rhubarbtiller/telemetry/log.h>

#include <asio/post.hpp>

#include <algorithm>
#include <charconv>

#include <sys/resource.h>

namespace rhubarbtiller::gateway {

using std::chrono::milliseconds;
using telemetry::logEvent;
using telemetry::LogLevel;

/// Callers close idle connections by their own rules; the server leaves the decision to them for this long.
static constexpr milliseconds CallerIdleTimeout{120'000};

/// Each server gets a share of the open files; at least the remaining third is for backend servers, peers and the store.
static constexpr std::uint64_t CallerDescriptorShare = 12;
static constexpr std::uint64_t DirectoryDescriptorShare = 6;
static constexpr std::uint64_t ControlDescriptorShare = 2;
static constexpr std::uint64_t ReadinessDescriptorShare = 1;
static constexpr std::uint64_t DescriptorShares = 32;

/// More connections than this have never been accepted by one server.
static constexpr std::uint64_t MaxConnectionsPerServer = 2000;

/// A caller that uses a connection at the end of its idle time finds it open.
static constexpr milliseconds IdleMargin{1000};

/// Bounds of the time limits of the configuration.
static constexpr milliseconds MinCallerTime{100};
static constexpr milliseconds MaxCallerTime{1'800'000};

/// Requests that a caller may send before the response to the first.
static constexpr std::uint32_t MaxPipelinedRequests = 16;

/// The process ends this long before it would be killed.
static constexpr milliseconds StopMargin{700};

/// Callers that received the address of this host before it began to stop have queried again after this many lifetimes of a response.
static constexpr int StopAddressLifetimes = 2;

/// Time without requests after which a stopping host counts as unused.
static constexpr milliseconds StopIdleTime{1500};

static constexpr milliseconds StopCheckInterval{100};

/// Interval of dispatching queued requests, for a non-empty and an empty queue.
static constexpr milliseconds BusyDispatchInterval{20};
static constexpr milliseconds IdleDispatchInterval{100};

/// A host reads the tables from the store if it has not received the list of hosts by then.
static constexpr milliseconds HostListTimeout{300};

/// A peer in contact with the store responds to a starting host within this time.
static constexpr milliseconds FirstPeerTimeout{40};

/// Hosts that start together read the store one after the other, so that the first can deliver the tables to the rest.
static constexpr milliseconds FirstReadInterval{20};
static constexpr std::size_t MaxFirstReadRank = 5;

/// Minimum delay between attempts to write the address of this host to the store; the maximum is twice as long.
static constexpr milliseconds MinRegistrationRetryDelay{1000};

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

/// Handles requests on the control port; the state page is generated on the thread that owns the state.
class ControlHandler : public http::RequestHandler
{
public:
    using Function = std::function<http::HttpResponse(const http::HttpRequest &)>;

    ControlHandler(asio::io_context &servingContext, std::function<http::HttpResponse()> statePage, Function otherHandler)
        : serving(servingContext), makeStatePage(std::move(statePage)), handleOther(std::move(otherHandler))
    {
    }

    void onRequest(http::HttpRequest request, std::shared_ptr<http::Responder> responder) override
    {
        if (request.method != "GET" || request.target != StateTarget) {
            responder->respond(this->handleOther(request));
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
    Function handleOther;
};

/// Calls a function for each request.
class FunctionHandler : public http::RequestHandler
{
public:
    using Function = std::function<http::HttpResponse(const http::HttpRequest &)>;

    explicit FunctionHandler(Function handler) : function(std::move(handler))
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

static http::HttpResponse emptyResponse(int status)
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
    void readHosts(bool registersIfMissing);
    void onHosts(const std::vector<balance::HostRecord> &records);
    void onPublished();
    void applyCallerTimes(const catalog::RequestSizeLimits &limits);
    void applySettings(const GatewaySettings &changed);
    void beginStop();
    void checkStop();
    void dispatchQueuedRequests();
    http::HttpResponse handleAddressQuery(const http::HttpRequest &request);
    http::HttpResponse handleReadinessProbe(const http::HttpRequest &request);
    http::HttpResponse handleControlRequest(const http::HttpRequest &request);
    http::HttpResponse handleStateRequest();
    std::vector<Endpoint> seedPeerAddresses() const;

    asio::io_context &serving;
    asio::io_context &control;
    GatewaySettings settings;
    std::function<void()> onStopped;
    SystemClock clock;
    SystemRandom random;
    telemetry::Metrics metrics;
    std::unique_ptr<telemetry::SpanExporter> spans;
    std::unique_ptr<http::HttpClient> storeClient;
    PlatformParts platform;
    CountedSource source;
    RcuCell<catalog::FleetState> state;
    balance::HostDirectory directory;
    balance::Scoreboard board;
    balance::OrganisationQuota quota;
    balance::RetryBudget retries;
    balance::WeightedSplit split;
    std::unique_ptr<BackendClient> backend;
    FlowContext flow;
    ServiceUseMonitor useMonitor;
    StateSync stateSync;
    RolloutControl rollouts;
    std::unique_ptr<DatagramSocket> peerSocket;
    PeerLink peerLink;
    CallerHandler callerHandler;
    FunctionHandler directoryHandler;
    FunctionHandler readinessHandler;
    ControlHandler controlHandler;
    std::shared_ptr<http::CallerAccount> callerAccount;
    const std::shared_ptr<http::AdjustableTimes> callerTimes = std::make_shared<http::AdjustableTimes>();
    std::unique_ptr<http::HttpServer> callerServer;
    std::unique_ptr<http::HttpServer> directoryServer;
    std::unique_ptr<http::HttpServer> readinessServer;
    std::unique_ptr<http::HttpServer> controlServer;
    asio::steady_timer stopTimer;
    asio::steady_timer dispatchTimer;
    asio::steady_timer registrationTimer;
    MonotonicTime stopBeganAt{};
    std::atomic<bool> isStopping{false};
    /// Whether the host list was read, or will not be read, before this host writes its own entry.
    bool hasReadHosts = false;
    std::atomic<bool> hasConfiguration{false};
};

static balance::HostRecord makeOwnRecord(const GatewaySettings &settings, const Clock &clock)
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

/// Leaves half of the memory to the process itself and the tables: a quarter is for responses that are being received, one for those
/// that callers have not read yet.
static constexpr std::uint64_t ResponseMemoryDivisor = 4;

static ResponseLimits responseLimits(ByteCount memory)
{
    ResponseLimits limits;
    limits.maxBuffered = ByteCount(memory.count() / ResponseMemoryDivisor);
    return limits;
}

/// Requests get three eighths, and half together with unread responses; the rest is for responses that are being received, for the
/// tables, and for the small requests that are read although large ones use all of it.
static http::CallerMemoryLimits callerMemoryLimits(const GatewaySettings &settings)
{
    static constexpr std::uint64_t RequestEighths = 3;
    static constexpr std::uint64_t TotalEighths = 4;
    const auto eighth = settings.memory.count() / 8;
    return {settings.callerLimits.requestMemory.value_or(ByteCount(eighth * RequestEighths)),
            settings.callerLimits.totalMemory.value_or(ByteCount(eighth * TotalEighths))};
}

/// Returns the connections of a server that has \p share of DescriptorShares parts of the open files.
static std::uint32_t maxConnectionsFor(std::uint64_t share)
{
    rlimit files{};
    const std::uint64_t available = ::getrlimit(RLIMIT_NOFILE, &files) == 0 ? files.rlim_cur : MaxConnectionsPerServer;
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(available / DescriptorShares * share, 1, MaxConnectionsPerServer));
}

static void recordClosure(telemetry::Metrics &metrics, const http::CallerClosure &closure)
{
    const auto reason = http::closureReasonName(closure.reason);
    metrics.countCallerClosure(reason);
    logEvent(LogLevel::Info,
             "caller_connection_ended",
             {{"reason", std::string(reason)}, {"held_bytes", closure.held.count()}, {"after_responses", closure.isAfterResponses}});
}

GatewayProcess::Parts::Parts(asio::io_context &servingContext,
                             asio::io_context &controlContext,
                             GatewaySettings gatewaySettings,
                             const PlatformFactory &factory,
                             std::function<void()> whenStopped)
    : serving(servingContext)
    , control(controlContext)
    , settings(std::move(gatewaySettings))
    , onStopped(std::move(whenStopped))
    , spans(settings.spanOutput.empty() ? nullptr : telemetry::makeJsonLinesExporter(settings.spanOutput))
    , storeClient(http::makeCurlHttpClient(controlContext, clock))
    , platform(factory(settings, *storeClient, clock))
    , source(*platform.source, metrics)
    , directory(makeOwnRecord(settings, clock), settings.entryHostsPerDomain, false, settings.quotaWindow)
    , quota(settings.quotaWindow)
    , retries(settings.retryBudget)
    , backend(makeBackendClient(servingContext, clock, *platform.dialect, responseLimits(settings.memory)))
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
               this->peerLink.sendUrgentReports();
           },
           [this] {
               const auto status = this->stateSync.replicaStatus();
               return std::pair(status.configurationVersion.number, status.announcedConfigurationVersion.number);
           }}
    , useMonitor(settings.failureDomain, metrics)
    , stateSync({controlContext,
                 clock,
                 random,
                 source,
                 *platform.decoder,
                 *storeClient,
                 state,
                 settings.failureDomain,
                 [this] {
                     asio::post(this->serving, [this] {
                         this->onPublished();
                     });
                 }})
    , rollouts({servingContext,
                controlContext,
                clock,
                random,
                directory,
                board,
                source,
                *platform.decoder,
                metrics,
                settings.rollout,
                settings.failureDomains,
                [this] {
                    return this->stateSync.isInContact();
                }})
    , peerSocket(makeUdpSocket(servingContext))
    , peerLink({servingContext,
                clock,
                random,
                directory,
                board,
                quota,
                stateSync,
                *peerSocket,
                settings.failureDomains,
                seedPeerAddresses(),
                [this](const PeerReplicaStatus &peerStatus) {
                    asio::post(this->control, [this, peerStatus] {
                        this->stateSync.onPeerReplicaStatus(peerStatus);
                    });
                },
                retries,
                [this] {
                    return this->flow.lastAdmittedAt;
                },
                &rollouts})
    , callerHandler(flow)
    , directoryHandler([this](const http::HttpRequest &request) {
        return this->handleAddressQuery(request);
    })
    , readinessHandler([this](const http::HttpRequest &request) {
        return this->handleReadinessProbe(request);
    })
    , controlHandler(
          servingContext,
          [this] {
              return this->handleStateRequest();
          },
          [this](const http::HttpRequest &request) {
              return this->handleControlRequest(request);
          })
    , stopTimer(servingContext)
    , dispatchTimer(servingContext)
    , registrationTimer(controlContext)
{
    this->quota.setStart(this->clock.now());
    this->flow.spans = this->spans.get();
    this->flow.rollouts = &this->rollouts;
    this->callerAccount
        = std::make_shared<http::CallerAccount>(callerMemoryLimits(this->settings), [this](const http::CallerClosure &closure) {
              recordClosure(this->metrics, closure);
          });
    this->callerTimes->headerMilliseconds = this->settings.callerLimits.headerTimeout.count();
    this->callerTimes->idleMilliseconds = CallerIdleTimeout.count();
    const auto limitsFor = [this](std::uint64_t descriptorShare) {
        http::ServerLimits limits;
        limits.account = this->callerAccount;
        limits.maxConnections = maxConnectionsFor(descriptorShare);
        limits.maxUnreadResponses = ByteCount(this->settings.memory.count() / ResponseMemoryDivisor);
        return limits;
    };
    auto limits = limitsFor(CallerDescriptorShare);
    limits.maxHeader = catalog::MaxReadHeader;
    limits.maxBody = catalog::MaxReadBody;
    limits.maxConnections = this->settings.callerLimits.maxConnections.value_or(limits.maxConnections);
    limits.maxPipelinedRequests = MaxPipelinedRequests;
    limits.readTimeLimit = this->settings.callerLimits.requestTimeout;
    limits.idleTimeLimit = CallerIdleTimeout;
    limits.times = this->callerTimes;
    this->callerServer = http::makeRestinioServer(this->serving, this->settings.callerAddress, limits, this->callerHandler);
    this->directoryServer = http::makeRestinioServer(
        this->serving, this->settings.directoryAddress, limitsFor(DirectoryDescriptorShare), this->directoryHandler);
    this->readinessServer = http::makeRestinioServer(
        this->serving, this->settings.readinessAddress, limitsFor(ReadinessDescriptorShare), this->readinessHandler);
    this->controlServer
        = http::makeRestinioServer(this->control, this->settings.controlAddress, limitsFor(ControlDescriptorShare), this->controlHandler);
}

/// Returns the peer addresses of the seeds; the peer port is the same on all hosts.
std::vector<Endpoint> GatewayProcess::Parts::seedPeerAddresses() const
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
    if (const auto error = this->peerLink.start()) {
        return error;
    }
    this->dispatchQueuedRequests();
    asio::post(this->control, [this] {
        this->stateSync.deferFirstRead(this->clock.now() + HostListTimeout);
        this->stateSync.start();
        if (this->settings.isFirstStart) {
            this->registerHost();
        } else {
            this->hasReadHosts = true;
            this->readHosts(true);
        }
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
    const auto heartbeat = toHeartbeat(makeOwnRecord(this->settings, this->clock));
    this->source.write(SourceTable::Hosts, this->settings.callerAddress.text(), encodeThrift(heartbeat), [this](Status error) {
        if (!error) {
            this->readHosts(false);
            return;
        }
        logEvent(LogLevel::Warning, "registration_failed", {{"error", error.message()}});
        // Other hosts may already be registered.
        if (!std::exchange(this->hasReadHosts, true)) {
            this->readHosts(false);
        }
        this->registrationTimer.expires_after(MinRegistrationRetryDelay
                                              + milliseconds(this->random.below(MinRegistrationRetryDelay.count())));
        this->registrationTimer.async_wait([this](std::error_code cancelled) {
            if (!cancelled) {
                this->registerHost();
            }
        });
    });
}

/// Returns whether an entry of the host list describes this host, except for its incarnation.
static bool describesHost(const balance::HostRecord &listed, const balance::HostRecord &own)
{
    return listed.id == own.id && listed.failureDomain == own.failureDomain && listed.callerAddress == own.callerAddress
        && listed.peerAddress == own.peerAddress && listed.controlAddress == own.controlAddress && listed.milliCores == own.milliCores;
}

static std::vector<balance::HostRecord> decodeHosts(const SourceBatch &batch)
{
    std::vector<balance::HostRecord> records;
    for (const auto &row : batch.rows) {
        if (const auto heartbeat = decodeThrift<wire::HostBeat>(row.value)) {
            records.push_back(toHostRecord(*heartbeat));
        } else {
            logEvent(LogLevel::Warning, "host_row_malformed", {{"key", row.key}});
        }
    }
    return records;
}

/// Reads the addresses of the other hosts; with \p registersIfMissing also registers this host if the list does not have it.
void GatewayProcess::Parts::readHosts(bool registersIfMissing)
{
    this->source.read(SourceTable::Hosts, [this, registersIfMissing](const Result<SourceBatch> &batch) {
        bool isListed = false;
        if (batch) {
            const auto records = decodeHosts(*batch);
            isListed = std::any_of(records.begin(), records.end(), [this](const balance::HostRecord &record) {
                return describesHost(record, this->directory.own());
            });
            this->onHosts(records);
        } else {
            // Other hosts still discover this one through the seeds and through hosts that start later.
            logEvent(LogLevel::Warning, "hosts_not_read", {{"error", batch.error().message()}});
            this->stateSync.deferFirstRead(this->clock.now());
        }
        if (registersIfMissing && !isListed) {
            this->registerHost();
        }
    });
}

/// Makes the listed hosts known, and plans the first read of the tables: the largest hosts of the failure domain read them first.
void GatewayProcess::Parts::onHosts(const std::vector<balance::HostRecord> &records)
{
    const auto position = std::count_if(records.begin(), records.end(), [this](const balance::HostRecord &record) {
        return record.failureDomain == this->settings.failureDomain
            && std::pair(this->settings.milliCores, record.id) < std::pair(record.milliCores, this->settings.id);
    });
    this->stateSync.deferFirstRead(this->clock.now() + FirstPeerTimeout
                                   + FirstReadInterval * std::min(static_cast<std::size_t>(position), MaxFirstReadRank));
    asio::post(this->serving, [this, records] {
        for (const auto &record : records) {
            this->directory.onListed(record, this->clock.now());
        }
        this->directory.setMembershipKnown();
        this->peerLink.announce();
    });
}

static std::int64_t boundedMilliseconds(std::optional<Duration> stated, milliseconds otherwise)
{
    const auto time = stated ? std::chrono::duration_cast<milliseconds>(*stated) : otherwise;
    return std::clamp(time, MinCallerTime, MaxCallerTime).count();
}

/// Applies the time limits of the configuration to the connections of callers.
void GatewayProcess::Parts::applyCallerTimes(const catalog::RequestSizeLimits &limits)
{
    this->callerTimes->headerMilliseconds = boundedMilliseconds(limits.headerTime, this->settings.callerLimits.headerTimeout);
    this->callerTimes->idleMilliseconds
        = boundedMilliseconds(limits.idleTime ? std::optional(*limits.idleTime + IdleMargin) : std::nullopt, CallerIdleTimeout);
}

void GatewayProcess::Parts::onPublished()
{
    const auto current = this->state.read();
    const auto now = this->clock.now();
    this->board.retain(*current->servers);
    this->rollouts.onState(current);
    if (current->catalog) {
        this->quota.configure(*current->catalog, now);
        this->applyCallerTimes(current->catalog->limits());
        this->metrics.setAppliedVersion(current->catalog->version());
        this->hasConfiguration = true;
    }
    std::set<BackendServerId> known;
    for (const auto &entry : current->servers->entries()) {
        known.insert(entry.id);
    }
    this->backend->retain([&known](const BackendServerId &server) {
        return known.contains(server);
    });
    this->peerLink.onStatePublished();
}

http::HttpResponse GatewayProcess::Parts::handleAddressQuery(const http::HttpRequest &request)
{
    const auto domain = this->platform.dialect->decodeAddressQuery(request);
    if (!domain) {
        return emptyResponse(404);
    }
    if (this->peerLink.isIsolated()) {
        // Other hosts may have a newer view of the reachable hosts.
        logEvent(LogLevel::Info, "address_question_refused", {{"reason", "cut_off"}, {"failure_domain", domain->text()}});
        return emptyResponse(503);
    }
    const auto now = this->clock.now();
    std::vector<Endpoint> addresses;
    for (const auto *const host : this->directory.entryHostsFor(*domain, now)) {
        addresses.push_back(host->callerAddress);
    }
    if (addresses.empty()) {
        logEvent(LogLevel::Warning, "no_entry_host", {{"failure_domain", domain->text()}});
        return emptyResponse(503);
    }
    return this->platform.dialect->addressResponse(addresses, this->settings.addressLifetime);
}

http::HttpResponse GatewayProcess::Parts::handleReadinessProbe(const http::HttpRequest &request)
{
    if (!this->platform.dialect->isReadinessProbe(request)) {
        return emptyResponse(404);
    }
    return emptyResponse(this->hasConfiguration.load() && !this->isStopping.load() ? 200 : 503);
}

http::HttpResponse GatewayProcess::Parts::handleControlRequest(const http::HttpRequest &request)
{
    static constexpr std::string_view ReplicaPath = "/replica/";
    static constexpr std::string_view AfterField = "?after=";
    static constexpr std::string_view EraField = "&era=";
    const std::string_view target = request.target;
    if (target == "/metrics") {
        return {200, {{"Content-Type", "text/plain; version=0.0.4"}}, this->metrics.exposition()};
    }
    const auto queryStart = target.find(AfterField);
    if (!target.starts_with(ReplicaPath) || queryStart == std::string_view::npos) {
        return emptyResponse(404);
    }
    const auto table = target.substr(ReplicaPath.size(), queryStart - ReplicaPath.size());
    const auto query = target.substr(queryStart + AfterField.size());
    std::uint64_t after = 0;
    std::uint64_t era = 0;
    const auto [end, error] = std::from_chars(query.data(), query.data() + query.size(), after);
    const auto rest = std::string_view(end, static_cast<std::size_t>(query.data() + query.size() - end));
    // Hosts of earlier releases do not name an era.
    const bool isEra
        = !rest.starts_with(EraField) || std::from_chars(rest.data() + EraField.size(), rest.data() + rest.size(), era).ec == std::errc();
    if (error != std::errc() || !isEra || (table != "configuration" && table != "servers")) {
        return emptyResponse(400);
    }
    const auto sourceTable = table == "servers" ? SourceTable::Servers : SourceTable::Configuration;
    return this->stateSync.handleReplicaRequest(request, sourceTable, {StoreEra(era), after});
}

http::HttpResponse GatewayProcess::Parts::handleStateRequest()
{
    const auto current = this->state.read();
    const StatePageParts page{this->directory,
                              this->board,
                              this->quota,
                              current.get(),
                              this->stateSync.replicaStatus(),
                              this->hasConfiguration.load() && !this->isStopping.load(),
                              this->flow.requestsInProgress(),
                              &this->rollouts,
                              &this->flow.dispatchQueue.requests(),
                              &this->flow.serviceTimes};
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
    this->flow.endsAt = this->stopBeganAt + this->settings.stopGrace - StopMargin;
    for (auto *const open : *this->flow.flows) {
        open->onStopPlanned();
    }
    logEvent(LogLevel::Info, "stopping", {{"requests", this->flow.requestsInProgress()}});
    this->directory.beginLeaving();
    this->callerServer->closeAfterResponses();
    this->peerLink.announce();
    this->checkStop();
}

/// Dispatches queued requests, since slots also become free at other hosts, and, on entry hosts, updates the use of servers, since
/// hosts without recent requests receive no reports on it.
void GatewayProcess::Parts::dispatchQueuedRequests()
{
    this->rollouts.update();
    this->flow.dispatchQueue.dispatch(this->clock.now());
    if (const auto current = this->state.read(); current && current->servers && this->directory.isEntryHost()) {
        this->useMonitor.update(*current, this->board, this->flow.outcomes, this->clock.now());
    }
    this->dispatchTimer.expires_after(this->flow.dispatchQueue.isEmpty() ? IdleDispatchInterval : BusyDispatchInterval);
    this->dispatchTimer.async_wait([this](std::error_code error) {
        if (!error) {
            this->dispatchQueuedRequests();
        }
    });
}

void GatewayProcess::Parts::checkStop()
{
    const auto now = this->clock.now();
    const bool isIdle = this->flow.requestsInProgress() == 0 && now - this->flow.lastRequestAt >= StopIdleTime
        && now - this->stopBeganAt >= this->settings.addressLifetime * StopAddressLifetimes;
    if (isIdle || now >= this->flow.endsAt) {
        logEvent(LogLevel::Info, "stopped", {{"requests", this->flow.requestsInProgress()}});
        this->onStopped();
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
