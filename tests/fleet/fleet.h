#pragma once

#include "httpconnection.h"
#include "process.h"

#include <rhubarbtiller/testing/history.h>

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace rhubarbtiller::fleettests {

using testing::History;
using testing::HistoryRecorder;
using testing::Violation;

/// Waits until the condition holds; returns whether it did within the bound.
bool waitUntil(std::chrono::milliseconds bound, const std::function<bool()> &condition);

/// Returns the seed of this run: RHUBARBTILLER_SEED, or a new one. Prints it with the name of the case.
std::uint64_t runSeed(const std::string &caseName);

/// What rhubarbtillerctl said.
struct OperatorResult
{
    int code = -1;
    std::string output;
    WallTime endedAt;

    /// The version in "version 12 is accepted", or 0.
    ConfigVersion version() const;
};

/// A key of an organisation.
struct GrantedKey
{
    OrganisationId organisation;
    KeyName name;
    std::string secret;
};

struct FleetOptions
{
    std::uint32_t warmSlots = 4;
    std::chrono::milliseconds warmUpTime{1000};
    std::chrono::milliseconds serviceTime{5};
};

/// Six hosts "h1" to "h6" in three failure domains in front of nine backend servers "b0" to "b8".
///
/// The pool "seats" has the servers b0 to b5, the pool "fees" the other three. Thread safety: as noted at each method.
class Fleet
{
public:
    static constexpr int HostCount = 6;
    static constexpr int ServerCount = 9;

    /// Starts all processes. Throws std::runtime_error if one of them does not start.
    explicit Fleet(std::uint64_t seed, FleetOptions fleetOptions = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Applies the tables and grants the keys, at once; waits until each host and server serves.
    std::vector<GrantedKey> configure(const std::vector<GrantedKey> &wanted, double rate, double burst);

    /// Runs rhubarbtillerctl. Thread safety: any thread.
    OperatorResult runOperator(const std::vector<std::string> &words);

    /// Runs a change of the configuration and records it as accepted; the caller judges the exit code. Any thread.
    OperatorResult change(const std::vector<std::string> &words, testing::ConfigurationEvent event, const std::string &subject);

    /// Starts a host, again if it ran before. Thread safety: one thread for each host.
    void startHost(int number);
    Process &host(int number);
    bool isServing(int number);

    /// Returns what a host has logged since its last start. Thread safety: any thread.
    std::string logOf(int number) const;

    static HostId hostId(int number);
    static FailureDomainId hostDomain(int number);

    /// Returns the document of the operator port's /state, or null if the host does not answer. Thread safety: any thread.
    nlohmann::json hostState(int number);

    /// Returns the address for callers of a host. Thread safety: any thread.
    std::string callerAddress(int number) const;

    /// Returns the host behind an address for callers. Thread safety: any thread.
    HostId hostAt(const std::string &address) const;

    /// Calls a control endpoint of a backend server or of the platform. Thread safety: any thread.
    HttpReply controlServer(int number, const std::string &method, const std::string &path, const std::string &body = "");
    HttpReply controlPlatform(const std::string &method, const std::string &path, const std::string &body);
    std::vector<nlohmann::json> executions(int number);

    /// Records the versions in force on all hosts until the fleet ends.
    void watchVersions();

    /// Ends the watch, waits until no server works, collects the executions and returns the history.
    History finish();

    /// Prints the violations with the records of the calls that they name; also false if a host ended by itself. Keeps the logs then.
    bool isClean(const History &history, const std::vector<Violation> &violations);

    HistoryRecorder recorder;
    const std::uint64_t seed;

private:
    struct RunningHost
    {
        std::unique_ptr<Process> process;
        std::string callerAddress;
        std::string operatorAddress;
        std::filesystem::path log;
    };

    std::string waitForField(Process &process, const std::filesystem::path &file, const std::string &field);
    std::string platformSettings() const;
    void writeTables() const;
    void watchHost(int number);

    FleetOptions options;
    std::filesystem::path folder;
    bool keepsLogs = false;
    bool hasUnexpectedEnd = false;
    std::unique_ptr<Process> platform;
    std::string platformAddress;
    std::vector<std::unique_ptr<Process>> servers;
    std::vector<std::string> serverAddresses;
    std::map<int, RunningHost> hosts;
    std::map<std::string, HostId> hostsByAddress;
    mutable std::mutex mutex;
    std::atomic<int> operatorRuns{0};
    std::atomic<bool> isEnding{false};
    std::vector<std::thread> watchers;
};

/// How callers behave.
struct CallerOptions
{
    GrantedKey key;
    int threads = 1;
    std::string method = "GET";
    std::string path = "/seats/timetable";
    bool isIdempotent = true;
    /// The time from one call of a thread to the next, unless the call takes longer.
    std::chrono::milliseconds interval{10};
    std::chrono::milliseconds timeout{6000};
    /// Calls this host over a connection that stays open, instead of asking for addresses; 0 for no host.
    int onlyHost = 0;
};

/// Callers that ask for addresses, keep them for 5 s, and record what they call and receive.
class Callers
{
public:
    Callers(Fleet &callersFleet, CallerOptions callerOptions);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// Ends all callers after their present call.
    void stop();

    /// Returns how many answers were received. Thread safety: any thread.
    std::uint64_t answered() const
    {
        return this->answerCount.load();
    }

    /// Returns how many refusals with this reason were received. Thread safety: any thread.
    std::uint64_t refused(const std::string &reason) const;

private:
    struct Caller;

    void run(int number);
    void callOnce(Caller &caller);
    bool findAddresses(Caller &caller);
    std::string chooseAddress(Caller &caller);

    Fleet &fleet;
    CallerOptions options;
    std::uint64_t group;
    std::atomic<bool> isEnding{false};
    std::atomic<std::uint64_t> answerCount{0};
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t> refusals;
    std::vector<std::thread> threads;
};

/// Returns "outcome count" for all outcomes of the calls of a history, in one line.
std::string summary(const History &history);

} // namespace rhubarbtiller::fleettests
