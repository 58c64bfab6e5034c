#include <rhubarbtiller/settings/settings.h>

#include <rhubarbtiller/config/errors.h>
#include <rhubarbtiller/config/jsonreader.h>

using rhubarbtiller::config::ConfigError;
using rhubarbtiller::config::JsonReader;
using rhubarbtiller::config::Problems;
using std::chrono::milliseconds;

namespace rhubarbtiller::settings {

// A shorter shared credential could be guessed by trying.
static constexpr std::size_t LeastCredentialLength = 16;

static std::string readCredential(JsonReader &reader, const char *name)
{
    auto credential = reader.requiredText(name);
    if (!credential.empty() && credential.size() < LeastCredentialLength) {
        reader.note(make_error_code(ConfigError::WrongValue), name, "(hidden)", "at least 16 characters");
    }
    return credential;
}

static PlatformSettings readPlatform(const nlohmann::json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    PlatformSettings platform;
    platform.tableAddress = Endpoint(reader.endpoint("tableAddress"));
    platform.tableName = reader.text("tableName", "rhubarbtiller");
    platform.objectAddress = Endpoint(reader.endpoint("objectAddress"));
    platform.bucket = reader.text("bucket", "rhubarbtiller");
    platform.hostListAddress = Endpoint(reader.endpoint("hostListAddress"));
    platform.hostListTarget = reader.text("hostListTarget", "/hosts");
    platform.region = reader.text("region", "");
    platform.credential = reader.text("credential", "");
    if (!platform.region.empty() && platform.credential.find(':') == std::string::npos) {
        reader.note(make_error_code(ConfigError::WrongValue), "credential", "(hidden)", "access key:secret key, if a region is set");
    }
    reader.finish();
    return platform;
}

static LimitSettings readLimits(const nlohmann::json &value, const std::string &path, Problems &problems)
{
    JsonReader reader(value, path, problems);
    LimitSettings limits;
    limits.maxConnections = static_cast<std::uint32_t>(reader.integer("maxConnections", limits.maxConnections, 1, 1'000'000));
    limits.maxConcurrentRequests
        = static_cast<std::uint32_t>(reader.integer("maxConcurrentRequests", limits.maxConcurrentRequests, 1, 100'000));
    limits.maxHeader = ByteCount(reader.integer("maxHeaderBytes", limits.maxHeader.count(), 1024, 1024 * 1024));
    limits.maxBody = ByteCount(reader.integer("maxBodyBytes", limits.maxBody.count(), 0, 8 * 1024 * 1024));
    limits.readTimeLimit = reader.milliseconds("readTimeLimitMs", limits.readTimeLimit, milliseconds(100), milliseconds(600'000));
    reader.finish();
    return limits;
}

std::optional<HostSettings> parseHostSettings(std::string_view text, Problems &problems)
{
    const auto document = config::parseDocument(text, "settings", problems);
    if (!document) {
        return std::nullopt;
    }
    JsonReader reader(*document, "settings", problems);
    HostSettings settings;
    settings.id = HostId(reader.requiredText("id"));
    settings.failureDomain = FailureDomainId(reader.requiredText("failureDomain"));
    settings.callerAddress = Endpoint(reader.endpoint("callerAddress", true));
    settings.peerAddress = Endpoint(reader.endpoint("peerAddress", true));
    settings.operatorAddress = Endpoint(reader.endpoint("operatorAddress", true));
    settings.peerCredential = readCredential(reader, "peerCredential");
    settings.operatorCredential = readCredential(reader, "operatorCredential");
    settings.platform = readPlatform(reader.object("platform", true), reader.pathOf("platform"), problems);
    settings.limits = readLimits(reader.object("limits", false), reader.pathOf("limits"), problems);
    settings.threads = static_cast<std::uint32_t>(reader.integer("threads", settings.threads, 1, 64));
    settings.shardCount = static_cast<std::uint32_t>(reader.integer("shardCount", settings.shardCount, 1, 65'536));
    settings.storePollInterval = reader.milliseconds("storePollMs", settings.storePollInterval, milliseconds(100), milliseconds(1000));
    settings.logLevel = reader.choice("logLevel", settings.logLevel, {"debug", "info", "warning", "error"});
    settings.spanOutput = reader.text("spanOutput", settings.spanOutput);
    settings.allowsLinkFaults = reader.flag("allowLinkFaults", settings.allowsLinkFaults);
    reader.finish();
    if (!problems.empty()) {
        return std::nullopt;
    }
    return settings;
}

std::optional<OperatorSettings> parseOperatorSettings(std::string_view text, Problems &problems)
{
    const auto document = config::parseDocument(text, "settings", problems);
    if (!document) {
        return std::nullopt;
    }
    JsonReader reader(*document, "settings", problems);
    OperatorSettings settings;
    settings.operatorCredential = readCredential(reader, "operatorCredential");
    settings.platform = readPlatform(reader.object("platform", true), reader.pathOf("platform"), problems);
    settings.author = reader.requiredText("author");
    reader.finish();
    if (!problems.empty()) {
        return std::nullopt;
    }
    return settings;
}

} // namespace rhubarbtiller::settings
