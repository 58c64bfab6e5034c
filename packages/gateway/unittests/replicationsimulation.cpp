#include "replicationsimulation.h"

#include "fakes.h"
#include "peerlink.h"

#include <rhubarbtiller/http/errors.h>
#include <rhubarbtiller/testing/virtualscheduler.h>

#include <algorithm>
#include <list>
#include <memory>
#include <optional>
#include <set>

namespace rhubarbtiller::gateway {

using namespace std::chrono_literals;

namespace {

/// The bounds of the platform's rules.
constexpr Duration ContactTime = 3s;
constexpr Duration ApplyTime = 2s;
constexpr Duration ApplyTimeOfUnstableStore = 7s;

/// The store returns from a copy of this age; the operator and the servers write again what it has lost.
constexpr Duration LostTime = 3s;
constexpr Duration OperatorRewriteTime = 100ms;
constexpr std::uint64_t ServerRewriteMs = 1500;
/// Other writers raise the version of the store at this interval.
constexpr Duration OtherWriteInterval = 50ms;
/// Until the rows of all hosts are those of the store again.
constexpr Duration SettleTime = 7s;

/// Intervals and timeouts of the host and of the client of the store.
constexpr Duration SyncInterval = 100ms;
constexpr Duration LinkInterval = 50ms;
constexpr Duration ReadTimeout = 1s;
constexpr Duration WatchMargin = 500ms;

/// Processing times on a fifth of a core.
constexpr Duration DatagramCost = 100us;
constexpr Duration TickCost = 100us;
constexpr Duration StoreResponseCost = 10ms;
constexpr Duration PullRequestCost = 2ms;
constexpr Duration PullResponseCost = 10ms;

constexpr Duration LocalLatency = 200us;
constexpr Duration RemoteLatency = 1ms;
constexpr Duration StoreLatency = 2ms;
constexpr Duration CheckInterval = 50ms;
constexpr Duration RestartTime = 1500ms;
/// Until a host that starts has the list of hosts, and when it reads the tables from the store by its position in the list.
constexpr Duration HostListTime = 15ms;
constexpr Duration FirstPeerTimeout = 40ms;
constexpr Duration FirstReadInterval = 20ms;
constexpr std::size_t MaxFirstReadRank = 5;
/// What a started host takes over may be as old as the contact of the peer that delivers it and the time of the transfer.
constexpr Duration MaxAgeAtStart = 1500ms;
constexpr unsigned SlowdownFactor = 10;
/// Of a host that loses packets, one in this many.
constexpr unsigned LossDivisor = 4;

constexpr std::string_view EvacuationPrefix = "evacuate/";

/// Returns the evacuated failure domains in addition to what PlainDecoder decodes.
class SimulationDecoder : public PlainDecoder
{
public:
    std::set<FailureDomainId> evacuatedDomains(const ReplicatedRows &rows) const override
    {
        std::set<FailureDomainId> domains;
        for (const auto &[key, row] : rows) {
            if (key.starts_with(EvacuationPrefix)) {
                domains.emplace(key.substr(EvacuationPrefix.size()));
            }
        }
        return domains;
    }
};

/// The store's rows with their history.
class SimulatedStore
{
public:
    struct Change
    {
        SourceTable table;
        SourceRow row;
        MonotonicTime at{};
    };

    struct Watcher
    {
        SourceTable table;
        std::uint64_t after;
        std::function<void(SourceBatch)> respond;
    };

    void write(SourceTable table, std::string key, std::string value, bool isRemoved, MonotonicTime now)
    {
        this->changes.push_back({table, {std::move(key), std::move(value), this->nextVersion(now), isRemoved}, now});
        std::list<Watcher> due;
        for (auto each = this->watchers.begin(); each != this->watchers.end();) {
            const auto next = std::next(each);
            if (each->table == table) {
                due.splice(due.end(), this->watchers, each);
            }
            each = next;
        }
        for (const auto &watcher : due) {
            watcher.respond(this->changesAfter(table, watcher.after));
        }
    }

    /// Returns the rows of a table as of a version, by key.
    std::map<std::string, SourceRow> rowsAt(SourceTable table, std::uint64_t at) const
    {
        std::map<std::string, SourceRow> rows;
        for (const auto &change : this->changes) {
            if (change.table != table || change.row.version > at) {
                continue;
            }
            if (change.row.isRemoved) {
                rows.erase(change.row.key);
            } else {
                rows[change.row.key] = change.row;
            }
        }
        return rows;
    }

    /// Goes back to the rows of an earlier moment; returns the changes that are lost.
    std::vector<Change> returnFrom(MonotonicTime copiedAt)
    {
        const auto firstLost = std::find_if(this->changes.begin(), this->changes.end(), [copiedAt](const Change &change) {
            return change.at > copiedAt;
        });
        std::vector<Change> lost(firstLost, this->changes.end());
        this->changes.erase(firstLost, this->changes.end());
        const auto copied = std::find_if(this->versionTimes.rbegin(), this->versionTimes.rend(), [copiedAt](const auto &entry) {
            return entry.second <= copiedAt;
        });
        this->version = copied == this->versionTimes.rend() ? 0 : copied->first;
        this->versionTimes.erase(copied.base(), this->versionTimes.end());
        this->era = StoreEra(this->era.count() + 1);
        this->historyStart = std::min(this->historyStart, this->version);
        ++this->returns;
        // Their connections end; the calls fail by their timeouts.
        this->watchers.clear();
        return lost;
    }

    std::uint64_t nextVersion(MonotonicTime now)
    {
        this->versionTimes.emplace_back(++this->version, now);
        return this->version;
    }

    SourceBatch read(SourceTable table) const
    {
        SourceBatch batch{{}, this->version, this->era};
        for (const auto &[key, row] : this->rowsAt(table, this->version)) {
            batch.rows.push_back(row);
        }
        return batch;
    }

    SourceBatch changesAfter(SourceTable table, std::uint64_t after) const
    {
        std::map<std::string, SourceRow> latest;
        for (const auto &change : this->changes) {
            if (change.table == table && change.row.version > after) {
                latest[change.row.key] = change.row;
            }
        }
        SourceBatch batch{{}, this->version, this->era};
        for (const auto &[key, row] : latest) {
            batch.rows.push_back(row);
        }
        return batch;
    }

    std::vector<Change> changes;
    std::list<Watcher> watchers;
    std::uint64_t version = 0;
    StoreEra era;
    unsigned returns = 0;
    std::vector<std::pair<std::uint64_t, MonotonicTime>> versionTimes;
    std::uint64_t historyStart = 0;
};

class Simulation;

/// One run of the program on a host.
struct Process : std::enable_shared_from_this<Process>
{
    Process(Simulation &owner, std::size_t hostIndex, balance::HostRecord record, const std::vector<FailureDomainId> &domains);

    Simulation &simulation;
    const std::size_t host;
    asio::io_context context;
    SeededRandom random;
    SimulationDecoder decoder;
    std::unique_ptr<StateSource> source;
    std::unique_ptr<http::HttpClient> client;
    std::unique_ptr<DatagramSocket> socket;
    DatagramSocket::Receiver receiver;
    RcuCell<catalog::FleetState> published;
    balance::HostDirectory directory;
    balance::Scoreboard board;
    balance::OrganisationQuota quota{5s};
    balance::RetryBudget retries{balance::RetryBudgetBounds()};
    StateSync sync;
    PeerLink link;
    std::uint64_t publishedVersion = 0;
    std::uint64_t appliedVersion = 0;
    StoreVersion checkedVersion;
};

/// A host with its faults.
struct SimulatedHost
{
    balance::HostRecord record;
    std::shared_ptr<Process> process;
    MonotonicTime busyUntil{};
    MonotonicTime frozenUntil{};
    MonotonicTime slowUntil{};
    MonotonicTime cutFromStoreUntil{};
    MonotonicTime refusedUntil{};
    MonotonicTime configurationRefusedUntil{};
    MonotonicTime cutFromPeersUntil{};
    MonotonicTime lossyUntil{};
    /// End of the last fault of the host itself.
    MonotonicTime disturbedUntil{};
};

class SimulatedSocket : public DatagramSocket
{
public:
    SimulatedSocket(Simulation &owner, Process &own) : simulation(owner), process(own)
    {
    }

    std::error_code open(const Endpoint &, Receiver receiver) override
    {
        this->process.receiver = std::move(receiver);
        return {};
    }

    std::error_code send(std::string_view bytes, const Endpoint &target) override;

private:
    Simulation &simulation;
    Process &process;
};

class SimulatedSource : public StateSource
{
public:
    SimulatedSource(Simulation &owner, Process &own) : simulation(owner), process(own)
    {
    }

    void read(SourceTable table, BatchHandler handler) override;
    void watch(SourceTable table, std::uint64_t after, std::chrono::milliseconds wait, BatchHandler handler) override;

    void write(SourceTable, std::string, std::string, WriteHandler handler) override
    {
        handler({});
    }

    void write(SourceTable, std::string, std::string, std::uint64_t, WriteHandler handler) override
    {
        handler({});
    }

private:
    /// Returns a handler that completes the call once, or fails it after \p timeout; nothing if the store refuses the call.
    std::function<void(const Result<SourceBatch> &)> beginCall(SourceTable table, Duration timeout, BatchHandler handler);

    Simulation &simulation;
    Process &process;
};

class SimulatedClient : public http::HttpClient
{
public:
    SimulatedClient(Simulation &owner, Process &own) : simulation(owner), process(own)
    {
    }

    std::shared_ptr<http::HttpCallHandle> send(http::HttpCall call, http::HttpHandler handler) override;

private:
    class Handle : public http::HttpCallHandle
    {
    public:
        void cancel() override
        {
        }
    };

    Simulation &simulation;
    Process &process;
};

class Simulation
{
public:
    explicit Simulation(const ReplicationPlan &simulationPlan) : plan(simulationPlan), random(simulationPlan.seed)
    {
    }

    ReplicationResult run();

    void countStoreCall(bool isRead)
    {
        ++(isRead ? this->result.reads : this->result.watches);
    }

    /// Measures how long the configuration took that a process has just published.
    void onPublished(Process &process);

    /// Runs \p action on a process when its host has processed what came before.
    void execute(const std::shared_ptr<Process> &process, Duration cost, std::function<void()> action);

    /// Returns when a message between two hosts arrives, or nothing if it is lost.
    MonotonicTime arrival(const SimulatedHost &from, const SimulatedHost &to);

    SimulatedHost &hostOf(const Process &process)
    {
        return this->hosts[process.host];
    }

    SimulatedHost *findHost(const Endpoint &address)
    {
        const auto found = this->byAddress.find(address);
        return found == this->byAddress.end() ? nullptr : &this->hosts[found->second];
    }

    bool isLost(const SimulatedHost &host)
    {
        return this->scheduler.now() < host.lossyUntil && this->random.below(LossDivisor) == 0;
    }

    testing::VirtualClock clock;
    testing::VirtualScheduler scheduler{this->clock};
    SimulatedStore store;

private:
    void startHost(std::size_t index);
    void scheduleSync(const std::shared_ptr<Process> &process);
    void scheduleLink(const std::shared_ptr<Process> &process);
    void beginFault(const HostFaultPlan &fault);
    void disturb(SimulatedHost &host, HostFault kind, MonotonicTime until);
    void change(StoreChange kind);
    void write(SourceTable table, std::string key, std::string value, bool isRemoved);
    void returnStore();
    void raiseStoreVersion();
    void check();
    void checkHost(const SimulatedHost &host);
    Duration applyBound(const SimulatedHost &host) const;
    bool isJudged(const SimulatedHost &host) const;
    void report(const SimulatedHost &host, const std::string &description);

    const ReplicationPlan &plan;
    SeededRandom random;
    std::vector<FailureDomainId> domains;
    std::vector<SimulatedHost> hosts;
    std::map<Endpoint, std::size_t> byAddress;
    std::uint64_t nextIncarnation = 1;
    std::uint64_t nextConfiguration = 0;
    unsigned nextServer = 0;
    MonotonicTime beganAt{};
    MonotonicTime storeUnstableUntil{};
    std::optional<MonotonicTime> returnedAt;
    /// Each change that the store has acknowledged once, in order.
    std::vector<SimulatedStore::Change> acknowledged;
    std::set<std::pair<HostId, std::string>> reported;
    /// When the store acknowledged each configuration.
    std::map<std::uint64_t, MonotonicTime> acknowledgedAt;
    ReplicationResult result;
};

Process::Process(Simulation &owner, std::size_t hostIndex, balance::HostRecord record, const std::vector<FailureDomainId> &domains)
    : simulation(owner)
    , host(hostIndex)
    , random(record.incarnation.count())
    , source(std::make_unique<SimulatedSource>(owner, *this))
    , client(std::make_unique<SimulatedClient>(owner, *this))
    , socket(std::make_unique<SimulatedSocket>(owner, *this))
    , directory(std::move(record), 2, true)
    , sync({this->context,
            owner.clock,
            this->random,
            *this->source,
            this->decoder,
            *this->client,
            this->published,
            this->directory.own().failureDomain,
            [this] {
                this->simulation.onPublished(*this);
                this->link.onStatePublished();
            }})
    , link({this->context,
            owner.clock,
            this->random,
            this->directory,
            this->board,
            this->quota,
            this->sync,
            *this->socket,
            domains,
            {},
            [this](const PeerReplicaStatus &status) {
                this->sync.onPeerReplicaStatus(status);
            },
            this->retries,
            [] {
                return MonotonicTime();
            }})
{
}

std::error_code SimulatedSocket::send(std::string_view bytes, const Endpoint &target)
{
    auto *const to = this->simulation.findHost(target);
    auto &from = this->simulation.hostOf(this->process);
    const auto now = this->simulation.scheduler.now();
    const bool isCut = to == nullptr || now < from.cutFromPeersUntil || now < to->cutFromPeersUntil;
    if (isCut || this->simulation.isLost(from) || this->simulation.isLost(*to)) {
        return {};
    }
    this->simulation.scheduler.at(this->simulation.arrival(from, *to),
                                  [&owner = this->simulation, to, data = std::string(bytes), sender = from.record.peerAddress] {
                                      if (const auto receiver = to->process) {
                                          owner.execute(receiver, DatagramCost, [&receiver = *receiver, data, sender] {
                                              receiver.receiver(data, sender);
                                          });
                                      }
                                  });
    return {};
}

std::function<void(const Result<SourceBatch> &)> SimulatedSource::beginCall(SourceTable table, Duration timeout, BatchHandler handler)
{
    auto &scheduler = this->simulation.scheduler;
    const auto pending = std::make_shared<BatchHandler>(std::move(handler));
    const auto complete
        = [&owner = this->simulation, pending, process = this->process.weak_from_this()](const Result<SourceBatch> &result) {
              if (const auto alive = process.lock()) {
                  owner.execute(alive, StoreResponseCost, [pending, result] {
                      if (const auto completed = std::exchange(*pending, nullptr)) {
                          completed(result);
                      }
                  });
              }
          };
    const auto &host = this->simulation.hostOf(this->process);
    const auto isRefused = [&scheduler, &host, table] {
        return scheduler.now() < host.refusedUntil
            || (table == SourceTable::Configuration && scheduler.now() < host.configurationRefusedUntil);
    };
    if (isRefused()) {
        scheduler.after(StoreLatency, [complete] {
            complete(make_error_code(SourceError::Unavailable));
        });
        return nullptr;
    }
    scheduler.after(timeout, [complete] {
        complete(make_error_code(SourceError::Unavailable));
    });
    // A cut delays what is on its way until it ends; a refusal ends the calls that wait.
    return [&scheduler, &host, isRefused, complete](const Result<SourceBatch> &result) {
        const Result<SourceBatch> outcome = isRefused() ? make_error_code(SourceError::Unavailable) : result;
        scheduler.at(std::max(scheduler.now(), host.cutFromStoreUntil) + StoreLatency, [complete, outcome] {
            complete(outcome);
        });
    };
}

void SimulatedSource::read(SourceTable table, BatchHandler handler)
{
    this->simulation.countStoreCall(true);
    auto &scheduler = this->simulation.scheduler;
    const auto complete = this->beginCall(table, ReadTimeout, std::move(handler));
    if (!complete) {
        return;
    }
    const auto &host = this->simulation.hostOf(this->process);
    scheduler.at(std::max(scheduler.now(), host.cutFromStoreUntil) + StoreLatency, [&store = this->simulation.store, table, complete] {
        complete(store.read(table));
    });
}

void SimulatedSource::watch(SourceTable table, std::uint64_t after, std::chrono::milliseconds wait, BatchHandler handler)
{
    this->simulation.countStoreCall(false);
    auto &scheduler = this->simulation.scheduler;
    const auto complete = this->beginCall(table, wait + WatchMargin, std::move(handler));
    if (!complete) {
        return;
    }
    const auto &host = this->simulation.hostOf(this->process);
    scheduler.at(std::max(scheduler.now(), host.cutFromStoreUntil) + StoreLatency,
                 [&owner = this->simulation, table, after, wait, complete] {
                     auto &store = owner.store;
                     if (after < store.historyStart || after > store.version) {
                         complete(make_error_code(SourceError::HistoryGone));
                         return;
                     }
                     if (auto changes = store.changesAfter(table, after); !changes.rows.empty()) {
                         complete(changes);
                         return;
                     }
                     const auto isDone = std::make_shared<bool>(false);
                     store.watchers.push_back({table, after, [isDone, complete](const SourceBatch &changes) {
                                                   *isDone = true;
                                                   complete(changes);
                                               }});
                     const auto position = std::prev(store.watchers.end());
                     owner.scheduler.after(wait, [&store, position, isDone, table, complete, returns = store.returns] {
                         if (!*isDone && returns == store.returns) {
                             store.watchers.erase(position);
                             complete(SourceBatch{{}, store.version, store.era});
                         }
                     });
                 });
}

std::shared_ptr<http::HttpCallHandle> SimulatedClient::send(http::HttpCall call, http::HttpHandler handler)
{
    auto &scheduler = this->simulation.scheduler;
    const auto pending = std::make_shared<http::HttpHandler>(std::move(handler));
    const auto complete = [&owner = this->simulation, pending, process = this->process.weak_from_this()](const http::HttpOutcome &outcome) {
        if (const auto alive = process.lock()) {
            owner.execute(alive, PullResponseCost, [pending, outcome] {
                if (const auto completed = std::exchange(*pending, nullptr)) {
                    completed(outcome);
                }
            });
        }
    };
    scheduler.at(call.deadline, [complete] {
        complete(http::HttpOutcome{make_error_code(http::HttpError::Timeout), true});
    });
    auto *const to = this->simulation.findHost(call.server);
    if (to == nullptr) {
        return std::make_shared<Handle>();
    }
    auto &from = this->simulation.hostOf(this->process);
    scheduler.at(this->simulation.arrival(from, *to), [&owner = this->simulation, to, &from, complete, request = call.request] {
        const auto peer = to->process;
        if (!peer) {
            return;
        }
        owner.execute(peer, PullRequestCost, [&owner, to, &from, peer = peer.get(), complete, request] {
            const bool isConfiguration = request.target.starts_with("/replica/configuration");
            const auto after = std::stoull(request.target.substr(request.target.find('=') + 1));
            const auto era = std::stoull(request.target.substr(request.target.rfind('=') + 1));
            const auto table = isConfiguration ? SourceTable::Configuration : SourceTable::Servers;
            const http::HttpOutcome outcome{peer->sync.handleReplicaRequest(request, table, {StoreEra(era), after}), true};
            owner.scheduler.at(owner.arrival(*to, from), [complete, outcome] {
                complete(outcome);
            });
        });
    });
    return std::make_shared<Handle>();
}

MonotonicTime Simulation::arrival(const SimulatedHost &from, const SimulatedHost &to)
{
    const auto begin = std::max({this->scheduler.now(), from.cutFromPeersUntil, to.cutFromPeersUntil});
    const auto latency = from.record.failureDomain == to.record.failureDomain ? LocalLatency : RemoteLatency;
    // TCP repeats a lost packet after its timeout.
    const Duration repeat = this->isLost(from) || this->isLost(to) ? 250ms : 0ms;
    return begin + latency + repeat;
}

void Simulation::execute(const std::shared_ptr<Process> &process, Duration cost, std::function<void()> action)
{
    auto &host = this->hostOf(*process);
    // Both factors together exceed the capacity of a host, so that its work would pile up beyond the end of the fault.
    const auto factor = this->scheduler.now() < host.slowUntil ? SlowdownFactor : this->plan.costFactor;
    host.busyUntil = std::max({this->scheduler.now(), host.busyUntil, host.frozenUntil}) + cost * factor;
    this->scheduler.at(host.busyUntil, [this, weak = process->weak_from_this(), action = std::move(action)] {
        const auto alive = weak.lock();
        if (!alive) {
            return;
        }
        if (this->scheduler.now() < this->hostOf(*alive).frozenUntil) {
            this->execute(alive, Duration(0), action);
            return;
        }
        action();
        alive->context.restart();
        alive->context.poll();
    });
}

void Simulation::scheduleSync(const std::shared_ptr<Process> &process)
{
    this->execute(process, TickCost, [this, own = process.get()] {
        own->sync.update();
        this->scheduler.after(SyncInterval, [this, weak = own->weak_from_this()] {
            if (const auto alive = weak.lock()) {
                this->scheduleSync(alive);
            }
        });
    });
}

void Simulation::scheduleLink(const std::shared_ptr<Process> &process)
{
    this->execute(process, TickCost, [this, own = process.get()] {
        own->link.update();
        this->scheduler.after(LinkInterval, [this, weak = own->weak_from_this()] {
            if (const auto alive = weak.lock()) {
                this->scheduleLink(alive);
            }
        });
    });
}

void Simulation::startHost(std::size_t index)
{
    auto &host = this->hosts[index];
    host.record.incarnation = Incarnation(this->nextIncarnation++);
    host.process = std::make_shared<Process>(*this, index, host.record, this->domains);
    for (const auto &other : this->hosts) {
        host.process->directory.onListed(other.record, this->clock.now());
    }
    host.process->link.open();
    const auto position = std::min(index % this->plan.hostsPerDomain, MaxFirstReadRank);
    host.process->sync.deferFirstRead(this->clock.now() + HostListTime + FirstPeerTimeout + FirstReadInterval * position);
    this->scheduler.after(HostListTime, [this, weak = host.process->weak_from_this()] {
        if (const auto alive = weak.lock()) {
            this->execute(alive, TickCost, [own = alive.get()] {
                own->link.announce();
            });
        }
    });
    this->scheduleSync(host.process);
    this->scheduleLink(host.process);
}

void Simulation::disturb(SimulatedHost &host, HostFault kind, MonotonicTime until)
{
    const auto extend = [until](MonotonicTime &end) {
        end = std::max(end, until);
    };
    switch (kind) {
    case HostFault::Frozen:
        extend(host.frozenUntil);
        break;
    case HostFault::Slow:
        extend(host.slowUntil);
        break;
    case HostFault::CutFromStore:
        extend(host.cutFromStoreUntil);
        break;
    case HostFault::RefusedByStore:
        extend(host.refusedUntil);
        return;
    case HostFault::RefusedConfiguration:
        extend(host.configurationRefusedUntil);
        return;
    case HostFault::CutFromPeers:
        extend(host.cutFromPeersUntil);
        return;
    case HostFault::LosesPackets:
        extend(host.lossyUntil);
        break;
    case HostFault::Killed:
        host.process.reset();
        this->scheduler.after(RestartTime, [this, index = static_cast<std::size_t>(&host - this->hosts.data())] {
            if (!this->hosts[index].process) {
                this->startHost(index);
            }
        });
        extend(host.disturbedUntil);
        host.disturbedUntil = std::max(host.disturbedUntil, this->clock.now() + RestartTime);
        return;
    }
    extend(host.disturbedUntil);
}

void Simulation::beginFault(const HostFaultPlan &fault)
{
    std::vector<SimulatedHost *> candidates;
    for (auto &host : this->hosts) {
        const bool isReader = host.process && host.process->sync.replicaStatus().storeContactAge;
        const bool isEntryHost = host.process && host.process->directory.isEntryHost();
        if (fault.target == FaultTarget::AnyHosts || (fault.target == FaultTarget::Readers && isReader)
            || (fault.target == FaultTarget::EntryHosts && isEntryHost)) {
            candidates.push_back(&host);
        }
    }
    const auto count = std::max<std::size_t>(1, static_cast<std::size_t>(fault.share * static_cast<double>(candidates.size())));
    for (std::size_t i = 0; i < count && !candidates.empty(); ++i) {
        const auto chosen = this->random.below(candidates.size());
        this->disturb(*candidates[chosen], fault.kind, this->beganAt + fault.to);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

void Simulation::change(StoreChange kind)
{
    const auto now = this->clock.now();
    switch (kind) {
    case StoreChange::Configuration:
        this->acknowledgedAt[++this->nextConfiguration] = now;
        this->write(SourceTable::Configuration, "config", std::to_string(this->nextConfiguration), false);
        return;
    case StoreChange::Evacuation: {
        const auto key = std::string(EvacuationPrefix) + this->domains[this->random.below(this->domains.size())].text();
        const bool isPresent = this->store.rowsAt(SourceTable::Configuration, this->store.version).contains(key);
        this->write(SourceTable::Configuration, key, "", isPresent);
        return;
    }
    case StoreChange::AddServer:
        this->write(SourceTable::Servers, "s" + std::to_string(this->nextServer++), "ready", false);
        return;
    case StoreChange::DrainServer:
        for (const auto &[key, row] : this->store.rowsAt(SourceTable::Servers, this->store.version)) {
            if (row.value == "ready") {
                this->write(SourceTable::Servers, key, "draining", false);
                return;
            }
        }
        return;
    case StoreChange::DropHistory:
        this->store.historyStart = this->store.version;
        this->storeUnstableUntil = now + ContactTime;
        return;
    case StoreChange::ReturnFromCopy:
        this->returnStore();
        return;
    }
}

void Simulation::write(SourceTable table, std::string key, std::string value, bool isRemoved)
{
    const auto now = this->clock.now();
    this->acknowledged.push_back({table, {key, value, 0, isRemoved}, now});
    this->store.write(table, std::move(key), std::move(value), isRemoved, now);
}

/// Has the store return from a copy, and its writers write the lost changes again in their order.
void Simulation::returnStore()
{
    const auto now = this->clock.now();
    this->returnedAt = now;
    this->storeUnstableUntil = now + ContactTime;
    for (const auto &lost : this->store.returnFrom(now - LostTime)) {
        const bool isOperators = lost.table == SourceTable::Configuration;
        const Duration delay = isOperators ? OperatorRewriteTime : std::chrono::milliseconds(this->random.below(ServerRewriteMs));
        this->scheduler.after(delay, [this, lost] {
            const auto rows = this->store.rowsAt(lost.table, this->store.version);
            const auto current = rows.find(lost.row.key);
            const bool isNewerWritten = current != rows.end()
                && (lost.row.key == "config" ? std::stoull(current->second.value) > std::stoull(lost.row.value)
                                             : current->second.value == "draining");
            if (!isNewerWritten) {
                this->store.write(lost.table, lost.row.key, lost.row.value, lost.row.isRemoved, this->clock.now());
            }
        });
    }
}

/// Raises the version of the store without a change, as heartbeats of servers do.
void Simulation::raiseStoreVersion()
{
    this->store.nextVersion(this->clock.now());
    this->scheduler.after(OtherWriteInterval, [this] {
        this->raiseStoreVersion();
    });
}

void Simulation::report(const SimulatedHost &host, const std::string &description)
{
    if (this->reported.emplace(host.record.id, description).second) {
        this->result.violations.push_back({this->clock.now() - this->beganAt, host.record.id, description});
    }
}

bool Simulation::isJudged(const SimulatedHost &host) const
{
    return this->clock.now() >= host.disturbedUntil + ContactTime;
}

Duration Simulation::applyBound(const SimulatedHost &host) const
{
    const auto unstableUntil
        = std::max({this->storeUnstableUntil, host.refusedUntil + ContactTime, host.configurationRefusedUntil + ContactTime});
    return this->clock.now() < unstableUntil ? ApplyTimeOfUnstableStore : ApplyTime;
}

void Simulation::onPublished(Process &process)
{
    const auto &host = this->hosts[process.host];
    const auto state = process.published.read();
    const auto version = state->catalog ? state->catalog->version().count() : 0;
    if (this->isJudged(host) && this->applyBound(host) == ApplyTime) {
        for (auto each = this->acknowledgedAt.upper_bound(process.publishedVersion);
             each != this->acknowledgedAt.end() && each->first <= version;
             ++each) {
            this->result.slowestChange = std::max(this->result.slowestChange, this->clock.now() - each->second);
        }
    }
    if (process.publishedVersion == 0 && version > 0) {
        const auto next = this->acknowledgedAt.upper_bound(version);
        const auto oldest = this->clock.now() - MaxAgeAtStart * this->plan.costFactor;
        if (next != this->acknowledgedAt.end() && next->second < oldest && this->clock.now() >= host.disturbedUntil
            && this->applyBound(host) == ApplyTime) {
            this->report(host, "starts with configuration " + std::to_string(version) + " although a newer one was acknowledged before");
        }
    }
    process.publishedVersion = std::max(process.publishedVersion, version);
}

void Simulation::checkHost(const SimulatedHost &host)
{
    const auto now = this->clock.now();
    if (!host.process) {
        return;
    }
    auto &process = *host.process;
    const auto state = process.published.read();
    const auto applied = state && state->catalog ? state->catalog->version().count() : 0;
    if (applied < process.appliedVersion) {
        this->report(host, "configuration reverts from " + std::to_string(process.appliedVersion) + " to " + std::to_string(applied));
    }
    process.appliedVersion = applied;
    const auto version = process.sync.replicaStatus().configurationVersion;
    const bool isSettled = version.era == this->store.era && (!this->returnedAt || now >= *this->returnedAt + SettleTime);
    if (state && version > process.checkedVersion && isSettled) {
        process.checkedVersion = version;
        std::set<FailureDomainId> expected;
        std::uint64_t expectedConfiguration = 0;
        for (const auto &[key, row] : this->store.rowsAt(SourceTable::Configuration, version.number)) {
            if (key.starts_with(EvacuationPrefix)) {
                expected.emplace(key.substr(EvacuationPrefix.size()));
            } else {
                expectedConfiguration = std::stoull(row.value);
            }
        }
        if (expected != state->evacuatedDomains || expectedConfiguration != applied) {
            this->report(host,
                         "rows differ from those of the store at version " + std::to_string(version.number) + ": configuration "
                             + std::to_string(applied) + " in place of " + std::to_string(expectedConfiguration) + ", "
                             + std::to_string(state->evacuatedDomains.size()) + " evacuated domains in place of "
                             + std::to_string(expected.size()));
        }
    }
    if (!this->isJudged(host)) {
        return;
    }
    const auto bound = this->applyBound(host);
    std::uint64_t due = 0;
    std::set<std::string> draining;
    for (const auto &each : this->acknowledged) {
        if (each.at + bound >= now) {
            break;
        }
        if (each.row.key == "config") {
            due = std::stoull(each.row.value);
        } else if (each.row.value == "draining") {
            draining.insert(each.row.key);
        }
    }
    if (applied < due) {
        this->report(host, "configuration " + std::to_string(due) + " is not in force, applied is " + std::to_string(applied));
    }
    if (!state) {
        return;
    }
    for (const auto &entry : state->servers->entries()) {
        if (!entry.isDraining && draining.contains(entry.id.text())) {
            this->report(host, "server " + entry.id.text() + " counts as ready");
        }
    }
}

void Simulation::check()
{
    for (const auto &host : this->hosts) {
        this->checkHost(host);
    }
    this->scheduler.after(CheckInterval, [this] {
        this->check();
    });
}

ReplicationResult Simulation::run()
{
    this->beganAt = this->clock.now();
    this->change(StoreChange::Configuration);
    for (int i = 0; i < 5; ++i) {
        this->change(StoreChange::AddServer);
    }
    for (unsigned domain = 0; domain < this->plan.domains; ++domain) {
        this->domains.emplace_back(std::string(1, static_cast<char>('a' + domain)));
        for (unsigned number = 0; number < this->plan.hostsPerDomain; ++number) {
            SimulatedHost host;
            host.record.id = HostId(this->domains.back().text() + std::to_string(number));
            host.record.failureDomain = this->domains.back();
            host.record.peerAddress = Endpoint(host.record.id.text() + ":1");
            host.record.controlAddress = Endpoint(host.record.id.text() + ":2");
            host.disturbedUntil = this->beganAt;
            this->byAddress[host.record.peerAddress] = this->hosts.size();
            this->byAddress[host.record.controlAddress] = this->hosts.size();
            this->hosts.push_back(std::move(host));
        }
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        // The hosts of a fleet start within 0.3 s.
        this->scheduler.after(std::chrono::milliseconds(this->random.below(300)), [this, i] {
            this->startHost(i);
        });
    }
    for (const auto &fault : this->plan.faults) {
        this->scheduler.at(this->beganAt + fault.from, [this, &fault] {
            this->beginFault(fault);
        });
    }
    for (const auto &planned : this->plan.changes) {
        this->scheduler.at(this->beganAt + planned.at, [this, kind = planned.kind] {
            this->change(kind);
        });
    }
    const bool hasReturn = std::any_of(this->plan.changes.begin(), this->plan.changes.end(), [](const StoreChangePlan &planned) {
        return planned.kind == StoreChange::ReturnFromCopy;
    });
    if (hasReturn) {
        this->raiseStoreVersion();
    }
    this->check();
    this->scheduler.runUntil(this->beganAt + this->plan.length);
    return this->result;
}

} // namespace

ReplicationPlan randomReplicationPlan(std::uint64_t seed)
{
    SeededRandom random(seed);
    const auto between = [&random](std::uint64_t least, std::uint64_t most) {
        return std::chrono::milliseconds(least + random.below(most - least + 1));
    };
    ReplicationPlan plan;
    plan.seed = seed;
    plan.hostsPerDomain = static_cast<unsigned>(3 + random.below(13));
    plan.costFactor = random.below(3) == 0 ? 4 : 1;
    const auto addChange = [&plan, &random](Duration at) {
        static constexpr std::array Kinds{StoreChange::Configuration,
                                          StoreChange::Configuration,
                                          StoreChange::Evacuation,
                                          StoreChange::AddServer,
                                          StoreChange::DrainServer};
        plan.changes.push_back({Kinds[random.below(Kinds.size())], at});
    };
    const auto faults = 1 + random.below(4);
    for (std::uint64_t i = 0; i < faults; ++i) {
        static constexpr std::array Shares{0.0, 0.3, 0.5, 1.0};
        HostFaultPlan fault;
        fault.kind = static_cast<HostFault>(random.below(static_cast<std::uint64_t>(HostFault::Killed) + 1));
        fault.target = static_cast<FaultTarget>(random.below(static_cast<std::uint64_t>(FaultTarget::AnyHosts) + 1));
        fault.share = Shares[random.below(fault.target == FaultTarget::AnyHosts ? 3 : 4)];
        fault.from = between(6000, 11000);
        fault.to = fault.from + between(1000, 5000);
        plan.faults.push_back(fault);
        // The changes that a fault delays most come right after its beginning, if it follows a response of the store.
        if (random.below(2) == 0) {
            plan.changes.push_back({StoreChange::AddServer, fault.from - std::chrono::milliseconds(25)});
            plan.changes.push_back({StoreChange::Configuration, fault.from - std::chrono::milliseconds(25)});
            plan.changes.push_back({StoreChange::Configuration, fault.from + std::chrono::milliseconds(1)});
        }
        const auto changes = random.below(3);
        for (std::uint64_t change = 0; change < changes; ++change) {
            addChange(fault.from + between(1, 400));
        }
    }
    const auto pause = 200 + random.below(3000);
    for (Duration at = between(4000, 6000); at < plan.length; at += between(pause / 2, pause)) {
        addChange(at);
    }
    if (random.below(5) == 0) {
        plan.changes.push_back({StoreChange::DropHistory, between(6000, 11000)});
    }
    return plan;
}

ReplicationPlan randomReturnPlan(std::uint64_t seed)
{
    static constexpr int EarliestReturnMs = 6000;
    static constexpr std::uint64_t LatestDelayMs = 4000;
    auto plan = randomReplicationPlan(seed);
    SeededRandom random(seed);
    const Duration returnAt = std::chrono::milliseconds(EarliestReturnMs + random.below(LatestDelayMs));
    plan.changes.push_back({StoreChange::ReturnFromCopy, returnAt});
    // These have versions that the store gave out before its return.
    plan.changes.push_back({StoreChange::Configuration, returnAt + OperatorRewriteTime * 2});
    plan.changes.push_back({StoreChange::DrainServer, returnAt + OperatorRewriteTime * 3});
    return plan;
}

std::string describeFaults(const ReplicationPlan &plan)
{
    static constexpr std::array Kinds{"frozen",
                                      "slow",
                                      "cut from the store",
                                      "refused by the store",
                                      "refused the configuration",
                                      "cut from peers",
                                      "losing packets",
                                      "killed"};
    static constexpr std::array Targets{"readers", "entry hosts", "any hosts"};
    std::string text = std::to_string(plan.hostsPerDomain) + " hosts a domain";
    for (const auto &fault : plan.faults) {
        const auto milliseconds = [](Duration time) {
            return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
        };
        text += "; " + milliseconds(fault.from) + " to " + milliseconds(fault.to) + " ms: " + std::to_string(fault.share) + " of "
            + Targets[static_cast<std::size_t>(fault.target)] + " " + Kinds[static_cast<std::size_t>(fault.kind)];
    }
    for (const auto &change : plan.changes) {
        if (change.kind == StoreChange::DropHistory) {
            text += "; history dropped";
        }
        if (change.kind == StoreChange::ReturnFromCopy) {
            text += "; store returns from a copy";
        }
    }
    return text;
}

ReplicationResult simulateReplication(const ReplicationPlan &plan)
{
    return Simulation(plan).run();
}

} // namespace rhubarbtiller::gateway
