#include "workserver.h"

#include <algorithm>
#include <charconv>

namespace rhubarbtiller::soak {

using std::chrono::milliseconds;

/// Answers have a length that depends on the request, up to this, so that a crossed answer shows.
static constexpr std::size_t MaxBody = 4000;

static constexpr int SlowFactor = 10;

const char *serverFaultWord(ServerFault fault)
{
    switch (fault) {
    case ServerFault::None:
        return "none";
    case ServerFault::Errors:
        return "errors";
    case ServerFault::Reset:
        return "reset";
    case ServerFault::Mute:
        return "mute";
    case ServerFault::CutShort:
        return "cut_short";
    case ServerFault::ExtraAnswer:
        return "extra_answer";
    case ServerFault::Busy:
        return "busy";
    case ServerFault::Slow:
        return "slow";
    }
    return "unknown";
}

std::string bodyFor(const std::string &request)
{
    const auto size = request.size() + std::hash<std::string>{}(request) % MaxBody;
    std::string body = request;
    body.resize(size, 'x');
    return body;
}

std::string proofOf(const std::string &request, const std::string &body)
{
    return request + "." + std::to_string(std::hash<std::string>{}(body));
}

/// A request that waits or is worked on.
struct WorkServer::Job
{
    explicit Job(asio::io_context &context) : timer(context)
    {
    }

    std::string request;
    milliseconds remaining{0};
    std::weak_ptr<testing::RawConnection> connection;
    asio::steady_timer timer;
    std::size_t arrival = 0;
    ServerFault fault = ServerFault::None;
    bool isRunning = false;
    bool isExpired = false;
};

static std::string headerOf(const http::HttpRequest &request, std::string_view name)
{
    return std::string(http::findHeader(request.headers, name));
}

static http::HttpResponse plain(int status, http::Headers headers)
{
    return {status, std::move(headers), {}};
}

WorkServer::WorkServer(asio::io_context &ioContext,
                       WorkServerSettings serverSettings,
                       std::vector<Arrival> &recordedArrivals,
                       std::uint64_t seed)
    : settings(std::move(serverSettings))
    , context(ioContext)
    , server(ioContext,
             [this, alive = this->isAlive](const http::HttpRequest &request, const Connection &connection) {
                 if (*alive) {
                     this->onRequest(request, connection);
                 } else {
                     connection->reset();
                 }
             })
    , arrivals(recordedArrivals)
    , random(seed)
{
    this->server.start(Endpoint("127.0.0.1:0"));
}

WorkServer::~WorkServer()
{
    *this->isAlive = false;
}

Endpoint WorkServer::address() const
{
    return this->server.boundAddress();
}

void WorkServer::setFault(ServerFault kind, double share)
{
    this->fault = kind;
    this->faultShare = share;
}

void WorkServer::onRequest(const http::HttpRequest &request, const Connection &connection)
{
    const auto id = headerOf(request, "Attempt-Id");
    const auto expected = headerOf(request, "Expect-Instance");
    if (!expected.empty() && expected != this->settings.id) {
        connection->respond(plain(421, {{"Instance-Id", this->settings.id}}));
        return;
    }
    const auto job = std::make_shared<Job>(this->context);
    job->request = id;
    job->connection = connection;
    Arrival arrival;
    arrival.request = id;
    arrival.server = this->settings.id;
    arrival.service = this->settings.service;
    arrival.failureDomain = this->settings.failureDomain;
    arrival.organisation = headerOf(request, "Tenant");
    arrival.content = request.method + " " + request.target + " " + request.body.text();
    arrival.sawKey = !headerOf(request, "Authorization").empty();
    const auto deadline = headerOf(request, "Deadline-Ms");
    arrival.hadDeadline = !deadline.empty();
    arrival.at = std::chrono::steady_clock::now();
    arrival.wasCold = arrival.at < this->settings.coldUntil;
    std::int64_t left = 0;
    std::from_chars(deadline.data(), deadline.data() + deadline.size(), left);
    job->remaining = milliseconds(left);
    if (this->fault != ServerFault::None && std::uniform_real_distribution<double>(0, 1)(this->random) < this->faultShare) {
        job->fault = this->fault;
    }
    job->arrival = this->arrivals.size();
    this->arrivals.push_back(std::move(arrival));
    if (job->fault == ServerFault::Busy || this->waiting.size() >= this->settings.queue) {
        connection->respond(plain(503, {{"Not-Executed", "1"}, {"Attempt-Id", id}}));
        return;
    }
    connection->onClose([this, alive = this->isAlive, weak = std::weak_ptr(job)] {
        if (const auto closed = weak.lock(); closed && *alive) {
            std::erase(this->waiting, closed);
            this->end(closed);
        }
    });
    this->waiting.push_back(job);
    this->startNext();
}

void WorkServer::startNext()
{
    while (this->running < this->settings.slots && !this->waiting.empty()) {
        const auto job = this->waiting.front();
        this->waiting.pop_front();
        this->begin(job);
    }
}

milliseconds WorkServer::workTime(const Job &job)
{
    std::exponential_distribution<double> spread(1.0 / static_cast<double>(this->settings.meanWork.count()));
    const auto drawn = milliseconds(1 + static_cast<std::int64_t>(spread(this->random)));
    return job.fault == ServerFault::Slow ? drawn * SlowFactor : drawn;
}

void WorkServer::begin(const std::shared_ptr<Job> &job)
{
    job->isRunning = true;
    ++this->running;
    this->arrivals[job->arrival].hasRun = true;
    const auto needed = this->workTime(*job);
    job->isExpired = job->remaining < needed;
    job->timer.expires_after(std::min(job->remaining, needed));
    job->timer.async_wait([this, alive = this->isAlive, job](std::error_code error) {
        if (!error && *alive && job->isRunning) {
            this->end(job);
            this->answer(job);
        }
    });
}

void WorkServer::end(const std::shared_ptr<Job> &job)
{
    if (std::exchange(job->isRunning, false)) {
        --this->running;
        job->timer.cancel();
        this->startNext();
    }
}

void WorkServer::answer(const std::shared_ptr<Job> &job)
{
    const auto connection = job->connection.lock();
    if (!connection || job->fault == ServerFault::Mute) {
        return;
    }
    if (job->fault == ServerFault::Reset) {
        connection->reset();
        return;
    }
    if (job->isExpired || job->fault == ServerFault::Errors) {
        connection->respond(plain(job->isExpired ? 504 : 500, {{"Attempt-Id", job->request}}));
        return;
    }
    const auto body = bodyFor(job->request);
    const auto bytes = testing::RawConnection::serialise(
        {200, {{"Attempt-Id", job->request}, {"Server-Seal", proofOf(job->request, body)}, {"Keep-Alive", "timeout=10"}}, body});
    if (job->fault == ServerFault::CutShort) {
        connection->sendRaw(bytes.substr(0, bytes.size() - body.size() / 2 - 1), true);
        return;
    }
    this->arrivals[job->arrival].isAnswered = true;
    connection->sendRaw(job->fault == ServerFault::ExtraAnswer ? bytes + bytes : bytes, false);
    connection->finishRequest();
}

} // namespace rhubarbtiller::soak
