#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbtiller::soak {

using SoakTime = std::chrono::steady_clock::time_point;

/// One arrival of a request at a backend server.
struct Arrival
{
    std::string request;
    std::string server;
    std::string service;
    std::string failureDomain;
    std::string organisation;
    /// Method, target and body.
    std::string content;
    bool sawKey = false;
    bool hadDeadline = false;
    bool wasCold = false;
    /// Whether the server began to work on it.
    bool hasRun = false;
    /// Whether the server sent the whole good answer.
    bool isAnswered = false;
    SoakTime at{};
};

/// One request as its caller saw it.
struct Call
{
    std::string request;
    std::string route;
    std::string key;
    std::string organisation;
    std::string content;
    /// Number of the host, from 0.
    int host = -1;
    bool isIdempotent = false;
    /// 0 if there was no answer.
    int status = 0;
    /// Whether the connection was refused, so that nothing was sent.
    bool isNotSent = false;
    /// Whether the answer is whole and belongs to the request.
    bool isSound = false;
    SoakTime sentAt{};
    SoakTime endedAt{};
};

/// A time in which something is harmed; -1 stands for all hosts.
struct Disturbance
{
    int host = -1;
    SoakTime from{};
    SoakTime to{};
};

/// A change that the store has acknowledged, and the time for which it stands.
struct AcknowledgedChange
{
    enum class Kind {
        ServerLeaves,
        KeyWithdrawn,
        RouteMoved,
        DomainEvacuated,
    };

    Kind kind = Kind::ServerLeaves;
    /// The server, key, service that may no longer be used, or failure domain.
    std::string subject;
    /// The route that was moved.
    std::string route;
    SoakTime at{};
    SoakTime until = SoakTime::max();
};

/// The tables of the store that hosts follow.
enum class StoreTable {
    Configuration,
    Servers,
};

/// A change of a table that the store has acknowledged.
struct StoreWrite
{
    StoreTable table = StoreTable::Configuration;
    std::uint64_t era = 0;
    std::uint64_t version = 0;
    SoakTime at{};
};

/// A planned stop of a host.
struct PlannedStop
{
    int host = 0;
    SoakTime at{};
};

/// The bounds that a run is judged by, from the platform's rules.
struct Bounds
{
    std::chrono::milliseconds contact{3000};
    std::chrono::milliseconds drain{2000};
    std::chrono::milliseconds configuration{2000};
    std::chrono::milliseconds evacuation{5000};
    std::chrono::milliseconds grace{6000};
    std::chrono::milliseconds recovery{15000};
    double retryRatio = 0.2;
    double retrySlack = 62;
    double quotaOverage = 0.1;
    double quotaSlack = 20;
    double coldOverage = 1.5;
    double coldSlack = 5;
};

/// All that callers, backend servers and the operator saw in one run.
struct SoakHistory
{
    std::vector<Arrival> arrivals;
    std::vector<Call> calls;
    std::vector<Disturbance> disturbances;
    std::vector<AcknowledgedChange> changes;
    std::vector<PlannedStop> stops;
    /// Requests a second and burst of the organisations that have a rate.
    std::map<std::string, std::pair<double, double>> rates;
    double coldRate = 0;
    /// When everything was whole again at the end of the run.
    SoakTime healedAt{};
};

/// Returns a line for each broken promise; empty if all hold. Thread safety: any thread.
std::vector<std::string> brokenPromises(const SoakHistory &history, const Bounds &bounds);

} // namespace rhubarbtiller::soak
