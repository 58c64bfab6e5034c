#include <rhubarbtiller/host/hostprocess.h>

#include "linkfaults.h"

#include <rhubarbtiller/host/configcontroller.h>
#include <rhubarbtiller/host/draincontroller.h>
#include <rhubarbtiller/host/operatorservice.h>
#include <rhubarbtiller/host/peerdispatcher.h>
#include <rhubarbtiller/host/rostercontroller.h>
#include <rhubarbtiller/http/curlhttpclient.h>
#include <rhubarbtiller/http/restinioserver.h>
#include <rhubarbtiller/peer/peertransport.h>
#include <rhubarbtiller/tablestore/dynamotableservice.h>
#include <rhubarbtiller/tablestore/httphostlist.h>
#include <rhubarbtiller/tablestore/s3objectstore.h>
#include <rhubarbtiller/telemetry/log.h>

#include <rhubarbtiller/membership/leasetimes.h>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

namespace rhubarbtiller::host {

using telemetry::logEvent;
using telemetry::LogLevel;

/// How often waiting requests are looked at; bounds how late one is refused after its deadline.
static constexpr std::chrono::milliseconds SlotInterval{20};

/// How often unused entries are dropped and gauges are set.
static constexpr std::chrono::milliseconds HousekeepingInterval{2000};

/// A token bucket that was not used for this long is dropped.
static constexpr Duration IdleRateTime = std::chrono::minutes(1);

/// A backend server bears about 400 connections; its slots, which its one owner grants, bound the requests far below this.
static constexpr std::uint32_t MaxBackendConnections = 400;

/// Operators need few connections; a lost scraper must not take all of them.
static constexpr std::uint32_t MaxOperatorConnections = 64;

static http::ServerLimits callerLimits(const settings::LimitSettings &limits)
{
    http::ServerLimits bounds;
    bounds.maxHeader = limits.maxHeader;
    bounds.maxBody = limits.maxBody;
    bounds.maxConnections = limits.maxConnections;
    bounds.readTimeLimit = limits.readTimeLimit;
    return bounds;
}

static http::ServerLimits operatorLimits()
{
    http::ServerLimits bounds;
    bounds.maxConnections = MaxOperatorConnections;
    return bounds;
}

static tablestore::ServiceAccess accessTo(const Endpoint &server, const settings::PlatformSettings &platform)
{
    return {server, platform.region, platform.credential};
}

static http::CurlClientOptions backendClientOptions()
{
    http::CurlClientOptions options;
    options.maxConnectionsPerServer = MaxBackendConnections;
    options.maxIdleConnections = MaxBackendConnections;
    return options;
}

static peer::PeerOptions peerOptionsOf(const settings::HostSettings &settings, std::shared_ptr<const peer::LinkFilter> filter)
{
    peer::PeerOptions options;
    options.self = settings.id;
    options.bind = settings.peerAddress;
    options.credential = settings.peerCredential;
    options.filter = std::move(filter);
    return options;
}

static limits::OverloadSettings overloadSettings(const settings::LimitSettings &limits)
{
    limits::OverloadSettings overload;
    overload.maxConcurrent = limits.maxConcurrentRequests;
    overload.minConcurrent = std::min(overload.minConcurrent, overload.maxConcurrent);
    return overload;
}

struct HostProcess::Parts
{
    Parts(asio::io_context &context, const settings::HostSettings &settings, std::function<void()> whenDrained)
        : strand(asio::make_strand(context))
        , incarnation(static_cast<std::uint64_t>(this->clock.wallNow().time_since_epoch().count()))
        , spans(telemetry::makeJsonLinesExporter(settings.spanOutput))
        , linkFaults(std::make_shared<LinkFaults>())
        , peerOptions(peerOptionsOf(settings, this->linkFaults))
        , network(peer::makePeerNetwork(context, this->clock, this->peerOptions))
        , platformClient(http::makeCurlHttpClient(context, this->clock))
        , backendClient(http::makeCurlHttpClient(context, this->clock, backendClientOptions()))
        , tables(*this->platformClient, accessTo(settings.platform.tableAddress, settings.platform), settings.platform.tableName)
        , objects(*this->platformClient, accessTo(settings.platform.objectAddress, settings.platform), settings.platform.bucket)
        , hostList(*this->platformClient, settings.platform.hostListAddress, settings.platform.hostListTarget)
        , store(this->tables, this->objects, this->clock)
        , leases(this->strand, this->clock, *this->network, this->board, settings.id, this->incarnation)
        , configs(this->strand, this->clock, this->store, *this->network, this->board, this->leases, settings.storePollInterval)
        , roster(this->strand, this->clock, this->store, this->hostList, this->configs, this->leases, this->random, settings.shardCount)
        , shareSource(this->board)
        , rates(this->shareSource, this->clock.now())
        , borrower(limits::BorrowSettings{}, this->random)
        , retries(limits::RetryBudgetSettings{})
        , overload(overloadSettings(settings.limits))
        , chooser(this->random, settings.failureDomain)
        , owner(this->clock, this->board, *this->backendClient, this->slots, this->ejections, this->random, *this->spans)
        , pools(this->strand,
                this->clock,
                this->board,
                settings.id,
                *this->network,
                this->owner,
                this->ejections,
                this->random,
                this->metrics)
        , forwarder(this->clock, *this->network, this->peerHealth)
        , home({this->clock,
                this->board,
                settings.id,
                this->rates,
                this->borrower,
                this->retries,
                this->chooser,
                this->owner,
                this->forwarder,
                *this->network,
                this->store,
                this->random,
                *this->spans})
        , pipeline({context.get_executor(),
                    this->clock,
                    this->board,
                    settings.id,
                    this->overload,
                    this->home,
                    this->forwarder,
                    this->random,
                    *this->spans,
                    this->metrics})
        , dispatcher({context.get_executor(),
                      this->strand,
                      this->clock,
                      this->leases,
                      this->configs,
                      this->pools,
                      this->home,
                      this->owner,
                      this->random,
                      *this->spans})
        , peerServer(peer::makePeerServer(context, this->peerOptions, this->dispatcher))
        , callerServer(http::makeRestinioServer(context, settings.callerAddress, callerLimits(settings.limits), this->pipeline))
        , drain(
              this->strand,
              this->clock,
              this->board,
              this->leases,
              this->roster,
              this->pipeline,
              [this] {
                  return this->dispatcher.requestsInProgress();
              },
              *this->callerServer,
              std::move(whenDrained))
        , operators(OperatorService::Parts{this->strand,
                                           this->clock,
                                           this->board,
                                           settings.id,
                                           settings.operatorCredential,
                                           this->configs,
                                           this->leases,
                                           this->pools,
                                           this->owner,
                                           this->slots,
                                           this->roster,
                                           this->pipeline,
                                           this->drain,
                                           this->metrics,
                                           {}})
        , operatorServer(http::makeRestinioServer(context, settings.operatorAddress, operatorLimits(), this->operators))
        , slotTimer(this->strand)
        , housekeepingTimer(this->strand)
    {
        if (settings.allowsLinkFaults) {
            this->operators.allowLinkFaults([this](const config::Host &peer, bool dropIncoming, bool dropOutgoing) {
                this->linkFaults->set(peer.id, peer.peerAddress, dropIncoming, dropOutgoing);
            });
        }
    }

    std::error_code open(const settings::HostSettings &settings)
    {
        if (const auto error = this->peerServer->start()) {
            return error;
        }
        if (const auto error = this->operatorServer->start()) {
            return error;
        }
        if (const auto error = this->callerServer->start()) {
            return error;
        }
        const config::Host row{settings.id,
                               this->incarnation,
                               this->callerServer->boundAddress(),
                               this->peerServer->boundAddress(),
                               this->operatorServer->boundAddress(),
                               settings.failureDomain,
                               config::HostState::Active};
        this->roster.setOwnRow(row);
        logEvent(LogLevel::Info,
                 "listening",
                 {{"host", settings.id.text()},
                  {"caller", row.callerAddress.text()},
                  {"peer", row.peerAddress.text()},
                  {"operator", row.operatorAddress.text()}});
        return {};
    }

    void startControllers()
    {
        asio::post(this->strand, [this] {
            this->leases.onChanged([this] {
                this->owner.onLeasesChanged();
                this->notePhase();
            });
            this->configs.onLimitChange([this](const OrganisationId &organisation) {
                this->rates.onLimitChanged(organisation, this->clock.now());
            });
            this->configs.onPolled([this] {
                this->roster.onPolled();
            });
            this->configs.start();
            this->leases.start();
            this->pools.start();
            this->advanceSlots();
            this->keepHouse();
        });
    }

    void notePhase()
    {
        auto expected = blackboard::Phase::Starting;
        if (this->leases.freshness().holds(this->clock.now())) {
            this->board.phase.compare_exchange_strong(expected, blackboard::Phase::Serving);
        }
    }

    void advanceSlots()
    {
        this->owner.advance();
        this->slotTimer.expires_after(SlotInterval);
        this->slotTimer.async_wait([this](const std::error_code &error) {
            if (!error) {
                this->advanceSlots();
            }
        });
    }

    void keepHouse()
    {
        const auto now = this->clock.now();
        this->rates.dropIdle(IdleRateTime, now);
        this->borrower.dropIdle(now);
        this->retries.dropIdle(now);
        this->overload.dropIdle();
        this->setGauges(now);
        this->housekeepingTimer.expires_after(HousekeepingInterval);
        this->housekeepingTimer.async_wait([this](const std::error_code &error) {
            if (!error) {
                this->keepHouse();
            }
        });
    }

    void setGauges(MonotonicTime now)
    {
        const auto freshness = this->leases.freshness();
        this->metrics.setFreshnessAge(membership::FreshnessLeaseDuration - std::max(freshness.deadline - now, Duration::zero()));
        this->metrics.setAppliedVersion(freshness.version);
        this->metrics.setSettledVersion(freshness.settled);
        this->metrics.setPeersConnected(this->peerOptions.traffic->connectedPeers.load());
        if (const auto view = this->board.leases.read()) {
            std::uint64_t owned = 0;
            std::uint64_t votes = 0;
            for (std::uint32_t shard = 0; shard < view->shards.size(); ++shard) {
                owned += view->owns(ShardId(shard), now) ? 1 : 0;
                votes += view->shards[shard].shares.size();
            }
            this->metrics.setShardsOwned(owned);
            this->metrics.setVotesHeld(votes);
        }
        const auto bytes = this->peerOptions.traffic->controlBytesSent.load() + this->peerOptions.traffic->controlBytesReceived.load();
        this->metrics.countControlBytes(ByteCount(bytes - this->countedControlBytes));
        this->countedControlBytes = bytes;
    }

    void close()
    {
        this->leases.stop();
        this->configs.stop();
        this->pools.stop();
        this->slotTimer.cancel();
        this->housekeepingTimer.cancel();
        this->peerServer->stop();
        this->callerServer->stop();
        this->operatorServer->stop();
    }

    asio::any_io_executor strand;
    SystemClock clock;
    SystemRandom random;
    Incarnation incarnation;
    telemetry::Metrics metrics;
    std::unique_ptr<telemetry::SpanExporter> spans;
    blackboard::Blackboard board;
    std::shared_ptr<LinkFaults> linkFaults;
    peer::PeerOptions peerOptions;
    std::unique_ptr<peer::PeerNetwork> network;
    std::unique_ptr<http::HttpClient> platformClient;
    std::unique_ptr<http::HttpClient> backendClient;
    tablestore::DynamoTableService tables;
    tablestore::S3ObjectStore objects;
    tablestore::HttpHostList hostList;
    tablestore::ChangeLogStore store;
    LeaseController leases;
    ConfigController configs;
    RosterController roster;
    blackboard::BlackboardShareSource shareSource;
    limits::RateShares rates;
    limits::TokenBorrower borrower;
    limits::RetryBudgets retries;
    limits::OverloadControl overload;
    routing::TwoChoicesChooser chooser;
    health::ServerSlots slots;
    health::EjectionHolder ejections;
    ServerOwner owner;
    PoolController pools;
    PeerHealth peerHealth;
    ForwardClient forwarder;
    HomeService home;
    RequestPipeline pipeline;
    PeerDispatcher dispatcher;
    std::unique_ptr<peer::PeerServer> peerServer;
    std::unique_ptr<http::HttpServer> callerServer;
    DrainController drain;
    OperatorService operators;
    std::unique_ptr<http::HttpServer> operatorServer;
    asio::steady_timer slotTimer;
    asio::steady_timer housekeepingTimer;
    std::uint64_t countedControlBytes = 0;
};

HostProcess::HostProcess(asio::io_context &context, settings::HostSettings hostSettings, std::function<void()> whenDrained)
    : ioContext(context), settings(std::move(hostSettings)), drained(std::move(whenDrained))
{
}

HostProcess::~HostProcess()
{
    if (this->parts) {
        this->parts->close();
    }
}

std::error_code HostProcess::start()
{
    this->parts = std::make_unique<Parts>(this->ioContext, this->settings, this->drained);
    if (const auto error = this->parts->open(this->settings)) {
        return error;
    }
    this->parts->startControllers();
    return {};
}

void HostProcess::beginDrain()
{
    asio::post(this->parts->strand, [this] {
        this->parts->drain.begin();
    });
}

} // namespace rhubarbtiller::host
