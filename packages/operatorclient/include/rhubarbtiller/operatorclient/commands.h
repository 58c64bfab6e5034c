#pragma once

#include <rhubarbtiller/operatorclient/exitcode.h>
#include <rhubarbtiller/operatorclient/session.h>

#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbtiller::operatorclient {

/// The options that several commands share.
struct Options
{
    bool asJson = false;
    std::optional<double> rate;
    std::optional<double> burst;
    std::string reason;
    std::string keyName;
    /// The tables' revision that the operator's work is based on.
    std::optional<std::uint64_t> baseRevision;
    /// File with the configuration document in force, or empty.
    std::string against;
};

/// Reads the state page of a host of a gateway fleet, by its control address.
using StatePageReader = std::function<Result<std::string>(const Endpoint &controlAddress)>;

/// Checks the configuration document of a gateway fleet in a file, and prints what it finds.
using DocumentCheck = std::function<ExitCode(const std::string &file, const Options &options, std::ostream &output, std::ostream &errors)>;

/// Opens a session when a command needs one; returns nullptr after a message if the settings have faults.
using SessionFactory = std::function<Session *()>;

/// Runs one command of rhubarbtillerctl; \p words holds the command and its arguments.
///
/// Precondition: none. Thread safety: one thread.
ExitCode runCommand(const std::vector<std::string> &words,
                    const Options &options,
                    const SessionFactory &openSession,
                    const StatePageReader &readStatePage,
                    const DocumentCheck &checkDocument,
                    std::ostream &output,
                    std::ostream &errors);

/// Returns the help text. Precondition: none. Thread safety: any thread.
std::string usageText();

} // namespace rhubarbtiller::operatorclient
