#pragma once

#include <rhubarbtiller/base/strongid.h>
#include <rhubarbtiller/testing/rawhttpserver.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rhubarbtiller::testing {

/// What a cold backend server does under more load than it bears.
enum class ColdFailure {
    /// The request above the limit fails.
    FailRequest,
    /// Every request fails for the collapse time.
    Collapse,
};

/// What an endpoint that describes the server says.
enum class ReportMode {
    /// The state some time ago.
    Lagging,
    /// Always healthy and idle.
    AlwaysGood,
    /// Always failing and full.
    AlwaysBad,
    /// Accepts the request and never responds.
    Silent,
};

/// How a backend server behaves; all of it can be changed while it runs, by POST /control/settings.
struct BackendSettings
{
    std::string id = "backend";
    std::uint32_t slots = 2;
    std::uint32_t coldSlots = 1;
    std::chrono::milliseconds warmUpTime{10000};
    std::chrono::milliseconds serviceTime{5};
    /// Refuse requests above the slots with 503 and X-Not-Run: 1 instead of running them slower.
    bool isShedding = true;
    ColdFailure coldFailure = ColdFailure::Collapse;
    std::chrono::milliseconds collapseTime{2000};
    bool isDraining = false;
    ReportMode healthMode = ReportMode::Lagging;
    std::chrono::milliseconds healthLag{0};
    ReportMode loadMode = ReportMode::Lagging;
    std::chrono::milliseconds loadLag{0};
    /// Texts that must not be found in a request, such as callers' keys.
    std::vector<std::string> secrets;
};

enum class GrayKind {
    /// Runs the request and answers with \c status.
    Fail,
    /// Works longer, with the slot taken.
    Slow,
    /// Answers later, with the slot free and without regard to deadline and cancellation.
    LateAnswer,
    /// Announces the whole answer, sends half of it and closes.
    CutShort,
    /// Sends more bytes after the whole answer.
    TrailingBytes,
    /// Sends the answer to another request.
    Crossed,
    /// Sends the whole answer, and after a delay another answer that nobody asked for on the same connection.
    Unsolicited,
    /// Resets the connection without running the request.
    ResetBefore,
    /// Runs the request and resets the connection.
    ResetAfter,
    /// Reads the request and neither runs nor answers it.
    Hang,
};

/// A fault that strikes the requests that match it.
struct GrayRule
{
    GrayKind kind = GrayKind::Fail;
    /// Empty matches every path.
    std::string pathPrefix;
    /// Empty matches every organisation.
    std::string organisation;
    /// The part of the matching requests that is struck, 0 to 1.
    double fraction = 1;
    int status = 500;
    std::chrono::milliseconds delay{0};
    /// With a period, the rule is active in the first \c activeTime of each period only, counted from its start (flapping).
    std::chrono::milliseconds period{0};
    std::chrono::milliseconds activeTime{0};
    /// How many requests it strikes at most; -1 for no limit.
    std::int64_t times = -1;
};

/// One run of a request on the server.
struct BackendExecution
{
    std::string requestId;
    std::string callerTag;
    std::string idempotencyKey;
    std::string method;
    std::string target;
    std::string organisation;
    std::string traceParent;
    std::vector<std::string> headerNames;
    bool containsSecret = false;
    bool wasCold = false;
    /// Requests running at the start, this one included.
    std::uint32_t concurrency = 0;
    /// Time of day in microseconds.
    std::int64_t startedAt = 0;
    std::int64_t endedAt = 0;
    /// "running", "completed", "failed", "cancelled" (by disconnect) or "expired" (by deadline).
    std::string outcome = "running";
};

/// A backend server for tests with slots, cold starts, drain, shedding and gray failures.
///
/// Paths: GET /health, GET /load, POST /control/settings, POST /control/rules, POST /control/cold, GET and DELETE
/// /control/executions, GET /control/state; every other path is work. Work answers 200 with a JSON object that repeats
/// the request's method, target, id, tag (X-Caller-Tag), organisation and body, padded by the query "bytes=<n>"; "ms=<n>"
/// replaces the service time. Thread safety: the thread of the io_context.
class BackendStandin
{
public:
    /// Precondition: \p ioContext outlives the stand-in and has one thread.
    BackendStandin(asio::io_context &ioContext, BackendSettings initialSettings);
    ~BackendStandin();

    /// Binds the address. Throws std::system_error if that fails.
    void start(const Endpoint &address);

    /// Returns the bound address. Precondition: started.
    Endpoint boundAddress() const;

private:
    using Connection = std::shared_ptr<RawConnection>;
    struct Run;

    void onRequest(http::HttpRequest request, const Connection &connection);
    void onControl(const std::string &path, const http::HttpRequest &request, const Connection &connection);
    void onHealth(const Connection &connection);
    void onLoad(const Connection &connection);
    void onWork(http::HttpRequest request, const Connection &connection);
    void beginRun(http::HttpRequest request, const Connection &connection, const GrayRule *rule);
    void endRun(const std::shared_ptr<Run> &run, const std::string &outcome);
    void answer(const std::shared_ptr<Run> &run, http::HttpResponse response);
    void sendAnswer(const std::shared_ptr<Run> &run, const http::HttpResponse &response);
    http::HttpResponse workResponse(const Run &run) const;
    GrayRule *findRule(const std::string &path, const std::string &organisation);
    bool isCold() const;
    bool isCollapsed() const;
    void recordState();
    std::string executionsJson() const;
    std::string stateJson() const;
    bool applySettings(const std::string &json);
    bool applyRules(const std::string &json);

    struct StatePoint
    {
        std::chrono::steady_clock::time_point at;
        bool isHealthy = true;
        std::uint32_t running = 0;
    };

    StatePoint stateBefore(std::chrono::milliseconds lag) const;

    asio::io_context &context;
    BackendSettings settings;
    RawHttpServer server;
    std::vector<GrayRule> rules;
    std::chrono::steady_clock::time_point rulesSetAt;
    std::chrono::steady_clock::time_point coldUntil;
    std::chrono::steady_clock::time_point collapsedUntil;
    std::deque<BackendExecution> executions;
    /// Changes when the list of executions is emptied, so that a run of before does not write into the new list.
    std::uint64_t logEpoch = 0;
    std::deque<StatePoint> states;
    std::uint32_t running = 0;
    std::uint32_t peakConcurrency = 0;
    std::uint32_t peakColdConcurrency = 0;
    std::uint64_t collapses = 0;
    std::uint64_t shed = 0;
    std::uint64_t refusedDraining = 0;
    std::uint64_t probes = 0;
    std::string lastAnswer;
    std::string lastAnswerRequestId;
    std::mt19937_64 random{1};
};

} // namespace rhubarbtiller::testing
