#include <rhubarbtiller/balance/scoreboard.h>

#include <algorithm>
#include <cassert>

namespace rhubarbtiller::balance {

/// Validity of a reported count; a host repeats its counts several times within it.
static constexpr Duration OutstandingValidity = std::chrono::milliseconds(1200);

/// Interval at which unchanged counts are repeated; short enough that a count does not expire if two datagrams are lost.
static constexpr Duration OutstandingRepeat = std::chrono::milliseconds(400);

/// Backoff after a failed connection; it doubles with each further failure.
static constexpr Duration FirstConnectBackoff = std::chrono::milliseconds(400);
static constexpr unsigned MaxBackoffDoublings = 2;

/// An entry goes after three heartbeat intervals of silence; after this time, one that is still there is tried again.
static constexpr Duration ReassignedAddressPause = std::chrono::seconds(5);

/// Evidence beyond this limit is not reported, since a report is one datagram.
static constexpr std::size_t MaxPendingEvidence = 64;

/// The platform's rule for the floor of used servers counts a server as healthy again this long after a failure that no injected fault
/// caused.
static constexpr Duration RetryPause = std::chrono::seconds(2);

/// A server that goes on failing gets fewer trials from the fourth failure on; without an injected fault it recovers within 4 s.
static constexpr unsigned FailuresWithShortPause = 3;
static constexpr unsigned MaxRetryPauses = 3;

/// Four slices cover the 2 s over which the platform evaluates the floor of used servers.
static constexpr Duration SliceLength = std::chrono::milliseconds(500);

/// Below the tenth of unserved requests from which the platform evaluates the floor, since evidence arrives after the requests.
static constexpr double FailingShare = 0.08;

/// Fewer failures are not significant.
static constexpr std::uint32_t MinFailures = 5;

/// Failures closer to each other belong to requests that were in progress at the same time and count as one.
static constexpr Duration ConcurrentFailureSpan = std::chrono::seconds(1);

MonotonicTime ServerState::retryAt() const
{
    if (this->consecutiveFailures == 0) {
        return {};
    }
    return this->lastFailureAt
        + RetryPause * std::min(std::max(this->consecutiveFailures, FailuresWithShortPause) - FailuresWithShortPause + 1, MaxRetryPauses);
}

bool ServerState::wasUsedWithin(Duration time, MonotonicTime now) const
{
    const bool isSentHere = this->connectFailures == 0 && now - this->lastUsedAt < time;
    const bool isSentElsewhere = this->remoteOutstanding(now) > 0 && now - this->lastSentByFleetAt < time;
    return isSentHere || isSentElsewhere || now - this->lastReachedByFleetAt < time;
}

bool ServerState::isReassigned(const Endpoint &address, MonotonicTime now) const
{
    return now < this->reassignedUntil && address == this->reassignedAddress;
}

bool ServerState::wasEverUsed() const
{
    return std::max({this->lastUsedAt, this->lastSentByFleetAt, this->lastReachedByFleetAt}) != MonotonicTime();
}

std::uint32_t ServerState::remoteOutstanding(MonotonicTime now) const
{
    std::uint32_t sum = 0;
    for (const auto &[host, remote] : this->remotes) {
        sum += now < remote.validUntil ? remote.requests : 0;
    }
    return sum;
}

bool ServerState::setRemoteOutstanding(const HostId &host, std::uint32_t requests, MonotonicTime now)
{
    if (requests == 0) {
        this->remotes.erase(host);
        return false;
    }
    auto &remote = this->remotes[host];
    const auto before = now < remote.validUntil ? remote.requests : 0;
    remote = {requests, now + OutstandingValidity};
    return requests > before;
}

ServerState &Scoreboard::state(const BackendServerId &server)
{
    return this->servers[server];
}

const ServerState *Scoreboard::find(const BackendServerId &server) const
{
    const auto found = this->servers.find(server);
    return found == this->servers.end() ? nullptr : &found->second;
}

void Scoreboard::onSent(const BackendServerId &server, MonotonicTime now)
{
    auto &state = this->servers[server];
    ++state.ownOutstanding;
    state.lastUsedAt = now;
    state.lastSentByFleetAt = now;
}

void Scoreboard::onFinished(const BackendServerId &server)
{
    auto &state = this->servers[server];
    // A server that left the table and came back has a new state.
    if (state.ownOutstanding > 0) {
        --state.ownOutstanding;
    }
}

static std::int64_t sliceNumber(MonotonicTime now)
{
    return now.time_since_epoch() / SliceLength;
}

bool Scoreboard::isFailing(const catalog::ServiceName &service, MonotonicTime now) const
{
    const auto found = this->evidenceByService.find(service);
    if (found == this->evidenceByService.end()) {
        return false;
    }
    std::uint32_t successes = 0;
    std::uint32_t failures = 0;
    for (const auto &slice : found->second) {
        if (slice.number > sliceNumber(now) - static_cast<std::int64_t>(SliceCount)) {
            successes += slice.successes;
            failures += slice.failures;
        }
    }
    return failures >= MinFailures && failures > FailingShare * (successes + failures);
}

void Scoreboard::recordEvidence(ServerState &state, Evidence kind, MonotonicTime now)
{
    const auto number = sliceNumber(now);
    auto &slice = this->evidenceByService[state.service][static_cast<std::size_t>(number) % SliceCount];
    if (slice.number != number) {
        slice = {number, 0, 0};
    }
    slice.successes += kind == Evidence::Success ? 1 : 0;
    slice.failures += isFailure(kind) ? 1 : 0;
    state.estimator.observe(kind, now);
    if (isFailure(kind)) {
        // A missing answer shows that the server failed when the request was sent; it may have recovered since.
        const auto failedAt = kind == Evidence::Overdue ? state.lastSentByFleetAt : now;
        state.consecutiveFailures += state.consecutiveFailures == 0 || failedAt - state.lastFailureAt >= ConcurrentFailureSpan ? 1 : 0;
        state.lastFailureAt = std::max(state.lastFailureAt, failedAt);
    } else if (kind == Evidence::Success) {
        state.consecutiveFailures = 0;
    }
    if (kind != Evidence::Overdue) {
        state.lastReachedByFleetAt = now;
    }
}

void Scoreboard::observe(const BackendServerId &server, Evidence evidence, MonotonicTime now)
{
    this->recordEvidence(this->servers[server], evidence, now);
    if (this->pendingEvidence.size() < MaxPendingEvidence) {
        this->pendingEvidence.push_back({server, evidence});
    }
    this->isUrgent = this->isUrgent || evidence == Evidence::ServerError || evidence == Evidence::BrokenAnswer;
}

void Scoreboard::onConnectFailed(const BackendServerId &server, MonotonicTime now)
{
    auto &state = this->servers[server];
    const auto backoff = FirstConnectBackoff * (1U << std::min(state.connectFailures, MaxBackoffDoublings));
    state.connectBackoffUntil = now + backoff;
    ++state.connectFailures;
}

void Scoreboard::onWrongServer(const BackendServerId &server, const Endpoint &address, MonotonicTime now)
{
    auto &state = this->servers[server];
    state.reassignedAddress = address;
    state.reassignedUntil = now + ReassignedAddressPause;
}

void Scoreboard::onConnected(const BackendServerId &server)
{
    auto &state = this->servers[server];
    state.connectFailures = 0;
    state.connectBackoffUntil = {};
}

void Scoreboard::applyRemoteReport(const HostId &host,
                                   const std::vector<EvidenceReport> &evidence,
                                   const std::vector<OutstandingReport> &outstanding,
                                   MonotonicTime now)
{
    for (const auto &report : evidence) {
        if (const auto found = this->servers.find(report.server); found != this->servers.end()) {
            this->recordEvidence(found->second, report.evidence, now);
        }
    }
    for (const auto &report : outstanding) {
        if (const auto found = this->servers.find(report.server); found != this->servers.end()) {
            // An unchanged count belongs to requests without an answer, not to new ones.
            if (found->second.setRemoteOutstanding(host, report.requests, now)) {
                found->second.lastSentByFleetAt = now;
            }
        }
    }
}

std::vector<EvidenceReport> Scoreboard::takeEvidence()
{
    this->isUrgent = false;
    return std::exchange(this->pendingEvidence, {});
}

std::vector<OutstandingReport> Scoreboard::takeOutstanding(const FailureDomainId &receiver, bool includesAll, MonotonicTime now)
{
    std::vector<OutstandingReport> reports;
    auto &lastReports = this->reportedByDomain[receiver];
    for (const auto &[id, state] : this->servers) {
        const auto before = lastReports.find(id);
        if (state.ownOutstanding == 0 && before == lastReports.end()) {
            continue;
        }
        const bool isRelevant
            = includesAll || state.failureDomain == receiver || state.ownOutstanding + state.remoteOutstanding(now) >= state.slots.count();
        const auto requests = isRelevant ? state.ownOutstanding : 0;
        const bool hasChanged = requests != (before == lastReports.end() ? 0 : before->second.requests);
        const bool isDue = requests > 0 && before != lastReports.end() && now >= before->second.repeatAt;
        if (!hasChanged && !isDue) {
            continue;
        }
        reports.push_back({id, requests});
        if (requests == 0) {
            lastReports.erase(id);
        } else {
            lastReports[id] = {requests, now + OutstandingRepeat};
        }
    }
    // Drops the counts of servers that left the table.
    std::erase_if(lastReports, [this](const auto &entry) {
        return !this->servers.contains(entry.first);
    });
    return reports;
}

void Scoreboard::retain(const catalog::ServerTable &table)
{
    std::unordered_map<BackendServerId, ServerState> kept;
    for (const auto &entry : table.entries()) {
        auto &state = kept[entry.id];
        if (const auto found = this->servers.find(entry.id); found != this->servers.end()) {
            state = std::move(found->second);
        }
        state.failureDomain = entry.failureDomain;
        state.service = entry.service;
        state.slots = entry.slots;
    }
    this->servers = std::move(kept);
    std::erase_if(this->evidenceByService, [&table](const auto &entry) {
        return table.serversOf(entry.first).empty();
    });
}

} // namespace rhubarbtiller::balance
