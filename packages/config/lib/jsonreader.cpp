#include <rhubarbtiller/config/jsonreader.h>

#include <rhubarbtiller/config/errors.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>

namespace rhubarbtiller::config {

static const nlohmann::json EmptyArray = nlohmann::json::array();
static const nlohmann::json EmptyObject = nlohmann::json::object();

std::string Problem::describe() const
{
    std::string line = this->path + ": " + this->error.message();
    if (!this->value.empty()) {
        line += ": " + this->value;
    }
    if (!this->allowed.empty()) {
        line += " (allowed: " + this->allowed + ")";
    }
    return line;
}

/// Tables and settings are nested up to 6 levels deep; copies and texts of a JSON value recurse.
static constexpr int MaxNesting = 64;

std::optional<nlohmann::json> parseDocument(std::string_view text, const std::string &path, Problems &problems)
{
    bool isTooDeep = false;
    const auto isKept = [&isTooDeep](int depth, nlohmann::json::parse_event_t, const nlohmann::json &) {
        isTooDeep = isTooDeep || depth > MaxNesting;
        return depth <= MaxNesting;
    };
    // The parser reports errors by exceptions only; none may leave this package.
    try {
        auto document = nlohmann::json::parse(text, isKept, true, true);
        if (!isTooDeep) {
            return document;
        }
        problems.push_back({make_error_code(ConfigError::MalformedDocument),
                            path,
                            "nested more than " + std::to_string(MaxNesting) + " levels deep",
                            "JSON with comments"});
        return std::nullopt;
    } catch (const nlohmann::json::parse_error &error) {
        problems.push_back({make_error_code(ConfigError::MalformedDocument), path, error.what(), "JSON with comments"});
        return std::nullopt;
    }
}

JsonReader::JsonReader(const nlohmann::json &value, std::string path, Problems &problems)
    : source(value.is_object() ? value : EmptyObject), location(std::move(path)), found(problems)
{
    if (!value.is_object()) {
        this->found.push_back({make_error_code(ConfigError::WrongValue), this->location, value.dump(), "an object"});
    }
}

std::string JsonReader::pathOf(std::string_view name) const
{
    if (this->location.empty()) {
        return std::string(name);
    }
    return this->location + "." + std::string(name);
}

void JsonReader::note(std::error_code error, std::string_view name, std::string value, std::string allowed)
{
    this->found.push_back({error, this->pathOf(name), std::move(value), std::move(allowed)});
}

const nlohmann::json *JsonReader::field(const char *name, bool required)
{
    this->known.insert(name);
    if (const auto position = this->source.find(name); position != this->source.end()) {
        return &*position;
    }
    if (required) {
        this->note(make_error_code(ConfigError::MissingField), name, {}, {});
    }
    return nullptr;
}

std::string JsonReader::requiredText(const char *name)
{
    const auto *value = this->field(name, true);
    if (!value) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        this->note(make_error_code(ConfigError::WrongValue), name, value->dump(), "a text that is not empty");
        return {};
    }
    return value->get<std::string>();
}

std::string JsonReader::text(const char *name, std::string fallback)
{
    const auto *value = this->field(name, false);
    if (!value) {
        return fallback;
    }
    if (!value->is_string()) {
        this->note(make_error_code(ConfigError::WrongValue), name, value->dump(), "a text");
        return fallback;
    }
    return value->get<std::string>();
}

static bool isIpLiteral(const std::string &address)
{
    unsigned char buffer[16];
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        return inet_pton(AF_INET6, address.substr(1, address.size() - 2).c_str(), buffer) == 1;
    }
    return inet_pton(AF_INET, address.c_str(), buffer) == 1;
}

static bool isEndpoint(const std::string &text, bool mayBeUnbound)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return false;
    }
    unsigned port = 0;
    const char *begin = text.data() + colon + 1;
    const char *end = text.data() + text.size();
    if (const auto [stop, code] = std::from_chars(begin, end, port); code != std::errc() || stop != end || begin == end) {
        return false;
    }
    if (port > 65535 || (port == 0 && !mayBeUnbound)) {
        return false;
    }
    return isIpLiteral(text.substr(0, colon));
}

std::string JsonReader::endpoint(const char *name, bool mayBeUnbound)
{
    auto value = this->requiredText(name);
    if (!value.empty() && !isEndpoint(value, mayBeUnbound)) {
        this->note(make_error_code(ConfigError::WrongValue), name, value, mayBeUnbound ? "ip:port" : "ip:port with port 1 to 65535");
        return {};
    }
    return value;
}

bool JsonReader::flag(const char *name, bool fallback)
{
    const auto *value = this->field(name, false);
    if (!value) {
        return fallback;
    }
    if (!value->is_boolean()) {
        this->note(make_error_code(ConfigError::WrongValue), name, value->dump(), "true or false");
        return fallback;
    }
    return value->get<bool>();
}

double JsonReader::number(const char *name, std::optional<double> fallback, double least, double most)
{
    const auto *value = this->field(name, !fallback.has_value());
    if (!value) {
        return fallback.value_or(least);
    }
    const double number = value->is_number() ? value->get<double>() : std::nan("");
    if (!(number >= least && number <= most)) {
        this->note(make_error_code(ConfigError::WrongValue),
                   name,
                   value->dump(),
                   "a number from " + nlohmann::json(least).dump() + " to " + nlohmann::json(most).dump());
        return fallback.value_or(least);
    }
    return number;
}

std::uint64_t JsonReader::integer(const char *name, std::optional<std::uint64_t> fallback, std::uint64_t least, std::uint64_t most)
{
    const auto *value = this->field(name, !fallback.has_value());
    if (!value) {
        return fallback.value_or(least);
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < least || value->get<std::uint64_t>() > most) {
        this->note(make_error_code(ConfigError::WrongValue),
                   name,
                   value->dump(),
                   "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
        return fallback.value_or(least);
    }
    return value->get<std::uint64_t>();
}

std::chrono::milliseconds JsonReader::milliseconds(const char *name,
                                                   std::optional<std::chrono::milliseconds> fallback,
                                                   std::chrono::milliseconds least,
                                                   std::chrono::milliseconds most)
{
    std::optional<std::uint64_t> count;
    if (fallback) {
        count = static_cast<std::uint64_t>(fallback->count());
    }
    const auto value = this->integer(name, count, static_cast<std::uint64_t>(least.count()), static_cast<std::uint64_t>(most.count()));
    return std::chrono::milliseconds(value);
}

std::vector<std::string> JsonReader::texts(const char *name, std::vector<std::string> fallback)
{
    const auto *value = this->field(name, false);
    if (!value) {
        return fallback;
    }
    const auto isText = [](const nlohmann::json &element) {
        return element.is_string();
    };
    if (!value->is_array() || !std::all_of(value->begin(), value->end(), isText)) {
        this->note(make_error_code(ConfigError::WrongValue), name, value->dump(), "an array of texts");
        return fallback;
    }
    return value->get<std::vector<std::string>>();
}

std::string JsonReader::choice(const char *name, const std::optional<std::string> &fallback, const std::vector<std::string> &allowed)
{
    const auto *value = this->field(name, !fallback.has_value());
    if (!value) {
        return fallback.value_or(allowed.front());
    }
    if (!value->is_string() || std::ranges::find(allowed, value->get_ref<const std::string &>()) == allowed.end()) {
        std::string list;
        for (const auto &word : allowed) {
            list += (list.empty() ? "" : ", ") + word;
        }
        this->note(make_error_code(ConfigError::WrongValue), name, value->dump(), list);
        return fallback.value_or(allowed.front());
    }
    return value->get<std::string>();
}

const nlohmann::json &JsonReader::array(const char *name)
{
    const auto *value = this->field(name, true);
    if (!value) {
        return EmptyArray;
    }
    if (!value->is_array()) {
        this->note(make_error_code(ConfigError::WrongValue), name, value->dump(), "an array");
        return EmptyArray;
    }
    return *value;
}

const nlohmann::json &JsonReader::object(const char *name, bool required)
{
    const auto *value = this->field(name, required);
    return value ? *value : EmptyObject;
}

void JsonReader::finish()
{
    for (const auto &[name, value] : this->source.items()) {
        if (this->known.contains(name)) {
            continue;
        }
        std::string list;
        for (const auto &word : this->known) {
            list += (list.empty() ? "" : ", ") + word;
        }
        this->note(make_error_code(ConfigError::UnknownField), name, value.dump(), list);
    }
}

} // namespace rhubarbtiller::config
