#include "backendworld.h"
#include "callers.h"
#include "gatewayfleet.h"
#include "processorlimit.h"
#include "seeds.h"
#include "statepoller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <sstream>

using namespace rhubarbtiller;
using namespace rhubarbtiller::soak;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// The deployment on which hosts were seen behind.
static const FleetLayout LargeFleet{{16, 16, 12}, 0.2, 260, std::nullopt};

static constexpr milliseconds ReadyBound{20'000};
static constexpr milliseconds CalmBefore{3500};
static constexpr milliseconds FaultTime{14'000};
static constexpr milliseconds TickInterval{5};
static constexpr milliseconds CalmAfter{6000};
static constexpr int CallerCount = 12;

/// How long after the restart of a program its host counts as disturbed.
static constexpr milliseconds StartTime{300};

/// A page that shows an outdated version this long after the change breaks the promise.
static constexpr milliseconds ChangeBound{2000};
static constexpr milliseconds ContactBound{3000};

/// When the store of some runs is copied and comes back from the copy, after the beginning of the faults.
static constexpr milliseconds StoreCopyAt{2000};
static constexpr milliseconds StoreOutageAt{5000};
static constexpr milliseconds StoreOutageTime{300};

/// The store of each run whose seed is even returns from a copy.
static constexpr std::uint64_t SeedsPerStoreReturn = 2;

namespace {

/// Plays faults with a large fleet of real programs and judges how late each host has each change of the store.
class ReplicationRun
{
public:
    explicit ReplicationRun(std::uint64_t runSeed)
        : seed(runSeed), random(runSeed), backend(runSeed), fleet(backend.ioContext(), backend.storeAddress(), runSeed, layoutOf())
    {
        const auto count = static_cast<std::size_t>(this->fleet.hostCount());
        this->pausedUntil.resize(count);
        this->restartAt.resize(count);
        this->isDown.resize(count);
        this->downDisturbance.resize(count);
        // Set by hand: the share of a core that each process gets.
        if (const char *const cores = std::getenv("RHUBARBTILLER_HOST_CORES")) {
            this->limit.emplace(this->fleet, std::stod(cores));
        }
        this->callerWorld = this->fleet.withHosts(this->backend.describe());
    }

    /// Returns the broken promises.
    std::vector<std::string> run()
    {
        const auto readyBy = steady_clock::now() + ReadyBound;
        for (int host = 0; host < this->fleet.hostCount(); ++host) {
            while (!this->fleet.isReady(host)) {
                if (steady_clock::now() > readyBy) {
                    this->fleet.keepLogs();
                    return {"ready: h" + std::to_string(host) + " is not ready after " + std::to_string(ReadyBound.count()) + " ms"};
                }
                this->playUntil(steady_clock::now() + 20ms);
            }
        }
        this->beganAt = steady_clock::now();
        std::vector<std::string> addresses;
        for (int host = 0; host < this->fleet.hostCount(); ++host) {
            addresses.push_back(this->fleet.controlAddress(host));
        }
        this->poller = std::make_unique<StatePoller>(addresses);
        // Set by hand: more callers than in each run.
        const char *const callerText = std::getenv("RHUBARBTILLER_SOAK_CALLERS");
        Callers callers(this->callerWorld, callerText == nullptr ? CallerCount : std::stoi(callerText), this->random());
        this->planChanges(this->beganAt + 500ms);
        this->planFaults(this->beganAt + CalmBefore);
        if (this->seed % SeedsPerStoreReturn == 0) {
            this->planStoreReturn(this->beganAt + CalmBefore);
        }
        this->playUntil(this->beganAt + CalmBefore + FaultTime);
        this->areFaultsOver = true;
        while (!this->queue.empty() || std::find(this->isDown.begin(), this->isDown.end(), true) != this->isDown.end()) {
            this->playUntil(steady_clock::now() + 20ms);
        }
        const auto healedAt = steady_clock::now();
        this->playUntil(healedAt + CalmAfter);

        SoakHistory history;
        history.healedAt = healedAt;
        history.calls = callers.stop();
        history.disturbances = this->disturbances;
        const auto samples = this->poller->stop();
        const auto writes = this->backend.storeWrites();
        this->backend.finish(history);
        auto lines = this->judge(samples, writes);
        for (const auto &line : brokenPromises(history, Bounds())) {
            if (line.starts_with("change in force")) {
                lines.push_back(line);
            }
        }
        std::cout << "  calls " << history.calls.size() << ", arrivals " << history.arrivals.size() << std::endl;
        if (this->limit) {
            std::cout << "  processes stopped by the limit of processor time " << this->limit->stops() << " times" << std::endl;
        }
        if (!lines.empty()) {
            this->fleet.keepLogs();
        }
        return lines;
    }

private:
    using Action = std::function<void()>;

    static FleetLayout layoutOf()
    {
        auto layout = LargeFleet;
        // Set by hand: the hosts of each failure domain.
        if (const char *const hosts = std::getenv("RHUBARBTILLER_SOAK_HOSTS")) {
            std::istringstream counts(hosts);
            layout.hostsPerDomain.assign(std::istream_iterator<int>(counts), {});
        }
        // Set by hand: the open files that each process may have.
        if (const char *const files = std::getenv("RHUBARBTILLER_HOST_FILES")) {
            layout.openFiles = std::stoull(files);
        }
        return layout;
    }

    bool isCalm(int host, SoakTime from, SoakTime to) const
    {
        return std::none_of(this->disturbances.begin(), this->disturbances.end(), [&](const Disturbance &each) {
            return (each.host == -1 || each.host == host) && each.from < to && from < each.to;
        });
    }

    /// Returns a line for each host that has been calm and still shows an outdated version; prints the slowest changes.
    std::vector<std::string> judge(const std::vector<HostSample> &samples, const std::vector<StoreWrite> &writes) const
    {
        std::vector<std::string> lines;
        for (const auto table : {StoreTable::Configuration, StoreTable::Servers}) {
            const char *const name = table == StoreTable::Configuration ? "configuration" : "servers";
            std::map<int, milliseconds> latestOf;
            milliseconds slowest{0};
            int slowestHost = -1;
            std::uint64_t slowestVersion = 0;
            std::size_t judged = 0;
            for (const auto &sample : samples) {
                const auto version = table == StoreTable::Configuration ? sample.configurationVersion : sample.serversVersion;
                const auto missed = std::find_if(writes.begin(), writes.end(), [&](const StoreWrite &write) {
                    return write.table == table && std::pair(write.era, write.version) > version;
                });
                if (!this->isCalm(sample.host, sample.sentAt - ContactBound, sample.receivedAt)) {
                    continue;
                }
                ++judged;
                if (missed == writes.end() || sample.sentAt <= missed->at) {
                    continue;
                }
                const auto late = std::chrono::duration_cast<milliseconds>(sample.sentAt - missed->at);
                if (late > slowest) {
                    slowest = late;
                    slowestHost = sample.host;
                    slowestVersion = missed->version;
                }
                auto &latest = latestOf[sample.host];
                if (late > ChangeBound && late > latest) {
                    latest = late;
                }
            }
            std::cout << "  " << name << ": " << judged << " pages of calm hosts, " << writes.size() << " changes of both tables, slowest "
                      << slowest.count() << " ms (h" << slowestHost << ", version " << slowestVersion << ")" << std::endl;
            for (const auto &[host, late] : latestOf) {
                if (late > ChangeBound) {
                    lines.push_back(std::string("behind: h") + std::to_string(host) + " lacks a change of the " + name + " "
                                    + std::to_string(late.count()) + " ms after it");
                }
            }
        }
        return lines;
    }

    void playUntil(SoakTime end)
    {
        while (steady_clock::now() < end) {
            while (!this->queue.empty() && this->queue.begin()->first <= steady_clock::now()) {
                const auto action = this->queue.extract(this->queue.begin()).mapped();
                action();
            }
            this->restartEndedHosts();
            if (this->limit) {
                std::vector<bool> paused;
                for (const auto until : this->pausedUntil) {
                    paused.push_back(until != SoakTime());
                }
                this->limit->update(paused);
            }
            std::this_thread::sleep_for(TickInterval);
        }
    }

    void at(SoakTime time, Action action)
    {
        this->queue.emplace(time, std::move(action));
    }

    milliseconds between(int least, int most)
    {
        return milliseconds(std::uniform_int_distribution<int>(least, most)(this->random));
    }

    int anyHost()
    {
        return static_cast<int>(this->random() % static_cast<std::uint64_t>(this->fleet.hostCount()));
    }

    void say(const std::string &what) const
    {
        const auto ms = std::chrono::duration_cast<milliseconds>(steady_clock::now() - this->beganAt).count();
        std::cout << "  " << ms << " ms: " << what << std::endl;
    }

    /// Plans a change of a table every few hundred milliseconds until the faults are over.
    void planChanges(SoakTime time)
    {
        this->at(time, [this, time] {
            if (this->areFaultsOver && steady_clock::now() > this->beganAt + CalmBefore + FaultTime + ContactBound) {
                return;
            }
            switch (this->random() % 5) {
            case 0:
            case 1:
                this->backend.moveRoute();
                break;
            case 2:
                this->backend.withdrawKey();
                break;
            default:
                this->at(time + this->between(2500, 4500), this->backend.drainServer());
                break;
            }
            this->planChanges(time + this->between(200, 600));
        });
    }

    void planFaults(SoakTime time)
    {
        this->at(time, [this, time] {
            if (this->areFaultsOver) {
                return;
            }
            this->beginFault();
            this->planFaults(time + this->between(300, 1500));
        });
    }

    void planStoreReturn(SoakTime begin)
    {
        this->at(begin + StoreCopyAt, [this] {
            this->say("store is copied");
            this->backend.copyStore();
        });
        this->at(begin + StoreOutageAt, [this] {
            this->harmStore("is away, then returns from the copy", StoreOutageTime, [](testing::ServiceFaults &faults) {
                faults.outage = testing::OutageMode::Reset;
            });
        });
        this->at(begin + StoreOutageAt + StoreOutageTime - TickInterval * 4, [this] {
            this->backend.returnStoreFromCopy();
        });
    }

    /// Returns hosts that read the store, first those of the lowest rank; others if there are not enough.
    std::vector<int> pickHosts(std::size_t count, bool prefersReaders)
    {
        std::vector<int> hosts;
        if (prefersReaders) {
            auto pages = this->poller->latest();
            std::erase_if(pages, [](const HostSample &page) {
                return !page.isReadingStore && page.rank > 1;
            });
            std::sort(pages.begin(), pages.end(), [](const HostSample &left, const HostSample &right) {
                return std::pair(!left.isReadingStore, left.rank) < std::pair(!right.isReadingStore, right.rank);
            });
            for (const auto &page : pages) {
                if (hosts.size() < count) {
                    hosts.push_back(page.host);
                }
            }
        }
        while (hosts.size() < count) {
            hosts.push_back(this->anyHost());
        }
        return hosts;
    }

    static std::string namesOf(const std::vector<int> &hosts)
    {
        std::string names;
        for (const int host : hosts) {
            names += " h" + std::to_string(host);
        }
        return names;
    }

    void pause(int host, milliseconds length)
    {
        auto &until = this->pausedUntil[static_cast<std::size_t>(host)];
        if (until != SoakTime() || this->isDown[static_cast<std::size_t>(host)]) {
            return;
        }
        const auto now = steady_clock::now();
        until = now + length;
        this->fleet.signal(host, SIGSTOP);
        const auto index = this->disturbances.size();
        this->disturbances.push_back({host, now, SoakTime::max()});
        this->at(until, [this, host, index] {
            this->pausedUntil[static_cast<std::size_t>(host)] = {};
            this->fleet.signal(host, SIGCONT);
            this->disturbances[index].to = steady_clock::now();
        });
    }

    void kill(int host, milliseconds downTime)
    {
        const auto index = static_cast<std::size_t>(host);
        if (this->isDown[index]) {
            return;
        }
        this->isDown[index] = true;
        this->restartAt[index] = steady_clock::now() + downTime;
        this->downDisturbance[index] = this->disturbances.size();
        this->disturbances.push_back({host, steady_clock::now(), SoakTime::max()});
        this->fleet.signal(host, SIGKILL);
    }

    void stop(int host)
    {
        const auto index = static_cast<std::size_t>(host);
        if (this->isDown[index]) {
            return;
        }
        this->isDown[index] = true;
        this->restartAt[index] = {};
        this->fleet.signal(host, SIGTERM);
    }

    void restartEndedHosts()
    {
        const auto now = steady_clock::now();
        for (int host = 0; host < this->fleet.hostCount(); ++host) {
            const auto index = static_cast<std::size_t>(host);
            if (!this->isDown[index] || !this->fleet.exitCode(host) || now < this->restartAt[index]) {
                continue;
            }
            this->isDown[index] = false;
            if (auto &disturbance = this->downDisturbance[index]; disturbance) {
                this->disturbances[*disturbance].to = now + StartTime;
                disturbance.reset();
            } else {
                // A host is bound until its planned stop ends.
                this->disturbances.push_back({host, now - TickInterval * 2, now + StartTime});
            }
            this->fleet.start(host);
        }
    }

    void harmStore(const char *what, milliseconds length, const std::function<void(testing::ServiceFaults &)> &change)
    {
        this->say("store " + std::string(what) + " for " + std::to_string(length.count()) + " ms");
        this->backend.perform([&] {
            this->backend.rowStore().refusalStatus = this->random() % 2 == 0 ? 503 : 429;
            change(this->backend.rowStore().faults);
        });
        const auto index = this->disturbances.size();
        this->disturbances.push_back({-1, steady_clock::now(), SoakTime::max()});
        this->at(steady_clock::now() + length, [this, index] {
            this->backend.perform([this] {
                this->backend.rowStore().faults = {};
            });
            this->disturbances[index].to = steady_clock::now();
        });
    }

    void harmStoreLink(int host, LinkMode mode, milliseconds length)
    {
        const auto set = [this, host](LinkMode wanted) {
            this->backend.perform([this, host, wanted] {
                this->fleet.storeLink(host).setMode(wanted);
            });
        };
        set(mode);
        const auto index = this->disturbances.size();
        this->disturbances.push_back({host, steady_clock::now(), SoakTime::max()});
        this->at(steady_clock::now() + length, [this, set, index] {
            set(LinkMode::Pass);
            this->disturbances[index].to = steady_clock::now();
        });
    }

    void beginFault()
    {
        const auto length = this->between(1000, 5000);
        const auto lengthText = " for " + std::to_string(length.count()) + " ms";
        // Faults of the whole store excuse all hosts, hence they are rare.
        switch (this->random() % 20) {
        case 0:
        case 1:
        case 2:
        case 3:
        case 4: {
            const auto hosts = this->pickHosts(1 + this->random() % 5, true);
            this->say("SIGSTOP" + namesOf(hosts) + lengthText);
            for (const int host : hosts) {
                this->pause(host, length);
            }
            return;
        }
        case 5:
        case 6: {
            const auto hosts = this->pickHosts(4 + this->random() % 14, false);
            this->say("SIGSTOP" + namesOf(hosts));
            for (const int host : hosts) {
                this->pause(host, this->between(1000, 5000));
            }
            return;
        }
        case 7:
        case 8:
        case 9: {
            const auto hosts = this->pickHosts(1 + this->random() % 3, true);
            this->say("SIGKILL" + namesOf(hosts));
            for (const int host : hosts) {
                this->kill(host, this->between(100, 2000));
            }
            return;
        }
        case 10: {
            const auto hosts = this->pickHosts(6 + this->random() % 10, false);
            this->say("SIGKILL" + namesOf(hosts));
            for (const int host : hosts) {
                this->kill(host, this->between(100, 2000));
            }
            return;
        }
        case 11: {
            const auto domain = this->random() % GatewayFleet::failureDomains().size();
            this->say("SIGKILL all of " + GatewayFleet::failureDomains()[domain]);
            for (int host = 0; host < this->fleet.hostCount(); ++host) {
                if (this->fleet.domainOf(host) == domain) {
                    this->kill(host, this->between(100, 1500));
                }
            }
            return;
        }
        case 12:
        case 13: {
            const auto hosts = this->pickHosts(5, this->random() % 2 == 0);
            this->say("SIGTERM" + namesOf(hosts));
            auto time = steady_clock::now();
            for (const int host : hosts) {
                this->at(time, [this, host] {
                    this->stop(host);
                });
                time += 400ms;
            }
            return;
        }
        case 14:
        case 15:
        case 16:
        case 17: {
            static constexpr std::array Modes{
                LinkMode::Delay, LinkMode::Silent, LinkMode::SilentForward, LinkMode::SilentBackward, LinkMode::Reset};
            const auto hosts = this->pickHosts(1 + this->random() % 6, this->random() % 3 != 0);
            const auto mode = Modes[this->random() % Modes.size()];
            this->say("store links of" + namesOf(hosts) + " " + linkModeWord(mode) + lengthText);
            for (const int host : hosts) {
                this->harmStoreLink(host, mode, length);
            }
            return;
        }
        case 18:
            this->say("history is gone");
            this->backend.perform([this] {
                this->backend.rowStore().dropHistory();
            });
            return;
        default:
            this->beginStoreFault(this->between(500, 2500));
            return;
        }
    }

    void beginStoreFault(milliseconds length)
    {
        switch (this->random() % 4) {
        case 0:
            this->harmStore("refuses", length, [](testing::ServiceFaults &faults) {
                faults.outage = testing::OutageMode::Refuse;
            });
            return;
        case 1:
            this->harmStore("is silent", length, [](testing::ServiceFaults &faults) {
                faults.outage = testing::OutageMode::Silent;
            });
            return;
        case 2:
            this->harmStore("resets", length, [](testing::ServiceFaults &faults) {
                faults.outage = testing::OutageMode::Reset;
            });
            return;
        default:
            this->harmStore("is slow", length, [](testing::ServiceFaults &faults) {
                faults.delay = 200ms;
            });
            return;
        }
    }

    const std::uint64_t seed;
    std::mt19937_64 random;
    BackendWorld backend;
    GatewayFleet fleet;
    CallerWorld callerWorld;
    std::optional<ProcessorLimit> limit;
    std::unique_ptr<StatePoller> poller;
    std::multimap<SoakTime, Action> queue;
    std::vector<Disturbance> disturbances;
    /// When the fault that has stopped a host ends; none has if this is 0.
    std::vector<SoakTime> pausedUntil;
    std::vector<SoakTime> restartAt;
    std::vector<bool> isDown;
    /// The disturbance of a host that was killed and has not started again.
    std::vector<std::optional<std::size_t>> downDisturbance;
    bool areFaultsOver = false;
    SoakTime beganAt = steady_clock::now();
};

} // namespace

// Guards against hosts that are behind because the few readers of the store stand still, end or lose their links in quick succession.
TEST_CASE("undisturbed hosts of a large fleet stay behind while other hosts fail")
{
    for (const auto seed : seedsToPlay(1)) {
        std::cout << "replication seed " << seed << std::endl;
        const auto lines = ReplicationRun(seed).run();
        for (const auto &line : lines) {
            std::cout << "  broken: " << line << std::endl;
        }
        CHECK_MESSAGE(lines.empty(), "seed ", seed, ": ", lines.empty() ? "" : lines.front());
    }
}
