#include "callers.h"

#include "workserver.h"

#include "../fleet/httpconnection.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <random>

namespace rhubarbtiller::soak {

using fleettests::CallFault;
using fleettests::HttpConnection;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// What a caller waits at most, and tells the fleet.
static constexpr milliseconds Deadline{1500};

/// Each caller pauses up to this long between two requests.
static constexpr int MaxPauseMs = 80;

static constexpr milliseconds DirectoryTimeout{1000};

namespace {

/// One caller with its connection and addresses.
class Caller
{
public:
    Caller(const CallerWorld &callerWorld, int callerNumber, std::uint64_t seed, std::vector<Call> &seenCalls)
        : world(callerWorld)
        , number(callerNumber)
        , random(seed)
        , calls(seenCalls)
        , staysOnConnection(callerNumber % 2 == 0)
        , failureDomain(callerWorld.failureDomains[static_cast<std::size_t>(callerNumber) % callerWorld.failureDomains.size()])
    {
    }

    void callOnce()
    {
        if (steady_clock::now() >= this->askAgainAt) {
            this->askForAddresses();
        }
        if (!this->connection) {
            if (this->addresses.empty()) {
                return;
            }
            this->connection = std::make_unique<HttpConnection>(this->pick(this->addresses));
        }
        const auto &route = this->pick(this->world.routes);
        const auto &key = this->pick(this->world.keys);
        Call call;
        call.request = "c" + std::to_string(this->number) + "-" + std::to_string(++this->sequence) + "-" + std::to_string(this->random());
        call.route = route.name;
        call.key = key.key;
        call.organisation = key.organisation;
        call.isIdempotent = route.isIdempotent;
        call.host = this->world.hostOf(this->connection->address());
        const std::string method = route.isIdempotent ? "GET" : "POST";
        const auto target = route.prefix + call.request;
        const auto body = route.isIdempotent ? std::string() : "work " + call.request;
        call.content = method + " " + target + " " + body;
        call.sentAt = steady_clock::now();
        const auto headers = "Host: " + this->world.virtualHost + "\r\nAttempt-Id: " + call.request
            + "\r\nDeadline-Ms: " + std::to_string(Deadline.count()) + "\r\nAuthorization: Bearer " + key.key + "\r\n";
        const auto reply = this->connection->call(method, target, headers, body, Deadline);
        call.endedAt = steady_clock::now();
        call.isNotSent = reply.fault == CallFault::NotConnected;
        if (reply.fault == CallFault::None) {
            call.status = reply.status;
            call.isSound = reply.body == bodyFor(call.request) && reply.header("attempt-id") == call.request
                && reply.header("server-seal") == proofOf(call.request, reply.body);
        }
        const bool mustClose = reply.fault != CallFault::None || reply.header("connection") == "close";
        this->calls.push_back(std::move(call));
        if (mustClose) {
            this->connection.reset();
        }
    }

    void pause()
    {
        std::this_thread::sleep_for(milliseconds(this->random() % MaxPauseMs));
    }

private:
    template<class T>
    const T &pick(const std::vector<T> &list)
    {
        return list[this->random() % list.size()];
    }

    void askForAddresses()
    {
        HttpConnection directory(this->pick(this->world.directories));
        const auto reply = directory.call("GET",
                                          "/-/resolve?name=" + this->world.virtualHost + "&region=r&zone=" + this->failureDomain,
                                          "Host: directory\r\n",
                                          "",
                                          DirectoryTimeout);
        const auto document = nlohmann::json::parse(reply.body, nullptr, false);
        if (reply.fault != CallFault::None || reply.status != 200 || !document.is_object()) {
            return;
        }
        this->addresses = document.value("addresses", std::vector<std::string>{});
        const std::chrono::duration<double> lifetime(document.value("ttl_s", 1.0));
        this->askAgainAt = steady_clock::now() + std::chrono::duration_cast<milliseconds>(lifetime);
        const bool isNamed = this->connection
            && std::find(this->addresses.begin(), this->addresses.end(), this->connection->address()) != this->addresses.end();
        if (!isNamed && !this->staysOnConnection) {
            this->connection.reset();
        }
    }

    const CallerWorld &world;
    int number;
    std::mt19937_64 random;
    std::vector<Call> &calls;
    bool staysOnConnection;
    std::string failureDomain;
    std::vector<std::string> addresses;
    steady_clock::time_point askAgainAt{};
    std::unique_ptr<HttpConnection> connection;
    std::uint64_t sequence = 0;
};

} // namespace

Callers::Callers(const CallerWorld &callerWorld, int count, std::uint64_t seed)
    : world(callerWorld), callsOf(static_cast<std::size_t>(count))
{
    for (int number = 0; number < count; ++number) {
        this->threads.emplace_back([this, number, seed] {
            this->run(number, seed * 1000 + static_cast<std::uint64_t>(number));
        });
    }
}

Callers::~Callers()
{
    if (!this->isStopping) {
        this->stop();
    }
}

void Callers::run(int number, std::uint64_t seed)
{
    Caller caller(this->world, number, seed, this->callsOf[static_cast<std::size_t>(number)]);
    while (!this->isStopping) {
        caller.callOnce();
        caller.pause();
    }
}

std::vector<Call> Callers::stop()
{
    this->isStopping = true;
    for (auto &thread : this->threads) {
        thread.join();
    }
    std::vector<Call> calls;
    for (const auto &seen : this->callsOf) {
        calls.insert(calls.end(), seen.begin(), seen.end());
    }
    return calls;
}

} // namespace rhubarbtiller::soak
