#include "statepage.h"

#include <nlohmann/json.hpp>

namespace rhubarbtiller::gateway {

using nlohmann::json;

static std::int64_t milliseconds(Duration duration)
{
    return static_cast<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

static json hostsPart(const balance::HostDirectory &directory, MonotonicTime now)
{
    json entryHosts = json::array();
    for (const auto *const host : directory.allEntryHosts(now)) {
        entryHosts.push_back({{"id", host->id.text()}, {"failureDomain", host->failureDomain.text()}, {"isLeaving", host->isLeaving}});
    }
    return {{"entry", std::move(entryHosts)},
            {"livingPeers", directory.livePeerCount(now)},
            {"known", directory.knownHosts(now).size()},
            {"rankInDomain", directory.ownRank(now)}};
}

static json serversPart(const StatePageParts &parts, MonotonicTime now)
{
    json servers = json::array();
    if (parts.state == nullptr || !parts.state->servers) {
        return servers;
    }
    for (const auto &entry : parts.state->servers->entries()) {
        json server{{"id", entry.id.text()},
                    {"service", entry.service.text()},
                    {"failureDomain", entry.failureDomain.text()},
                    {"slots", entry.slots.count()},
                    {"isDraining", entry.isDraining},
                    {"isEvacuated", parts.state->evacuatedDomains.contains(entry.failureDomain)},
                    {"coldForMs", std::max<std::int64_t>(0, milliseconds(entry.coldUntil - now))}};
        if (const auto *const serverState = parts.board.find(entry.id)) {
            server["failureProbability"] = serverState->estimator.failureProbability(now);
            server["outstanding"] = serverState->ownOutstanding + serverState->remoteOutstanding(now);
            server["connectFailures"] = serverState->connectFailures;
        }
        servers.push_back(std::move(server));
    }
    return servers;
}

static json organisationsPart(const balance::OrganisationQuota &quota, MonotonicTime now)
{
    json organisations = json::array();
    for (const auto &usage : quota.usages(now)) {
        organisations.push_back({{"id", usage.organisation.text()}, {"used", usage.used}, {"limit", usage.limit}});
    }
    return organisations;
}

static json queuesPart(const balance::RequestQueue *queue, MonotonicTime now)
{
    json queues = json::array();
    if (queue == nullptr) {
        return queues;
    }
    for (const auto &summary : queue->summaries(now)) {
        queues.push_back({{"service", summary.service.text()},
                          {"waiting", summary.waiting},
                          {"longestWaitMs", milliseconds(summary.longestWait)},
                          {"slots", summary.capacity.slots},
                          {"measuredSlots", summary.capacity.measuredSlots},
                          {"arrivingSlots", summary.capacity.arrivingWork},
                          {"measuredAgeMs", summary.capacity.age ? json(milliseconds(*summary.capacity.age)) : json()}});
    }
    return queues;
}

static json serviceTimesPart(const balance::ServiceTimes *times, MonotonicTime now)
{
    json routes = json::array();
    if (times == nullptr) {
        return routes;
    }
    for (const auto &measured : times->measurements(now)) {
        routes.push_back({{"route", measured.route.text()},
                          {"service", measured.service.text()},
                          {"workMs", milliseconds(measured.work)},
                          {"highWorkMs", milliseconds(measured.highWork)},
                          {"responseMs", milliseconds(measured.response)},
                          {"samples", measured.samples},
                          {"ageMs", milliseconds(measured.age)}});
    }
    return routes;
}

std::string statePage(const StatePageParts &parts, MonotonicTime now)
{
    const auto &own = parts.directory.own();
    const auto *const catalog = parts.state != nullptr ? parts.state->catalog.get() : nullptr;
    const json document{
        {"host", own.id.text()},
        {"failureDomain", own.failureDomain.text()},
        {"incarnation", own.incarnation.count()},
        {"role", parts.directory.isEntryHost() ? "entry" : "standby"},
        {"isReady", parts.isReady},
        {"isLeaving", own.isLeaving},
        {"requestsInProgress", parts.requestsInProgress},
        {"configuration",
         {{"version", catalog != nullptr ? catalog->version().count() : 0},
          {"storeEra", parts.replicaStatus.configurationVersion.era.count()},
          {"storeVersion", parts.replicaStatus.configurationVersion.number},
          {"announcedStoreVersion", parts.replicaStatus.announcedConfigurationVersion.number}}},
        {"stateAgeMs", parts.state != nullptr ? json(milliseconds(now - parts.state->changedAt)) : json()},
        {"serversEra", parts.replicaStatus.serversVersion.era.count()},
        {"serversVersion", parts.replicaStatus.serversVersion.number},
        {"storeContactAgeMs", parts.replicaStatus.storeContactAge ? json(milliseconds(*parts.replicaStatus.storeContactAge)) : json()},
        {"hosts", hostsPart(parts.directory, now)},
        {"backendServers", serversPart(parts, now)},
        {"rollouts", parts.rollouts == nullptr ? json::array() : json::parse(parts.rollouts->describe())},
        {"organisations", organisationsPart(parts.quota, now)},
        {"queues", queuesPart(parts.queue, now)},
        {"serviceTimes", serviceTimesPart(parts.serviceTimes, now)}};
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace rhubarbtiller::gateway
