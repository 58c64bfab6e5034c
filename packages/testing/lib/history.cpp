#include <rhubarbtiller/testing/history.h>

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace rhubarbtiller::testing {

void HistoryRecorder::record(CallRecord entry)
{
    const std::lock_guard lock(this->mutex);
    this->collected.calls.push_back(std::move(entry));
}

void HistoryRecorder::record(AnswerRecord entry)
{
    const std::lock_guard lock(this->mutex);
    this->collected.answers.push_back(std::move(entry));
}

void HistoryRecorder::record(RefusalRecord entry)
{
    const std::lock_guard lock(this->mutex);
    this->collected.refusals.push_back(std::move(entry));
}

void HistoryRecorder::record(BrokenCallRecord entry)
{
    const std::lock_guard lock(this->mutex);
    this->collected.brokenCalls.push_back(std::move(entry));
}

void HistoryRecorder::record(ExecutionRecord entry)
{
    const std::lock_guard lock(this->mutex);
    this->collected.executions.push_back(std::move(entry));
}

void HistoryRecorder::record(ConfigurationRecord entry)
{
    const std::lock_guard lock(this->mutex);
    this->collected.configuration.push_back(std::move(entry));
}

void HistoryRecorder::record(RateRecord entry)
{
    const std::lock_guard lock(this->mutex);
    this->collected.rates.push_back(std::move(entry));
}

void HistoryRecorder::record(AcceptedVersionRecord entry)
{
    const std::lock_guard lock(this->mutex);
    this->collected.acceptedVersions.push_back(entry);
}

void HistoryRecorder::record(VersionInForceRecord entry)
{
    const std::lock_guard lock(this->mutex);
    this->collected.versionsInForce.push_back(std::move(entry));
}

void HistoryRecorder::record(PlannedStopRecord entry)
{
    const std::lock_guard lock(this->mutex);
    this->collected.plannedStops.push_back(std::move(entry));
}

void HistoryRecorder::record(EjectionRecord entry)
{
    const std::lock_guard lock(this->mutex);
    this->collected.ejections.push_back(std::move(entry));
}

void HistoryRecorder::describe(BackendServerId server, ServerDescription description)
{
    const std::lock_guard lock(this->mutex);
    this->collected.servers[std::move(server)] = std::move(description);
}

void HistoryRecorder::describe(PoolName pool, Percent floor)
{
    const std::lock_guard lock(this->mutex);
    this->collected.floors[std::move(pool)] = floor;
}

History HistoryRecorder::history() const
{
    const std::lock_guard lock(this->mutex);
    return this->collected;
}

static std::map<CallTag, const CallRecord *> callsByTag(const History &history)
{
    std::map<CallTag, const CallRecord *> calls;
    for (const auto &call : history.calls) {
        calls[call.tag] = &call;
    }
    return calls;
}

static std::set<CallTag> executedTags(const History &history)
{
    std::set<CallTag> tags;
    for (const auto &execution : history.executions) {
        tags.insert(execution.tag);
    }
    return tags;
}

/// Returns the entries in the order of their times; entries of the same time keep their order.
template<class Entry, class TimeOf>
static std::vector<const Entry *> sortedByTime(const std::vector<Entry> &entries, TimeOf timeOf)
{
    std::vector<const Entry *> sorted;
    sorted.reserve(entries.size());
    for (const auto &entry : entries) {
        sorted.push_back(&entry);
    }
    std::stable_sort(sorted.begin(), sorted.end(), [&timeOf](const Entry *left, const Entry *right) {
        return timeOf(*left) < timeOf(*right);
    });
    return sorted;
}

std::vector<Violation> checkFloor(const History &history)
{
    std::map<PoolName, std::size_t> sizes;
    for (const auto &[server, description] : history.servers) {
        ++sizes[description.pool];
    }
    std::vector<Violation> violations;
    std::map<PoolName, std::set<BackendServerId>> ejected;
    for (const auto *entry : sortedByTime(history.ejections, [](const auto &each) {
             return each.at;
         })) {
        const auto server = history.servers.find(entry->server);
        if (server == history.servers.end()) {
            violations.push_back({"I1", "server " + entry->server.text() + " was ejected from no known pool"});
            continue;
        }
        const PoolName &pool = server->second.pool;
        if (!entry->isEjected) {
            ejected[pool].erase(entry->server);
            continue;
        }
        ejected[pool].insert(entry->server);
        const auto floor = history.floors.find(pool);
        const double left = 100.0 * static_cast<double>(sizes[pool] - ejected[pool].size()) / static_cast<double>(sizes[pool]);
        if (floor != history.floors.end() && left < floor->second.count()) {
            violations.push_back({"I1", "ejecting " + entry->server.text() + " leaves less than the floor of pool " + pool.text()});
        }
    }
    return violations;
}

std::vector<Violation> checkOwnOrganisation(const History &history)
{
    const auto calls = callsByTag(history);
    std::vector<Violation> violations;
    for (const auto &execution : history.executions) {
        const auto call = calls.find(execution.tag);
        if (call == calls.end()) {
            violations.push_back({"I2", "an execution belongs to no call: " + execution.tag.text()});
            continue;
        }
        if (call->second->isOpenToAll) {
            continue;
        }
        if (call->second->organisation.isEmpty() || call->second->organisation != execution.organisation) {
            violations.push_back(
                {"I2", "call " + execution.tag.text() + " ran for organisation \"" + execution.organisation.text() + "\" without its key"});
        }
    }
    return violations;
}

std::vector<Violation> checkKeyHidden(const History &history)
{
    std::vector<Violation> violations;
    for (const auto &execution : history.executions) {
        if (execution.containsSecret) {
            violations.push_back({"I3", "server " + execution.server.text() + " saw a key in call " + execution.tag.text()});
        }
    }
    return violations;
}

/// Returns the executions that started while their subject had been taken out for longer than the bound.
///
/// \p subjectOf returns the key, failure domain or server of an execution; nothing for an execution that has none.
template<class SubjectOf>
static std::vector<Violation> checkTakenOut(const History &history,
                                            const CheckBounds &bounds,
                                            const std::string &invariant,
                                            ConfigurationEvent takenOut,
                                            ConfigurationEvent returned,
                                            SubjectOf subjectOf)
{
    std::map<std::string, std::vector<const ConfigurationRecord *>> eventsBySubject;
    for (const auto *entry : sortedByTime(history.configuration, [](const auto &each) {
             return each.acceptedAt;
         })) {
        if (entry->event == takenOut || entry->event == returned) {
            eventsBySubject[entry->subject].push_back(entry);
        }
    }
    std::vector<Violation> violations;
    for (const auto &execution : history.executions) {
        const std::optional<std::string> subject = subjectOf(execution);
        const auto events = subject ? eventsBySubject.find(*subject) : eventsBySubject.end();
        if (events == eventsBySubject.end()) {
            continue;
        }
        const ConfigurationRecord *last = nullptr;
        for (const auto *entry : events->second) {
            if (entry->acceptedAt <= execution.startedAt) {
                last = entry;
            }
        }
        if (last && last->event == takenOut && execution.startedAt > last->acceptedAt + bounds.changeBound) {
            violations.push_back({invariant, "call " + execution.tag.text() + " ran too long after \"" + *subject + "\" was taken out"});
        }
    }
    return violations;
}

std::vector<Violation> checkRevokedKey(const History &history, const CheckBounds &bounds)
{
    const auto calls = callsByTag(history);
    return checkTakenOut(history,
                         bounds,
                         "I4",
                         ConfigurationEvent::KeyRevoked,
                         ConfigurationEvent::KeyGranted,
                         [&calls](const ExecutionRecord &execution) -> std::optional<std::string> {
                             const auto call = calls.find(execution.tag);
                             if (call == calls.end() || call->second->isOpenToAll || call->second->key.isEmpty()) {
                                 return std::nullopt;
                             }
                             return call->second->key.text();
                         });
}

/// Replays the token buckets of one organisation.
///
/// While a changed rate spreads, either rate may be in force, so the larger one counts.
static std::optional<CallTag>
findExcess(const std::vector<const ExecutionRecord *> &admitted, const std::vector<const RateRecord *> &rates, const CheckBounds &bounds)
{
    double level = 0;
    std::optional<WallTime> last;
    for (const auto *execution : admitted) {
        double rate = 0;
        double burst = 0;
        for (std::size_t position = 0; position < rates.size(); ++position) {
            const bool hasBegun = rates[position]->acceptedAt <= execution->startedAt;
            const bool isReplaced
                = position + 1 < rates.size() && execution->startedAt > rates[position + 1]->acceptedAt + bounds.changeBound;
            if (hasBegun && !isReplaced) {
                rate = std::max(rate, rates[position]->rate.count());
                burst = std::max(burst, rates[position]->burst.count());
            }
        }
        if (last) {
            level = std::max(0.0, level - rate * std::chrono::duration<double>(execution->startedAt - *last).count());
        }
        last = execution->startedAt;
        level += 1;
        // Sums of many small steps are not exact.
        static constexpr double RoundingError = 1e-6;
        if (level > burst + bounds.rateTolerance + RoundingError) {
            return execution->tag;
        }
    }
    return std::nullopt;
}

std::vector<Violation> checkRate(const History &history, const CheckBounds &bounds)
{
    std::map<OrganisationId, std::vector<const ExecutionRecord *>> admitted;
    std::set<CallTag> seen;
    for (const auto *execution : sortedByTime(history.executions, [](const auto &each) {
             return each.startedAt;
         })) {
        if (seen.insert(execution->tag).second) {
            admitted[execution->organisation].push_back(execution);
        }
    }
    std::map<OrganisationId, std::vector<const RateRecord *>> rates;
    for (const auto *entry : sortedByTime(history.rates, [](const auto &each) {
             return each.acceptedAt;
         })) {
        rates[entry->organisation].push_back(entry);
    }
    std::vector<Violation> violations;
    for (const auto &[organisation, executions] : admitted) {
        const auto own = rates.find(organisation);
        if (own == rates.end()) {
            continue;
        }
        if (const auto excess = findExcess(executions, own->second, bounds)) {
            violations.push_back({"I5", "organisation " + organisation.text() + " is above its rate with call " + excess->text()});
        }
    }
    return violations;
}

std::vector<Violation> checkColdStart(const History &history)
{
    std::vector<Violation> violations;
    for (const auto &execution : history.executions) {
        const auto server = history.servers.find(execution.server);
        if (execution.wasCold && server != history.servers.end() && execution.concurrency > server->second.coldSlots.count()) {
            violations.push_back(
                {"I6", "cold server " + execution.server.text() + " ran " + std::to_string(execution.concurrency) + " requests"});
        }
    }
    return violations;
}

std::vector<Violation> checkWithdrawnDomain(const History &history, const CheckBounds &bounds)
{
    return checkTakenOut(history,
                         bounds,
                         "I7",
                         ConfigurationEvent::DomainWithdrawn,
                         ConfigurationEvent::DomainReturned,
                         [&history](const ExecutionRecord &execution) -> std::optional<std::string> {
                             const auto server = history.servers.find(execution.server);
                             if (server == history.servers.end()) {
                                 return std::nullopt;
                             }
                             return server->second.failureDomain.text();
                         });
}

std::vector<Violation> checkOwnAnswer(const History &history)
{
    const auto calls = callsByTag(history);
    const auto executed = executedTags(history);
    std::vector<Violation> violations;
    std::map<CallTag, int> outcomes;
    for (const auto &answer : history.answers) {
        ++outcomes[answer.tag];
        const auto call = calls.find(answer.tag);
        if (call == calls.end() || answer.answeredTag != answer.tag) {
            violations.push_back({"I8", "call " + answer.tag.text() + " received the answer to " + answer.answeredTag.text()});
            continue;
        }
        if (!call->second->isOpenToAll && answer.answeredOrganisation != call->second->organisation) {
            violations.push_back({"I8", "call " + answer.tag.text() + " received an answer for " + answer.answeredOrganisation.text()});
        }
        if (!answer.isIntact) {
            violations.push_back({"I8", "call " + answer.tag.text() + " received an answer that is not whole"});
        }
        if (!executed.contains(answer.tag)) {
            violations.push_back({"I8", "call " + answer.tag.text() + " received an answer although it never ran"});
        }
    }
    for (const auto &refusal : history.refusals) {
        ++outcomes[refusal.tag];
    }
    for (const auto &broken : history.brokenCalls) {
        ++outcomes[broken.tag];
    }
    for (const auto &call : history.calls) {
        const int count = outcomes[call.tag];
        if (count != 1) {
            violations.push_back({"I8", "call " + call.tag.text() + " has " + std::to_string(count) + " outcomes"});
        }
    }
    return violations;
}

std::vector<Violation> checkTrueRefusal(const History &history)
{
    const auto executed = executedTags(history);
    std::vector<Violation> violations;
    for (const auto &refusal : history.refusals) {
        const bool hasRun = executed.contains(refusal.tag);
        if (refusal.claim == ExecutionClaim::NotRun && hasRun) {
            violations.push_back({"I9", "call " + refusal.tag.text() + " ran although its refusal says not_run"});
        }
        if (refusal.claim == ExecutionClaim::Ran && !hasRun) {
            violations.push_back({"I9", "call " + refusal.tag.text() + " did not run although its refusal says ran"});
        }
    }
    return violations;
}

std::vector<Violation> checkAtMostOnce(const History &history)
{
    const auto calls = callsByTag(history);
    std::map<CallTag, int> runs;
    std::map<std::tuple<OrganisationId, std::string>, int> runsByKey;
    for (const auto &execution : history.executions) {
        const auto call = calls.find(execution.tag);
        if (call == calls.end() || call->second->isIdempotent) {
            continue;
        }
        ++runs[execution.tag];
        if (!call->second->idempotencyKey.empty()) {
            ++runsByKey[{call->second->organisation, call->second->idempotencyKey}];
        }
    }
    std::vector<Violation> violations;
    for (const auto &[tag, count] : runs) {
        if (count > 1) {
            violations.push_back({"I10", "call " + tag.text() + " ran " + std::to_string(count) + " times"});
        }
    }
    for (const auto &[key, count] : runsByKey) {
        if (count > 1) {
            violations.push_back({"I10", "idempotency key " + std::get<1>(key) + " ran " + std::to_string(count) + " times"});
        }
    }
    return violations;
}

std::vector<Violation> checkLeavingServer(const History &history, const CheckBounds &bounds)
{
    return checkTakenOut(history,
                         bounds,
                         "I11",
                         ConfigurationEvent::ServerDrained,
                         ConfigurationEvent::ServerReturned,
                         [](const ExecutionRecord &execution) -> std::optional<std::string> {
                             return execution.server.text();
                         });
}

std::vector<Violation> checkPlannedStop(const History &history)
{
    const auto calls = callsByTag(history);
    std::vector<Violation> violations;
    for (const auto &broken : history.brokenCalls) {
        const auto call = calls.find(broken.tag);
        if (call == calls.end() || !broken.wasConnected) {
            continue;
        }
        for (const auto &stop : history.plannedStops) {
            // The end of the process is seen by the caller a moment later.
            static constexpr std::chrono::milliseconds Delay{1000};
            if (stop.host == call->second->host && broken.at >= stop.beganAt && broken.at <= stop.endedAt + Delay) {
                violations.push_back({"I12", "the planned stop of " + stop.host.text() + " broke call " + broken.tag.text()});
            }
        }
    }
    return violations;
}

std::vector<Violation> checkConfiguration(const History &history, const CheckBounds &bounds)
{
    std::vector<Violation> violations;
    std::map<HostId, ConfigVersion> newest;
    for (const auto *entry : sortedByTime(history.versionsInForce, [](const auto &each) {
             return each.at;
         })) {
        auto &own = newest[entry->host];
        if (entry->version < own) {
            violations.push_back({"I13", "host " + entry->host.text() + " went back to version " + std::to_string(entry->version.count())});
        }
        own = std::max(own, entry->version);
        for (const auto &accepted : history.acceptedVersions) {
            if (entry->version < accepted.version && entry->at > accepted.acceptedAt + bounds.changeBound) {
                violations.push_back({"I13",
                                      "host " + entry->host.text() + " served by version " + std::to_string(entry->version.count())
                                          + " too long after version " + std::to_string(accepted.version.count()) + " was accepted"});
                break;
            }
        }
    }
    return violations;
}

std::vector<Violation> checkAll(const History &history, const CheckBounds &bounds)
{
    std::vector<Violation> all;
    for (const auto &violations : {checkFloor(history),
                                   checkOwnOrganisation(history),
                                   checkKeyHidden(history),
                                   checkRevokedKey(history, bounds),
                                   checkRate(history, bounds),
                                   checkColdStart(history),
                                   checkWithdrawnDomain(history, bounds),
                                   checkOwnAnswer(history),
                                   checkTrueRefusal(history),
                                   checkAtMostOnce(history),
                                   checkLeavingServer(history, bounds),
                                   checkPlannedStop(history),
                                   checkConfiguration(history, bounds)}) {
        all.insert(all.end(), violations.begin(), violations.end());
    }
    return all;
}

} // namespace rhubarbtiller::testing
