#include "backendworld.h"
#include "callers.h"
#include "gatewayfleet.h"
#include "seeds.h"

#include "../callerlimits/rawcallers.h"

#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <future>
#include <iostream>
#include <random>

using namespace rhubarbtiller;
using namespace rhubarbtiller::soak;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// How long faults begin; the last ones end a few seconds later.
static constexpr milliseconds FaultTime{12'000};
static constexpr milliseconds ReadyBound{10'000};
static constexpr milliseconds RestartPause{300};
static constexpr milliseconds PollInterval{20};
static constexpr milliseconds AfterRecovery{3000};
static constexpr int CallerCount = 12;

/// When callers that stop short of the end of their bodies begin. With 90 MB they exceed the limit of a host with 160 MB (60 MB).
static constexpr milliseconds StoppingCallersAt{4000};
static constexpr milliseconds StoppingCallersTime{6000};
static constexpr std::size_t StoppingCallers = 30;
static constexpr std::size_t StoppingBody = 3'000'000;

/// When the store of some runs is copied and comes back from the copy; changes of this time are lost and written again.
static constexpr milliseconds StoreCopyAt{5000};
static constexpr milliseconds StoreOutageAt{8500};
static constexpr milliseconds StoreOutageTime{300};

/// The store of each run whose seed is odd returns from a copy.
static constexpr std::uint64_t SeedsPerStoreReturn = 2;

namespace {

enum class FaultKind {
    KillHost,
    KillAllHosts,
    StopHost,
    RollingStop,
    PauseHost,
    ChangeSettings,
    StoreRefuses,
    StoreIsSilent,
    StoreIsSlow,
    StoreLosesWrites,
    HistoryIsGone,
    StoreLinkIsHarmed,
    ServerFails,
    ServerLinkIsHarmed,
    ServerCrashes,
    ServerLeaves,
    KeyIsWithdrawn,
    RouteIsMoved,
    DomainIsEvacuated,
};

constexpr int FaultKinds = static_cast<int>(FaultKind::DomainIsEvacuated) + 1;

/// One randomized run: the real programs, the stand-ins around them, callers, and a series of faults.
class SoakRun
{
public:
    explicit SoakRun(std::uint64_t runSeed)
        : seed(runSeed), random(runSeed), backend(runSeed), fleet(backend.ioContext(), backend.storeAddress(), runSeed)
    {
        this->expectedEnds.resize(this->hostCount());
        this->callerWorld = this->fleet.withHosts(this->backend.describe());
    }

    /// Returns the broken promises.
    std::vector<std::string> run()
    {
        if (!this->fleet.waitUntilReady(ReadyBound)) {
            return this->failed("ready: not all hosts are ready after " + std::to_string(ReadyBound.count()) + " ms");
        }
        Callers callers(this->callerWorld, CallerCount, this->random());
        this->planFaults();
        this->planStoppingCallers(this->seed);
        if (this->seed % SeedsPerStoreReturn == 1) {
            this->planStoreReturn();
        }
        this->playUntil([this] {
            return this->queue.empty() && this->areAllRunning();
        });
        const auto healedAt = steady_clock::now();
        const auto endAt = healedAt + this->bounds.recovery + AfterRecovery;
        this->playUntil([endAt] {
            return steady_clock::now() >= endAt;
        });
        SoakHistory history;
        history.healedAt = healedAt;
        history.calls = callers.stop();
        history.disturbances = this->disturbances;
        history.stops = this->stops;
        this->backend.finish(history);
        std::size_t served = 0;
        for (const auto &call : history.calls) {
            served += call.status == 200 ? 1 : 0;
        }
        std::cout << "calls " << history.calls.size() << ", served " << served << ", arrivals " << history.arrivals.size() << std::endl;
        auto lines = brokenPromises(history, this->bounds);
        lines.insert(lines.end(), this->ownLines.begin(), this->ownLines.end());
        return lines.empty() ? lines : this->failed(lines);
    }

private:
    using Action = std::function<void()>;

    std::vector<std::string> failed(const std::string &line)
    {
        return this->failed(std::vector<std::string>{line});
    }

    std::vector<std::string> failed(std::vector<std::string> lines)
    {
        this->fleet.keepLogs();
        return lines;
    }

    bool areAllRunning()
    {
        for (int host = 0; host < this->fleet.hostCount(); ++host) {
            if (this->expectedEnds[static_cast<std::size_t>(host)] || this->fleet.exitCode(host)) {
                return false;
            }
        }
        return true;
    }

    void playUntil(const std::function<bool()> &isOver)
    {
        while (!isOver()) {
            while (!this->queue.empty() && this->queue.begin()->first <= steady_clock::now()) {
                const auto action = this->queue.extract(this->queue.begin()).mapped();
                action();
            }
            this->restartEndedHosts();
            std::this_thread::sleep_for(PollInterval);
        }
    }

    void restartEndedHosts()
    {
        for (int host = 0; host < this->fleet.hostCount(); ++host) {
            auto &expected = this->expectedEnds[static_cast<std::size_t>(host)];
            const auto code = this->fleet.exitCode(host);
            if (!code) {
                if (expected && expected->isPlanned && steady_clock::now() > expected->at + this->bounds.grace) {
                    this->ownLines.push_back("planned stop: h" + std::to_string(host) + " still runs after the grace time");
                    expected->isPlanned = false;
                    this->fleet.signal(host, SIGKILL);
                }
                continue;
            }
            if (!expected || (expected->isPlanned && *code != 0)) {
                this->ownLines.push_back("exit: h" + std::to_string(host) + " ended by itself with code " + std::to_string(*code));
            }
            const auto now = steady_clock::now();
            expected.reset();
            this->disturbances.push_back({host, now - PollInterval, now + RestartPause});
            this->fleet.start(host);
        }
    }

    void at(milliseconds delay, Action action)
    {
        this->queue.emplace(steady_clock::now() + delay, std::move(action));
    }

    /// Harms all hosts or one for some time, and has the harm end.
    void harm(int host, milliseconds length, Action end)
    {
        const auto now = steady_clock::now();
        this->disturbances.push_back({host, now, now + length + PollInterval * 2});
        this->at(length, std::move(end));
    }

    milliseconds between(int least, int most)
    {
        return milliseconds(std::uniform_int_distribution<int>(least, most)(this->random));
    }

    std::uint64_t hostCount() const
    {
        return static_cast<std::uint64_t>(this->fleet.hostCount());
    }

    int anyHost()
    {
        return static_cast<int>(this->random() % this->hostCount());
    }

    void planFaults()
    {
        // A run mixes a few kinds, so that the others stay calm around them.
        std::vector<FaultKind> kinds;
        const auto count = 2 + this->random() % 4;
        for (std::uint64_t i = 0; i < count; ++i) {
            kinds.push_back(static_cast<FaultKind>(this->random() % FaultKinds));
        }
        const auto faults = 5 + this->random() % 8;
        for (std::uint64_t i = 0; i < faults; ++i) {
            const auto kind = kinds[this->random() % kinds.size()];
            this->at(this->between(0, static_cast<int>(FaultTime.count())), [this, kind] {
                this->begin(kind);
            });
        }
    }

    /// Has callers send most of a large body and leave their connections open. Takes no random numbers, so that plans of seeds stay.
    void planStoppingCallers(std::uint64_t runSeed)
    {
        const int host = static_cast<int>(runSeed % this->hostCount());
        this->at(StoppingCallersAt, [this, host] {
            this->say("callers of h" + std::to_string(host) + " stop short");
            // On a thread of its own, since a paused host takes no bytes.
            this->stoppingCallers = std::async(std::launch::async, [address = this->fleet.callerAddress(host)] {
                callerlimits::RawCallers callers(address, StoppingCallers);
                callerlimits::CallerLoad load;
                load.start = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(StoppingBody + 1) + "\r\n\r\n";
                load.unit = std::string(1000, 'x');
                load.repeats = StoppingBody / load.unit.size();
                callers.send(load, StoppingBody);
                std::this_thread::sleep_for(StoppingCallersTime);
            });
        });
    }

    /// Has the store come back from an older copy. Takes no random numbers, so that plans of seeds stay.
    void planStoreReturn()
    {
        this->at(StoreCopyAt, [this] {
            this->say("store is copied");
            this->backend.copyStore();
        });
        this->at(StoreOutageAt, [this] {
            this->say("store is away");
            const auto before = this->setStoreOutage(testing::OutageMode::Reset);
            this->harm(-1, StoreOutageTime, [this, before] {
                this->say("store returns from the copy");
                this->backend.returnStoreFromCopy();
                // A fault of the store that began meanwhile goes on.
                if (const auto current = this->setStoreOutage(before); current != testing::OutageMode::Reset) {
                    this->setStoreOutage(current);
                }
            });
        });
    }

    /// Returns the mode before.
    testing::OutageMode setStoreOutage(testing::OutageMode mode)
    {
        this->backend.perform([&] {
            mode = std::exchange(this->backend.rowStore().faults.outage, mode);
        });
        return mode;
    }

    void say(const std::string &what)
    {
        const auto ms = std::chrono::duration_cast<milliseconds>(steady_clock::now() - this->beganAt).count();
        std::cout << "  " << ms << " ms: " << what << std::endl;
    }

    void stopHost(int host)
    {
        auto &expected = this->expectedEnds[static_cast<std::size_t>(host)];
        if (expected) {
            return;
        }
        this->say("SIGTERM h" + std::to_string(host));
        expected = ExpectedEnd{steady_clock::now(), true};
        this->stops.push_back({host, steady_clock::now()});
        this->fleet.signal(host, SIGTERM);
    }

    void killHost(int host)
    {
        auto &expected = this->expectedEnds[static_cast<std::size_t>(host)];
        this->say("SIGKILL h" + std::to_string(host));
        const auto now = steady_clock::now();
        expected = ExpectedEnd{now, false};
        this->disturbances.push_back({host, now, now + RestartPause});
        this->fleet.signal(host, SIGKILL);
    }

    void harmStore(const char *what, milliseconds length, const std::function<void(testing::ServiceFaults &)> &change)
    {
        this->say("store " + std::string(what) + " for " + std::to_string(length.count()) + " ms");
        this->backend.perform([&] {
            this->backend.rowStore().refusalStatus = this->random() % 2 == 0 ? 503 : 429;
            change(this->backend.rowStore().faults);
        });
        this->harm(-1, length, [this] {
            this->backend.perform([this] {
                this->backend.rowStore().faults = {};
            });
        });
    }

    void begin(FaultKind kind)
    {
        const auto length = this->between(500, 4000);
        switch (kind) {
        case FaultKind::KillHost:
            this->killHost(this->anyHost());
            return;
        case FaultKind::KillAllHosts:
            for (int host = 0; host < this->fleet.hostCount(); ++host) {
                this->killHost(host);
            }
            return;
        case FaultKind::StopHost:
            this->stopHost(this->anyHost());
            return;
        case FaultKind::RollingStop:
            for (int host = 0; host < this->fleet.hostCount(); ++host) {
                this->at(1000ms * host, [this, host] {
                    this->stopHost(host);
                });
            }
            return;
        case FaultKind::PauseHost: {
            const int host = this->anyHost();
            this->say("SIGSTOP h" + std::to_string(host) + " for " + std::to_string(length.count()) + " ms");
            this->fleet.signal(host, SIGSTOP);
            this->harm(host, length, [this, host] {
                this->fleet.signal(host, SIGCONT);
            });
            return;
        }
        case FaultKind::ChangeSettings: {
            const int host = this->anyHost();
            this->say("SIGHUP h" + std::to_string(host));
            this->fleet.changeSettings(host);
            return;
        }
        case FaultKind::StoreRefuses:
            this->harmStore("refuses", length, [](testing::ServiceFaults &faults) {
                faults.outage = testing::OutageMode::Refuse;
            });
            return;
        case FaultKind::StoreIsSilent:
            this->harmStore("is silent", length, [](testing::ServiceFaults &faults) {
                faults.outage = testing::OutageMode::Silent;
            });
            return;
        case FaultKind::StoreIsSlow:
            this->harmStore("is slow", length, [](testing::ServiceFaults &faults) {
                faults.delay = 200ms;
            });
            return;
        case FaultKind::StoreLosesWrites:
            this->harmStore("loses writes", length, [](testing::ServiceFaults &faults) {
                faults.loseNextWriteAnswers = 3;
                faults.lateNextWrites = 3;
            });
            return;
        case FaultKind::HistoryIsGone:
            this->say("history is gone");
            this->backend.perform([this] {
                this->backend.rowStore().dropHistory();
            });
            return;
        case FaultKind::StoreLinkIsHarmed: {
            static constexpr std::array Modes{
                LinkMode::Delay, LinkMode::Silent, LinkMode::SilentForward, LinkMode::SilentBackward, LinkMode::Reset};
            const int host = this->anyHost();
            const auto mode = Modes[this->random() % Modes.size()];
            this->say("store link of h" + std::to_string(host) + " " + linkModeWord(mode) + " for " + std::to_string(length.count())
                      + " ms");
            const auto set = [this, host](LinkMode wanted) {
                this->backend.perform([this, host, wanted] {
                    this->fleet.storeLink(host).setMode(wanted);
                });
            };
            set(mode);
            this->harm(host, length, [set] {
                set(LinkMode::Pass);
            });
            return;
        }
        case FaultKind::ServerFails: {
            static constexpr std::array Faults{ServerFault::Errors,
                                               ServerFault::Reset,
                                               ServerFault::Mute,
                                               ServerFault::CutShort,
                                               ServerFault::ExtraAnswer,
                                               ServerFault::Busy,
                                               ServerFault::Slow};
            const auto fault = Faults[this->random() % Faults.size()];
            this->say(std::string("server fault ") + serverFaultWord(fault));
            this->at(length, this->backend.harmServer(fault, 0.2 + static_cast<double>(this->random() % 9) / 10));
            return;
        }
        case FaultKind::ServerLinkIsHarmed: {
            static constexpr std::array Modes{
                LinkMode::Delay, LinkMode::Silent, LinkMode::SilentForward, LinkMode::SilentBackward, LinkMode::Reset};
            const auto mode = Modes[this->random() % Modes.size()];
            this->say(std::string("server link ") + linkModeWord(mode));
            this->harm(-1, length, this->backend.harmLink(mode));
            return;
        }
        case FaultKind::ServerCrashes:
            this->say("server crashes");
            this->harm(-1, length, this->backend.crashServer());
            return;
        case FaultKind::ServerLeaves:
            this->say("server leaves");
            this->at(this->bounds.drain + this->between(500, 3000), this->backend.drainServer());
            return;
        case FaultKind::KeyIsWithdrawn:
            this->say("key is withdrawn");
            this->backend.withdrawKey();
            return;
        case FaultKind::RouteIsMoved:
            this->say("route is moved");
            this->backend.moveRoute();
            return;
        case FaultKind::DomainIsEvacuated:
            this->say("domain is evacuated");
            this->at(this->bounds.evacuation + this->between(1000, 4000), this->backend.evacuateDomain());
            return;
        }
    }

    struct ExpectedEnd
    {
        SoakTime at{};
        bool isPlanned = false;
    };

    const std::uint64_t seed;
    std::mt19937_64 random;
    BackendWorld backend;
    GatewayFleet fleet;
    CallerWorld callerWorld;
    Bounds bounds;
    std::multimap<SoakTime, Action> queue;
    std::vector<Disturbance> disturbances;
    std::vector<PlannedStop> stops;
    std::vector<std::string> ownLines;
    std::future<void> stoppingCallers;
    std::vector<std::optional<ExpectedEnd>> expectedEnds;
    const SoakTime beganAt = steady_clock::now();
};

/// Seeds that once showed a fault, with its cause.
struct RegressionSeed
{
    std::uint64_t seed;
    const char *cause;
};

} // namespace

static void soakWith(std::uint64_t seed)
{
    std::cout << "soak seed " << seed << std::endl;
    const auto lines = SoakRun(seed).run();
    for (const auto &line : lines) {
        std::cout << "  broken: " << line << std::endl;
    }
    CHECK_MESSAGE(lines.empty(), "seed ", seed, ": ", lines.empty() ? "" : lines.front());
}

TEST_CASE("the gateway fleet keeps its promises under random faults")
{
    for (const auto seed : seedsToPlay(1)) {
        soakWith(seed);
    }
}
