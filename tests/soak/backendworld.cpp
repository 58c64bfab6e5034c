#include "backendworld.h"

#include "gatewayfleet.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <future>

namespace rhubarbtiller::soak {

using nlohmann::json;
using std::chrono::steady_clock;

static constexpr int WorkServers = 9;
static constexpr int PayServers = 6;
static constexpr double ColdRate = 2.7;
static constexpr std::chrono::milliseconds ColdTime{3000};
static constexpr const char *WorkService = "work-svc";
static constexpr const char *PayService = "pay-svc";
static constexpr const char *VirtualHost = "soak.example";
static constexpr const char *LimitedOrganisation = "market";
static constexpr double LimitedRate = 12;
static constexpr double LimitedBurst = 10;

/// Milliseconds since the epoch.
static constexpr std::int64_t FirstStartedAt = 1'700'000'000'000;

/// Servers write their entries at this interval; an entry without a heartbeat for three intervals expires.
static constexpr std::chrono::milliseconds HeartbeatInterval{1500};
static constexpr int MissedHeartbeats = 3;

/// The operator writes again what the store has lost this long after its return.
static constexpr std::chrono::milliseconds OperatorRewriteTime{200};

BackendWorld::BackendWorld(std::uint64_t runSeed)
    : work(asio::make_work_guard(this->context))
    , thread([this] {
        this->context.run();
    })
    , random(runSeed)
    , withdrawableKeys{"key-s1", "key-s2", "key-s3", "key-s4"}
    , movedTo(WorkService)
{
    this->perform([this] {
        this->store = std::make_unique<testing::RowStoreStandin>(this->context);
        this->store->start(Endpoint("127.0.0.1:0"));
        this->writeConfiguration();
        const auto &domains = GatewayFleet::failureDomains();
        for (std::size_t i = 0; i < WorkServers + PayServers; ++i) {
            this->startServer(i < WorkServers ? WorkService : PayService, domains[i % domains.size()], false);
        }
    });
}

BackendWorld::~BackendWorld()
{
    this->work.reset();
    this->context.stop();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void BackendWorld::perform(const std::function<void()> &action)
{
    std::promise<void> done;
    asio::post(this->context, [&action, &done] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

Endpoint BackendWorld::storeAddress()
{
    Endpoint address;
    this->perform([&] {
        address = this->store->boundAddress();
    });
    return address;
}

CallerWorld BackendWorld::describe() const
{
    CallerWorld world;
    world.virtualHost = VirtualHost;
    world.routes = {{"read", "/read/", true}, {"book", "/book/", false}, {"pay", "/pay/", false}, {"moved", "/moved/", false}};
    world.keys = {{"key-h", "harbour"}, {"key-m", LimitedOrganisation}};
    for (const char *key : {"key-s1", "key-s2", "key-s3", "key-s4"}) {
        world.keys.push_back({key, "school"});
    }
    world.failureDomains = GatewayFleet::failureDomains();
    return world;
}

std::map<std::string, std::pair<double, double>> BackendWorld::rates()
{
    return {{LimitedOrganisation, {LimitedRate, LimitedBurst}}};
}

double BackendWorld::coldRate()
{
    return ColdRate;
}

static const char *tableName(StoreTable table)
{
    return table == StoreTable::Configuration ? "op" : "servers";
}

void BackendWorld::putRow(StoreTable table, const std::string &key, const std::string &value)
{
    const auto written = this->store->put(tableName(table), key, value);
    this->writes.push_back({table, this->store->currentEra(), written, steady_clock::now()});
}

void BackendWorld::removeRow(StoreTable table, const std::string &key)
{
    const auto before = this->store->lastVersion();
    const auto written = this->store->remove(tableName(table), key);
    // The store may lack the row since it came back from a copy.
    if (written != before) {
        this->writes.push_back({table, this->store->currentEra(), written, steady_clock::now()});
    }
}

std::vector<StoreWrite> BackendWorld::storeWrites()
{
    std::vector<StoreWrite> result;
    this->perform([&] {
        result = this->writes;
    });
    return result;
}

void BackendWorld::writeConfiguration()
{
    const auto entry = [](const char *kind, const std::string &name, json spec) {
        return json{{"resource_type", kind}, {"meta", {{"name", name}}}, {"spec", std::move(spec)}};
    };
    const auto route = [&entry](const std::string &name, const std::string &service, bool isSafe, int priority) {
        return entry("routes",
                     name,
                     {{"host", VirtualHost},
                      {"prefix", "/" + name + "/"},
                      {"service", service},
                      {"type", isSafe ? "safe" : "unsafe"},
                      {"timeout_s", 1.4},
                      {"slo_s", 0.8},
                      {"max_attempts", 3},
                      {"priority", priority}});
    };
    json keys = json::array();
    for (const auto &key : this->withdrawableKeys) {
        keys.push_back(key);
    }
    // The last key of the organisation always stays.
    json resources{route("read", WorkService, true, 2),
                   route("book", WorkService, false, 1),
                   route("pay", PayService, false, 0),
                   route("moved", this->movedTo, false, 1),
                   entry("services", WorkService, {{"max_conns", 390}, {"warmup_per_s", ColdRate}}),
                   entry("services", PayService, {{"max_conns", 390}, {"warmup_per_s", ColdRate}}),
                   entry("tenants", "harbour", {{"api_keys", {"key-h"}}}),
                   entry("tenants", LimitedOrganisation, {{"api_keys", {"key-m"}}, {"rate_per_s", LimitedRate}, {"burst", LimitedBurst}}),
                   entry("tenants", "school", {{"api_keys", keys}})};
    this->version += 1 + this->random() % 5;
    this->configuration = json{{"version", this->version}, {"resources", std::move(resources)}}.dump();
    this->putRow(StoreTable::Configuration, "config", this->configuration);
}

void BackendWorld::writeEntry(ServerPlace &place, const std::string &state, double coldSeconds)
{
    const auto &settings = place.server->settings;
    place.state = state;
    this->putRow(StoreTable::Servers,
                 settings.id,
                 json{{"service", settings.service},
                      {"addr", place.link->address().text()},
                      {"zone", settings.failureDomain},
                      {"version", place.version},
                      {"capacity", settings.slots},
                      {"state", state},
                      {"warmup_left_s", coldSeconds},
                      {"seq", ++place.heartbeats},
                      {"born", place.startedAt}}
                     .dump());
}

void BackendWorld::startServer(const std::string &service, const std::string &domain, bool isCold, const std::string &release)
{
    WorkServerSettings settings;
    settings.id = "i-" + std::to_string(this->nextServer++);
    settings.service = service;
    settings.failureDomain = domain;
    if (isCold) {
        settings.coldUntil = steady_clock::now() + ColdTime;
    }
    auto place = std::make_unique<ServerPlace>();
    place->version = release;
    place->startedAt = FirstStartedAt + static_cast<std::int64_t>(this->nextServer);
    place->server = std::make_unique<WorkServer>(this->context, settings, this->arrivals, this->random());
    place->link = std::make_unique<FaultProxy>(this->context, place->server->address());
    this->writeEntry(*place, "ready", isCold ? std::chrono::duration<double>(ColdTime).count() : 0);
    this->servers.push_back(std::move(place));
    this->after(std::chrono::milliseconds(this->random() % HeartbeatInterval.count()), [this, id = settings.id] {
        this->sendHeartbeat(id);
    });
}

BackendWorld::ServerPlace *BackendWorld::pickServer()
{
    auto *const place = this->servers[this->random() % this->servers.size()].get();
    return place->isLeaving ? nullptr : place;
}

void BackendWorld::endServer(const std::string &id)
{
    const auto found = std::find_if(this->servers.begin(), this->servers.end(), [&id](const auto &place) {
        return place->server->settings.id == id;
    });
    if (found == this->servers.end()) {
        return;
    }
    (*found)->link->setMode(LinkMode::Reset);
    this->ended.push_back(std::move(*found));
    this->servers.erase(found);
    this->removeRow(StoreTable::Servers, id);
}

std::function<void()> BackendWorld::harmServer(ServerFault fault, double share)
{
    std::string id;
    this->perform([&] {
        if (auto *const place = this->pickServer()) {
            place->server->setFault(fault, share);
            id = place->server->settings.id;
        }
    });
    return [this, id] {
        this->perform([this, &id] {
            for (const auto &place : this->servers) {
                if (place->server->settings.id == id) {
                    place->server->setFault(ServerFault::None, 0);
                }
            }
        });
    };
}

std::function<void()> BackendWorld::harmLink(LinkMode mode)
{
    std::string id;
    this->perform([&] {
        if (auto *const place = this->pickServer()) {
            place->link->setMode(mode);
            id = place->server->settings.id;
        }
    });
    return [this, id] {
        this->perform([this, &id] {
            for (const auto &place : this->servers) {
                if (place->server->settings.id == id) {
                    place->link->setMode(LinkMode::Pass);
                }
            }
        });
    };
}

std::function<void()> BackendWorld::crashServer()
{
    std::string id;
    std::string service;
    std::string domain;
    this->perform([&] {
        if (auto *const place = this->pickServer()) {
            place->isLeaving = true;
            place->link->setMode(LinkMode::Reset);
            id = place->server->settings.id;
            service = place->server->settings.service;
            domain = place->server->settings.failureDomain;
        }
    });
    return [this, id, service, domain] {
        if (!id.empty()) {
            this->perform([&] {
                this->endServer(id);
                this->startServer(service, domain, true);
            });
        }
    };
}

std::function<void()> BackendWorld::drainServer()
{
    std::string id;
    this->perform([&] {
        auto *const place = this->pickServer();
        if (place == nullptr) {
            return;
        }
        place->isLeaving = true;
        const auto &settings = place->server->settings;
        id = settings.id;
        this->startServer(settings.service, settings.failureDomain, true);
        this->writeEntry(*place, "draining", 0);
        this->changes.push_back({AcknowledgedChange::Kind::ServerLeaves, id, "", steady_clock::now(), SoakTime::max()});
    });
    return [this, id] {
        if (!id.empty()) {
            this->perform([&] {
                this->endServer(id);
            });
        }
    };
}

void BackendWorld::withdrawKey()
{
    this->perform([this] {
        if (this->withdrawableKeys.size() <= 1) {
            return;
        }
        const auto key = this->withdrawableKeys.back();
        this->withdrawableKeys.pop_back();
        this->writeConfiguration();
        this->changes.push_back({AcknowledgedChange::Kind::KeyWithdrawn, key, "", steady_clock::now(), SoakTime::max()});
    });
}

void BackendWorld::moveRoute()
{
    this->perform([this] {
        const auto before = std::exchange(this->movedTo, this->movedTo == WorkService ? PayService : WorkService);
        const auto sentAt = steady_clock::now();
        this->writeConfiguration();
        for (auto &change : this->changes) {
            if (change.kind == AcknowledgedChange::Kind::RouteMoved) {
                change.until = std::min(change.until, sentAt);
            }
        }
        this->changes.push_back({AcknowledgedChange::Kind::RouteMoved, before, "moved", steady_clock::now(), SoakTime::max()});
    });
}

std::function<void()> BackendWorld::evacuateDomain()
{
    std::size_t change = 0;
    std::string domain;
    this->perform([&] {
        const auto &domains = GatewayFleet::failureDomains();
        domain = domains[this->random() % domains.size()];
        if (!this->evacuated.insert(domain).second) {
            domain.clear();
            return;
        }
        this->putRow(StoreTable::Configuration, "evacuate/" + domain, "{}");
        change = this->changes.size();
        this->changes.push_back({AcknowledgedChange::Kind::DomainEvacuated, domain, "", steady_clock::now(), SoakTime::max()});
    });
    return [this, change, domain] {
        if (domain.empty()) {
            return;
        }
        this->perform([&] {
            this->evacuated.erase(domain);
            this->changes[change].until = steady_clock::now();
            this->removeRow(StoreTable::Configuration, "evacuate/" + domain);
        });
    };
}

/// Has a server write its entry, and again after the interval until it ends.
void BackendWorld::sendHeartbeat(const std::string &id)
{
    const auto place = std::find_if(this->servers.begin(), this->servers.end(), [&id](const auto &each) {
        return each->server->settings.id == id;
    });
    if (place == this->servers.end()) {
        return;
    }
    ++(*place)->heartbeats;
    if (std::exchange((*place)->hasLostEntry, false)) {
        const auto coldTime = (*place)->server->settings.coldUntil - steady_clock::now();
        this->writeEntry(**place, (*place)->state, std::max(0.0, std::chrono::duration<double>(coldTime).count()));
    } else {
        this->store->touch();
    }
    this->after(HeartbeatInterval, [this, id] {
        this->sendHeartbeat(id);
    });
}

void BackendWorld::after(std::chrono::milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(this->context, delay);
    timer->async_wait([timer, action = std::move(action)](std::error_code error) {
        if (!error) {
            action();
        }
    });
}

void BackendWorld::copyStore()
{
    this->perform([this] {
        this->storeCopy = this->store->copy();
    });
}

void BackendWorld::returnStoreFromCopy()
{
    this->perform([this] {
        this->store->returnFrom(*this->storeCopy);
        this->after(OperatorRewriteTime, [this] {
            this->putRow(StoreTable::Configuration, "config", this->configuration);
            for (const auto &domain : GatewayFleet::failureDomains()) {
                if (this->evacuated.contains(domain)) {
                    this->putRow(StoreTable::Configuration, "evacuate/" + domain, "{}");
                } else {
                    this->removeRow(StoreTable::Configuration, "evacuate/" + domain);
                }
            }
        });
        for (const auto &place : this->servers) {
            place->hasLostEntry = true;
        }
        this->after(HeartbeatInterval * MissedHeartbeats, [this] {
            for (const auto &place : this->ended) {
                this->removeRow(StoreTable::Servers, place->server->settings.id);
            }
        });
    });
}

void BackendWorld::startRollout(const std::string &target, ServerFault fault, double share, std::chrono::seconds duration)
{
    this->perform([&] {
        const auto &domains = GatewayFleet::failureDomains();
        for (std::size_t i = 0; i < WorkServers; ++i) {
            this->startServer(WorkService, domains[i % domains.size()], false, target);
            this->servers.back()->server->setFault(fault, share);
        }
        const json order{{"service", WorkService}, {"target", target}, {"duration_s", duration.count()}};
        this->putRow(StoreTable::Configuration, std::string("rollout/") + WorkService, order.dump());
    });
}

std::set<std::string> BackendWorld::endOtherVersions(const std::string &release)
{
    std::set<std::string> ids;
    this->perform([&] {
        for (const auto &place : this->servers) {
            if (place->server->settings.service == WorkService && place->version != release) {
                ids.insert(place->server->settings.id);
            }
        }
        for (const auto &id : ids) {
            this->endServer(id);
        }
    });
    return ids;
}

std::set<std::string> BackendWorld::serversOf(const std::string &release)
{
    std::set<std::string> ids;
    this->perform([&] {
        for (const auto &place : this->servers) {
            if (place->version == release) {
                ids.insert(place->server->settings.id);
            }
        }
    });
    return ids;
}

void BackendWorld::finish(SoakHistory &history)
{
    // The servers go after their thread, since connections are still accepted.
    this->perform([&] {
        history.arrivals = this->arrivals;
        history.changes = this->changes;
    });
    history.rates = rates();
    history.coldRate = ColdRate;
}

} // namespace rhubarbtiller::soak
