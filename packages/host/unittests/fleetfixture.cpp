#include "fleetfixture.h"

#include <rhubarbtiller/routing/keyextractor.h>
#include <rhubarbtiller/telemetry/log.h>

#include <asio/post.hpp>
#include <doctest/doctest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

using namespace rhubarbtiller::testing;
using std::chrono::milliseconds;

namespace rhubarbtiller::host {

static const char *const OperatorCredential = "operator-credential-of-tests";
static const char *const PeerCredential = "peer-credential-of-the-tests";

thread_local std::string Fleet::lastTag;

ContextThread::ContextThread()
    : context(1), work(asio::make_work_guard(this->context)), thread([this] {
        this->context.run();
    })
{
}

ContextThread::~ContextThread()
{
    this->stop();
}

void ContextThread::stop()
{
    this->context.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

template<class Value, class Start>
static Value waitFor(Start start)
{
    std::promise<Value> promise;
    start([&promise](Value value) {
        promise.set_value(std::move(value));
    });
    return promise.get_future().get();
}

static Json jsonOf(const Exchange &exchange)
{
    return Json::parse(exchange.response.body, nullptr, false);
}

Fleet::Fleet()
    : client(http::makeCurlHttpClient(this->standins.context, this->clock)), platformStandin(this->standins.context), hosts(HostCount)
{
    std::signal(SIGPIPE, SIG_IGN);
    telemetry::setLogLevel(telemetry::LogLevel::Error);
    std::string pattern = (std::filesystem::temp_directory_path() / "fleetXXXXXX").string();
    this->spanFolder = ::mkdtemp(pattern.data());
    // The stand-ins belong to the thread of their context.
    std::promise<void> started;
    asio::post(this->standins.context, [this, &started] {
        const Endpoint any("127.0.0.1:0");
        this->platformStandin.start(any);
        for (std::size_t i = 0; i < ServerCount; ++i) {
            BackendSettings settings;
            settings.id = "b" + std::to_string(i);
            settings.slots = 8;
            settings.coldSlots = 8;
            for (std::size_t key = 0; key < OrganisationCount; ++key) {
                settings.secrets.push_back(keyOf(key));
            }
            this->servers.push_back(std::make_unique<BackendStandin>(this->standins.context, settings));
            this->servers.back()->start(any);
        }
        started.set_value();
    });
    started.get_future().get();
    const tablestore::ServiceAccess access{this->platformStandin.boundAddress(), "", ""};
    this->tables = std::make_unique<tablestore::DynamoTableService>(*this->client, access, "rhubarbtiller");
    this->objects = std::make_unique<tablestore::S3ObjectStore>(*this->client, access, "rhubarbtiller");
    this->store = std::make_unique<tablestore::ChangeLogStore>(*this->tables, *this->objects, this->clock);
    for (std::size_t i = 0; i < HostCount; ++i) {
        this->startHost(i);
    }
    REQUIRE(eventually([this] {
        return this->areRowsKnown();
    }));
    REQUIRE(this->change(this->initialRows()));
    REQUIRE(this->becomesReady());
}

Fleet::~Fleet()
{
    for (std::size_t i = 0; i < HostCount; ++i) {
        this->destroyHost(i);
    }
    this->standins.stop();
    std::filesystem::remove_all(this->spanFolder);
}

std::string Fleet::keyOf(std::size_t organisation)
{
    return "rt_secret-key-of-organisation-" + std::to_string(organisation);
}

std::string Fleet::peerCredential()
{
    return PeerCredential;
}

std::string Fleet::organisationName(std::size_t organisation)
{
    return "o" + std::to_string(organisation);
}

void Fleet::startHost(std::size_t index)
{
    settings::HostSettings settings;
    settings.id = HostId("h" + std::to_string(index));
    settings.failureDomain = FailureDomainId("d" + std::to_string(index));
    settings.callerAddress = settings.peerAddress = settings.operatorAddress = Endpoint("127.0.0.1:0");
    settings.peerCredential = PeerCredential;
    settings.operatorCredential = OperatorCredential;
    const auto services = this->platformStandin.boundAddress();
    settings.platform = {services, "rhubarbtiller", services, "rhubarbtiller", services, "/hosts", "", ""};
    settings.shardCount = 16;
    settings.storePollInterval = milliseconds(100);
    settings.spanOutput = this->spanFolder + "/" + settings.id.text();
    settings.allowsLinkFaults = true;
    auto &host = this->hosts[index];
    host.thread = std::make_unique<ContextThread>();
    host.process = std::make_unique<HostProcess>(host.thread->context, settings, [] {
    });
    const auto error = waitFor<std::error_code>([&host](auto handler) {
        asio::post(host.thread->context, [&host, handler] {
            handler(host.process->start());
        });
    });
    REQUIRE(!error);
}

void Fleet::destroyHost(std::size_t index)
{
    auto &host = this->hosts[index];
    if (host.thread) {
        host.thread->stop();
        host.process.reset();
        host.thread.reset();
    }
}

std::vector<config::Mutation> Fleet::initialRows() const
{
    std::vector<config::Mutation> rows;
    std::vector<config::BackendServer> rowsOfServers;
    for (std::size_t i = 0; i < ServerCount; ++i) {
        rowsOfServers.push_back({BackendServerId("b" + std::to_string(i)),
                                 this->servers[i]->boundAddress(),
                                 FailureDomainId("d" + std::to_string(i % HostCount))});
    }
    config::Pool pool{PoolName("main"), SlotCount(8), SlotCount(8), milliseconds(100), 400, Percent(60), 0, rowsOfServers};
    pool.servers.pop_back();
    rows.emplace_back(config::PutRow{pool});
    pool.name = PoolName("solo");
    pool.servers = {rowsOfServers.back()};
    rows.emplace_back(config::PutRow{pool});
    for (const std::string name : {"read", "write", "solo-read", "solo-write", "open"}) {
        config::Route route{RouteName(name), "/" + name, {"GET", "POST"}, PoolName(name.starts_with("solo") ? "solo" : "main")};
        route.isOpenToAll = name == "open";
        route.isIdempotent = !name.ends_with("write");
        route.timeLimit = milliseconds(1500);
        route.maxBody = ByteCount(100'000);
        rows.emplace_back(config::PutRow{route});
    }
    for (std::size_t i = 0; i < OrganisationCount; ++i) {
        const OrganisationId id(organisationName(i));
        rows.emplace_back(config::PutRow{config::Organisation{id, RequestRate(400), RequestCount(400)}});
        rows.emplace_back(config::PutRow{config::KeyGrant{routing::digestOfKey(keyOf(i)), KeyName("key-" + id.text()), id}});
    }
    return rows;
}

bool Fleet::areRowsKnown()
{
    const auto deadline = this->clock.now() + std::chrono::seconds(1);
    const auto head = waitFor<Result<tablestore::LogHead>>([&](auto handler) {
        this->store->readHead(deadline, handler);
    });
    if (!head) {
        return false;
    }
    auto changes = waitFor<Result<std::vector<config::Change>>>([&](auto handler) {
        this->store->readChanges(this->snapshot->version(), head->version, deadline, handler);
    });
    for (const auto &each : changes ? *changes : std::vector<config::Change>()) {
        this->snapshot = this->snapshot->apply(each);
    }
    return this->snapshot->hosts().size() == HostCount && this->snapshot->fleetParameters().witnesses.size() == HostCount;
}

bool Fleet::change(std::vector<config::Mutation> mutations)
{
    const bool isCommitted = eventually([&] {
        this->areRowsKnown();
        config::Change entry{ConfigVersion(), ChangeId("test-" + std::to_string(this->nextTag++)), "test", mutations};
        return waitFor<tablestore::AppendResult>([&](auto handler) {
                   this->store->append(entry, this->snapshot->version(), this->clock.now() + std::chrono::seconds(1), handler);
               }).outcome
            == tablestore::AppendOutcome::Committed;
    });
    this->areRowsKnown();
    return isCommitted && eventually([this] {
               for (std::size_t i = 0; i < HostCount; ++i) {
                   if (this->hosts[i].process
                       && this->state(i).value("appliedVersion", std::uint64_t{0}) < this->snapshot->version().count()) {
                       return false;
                   }
               }
               return true;
           });
}

bool Fleet::becomesReady() const
{
    return eventually([this] {
        return this->isReady();
    });
}

bool Fleet::isReady() const
{
    std::set<int> owned;
    std::set<std::string> ownedServers;
    for (std::size_t i = 0; i < HostCount; ++i) {
        const auto document = this->state(i);
        if (!document.is_object() || !document["listed"].get<bool>() || document["freshForMs"].get<int>() == 0) {
            return false;
        }
        for (const auto &shard : document["shards"]) {
            if (shard["owned"].get<bool>()) {
                owned.insert(shard["shard"].get<int>());
            }
        }
        for (const auto &server : document["servers"]) {
            if (server["limit"].get<int>() == 0) {
                return false;
            }
            ownedServers.insert(server["server"].get<std::string>());
        }
    }
    // A server is owned only once the version that placed it is settled, seconds after its shard has an owner.
    std::size_t placed = 0;
    for (const auto &[name, pool] : this->snapshot->pools()) {
        placed += pool->servers.size();
    }
    return owned.size() == 16 && ownedServers.size() == placed;
}

const config::Host &Fleet::row(std::size_t host) const
{
    return this->snapshot->hosts().at(HostId("h" + std::to_string(host)));
}

Endpoint Fleet::callerAddress(std::size_t host) const
{
    return this->row(host).callerAddress;
}

Endpoint Fleet::peerAddress(std::size_t host) const
{
    return this->row(host).peerAddress;
}

Endpoint Fleet::operatorAddress(std::size_t host) const
{
    return this->row(host).operatorAddress;
}

Json Fleet::state(std::size_t host) const
{
    return jsonOf(
        send(this->operatorAddress(host), {"GET", "/state", {{"Authorization", std::string("Bearer ") + OperatorCredential}}, ""}));
}

std::size_t Fleet::ownerOf(const std::string &server) const
{
    for (std::size_t i = 0; i < HostCount; ++i) {
        const auto document = this->state(i);
        for (const auto &owned : document["servers"]) {
            if (owned["server"] == server) {
                return i;
            }
        }
    }
    return HostCount;
}

std::size_t Fleet::homeOf(std::size_t organisation) const
{
    const auto answer
        = jsonOf(send(this->callerAddress(0), {"GET", "/.well-known/rhubarbtiller/addresses", {{"X-Api-Key", keyOf(organisation)}}, ""}));
    std::size_t host = 0;
    while (host < HostCount && answer["addresses"][0]["address"] != this->callerAddress(host).text()) {
        ++host;
    }
    return host;
}

static void setLink(const Endpoint &operatorAddress, std::size_t peer, bool dropsOutgoing)
{
    const Json body = {{"peer", "h" + std::to_string(peer)}, {"dropIncoming", false}, {"dropOutgoing", dropsOutgoing}};
    const auto result
        = send(operatorAddress, {"POST", "/faults/links", {{"Authorization", std::string("Bearer ") + OperatorCredential}}, body.dump()});
    REQUIRE(result.response.status == 200);
}

void Fleet::cutLink(std::size_t from, std::size_t to) const
{
    setLink(this->operatorAddress(from), to, true);
}

void Fleet::restoreLinks() const
{
    for (std::size_t from = 0; from < HostCount; ++from) {
        for (std::size_t to = 0; to < HostCount; ++to) {
            if (from != to && this->hosts[from].process) {
                setLink(this->operatorAddress(from), to, false);
            }
        }
    }
}

void Fleet::setRules(const Json &rules, std::size_t server)
{
    for (std::size_t i = 0; i < ServerCount; ++i) {
        if (server == i || server == ServerCount) {
            const Json body = {{"rules", rules}};
            REQUIRE(send(this->servers[i]->boundAddress(), {"POST", "/control/rules", {}, body.dump()}).response.status == 200);
        }
    }
}

void Fleet::setSlots(std::size_t server, int count)
{
    const Json body = {{"slots", count}};
    REQUIRE(send(this->servers[server]->boundAddress(), {"POST", "/control/settings", {}, body.dump()}).response.status == 200);
}

void Fleet::setFaults(const Json &faults)
{
    REQUIRE(send(this->platformStandin.boundAddress(), {"POST", "/control/faults", {}, faults.dump()}).response.status == 200);
}

Json Fleet::executions(std::size_t server) const
{
    return jsonOf(send(this->servers[server]->boundAddress(), {"GET", "/control/executions", {}, ""}))["executions"];
}

Json Fleet::backendState(std::size_t server) const
{
    return jsonOf(send(this->servers[server]->boundAddress(), {"GET", "/control/state", {}, ""}));
}

std::size_t Fleet::runsOf(const std::string &tag) const
{
    std::size_t runs = 0;
    for (std::size_t i = 0; i < ServerCount; ++i) {
        for (const auto &execution : this->executions(i)) {
            runs += execution["callerTag"] == tag ? 1 : 0;
        }
    }
    return runs;
}

static ExecutionClaim claimOf(const std::string &word)
{
    if (word == "not_run") {
        return ExecutionClaim::NotRun;
    }
    return word == "ran" ? ExecutionClaim::Ran : ExecutionClaim::Unknown;
}

Exchange Fleet::call(std::size_t host, std::size_t organisation, http::HttpRequest request, const std::string &idempotencyKey)
{
    lastTag = "call-" + std::to_string(this->nextTag++);
    const CallTag tag(lastTag);
    request.headers.push_back({"X-Caller-Tag", lastTag});
    request.headers.push_back({"X-Api-Key", keyOf(organisation)});
    if (!idempotencyKey.empty()) {
        request.headers.push_back({"Idempotency-Key", idempotencyKey});
    }
    CallRecord record;
    record.tag = tag;
    record.host = this->row(host).id;
    record.organisation = OrganisationId(organisationName(organisation));
    record.isOpenToAll = request.target.starts_with("/open");
    record.isIdempotent = request.target.find("write") == std::string::npos;
    record.idempotencyKey = idempotencyKey;
    record.sentAt = this->clock.wallNow();
    this->recorder->record(record);
    auto result = send(this->callerAddress(host), request);
    const auto at = this->clock.wallNow();
    if (!result.isWhole) {
        this->recorder->record(BrokenCallRecord{tag, result.wasConnected, at});
    } else if (!result.reason().empty() || result.response.status != 200) {
        this->recorder->record(RefusalRecord{tag, result.response.status, result.reason(), claimOf(result.executed()), at});
    } else {
        const auto body = jsonOf(result);
        const auto text = [&body](const char *name) {
            return body.is_object() ? body.value(name, "") : std::string();
        };
        const bool isIntact = text("target") == request.target && text("body") == request.body && result.executed() == "ran";
        this->recorder->record(AnswerRecord{tag, CallTag(text("callerTag")), OrganisationId(text("organisation")), isIntact, at});
    }
    return result;
}

std::future<Exchange>
Fleet::callLater(std::size_t host, std::size_t organisation, http::HttpRequest request, const std::string &idempotencyKey)
{
    return std::async(std::launch::async, [this, host, organisation, request = std::move(request), idempotencyKey] {
        return this->call(host, organisation, request, idempotencyKey);
    });
}

History Fleet::takeHistory()
{
    for (std::size_t i = 0; i < ServerCount; ++i) {
        const bool isIdle = eventually([this, i] {
            return this->backendState(i)["running"] == 0;
        });
        REQUIRE(isIdle);
        for (const auto &run : this->executions(i)) {
            ExecutionRecord record;
            record.server = BackendServerId("b" + std::to_string(i));
            record.tag = CallTag(run["callerTag"].get<std::string>());
            record.organisation = OrganisationId(run["organisation"].get<std::string>());
            record.containsSecret = run["containsSecret"].get<bool>();
            record.startedAt = WallTime(std::chrono::microseconds(run["startedAtUs"].get<std::int64_t>()));
            this->recorder->record(record);
        }
        send(this->servers[i]->boundAddress(), {"DELETE", "/control/executions", {}, ""});
    }
    auto history = this->recorder->history();
    this->recorder = std::make_unique<HistoryRecorder>();
    return history;
}

std::string Fleet::spanText() const
{
    std::string text;
    for (const auto &entry : std::filesystem::directory_iterator(this->spanFolder)) {
        std::ifstream file(entry.path());
        text.append(std::istreambuf_iterator<char>(file), {});
    }
    return text;
}

void checkHistory(const History &history)
{
    for (const auto &check : {checkOwnOrganisation, checkKeyHidden, checkOwnAnswer, checkTrueRefusal, checkAtMostOnce}) {
        for (const auto &violation : check(history)) {
            FAIL_CHECK(violation.invariant << ": " << violation.description);
        }
    }
}

Fleet &sharedFleet()
{
    static Fleet fleet;
    return fleet;
}

} // namespace rhubarbtiller::host
