#include "rolloutcontrol.h"

#include <rhubarbtiller/telemetry/log.h>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace rhubarbtiller::gateway {

using balance::RolloutReport;
using balance::VersionRule;
using catalog::RolloutPhase;
using std::chrono::milliseconds;
using telemetry::logEvent;
using telemetry::LogLevel;

static constexpr Duration UpdateInterval = milliseconds(100);

/// Interval of reading the states: while a roll-out is in progress, and while all are finished.
static constexpr Duration ReadInterval = milliseconds(150);
static constexpr Duration IdleReadInterval = milliseconds(2000);

/// A host that does not know the phase of a roll-out reads the store itself if no other host has reported it by then.
static constexpr Duration UnknownReadInterval = milliseconds(600);

/// Hosts write a due state one after the other, by failure domain, so that most calls do not conflict.
static constexpr Duration WriteDelayPerDomain = milliseconds(150);

/// A host that was out of contact within this time may have missed the result of a roll-out whose order it receives.
static constexpr Duration MinContact = milliseconds(2000);

/// The latency of a server of the target is not judged before it has been known for this long, or shortly after it was cold.
static constexpr Duration SettlingTime = milliseconds(2500);
static constexpr Duration SettlingAfterCold = milliseconds(500);

/// Bounds of what a report may contain.
static constexpr std::size_t MaxCells = 1000;

static std::string_view phaseName(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Ordered:
        return "ordered";
    case RolloutPhase::InProgress:
        return "in_progress";
    case RolloutPhase::Switching:
        return "switching";
    case RolloutPhase::Closing:
        return "closing";
    case RolloutPhase::Completed:
        return "completed";
    case RolloutPhase::RolledBack:
        return "rolled_back";
    }
    return "unknown";
}

static std::uint64_t toUnsigned(std::int64_t count)
{
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

static double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

RolloutControl::RolloutControl(Parts controlParts) : parts(std::move(controlParts))
{
}

void RolloutControl::onState(std::shared_ptr<const catalog::FleetState> next)
{
    const auto now = this->parts.clock.now();
    this->state = std::move(next);
    const bool hadConfiguration = std::exchange(this->hasConfiguration, this->hasConfiguration || this->state->catalog != nullptr);
    for (const auto &[service, order] : this->state->rolloutOrders) {
        const auto found = this->entries.find(service);
        if (found != this->entries.end() && found->second.rollout.order().target == order.target) {
            found->second.isWithdrawn = false;
            continue;
        }
        std::set<catalog::ServiceVersion> rejected;
        if (found != this->entries.end()) {
            rejected = found->second.rejected;
            // From Closing on another host may have announced the completion, at which the servers of other versions stop.
            const auto phase = found->second.rollout.phase();
            if (phase != RolloutPhase::Closing && phase != RolloutPhase::Completed) {
                rejected.insert(found->second.rollout.order().target);
            }
            rejected.erase(order.target);
            this->entries.erase(found);
        }
        const bool wasInContact = this->contactSince != MonotonicTime::max() && now - this->contactSince >= MinContact;
        const bool isNew = hadConfiguration && wasInContact;
        this->entries.emplace(service, Entry{balance::Rollout(order, this->parts.bounds, isNew), {}, {}, std::move(rejected)});
        logEvent(
            LogLevel::Info,
            "rollout_ordered",
            {{"service", service.text()}, {"target", order.target.text()}, {"duration_s", seconds(order.duration)}, {"is_new", isNew}});
        this->nextReadAt = now;
    }
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        auto &[service, each] = *entry;
        if (!this->state->rolloutOrders.contains(service) && !std::exchange(each.isWithdrawn, true)) {
            logEvent(LogLevel::Info, "rollout_withdrawn", {{"service", service.text()}, {"target", each.rollout.order().target.text()}});
            each.rollout.onOrderWithdrawn();
        }
        // Later releases need no order; a version that was rolled back stays unused.
        entry = each.isWithdrawn && each.rollout.phase() == RolloutPhase::Completed ? this->entries.erase(entry) : std::next(entry);
    }
    for (auto &[service, entry] : this->entries) {
        this->updateSurroundings(entry, now);
    }
}

void RolloutControl::updateSurroundings(Entry &entry, MonotonicTime now)
{
    const auto &target = entry.rollout.order().target;
    const auto &directory = this->parts.directory;
    balance::RolloutSurroundings next;
    next.isEntryHost = directory.isEntryHost();
    next.slackShare = std::min(
        1.0,
        directory.ownDomainReach()
            / static_cast<double>(std::max<std::size_t>(1, directory.entryHostsPerDomain() * this->parts.failureDomains.size())));
    if (this->state && this->state->servers) {
        for (const auto position : this->state->servers->serversOf(entry.rollout.order().service)) {
            const auto &server = this->state->servers->entries()[position];
            const bool isTarget = server.version == target;
            const auto *const known = this->parts.board.find(server.id);
            const auto inProgress = known == nullptr ? 0 : known->ownOutstanding;
            next.inProgress += inProgress;
            next.inProgressAtOthers += isTarget ? 0 : inProgress;
            if (isTarget) {
                entry.targetsSince.try_emplace(server.id, now);
            }
            if (server.isDraining || this->state->evacuatedDomains.contains(server.failureDomain)
                || entry.rejected.contains(server.version)) {
                continue;
            }
            next.targetServers += isTarget ? 1 : 0;
            next.targetSlots += isTarget && now >= server.coldUntil ? server.slots.count() : 0;
            next.otherServers += isTarget ? 0 : 1;
        }
    }
    for (const auto *const host : directory.servingPeers(now)) {
        next.servingHosts.push_back(host->id);
    }
    entry.surroundings = std::move(next);
}

balance::VersionFilter RolloutControl::filterFor(const catalog::ServiceName &service, bool isIdempotent, bool hasUsedTarget) const
{
    const auto found = this->entries.find(service);
    if (found == this->entries.end()) {
        return {};
    }
    const auto &entry = found->second;
    balance::VersionFilter filter;
    filter.rule = entry.rollout.choose({isIdempotent, hasUsedTarget}, entry.surroundings, this->parts.random, this->parts.clock.now());
    filter.target = entry.rollout.order().target;
    filter.rejected = entry.rejected;
    return filter;
}

std::optional<balance::VersionFilter> RolloutControl::alternativeTo(const catalog::ServiceName &service,
                                                                    const balance::VersionFilter &filter) const
{
    const auto found = this->entries.find(service);
    const bool isOptional = filter.rule == VersionRule::OnlyTarget && found != this->entries.end()
        && found->second.rollout.phase() < RolloutPhase::Switching && found->second.surroundings.otherServers > 0;
    if (!isOptional) {
        return std::nullopt;
    }
    auto alternative = filter;
    alternative.rule = VersionRule::NotTarget;
    return alternative;
}

std::uint64_t RolloutControl::onSent(const catalog::ServerEntry &server, const RouteName &route, bool isFirst)
{
    const auto found = this->entries.find(server.service);
    if (found == this->entries.end()) {
        return 0;
    }
    const auto now = this->parts.clock.now();
    auto &entry = found->second;
    const bool isTarget = server.version == entry.rollout.order().target;
    bool isSettled = now >= server.coldUntil;
    if (isTarget) {
        const auto since = entry.targetsSince.try_emplace(server.id, now).first->second;
        isSettled = now - since >= SettlingTime && now >= server.coldUntil + SettlingAfterCold;
    }
    return entry.rollout.onSent(server.id, route, isTarget, isFirst, isSettled, now);
}

void RolloutControl::onEnded(const catalog::ServiceName &service, std::uint64_t ticket, balance::RolloutResult result)
{
    if (const auto found = this->entries.find(service); ticket != 0 && found != this->entries.end()) {
        found->second.rollout.onEnded(ticket, result, this->parts.clock.now());
    }
}

std::vector<wire::RolloutState> RolloutControl::states(bool hasCells) const
{
    std::vector<wire::RolloutState> states;
    const auto now = this->parts.clock.now();
    for (const auto &[service, entry] : this->entries) {
        const auto report = entry.rollout.report(entry.surroundings, now);
        // A host without requests has nothing to confirm, and many of them are standby.
        const bool hasRequests = entry.surroundings.isEntryHost || entry.rollout.requests() > 0 || report.inProgress > 0;
        if (!hasRequests || (entry.isWithdrawn && entry.rollout.isFinal())) {
            continue;
        }
        wire::RolloutState wireState;
        wireState.serviceName = service.text();
        wireState.targetVersion = entry.rollout.order().target.text();
        if (report.isPhaseKnown) {
            wireState.__set_phase(static_cast<std::int8_t>(report.phase));
        }
        wireState.isCondemned = report.isCondemned;
        wireState.orderAgeMs = static_cast<std::int32_t>(std::clamp<std::int64_t>(report.orderAge / milliseconds(1), 0, INT32_MAX));
        wireState.inProgress = static_cast<std::int32_t>(report.inProgress);
        wireState.inProgressAtOthers = static_cast<std::int32_t>(report.inProgressAtOthers);
        wireState.failingServers = static_cast<std::int64_t>(report.failingServers.value());
        wireState.slowServers = static_cast<std::int64_t>(report.slowServers.value());
        if (hasCells && !entry.rollout.isFinal()) {
            for (const auto &[cell, counts] : report.counts) {
                wire::RolloutCell wireCell;
                wireCell.route = cell.route.text();
                wireCell.isTarget = cell.isTarget;
                wireCell.successes = static_cast<std::int64_t>(counts.successes);
                wireCell.failures = static_cast<std::int64_t>(counts.failures);
                wireCell.broken = static_cast<std::int64_t>(counts.broken);
                wireCell.judged = static_cast<std::int64_t>(counts.judged);
                wireCell.slow = static_cast<std::int64_t>(counts.slow);
                const auto last = std::find_if(counts.latencies.rbegin(), counts.latencies.rend(), [](std::uint32_t count) {
                    return count > 0;
                });
                wireCell.latencies.assign(counts.latencies.begin(), last.base());
                wireState.cells.push_back(std::move(wireCell));
            }
        }
        states.push_back(std::move(wireState));
    }
    return states;
}

/// Returns the counts of the cells that another host sent.
static balance::RolloutCounts decodeCells(const std::vector<wire::RolloutCell> &cells)
{
    balance::RolloutCounts decoded;
    for (std::size_t i = 0; i < std::min(cells.size(), MaxCells); ++i) {
        const auto &cell = cells[i];
        auto &counts = decoded[{RouteName(cell.route), cell.isTarget}];
        counts.successes = toUnsigned(cell.successes);
        counts.failures = toUnsigned(cell.failures);
        counts.broken = toUnsigned(cell.broken);
        counts.judged = toUnsigned(cell.judged);
        counts.slow = toUnsigned(cell.slow);
        for (std::size_t j = 0; j < std::min(cell.latencies.size(), balance::LatencyBuckets); ++j) {
            counts.latencies.at(j) = static_cast<std::uint32_t>(std::max(0, cell.latencies[j]));
        }
    }
    return decoded;
}

void RolloutControl::onStates(const HostId &host, Incarnation incarnation, const std::vector<wire::RolloutState> &states)
{
    const auto now = this->parts.clock.now();
    for (const auto &received : states) {
        const auto found = this->entries.find(catalog::ServiceName(received.serviceName));
        if (found == this->entries.end() || found->second.rollout.order().target.text() != received.targetVersion) {
            continue;
        }
        RolloutReport report;
        const bool isPhaseValid
            = received.__isset.phase && received.phase >= 0 && received.phase <= static_cast<int>(RolloutPhase::RolledBack);
        report.isPhaseKnown = isPhaseValid;
        report.phase = isPhaseValid ? static_cast<RolloutPhase>(received.phase) : RolloutPhase::Ordered;
        report.isCondemned = received.isCondemned;
        report.orderAge = milliseconds(std::max(0, received.orderAgeMs));
        report.inProgress = static_cast<std::uint32_t>(std::max(0, received.inProgress));
        report.inProgressAtOthers = static_cast<std::uint32_t>(std::max(0, received.inProgressAtOthers));
        report.counts = decodeCells(received.cells);
        report.failingServers = balance::ServerSketch(static_cast<std::uint64_t>(received.failingServers));
        report.slowServers = balance::ServerSketch(static_cast<std::uint64_t>(received.slowServers));
        found->second.rollout.onReport(host, incarnation, report, now);
        this->logChanges(found->second);
    }
}

void RolloutControl::logChanges(Entry &entry)
{
    const auto &rollout = entry.rollout;
    const auto &evidence = rollout.evidence();
    if (rollout.isCondemned() && !std::exchange(entry.isCondemnationLogged, true)) {
        const bool hasFault = evidence.fault() != balance::RolloutFault::None;
        logEvent(LogLevel::Warning,
                 "rollout_version_bad",
                 {{"service", rollout.order().service.text()},
                  {"target", rollout.order().target.text()},
                  {"reason", rollout.reason()},
                  {"route", hasFault ? evidence.faultyRoute().text() : std::string()},
                  {"responses", evidence.targetResponses()},
                  {"bad", evidence.badResponses()},
                  {"requests_of_host", rollout.requests()},
                  {"exposed_of_host", rollout.exposedRequests()}});
    }
    if (const auto phase = rollout.phase(); std::exchange(entry.loggedPhase, phase) != phase) {
        this->parts.metrics.countRolloutPhase(phaseName(phase));
        logEvent(LogLevel::Info,
                 "rollout_phase",
                 {{"service", rollout.order().service.text()},
                  {"target", rollout.order().target.text()},
                  {"phase", phaseName(phase)},
                  {"age_s", seconds(this->parts.clock.now() - rollout.order().receivedAt)},
                  {"responses", evidence.targetResponses()},
                  {"bad", evidence.badResponses()},
                  {"suspicion", evidence.suspicion()},
                  {"exposed_of_host", rollout.exposedRequests()}});
    }
}

void RolloutControl::update()
{
    const auto now = this->parts.clock.now();
    if (now < this->nextUpdateAt) {
        return;
    }
    this->nextUpdateAt = now + UpdateInterval;
    const bool isInContact = this->parts.isInContact() || this->parts.directory.livePeerCount(now) > 0;
    this->contactSince = isInContact ? std::min(this->contactSince, now) : MonotonicTime::max();
    for (auto &[service, entry] : this->entries) {
        this->updateSurroundings(entry, now);
        if (!entry.rollout.isFinal()) {
            entry.rollout.update(entry.surroundings, now);
        }
        this->logChanges(entry);
    }
    if (!this->isReading && now >= this->nextReadAt && this->shouldReadStore(now)) {
        this->readStore(now);
    }
}

bool RolloutControl::shouldReadStore(MonotonicTime now) const
{
    const bool isReader = this->parts.isInContact();
    return std::any_of(this->entries.begin(), this->entries.end(), [isReader, now](const auto &each) {
        const auto &rollout = each.second.rollout;
        // The result of a withdrawn order need not be written again to a store that was restored from a copy.
        if (each.second.isWithdrawn && rollout.isFinal()) {
            return false;
        }
        return isReader || (!rollout.isPhaseKnown() && now - rollout.order().receivedAt >= UnknownReadInterval);
    });
}

void RolloutControl::readStore(MonotonicTime now)
{
    const bool isIdle = std::all_of(this->entries.begin(), this->entries.end(), [](const auto &each) {
        return each.second.rollout.isFinal();
    });
    this->isReading = true;
    this->nextReadAt = now + (isIdle ? IdleReadInterval : this->parts.isInContact() ? ReadInterval : UnknownReadInterval);
    asio::post(this->parts.control, [this] {
        this->parts.source.read(SourceTable::Status, [this](const Result<SourceBatch> &batch) {
            asio::post(this->parts.serving, [this, batch] {
                this->onRows(batch);
            });
        });
    });
}

void RolloutControl::onRows(const Result<SourceBatch> &batch)
{
    this->isReading = false;
    if (!batch) {
        logEvent(LogLevel::Warning, "rollout_states_not_read", {{"error", batch.error().message()}});
        return;
    }
    const auto now = this->parts.clock.now();
    std::map<catalog::ServiceName, catalog::RolloutStatus> rows;
    std::map<std::string, std::uint64_t> versions;
    for (const auto &row : batch->rows) {
        versions[row.key] = row.isRemoved ? 0 : row.version;
        if (auto status = this->parts.decoder.rolloutStatus(row)) {
            rows[status->service] = std::move(*status);
        }
    }
    for (auto &[service, entry] : this->entries) {
        const auto found = rows.find(service);
        entry.rollout.onStoreRow(found == rows.end() ? catalog::RolloutStatus{service, {}, RolloutPhase::Ordered, 0} : found->second, now);
        this->logChanges(entry);
        // A row that cannot be decoded is replaced like one of another version.
        const auto [key, value] = this->parts.decoder.encodeRolloutStatus({service, {}, RolloutPhase::InProgress, 0});
        const auto version = versions.find(key);
        this->writeIfDue(entry, version == versions.end() ? 0 : version->second, now);
    }
}

/// Returns how long the hosts of the failure domains before this one have to write a due state.
Duration RolloutControl::writeDelay() const
{
    const auto &domains = this->parts.failureDomains;
    const auto own = std::find(domains.begin(), domains.end(), this->parts.directory.own().failureDomain);
    return WriteDelayPerDomain * (own - domains.begin());
}

void RolloutControl::writeIfDue(Entry &entry, std::uint64_t rowVersion, MonotonicTime now)
{
    const auto phase = entry.rollout.nextPhase(entry.surroundings, now);
    if (phase != entry.duePhase) {
        entry.duePhase = phase;
        entry.dueSince = now;
    }
    if (!phase || entry.isWriting || !this->parts.isInContact() || now - entry.dueSince < this->writeDelay()) {
        return;
    }
    const auto &order = entry.rollout.order();
    logEvent(LogLevel::Info,
             "rollout_state_written",
             {{"service", order.service.text()},
              {"target", order.target.text()},
              {"phase", phaseName(*phase)},
              {"reason", *phase == RolloutPhase::RolledBack ? entry.rollout.reason() : std::string_view("progress")},
              {"expected_version", rowVersion},
              {"age_s", seconds(now - order.receivedAt)}});
    entry.isWriting = true;
    auto [key, value] = this->parts.decoder.encodeRolloutStatus({order.service, order.target, *phase, rowVersion});
    asio::post(this->parts.control, [this, service = order.service, key = std::move(key), value = std::move(value), rowVersion] {
        this->parts.source.write(SourceTable::Status, key, value, rowVersion, [this, service](Status error) {
            asio::post(this->parts.serving, [this, service, error] {
                if (error) {
                    logEvent(LogLevel::Info, "rollout_state_not_written", {{"service", service.text()}, {"error", error.message()}});
                }
                if (const auto found = this->entries.find(service); found != this->entries.end()) {
                    found->second.isWriting = false;
                }
                // The row tells whether the write happened, also after a call without a response.
                this->nextReadAt = this->parts.clock.now();
            });
        });
    });
}

std::string RolloutControl::describe() const
{
    auto rollouts = nlohmann::json::array();
    const auto now = this->parts.clock.now();
    for (const auto &[service, entry] : this->entries) {
        const auto &rollout = entry.rollout;
        rollouts.push_back({{"service", service.text()},
                            {"target", rollout.order().target.text()},
                            {"phase", rollout.isPhaseKnown() ? phaseName(rollout.phase()) : "unknown"},
                            {"isBad", rollout.isCondemned()},
                            {"isWithdrawn", entry.isWithdrawn},
                            {"reason", rollout.reason()},
                            {"ageMs", (now - rollout.order().receivedAt) / milliseconds(1)},
                            {"durationMs", rollout.order().duration / milliseconds(1)},
                            {"targetServers", entry.surroundings.targetServers},
                            {"otherServers", entry.surroundings.otherServers},
                            {"inProgressAtOthers", entry.surroundings.inProgressAtOthers},
                            {"responses", rollout.evidence().targetResponses()},
                            {"badResponses", rollout.evidence().badResponses()},
                            {"suspicion", rollout.evidence().suspicion()},
                            {"requestsOfHost", rollout.requests()},
                            {"exposedOfHost", rollout.exposedRequests()}});
    }
    return rollouts.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace rhubarbtiller::gateway
