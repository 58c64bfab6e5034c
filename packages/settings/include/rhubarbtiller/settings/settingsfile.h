#pragma once

#include <rhubarbtiller/config/problem.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

namespace rhubarbtiller::settings {

/// Reads a settings file with \p parse, and prints a line to standard error for each fault; returns what \p parse returns.
///
/// \p parse takes the text and the list of problems, and returns an optional. Precondition: none. Thread safety: any thread.
template<class Parse>
auto readSettingsFile(const std::string &path, Parse parse) -> decltype(parse(std::string(), std::declval<config::Problems &>()))
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": the file cannot be read\n";
        return {};
    }
    const std::string text(std::istreambuf_iterator<char>(file), {});
    config::Problems problems;
    auto parsed = parse(text, problems);
    for (const auto &problem : problems) {
        std::cerr << path << ": " << problem.describe() << "\n";
    }
    return parsed;
}

} // namespace rhubarbtiller::settings
