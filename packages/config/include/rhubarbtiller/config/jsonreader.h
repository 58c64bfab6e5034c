#pragma once

// Includes a heavy header: meant for source files only.

#include <rhubarbtiller/config/problem.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace rhubarbtiller::config {

/// Parses JSON with comments; adds a problem and returns nothing if it is malformed. Thread safety: any thread.
std::optional<nlohmann::json> parseDocument(std::string_view text, const std::string &path, Problems &problems);

/// Reads the fields of one JSON object and notes every missing, wrong or unknown field.
///
/// Thread safety: one thread.
class JsonReader
{
public:
    /// Precondition: \p value and \p problems outlive the reader.
    JsonReader(const nlohmann::json &value, std::string path, Problems &problems);

    /// Returns a text that is not empty; notes a problem and returns an empty text if there is none.
    std::string requiredText(const char *name);

    std::string text(const char *name, std::string fallback);

    /// Returns an "ip:port" with a literal IPv4 or bracketed IPv6 address; port 0 only if \p mayBeUnbound.
    std::string endpoint(const char *name, bool mayBeUnbound = false);

    bool flag(const char *name, bool fallback);

    /// Returns a number in [least, most]. Precondition: \p fallback lies in the range, or is unset if the field is required.
    double number(const char *name, std::optional<double> fallback, double least, double most);

    std::uint64_t integer(const char *name, std::optional<std::uint64_t> fallback, std::uint64_t least, std::uint64_t most);

    std::chrono::milliseconds milliseconds(const char *name,
                                           std::optional<std::chrono::milliseconds> fallback,
                                           std::chrono::milliseconds least,
                                           std::chrono::milliseconds most);

    std::vector<std::string> texts(const char *name, std::vector<std::string> fallback);

    /// Returns one of \p allowed. Precondition: \p fallback is one of them, or unset if the field is required.
    std::string choice(const char *name, const std::optional<std::string> &fallback, const std::vector<std::string> &allowed);

    /// Returns the elements of an array field; notes a problem if the field is missing or no array.
    const nlohmann::json &array(const char *name);

    /// Returns an object field, or an empty object if it is missing and not \p required.
    const nlohmann::json &object(const char *name, bool required);

    std::string pathOf(std::string_view name) const;

    /// Notes a problem with a field of this object.
    void note(std::error_code error, std::string_view name, std::string value, std::string allowed);

    /// Notes every field that was not read. Precondition: all known fields were read.
    void finish();

private:
    const nlohmann::json *field(const char *name, bool required);

    const nlohmann::json &source;
    std::string location;
    Problems &found;
    std::set<std::string, std::less<>> known;
};

} // namespace rhubarbtiller::config
