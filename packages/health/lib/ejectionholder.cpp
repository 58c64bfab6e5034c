#include <rhubarbtiller/health/ejectionholder.h>

#include <algorithm>

namespace rhubarbtiller::health {

constexpr double LeastWeight = 0.1;

void EjectionHolder::onLease(const EjectionLease &lease, MonotonicTime requestSentAt)
{
    const std::lock_guard lock(this->mutex);
    Server &server = this->servers[lease.server];
    const MonotonicTime deadline = requestSentAt + lease.validFor;
    server.deadline = server.hasLease ? std::max(server.deadline, deadline) : deadline;
    server.hasLease = true;
}

void EjectionHolder::end(const BackendServerId &server)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->servers.find(server);
    if (found != this->servers.end() && found->second.hasLease) {
        found->second.deadline = MonotonicTime{};
    }
}

void EjectionHolder::setWeight(const BackendServerId &server, ServerWeight weight)
{
    const std::lock_guard lock(this->mutex);
    this->servers[server].weight = ServerWeight(std::clamp(weight.count(), LeastWeight, 1.0));
}

void EjectionHolder::forget(const BackendServerId &server)
{
    const std::lock_guard lock(this->mutex);
    this->servers.erase(server);
}

bool EjectionHolder::isEjected(const BackendServerId &server, MonotonicTime now) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->servers.find(server);
    return found != this->servers.end() && found->second.hasLease && now < found->second.deadline;
}

ServerWeight EjectionHolder::weight(const BackendServerId &server) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? ServerWeight(1.0) : found->second.weight;
}

EjectionRequest EjectionHolder::makeRequest(const BackendServerId &server, PoolOwnerEpoch knownEpoch, MonotonicTime now) const
{
    return EjectionRequest{server, this->isEjected(server, now), knownEpoch};
}

std::vector<BackendServerId> EjectionHolder::takeReturned(MonotonicTime now)
{
    const std::lock_guard lock(this->mutex);
    std::vector<BackendServerId> returned;
    for (auto &[id, server] : this->servers) {
        if (server.hasLease && now >= server.deadline) {
            server.hasLease = false;
            returned.push_back(id);
        }
    }
    return returned;
}

LoadFigure weightedLoad(LoadFigure load, ServerWeight weight)
{
    const double share = std::clamp(weight.count(), LeastWeight, 1.0);
    // An idle server of low weight must not look as attractive as an idle healthy one.
    const double idlePenalty = (1.0 / share - 1.0) * 100.0;
    return LoadFigure(static_cast<std::uint32_t>(load.count() / share + idlePenalty));
}

} // namespace rhubarbtiller::health
