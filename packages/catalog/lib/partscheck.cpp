#include <rhubarbtiller/catalog/partscheck.h>

#include <rhubarbtiller/catalog/hostlimits.h>

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace rhubarbtiller::catalog {

/// The default of the window over which hosts count an organisation's rate, in seconds.
static constexpr double QuotaWindowSeconds = 5;

namespace {

/// The texts of the properties of an entry, always in the same order, and its keys.
struct EntryTexts
{
    std::vector<std::pair<Property, std::string>> properties;
    std::set<std::string> keys;
};

using EntryId = std::pair<EntryKind, std::string>;

} // namespace

static std::string numberText(double number)
{
    std::ostringstream text;
    text.precision(12);
    text << number;
    return text.str();
}

static std::string secondsText(Duration time)
{
    return numberText(std::chrono::duration<double>(time).count()) + " s";
}

static std::string servicesText(const Route &route)
{
    std::string text;
    for (const auto &[service, weight] : route.weightedServices) {
        text += (text.empty() ? "" : ", ") + service.text() + ":" + numberText(weight);
    }
    return text;
}

static void checkRoutes(const CatalogParts &parts, std::vector<PartFinding> &findings)
{
    std::map<std::pair<std::string, std::string>, std::string> owners;
    std::set<std::string> names;
    std::set<ServiceName> defined;
    for (const auto &service : parts.services) {
        defined.insert(service.name);
    }
    for (const auto &route : parts.routes) {
        const auto add = [&findings, &route](Severity severity, Property property, std::string message) {
            findings.push_back({severity, EntryKind::Route, route.name.text(), property, std::move(message)});
        };
        if (!names.insert(route.name.text()).second) {
            add(Severity::Error, Property::Name, "another route has this name");
        }
        if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
            add(Severity::Error, Property::Prefix, "never matches: a prefix begins and ends with a slash");
        }
        if (const auto [owner, isFirst] = owners.emplace(std::pair(route.virtualHost, route.prefix), route.name.text()); !isFirst) {
            add(Severity::Error, Property::Prefix, "never matches: route " + owner->second + " has the same host and prefix");
        }
        if (route.timeLimit > Duration(0) && route.latencyObjective > route.timeLimit) {
            add(Severity::Warning,
                Property::TimeLimit,
                secondsText(route.timeLimit) + " is below the latency objective of " + secondsText(route.latencyObjective));
        }
        if (route.maxAttempts > 1 && route.retrySemantics == RetrySemantics::AtMostOnce) {
            add(Severity::Warning, Property::MaxAttempts, "has no effect: requests of this route are executed at most once");
        }
        std::set<ServiceName> used;
        for (const auto &weighted : route.weightedServices) {
            if (!defined.contains(weighted.service)) {
                add(Severity::Error, Property::Services, "service " + weighted.service.text() + " is not defined");
            }
            if (!used.insert(weighted.service).second) {
                add(Severity::Warning, Property::Services, "service " + weighted.service.text() + " is listed twice");
            }
        }
    }
}

static void checkServices(const CatalogParts &parts, std::vector<PartFinding> &findings)
{
    std::set<ServiceName> used;
    for (const auto &route : parts.routes) {
        for (const auto &weighted : route.weightedServices) {
            used.insert(weighted.service);
        }
    }
    std::set<ServiceName> names;
    for (const auto &service : parts.services) {
        if (!names.insert(service.name).second) {
            findings.push_back(
                {Severity::Error, EntryKind::Service, service.name.text(), Property::Name, "has no effect: another service has this name"});
        } else if (!used.contains(service.name)) {
            findings.push_back({Severity::Warning, EntryKind::Service, service.name.text(), Property::Name, "no route uses this service"});
        }
    }
}

static void checkKeys(const CatalogParts &parts, std::vector<PartFinding> &findings)
{
    std::map<std::string, std::size_t> owners;
    for (const auto &[key, position] : parts.keys) {
        const auto [owner, isFirst] = owners.emplace(key, position);
        if (isFirst) {
            continue;
        }
        const auto &name = parts.organisations[position].id.text();
        if (owner->second == position) {
            findings.push_back({Severity::Warning, EntryKind::Organisation, name, Property::Keys, "a key is listed twice"});
        } else {
            findings.push_back({Severity::Error,
                                EntryKind::Organisation,
                                name,
                                Property::Keys,
                                "a key belongs to organisation " + parts.organisations[owner->second].id.text() + " already"});
        }
    }
}

static void checkOrganisations(const CatalogParts &parts, std::vector<PartFinding> &findings)
{
    std::set<std::size_t> withKeys;
    for (const auto &[key, position] : parts.keys) {
        withKeys.insert(position);
    }
    std::set<std::string> names;
    for (std::size_t i = 0; i < parts.organisations.size(); ++i) {
        const auto &organisation = parts.organisations[i];
        const auto add = [&findings, &organisation](Severity severity, Property property, std::string message) {
            findings.push_back({severity, EntryKind::Organisation, organisation.id.text(), property, std::move(message)});
        };
        if (!names.insert(organisation.id.text()).second) {
            add(Severity::Error, Property::Name, "another organisation has this name");
        }
        if (!withKeys.contains(i)) {
            add(Severity::Warning, Property::Keys, "the organisation has no key");
        }
        const double rate = organisation.rate.count();
        const double burst = organisation.burst.count();
        if (rate > 0 && rate * QuotaWindowSeconds + burst < 1) {
            add(Severity::Warning, Property::Burst, "rate and burst allow less than one request in the default window of 5 s");
        }
        if (rate <= 0 && burst > 0) {
            add(Severity::Warning, Property::Burst, "has no effect: without a rate above 0 there is no limit");
        }
    }
}

static void checkLimits(const CatalogParts &parts, std::vector<PartFinding> &findings)
{
    const auto check = [&findings](Property property, ByteCount stated, ByteCount most) {
        if (stated > most) {
            findings.push_back(
                {Severity::Warning,
                 EntryKind::Limits,
                 "",
                 property,
                 std::to_string(stated.count()) + " is above " + std::to_string(most.count()) + ", the most that hosts read"});
        }
    };
    check(Property::MaxHeader, parts.limits.maxHeader, MaxReadHeader);
    check(Property::MaxBody, parts.limits.maxBody, MaxReadBody);
}

std::vector<PartFinding> checkParts(const CatalogParts &parts)
{
    std::vector<PartFinding> findings;
    checkRoutes(parts, findings);
    checkServices(parts, findings);
    checkOrganisations(parts, findings);
    checkKeys(parts, findings);
    checkLimits(parts, findings);
    return findings;
}

std::vector<PartFinding> checkVersion(const CatalogParts &current, const CatalogParts &proposed)
{
    if (proposed.version > current.version) {
        return {};
    }
    return {{Severity::Error,
             EntryKind::Catalog,
             "",
             Property::Version,
             std::to_string(proposed.version.count()) + " is not higher than " + std::to_string(current.version.count())
                 + ", the version in force"}};
}

static std::map<EntryId, EntryTexts> entryTexts(const CatalogParts &parts)
{
    std::map<EntryId, EntryTexts> entries;
    for (const auto &route : parts.routes) {
        entries.emplace(EntryId(EntryKind::Route, route.name.text()),
                        EntryTexts{{{Property::VirtualHost, route.virtualHost},
                                    {Property::Prefix, route.prefix},
                                    {Property::RetrySemantics,
                                     route.retrySemantics == RetrySemantics::Idempotent ? "idempotent" : "executed at most once"},
                                    {Property::TimeLimit, secondsText(route.timeLimit)},
                                    {Property::LatencyObjective, secondsText(route.latencyObjective)},
                                    {Property::Priority, std::to_string(route.priority)},
                                    {Property::Services, servicesText(route)},
                                    {Property::MaxAttempts, std::to_string(route.maxAttempts)},
                                    {Property::IsPublic, route.isPublic ? "true" : "false"}},
                                   {}});
    }
    for (const auto &service : parts.services) {
        entries.emplace(EntryId(EntryKind::Service, service.name.text()),
                        EntryTexts{{{Property::ColdRate, numberText(service.coldRate.count())}}, {}});
    }
    std::vector<EntryTexts *> organisations;
    for (const auto &organisation : parts.organisations) {
        const auto [entry, isFirst] = entries.emplace(
            EntryId(EntryKind::Organisation, organisation.id.text()),
            EntryTexts{{{Property::Priority, organisation.priority ? std::to_string(*organisation.priority) : "that of the route"},
                        {Property::Rate, numberText(organisation.rate.count())},
                        {Property::Burst, numberText(organisation.burst.count())}},
                       {}});
        organisations.push_back(&entry->second);
    }
    for (const auto &[key, position] : parts.keys) {
        organisations[position]->keys.insert(key);
    }
    const auto timeText = [](const std::optional<Duration> &time) {
        return time ? secondsText(*time) : std::string("not stated");
    };
    entries.emplace(EntryId(EntryKind::Limits, ""),
                    EntryTexts{{{Property::MaxHeader, std::to_string(parts.limits.maxHeader.count())},
                                {Property::MaxBody, std::to_string(parts.limits.maxBody.count())},
                                {Property::HeaderTime, timeText(parts.limits.headerTime)},
                                {Property::IdleTime, timeText(parts.limits.idleTime)}},
                               {}});
    return entries;
}

static std::vector<PropertyChange> changedProperties(const EntryTexts &before, const EntryTexts &after)
{
    std::vector<PropertyChange> changes;
    for (std::size_t i = 0; i < before.properties.size(); ++i) {
        const auto &[property, text] = before.properties[i];
        if (text != after.properties[i].second) {
            changes.push_back({property, text, after.properties[i].second});
        }
    }
    if (before.keys != after.keys) {
        const auto added = std::count_if(after.keys.begin(), after.keys.end(), [&before](const std::string &key) {
            return !before.keys.contains(key);
        });
        changes.push_back({Property::Keys,
                           std::to_string(before.keys.size()) + " keys",
                           std::to_string(after.keys.size()) + " keys, " + std::to_string(added) + " of them new"});
    }
    return changes;
}

std::vector<PartDifference> compareParts(const CatalogParts &current, const CatalogParts &proposed)
{
    const auto before = entryTexts(current);
    const auto after = entryTexts(proposed);
    std::vector<PartDifference> differences;
    for (const auto &[id, texts] : after) {
        if (const auto known = before.find(id); known == before.end()) {
            differences.push_back({PartDifference::Change::Added, id.first, id.second, {}});
        } else if (auto changes = changedProperties(known->second, texts); !changes.empty()) {
            differences.push_back({PartDifference::Change::Changed, id.first, id.second, std::move(changes)});
        }
    }
    for (const auto &[id, texts] : before) {
        if (!after.contains(id)) {
            differences.push_back({PartDifference::Change::Removed, id.first, id.second, {}});
        }
    }
    return differences;
}

} // namespace rhubarbtiller::catalog
