#pragma once

#include "history.h"

#include <rhubarbtiller/testing/rawhttpserver.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <random>

namespace rhubarbtiller::soak {

/// How a backend server fails a part of its requests.
enum class ServerFault {
    None,
    /// Runs the request and reports a failure.
    Errors,
    /// Runs the request and resets the connection.
    Reset,
    /// Runs the request and answers nothing.
    Mute,
    /// Runs the request and breaks off its answer.
    CutShort,
    /// Sends another answer behind its own.
    ExtraAnswer,
    /// Refuses the request although it has room.
    Busy,
    /// Works ten times as long.
    Slow,
};

/// Returns the word for the log of a run. Thread safety: any thread.
const char *serverFaultWord(ServerFault fault);

struct WorkServerSettings
{
    std::string id;
    std::string service;
    std::string failureDomain;
    std::size_t slots = 2;
    std::size_t queue = 8;
    std::chrono::milliseconds meanWork{60};
    SoakTime coldUntil{};
};

/// A backend server that speaks the platform's protocol and records what reaches it.
///
/// Thread safety: the thread of the io_context.
class WorkServer
{
public:
    /// Listens on a free port of 127.0.0.1. Precondition: the references outlive the server.
    WorkServer(asio::io_context &ioContext, WorkServerSettings serverSettings, std::vector<Arrival> &recordedArrivals, std::uint64_t seed);
    ~WorkServer();

    /// Returns the bound address. Precondition: none.
    Endpoint address() const;

    /// Has the server fail a share of its requests, 0 to 1. Precondition: none.
    void setFault(ServerFault kind, double share);

    const WorkServerSettings settings;

private:
    using Connection = std::shared_ptr<testing::RawConnection>;
    struct Job;

    void onRequest(const http::HttpRequest &request, const Connection &connection);
    void startNext();
    void begin(const std::shared_ptr<Job> &job);
    void end(const std::shared_ptr<Job> &job);
    void answer(const std::shared_ptr<Job> &job);
    std::chrono::milliseconds workTime(const Job &job);

    asio::io_context &context;
    /// Set to false when the server goes, for handlers that are still due; the first of them is made with the next member.
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
    testing::RawHttpServer server;
    std::vector<Arrival> &arrivals;
    std::mt19937_64 random;
    ServerFault fault = ServerFault::None;
    double faultShare = 0;
    std::size_t running = 0;
    std::deque<std::shared_ptr<Job>> waiting;
};

/// Returns the proof of origin that a server puts on its answer. Thread safety: any thread.
std::string proofOf(const std::string &request, const std::string &body);

/// Returns the body with which a server answers a request. Thread safety: any thread.
std::string bodyFor(const std::string &request);

} // namespace rhubarbtiller::soak
