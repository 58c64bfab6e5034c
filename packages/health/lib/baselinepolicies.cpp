#include <rhubarbtiller/health/baselinepolicies.h>

#include <algorithm>
#include <numeric>

namespace rhubarbtiller::health {

ConsecutiveFailurePolicy::ConsecutiveFailurePolicy(std::uint32_t failuresToEject, HoldTimeSettings holdSettings)
    : threshold(failuresToEject), hold(holdSettings)
{
}

void ConsecutiveFailurePolicy::setSensitivity(double)
{
}

void ConsecutiveFailurePolicy::observe(const ServerSample &sample, MonotonicTime)
{
    Server &server = this->servers[sample.server];
    server.failuresInRow = std::max(server.failuresInRow, sample.failuresInRow);
    const auto successes = std::accumulate(sample.successes.begin(), sample.successes.end(), std::uint64_t{0});
    if (successes > 0 && sample.failuresInRow < this->threshold) {
        server.failuresInRow = 0;
    }
}

void ConsecutiveFailurePolicy::onEjected(const BackendServerId &server, MonotonicTime now)
{
    this->servers[server].hold.start(this->hold, now);
}

void ConsecutiveFailurePolicy::forget(const BackendServerId &server)
{
    this->servers.erase(server);
}

std::vector<Verdict> ConsecutiveFailurePolicy::judge(MonotonicTime now)
{
    std::vector<Verdict> verdicts;
    for (auto &[id, server] : this->servers) {
        if (server.hold.finish(now)) {
            server.failuresInRow = 0;
        }
        if (server.hold.holds(now) || server.failuresInRow >= this->threshold) {
            verdicts.push_back(Verdict{id, true, ServerWeight(0.1), "failures_in_row=" + std::to_string(server.failuresInRow)});
        }
    }
    return verdicts;
}

void NoEjectionPolicy::setSensitivity(double)
{
}

void NoEjectionPolicy::observe(const ServerSample &, MonotonicTime)
{
}

void NoEjectionPolicy::onEjected(const BackendServerId &, MonotonicTime)
{
}

void NoEjectionPolicy::forget(const BackendServerId &)
{
}

std::vector<Verdict> NoEjectionPolicy::judge(MonotonicTime)
{
    return {};
}

} // namespace rhubarbtiller::health
