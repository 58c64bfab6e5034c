#include <rhubarbtiller/gateway/settings.h>

#include <rhubarbtiller/config/jsonreader.h>

#include <algorithm>

using rhubarbtiller::config::JsonReader;
using rhubarbtiller::config::Problems;
using std::chrono::milliseconds;

namespace rhubarbtiller::gateway {

static balance::RetryBudgetBounds readRetryBudget(const nlohmann::json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    balance::RetryBudgetBounds bounds;
    bounds.ratio = reader.number("ratio", bounds.ratio, 0, 10);
    bounds.slack = reader.number("slack", bounds.slack, 0, 1'000'000);
    constexpr double MaxWindowSeconds = 3600;
    const double seconds = reader.number("windowSeconds", std::chrono::duration<double>(bounds.window).count(), 0.1, MaxWindowSeconds);
    bounds.window = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    reader.finish();
    return bounds;
}

static Duration readSeconds(JsonReader &reader, const char *name, Duration fallback)
{
    constexpr double MaxSeconds = 3600;
    const double seconds = reader.number(name, std::chrono::duration<double>(fallback).count(), 0, MaxSeconds);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

static balance::RolloutBounds readRolloutBounds(const nlohmann::json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    balance::RolloutBounds bounds;
    bounds.exposureShare = reader.number("exposureShare", bounds.exposureShare, 0, 1);
    bounds.exposureSlack = reader.number("exposureSlack", bounds.exposureSlack, 0, 1'000'000);
    bounds.rollbackTime = readSeconds(reader, "rollbackSeconds", bounds.rollbackTime);
    bounds.storeAllowance = readSeconds(reader, "storeAllowanceSeconds", bounds.storeAllowance);
    reader.finish();
    return bounds;
}

static constexpr std::uint64_t BytesPerMegabyte = 1024 * 1024;

static CallerLimitSettings readCallerLimits(const nlohmann::json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    CallerLimitSettings limits;
    const auto megabytes = [&reader](const char *name) -> std::optional<ByteCount> {
        constexpr double MinMegabytes = 1;
        constexpr double MaxMegabytes = 1024 * 1024;
        const double read = reader.number(name, 0, 0, MaxMegabytes);
        return read >= MinMegabytes ? std::optional(ByteCount(static_cast<std::uint64_t>(read * BytesPerMegabyte))) : std::nullopt;
    };
    limits.requestMemory = megabytes("requestMemoryMb");
    limits.totalMemory = megabytes("totalMemoryMb");
    constexpr int MaxConnections = 1'000'000;
    if (const auto connections = reader.integer("maxConnections", 0, 0, MaxConnections); connections > 0) {
        limits.maxConnections = static_cast<std::uint32_t>(connections);
    }
    limits.headerTimeout = reader.milliseconds("headerTimeoutMs", limits.headerTimeout, milliseconds(100), milliseconds(600'000));
    limits.requestTimeout = reader.milliseconds("requestTimeoutMs", limits.requestTimeout, milliseconds(100), milliseconds(600'000));
    reader.finish();
    return limits;
}

std::optional<GatewaySettings> parseGatewaySettings(std::string_view text, Problems &problems)
{
    const auto document = config::parseDocument(text, "settings", problems);
    if (!document) {
        return std::nullopt;
    }
    JsonReader reader(*document, "settings", problems);
    GatewaySettings settings;
    settings.id = HostId(reader.requiredText("id"));
    settings.failureDomain = FailureDomainId(reader.requiredText("failureDomain"));
    for (auto &domain : reader.texts("failureDomains", {})) {
        settings.failureDomains.emplace_back(std::move(domain));
    }
    if (std::find(settings.failureDomains.begin(), settings.failureDomains.end(), settings.failureDomain)
        == settings.failureDomains.end()) {
        settings.failureDomains.push_back(settings.failureDomain);
    }
    settings.callerAddress = Endpoint(reader.endpoint("callerAddress", true));
    settings.readinessAddress = Endpoint(reader.endpoint("readinessAddress", true));
    settings.directoryAddress = Endpoint(reader.endpoint("directoryAddress", true));
    settings.controlAddress = Endpoint(reader.endpoint("controlAddress", true));
    settings.peerAddress = Endpoint(reader.endpoint("peerAddress", true));
    settings.storeAddress = Endpoint(reader.endpoint("storeAddress"));
    for (auto &seed : reader.texts("seeds", {})) {
        settings.seeds.emplace_back(std::move(seed));
    }
    settings.isFirstStart = reader.flag("firstStart", settings.isFirstStart);
    constexpr unsigned MaxEntryHosts = 64;
    settings.entryHostsPerDomain
        = static_cast<unsigned>(reader.integer("entryHostsPerDomain", settings.entryHostsPerDomain, 1, MaxEntryHosts));
    constexpr double MilliCoresPerCore = 1000;
    constexpr double MaxCores = 1024;
    settings.milliCores = static_cast<std::uint32_t>(reader.number("processorCores", 1, 0, MaxCores) * MilliCoresPerCore);
    settings.addressLifetime = reader.milliseconds("addressLifetimeMs", settings.addressLifetime, milliseconds(100), milliseconds(60'000));
    constexpr double MaxGraceSeconds = 600;
    const double grace = reader.number("stopGraceSeconds", std::chrono::duration<double>(settings.stopGrace).count(), 0, MaxGraceSeconds);
    settings.stopGrace = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(grace));
    constexpr double MinMegabytes = 16;
    constexpr double MaxMegabytes = 1024 * 1024;
    const auto defaultMegabytes = static_cast<double>(settings.memory.count()) / BytesPerMegabyte;
    settings.memory
        = ByteCount(static_cast<std::uint64_t>(reader.number("memoryMb", defaultMegabytes, MinMegabytes, MaxMegabytes)) * BytesPerMegabyte);
    settings.callerLimits = readCallerLimits(reader.object("callerLimits", false), reader.pathOf("callerLimits"), problems);
    settings.retryBudget = readRetryBudget(reader.object("retryBudget", false), reader.pathOf("retryBudget"), problems);
    settings.rollout = readRolloutBounds(reader.object("rollout", false), reader.pathOf("rollout"), problems);
    constexpr double MaxWindowSeconds = 3600;
    const double window
        = reader.number("quotaWindowSeconds", std::chrono::duration<double>(settings.quotaWindow).count(), 0.1, MaxWindowSeconds);
    settings.quotaWindow = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(window));
    settings.logLevel = reader.choice("logLevel", settings.logLevel, {"debug", "info", "warning", "error"});
    settings.spanOutput = reader.text("spanOutput", settings.spanOutput);
    reader.finish();
    if (!problems.empty()) {
        return std::nullopt;
    }
    return settings;
}

} // namespace rhubarbtiller::gateway
