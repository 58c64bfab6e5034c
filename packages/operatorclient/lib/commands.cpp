#include <rhubarbtiller/operatorclient/commands.h>

#include "gatewaystatus.h"
#include "tablefolder.h"

#include <rhubarbtiller/base/digest.h>
#include <rhubarbtiller/config/tables.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <iomanip>
#include <ostream>
#include <sstream>

using nlohmann::json;

namespace rhubarbtiller::operatorclient {

namespace {

/// What a command works with.
struct Context
{
    const std::vector<std::string> &arguments;
    const Options &options;
    const SessionFactory &openSession;
    const StatePageReader &readStatePage;
    const DocumentCheck &checkDocument;
    std::ostream &output;
    std::ostream &errors;
};

/// One command, as the command line and the help text know it.
struct Command
{
    const char *name;
    const char *argument;
    const char *help;
    ExitCode (*run)(const Context &context);
};

} // namespace

static std::optional<config::Tables> readCheckedTables(const Context &context)
{
    config::Problems problems;
    auto tables = readTableFolder(context.arguments.front(), problems);
    if (problems.empty()) {
        problems = config::checkTables(tables);
    }
    for (const auto &problem : problems) {
        context.errors << problem.describe() << "\n";
    }
    if (!problems.empty()) {
        return std::nullopt;
    }
    return tables;
}

static ExitCode check(const Context &context)
{
    std::error_code error;
    if (const auto &path = context.arguments.front(); !std::filesystem::is_directory(path, error)) {
        return context.checkDocument(path, context.options, context.output, context.errors);
    }
    const auto tables = readCheckedTables(context);
    if (!tables) {
        return ExitCode::Invalid;
    }
    context.output << tables->routes.size() << " routes and " << tables->pools.size() << " pools are valid\n";
    return ExitCode::Success;
}

static const char *kindWord(config::RowDifference::Kind kind)
{
    switch (kind) {
    case config::RowDifference::Kind::Added:
        return "added";
    case config::RowDifference::Kind::Changed:
        return "changed";
    case config::RowDifference::Kind::Removed:
        break;
    }
    return "removed";
}

static void printDifferences(const std::vector<config::RowDifference> &differences, const Context &context)
{
    if (context.options.asJson) {
        json list = json::array();
        for (const auto &difference : differences) {
            list.push_back({{"kind", kindWord(difference.kind)},
                            {"table", config::tableName(difference.table)},
                            {"key", difference.primaryKey},
                            {"before", json::parse(difference.before, nullptr, false)},
                            {"after", json::parse(difference.after, nullptr, false)}});
        }
        context.output << list.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
        return;
    }
    for (const auto &difference : differences) {
        context.output << kindWord(difference.kind) << " " << config::tableName(difference.table) << " " << difference.primaryKey << "\n";
        if (!difference.before.empty()) {
            context.output << "  - " << difference.before << "\n";
        }
        if (!difference.after.empty()) {
            context.output << "  + " << difference.after << "\n";
        }
    }
}

static ExitCode diff(const Context &context)
{
    const auto tables = readCheckedTables(context);
    if (!tables) {
        return ExitCode::Invalid;
    }
    auto *const session = context.openSession();
    if (!session) {
        return ExitCode::Invalid;
    }
    const auto snapshot = session->load();
    if (!snapshot) {
        context.errors << "the store cannot be read: " << snapshot.error().message() << "\n";
        return ExitCode::StoreUnavailable;
    }
    const auto differences = config::compareTables(*snapshot.value(), *tables);
    printDifferences(differences, context);
    if (!context.options.asJson) {
        context.output << differences.size() << " rows differ from revision " << snapshot.value()->tablesVersion().count() << "\n";
    }
    return ExitCode::Success;
}

/// Runs an edit on the newest configuration and waits until it is accepted.
static ExitCode changeWith(const Context &context, const EditFunction &edit)
{
    auto *const session = context.openSession();
    return session ? session->change(edit) : ExitCode::Invalid;
}

static ExitCode apply(const Context &context)
{
    const auto tables = readCheckedTables(context);
    if (!tables) {
        return ExitCode::Invalid;
    }
    // The first look fixes the revision, so that a change of another operator in between is noticed.
    auto base = context.options.baseRevision;
    return changeWith(context, [&](const config::Snapshot &snapshot) -> Edit {
        const auto revision = snapshot.tablesVersion().count();
        if (!base) {
            base = revision;
        }
        if (*base != revision) {
            context.errors << "the tables were changed by another operator: revision " << revision << " is in force, not " << *base << "\n";
            printDifferences(config::compareTables(snapshot, *tables), context);
            return {{}, ExitCode::Conflict, {}};
        }
        auto mutations = config::mutationsFor(snapshot, *tables);
        auto message = std::to_string(mutations.size()) + " rows to change at revision " + std::to_string(revision);
        return {std::move(mutations), ExitCode::Success, std::move(message)};
    });
}

static ExitCode grant(const Context &context)
{
    auto *const session = context.openSession();
    if (!session) {
        return ExitCode::Invalid;
    }
    const OrganisationId id(context.arguments.front());
    const auto &options = context.options;
    const auto secret = session->newSecret();
    const KeyName name(options.keyName.empty() ? id.text() + "-" + secret.substr(secret.size() - 6) : options.keyName);
    const auto code = session->change([&](const config::Snapshot &snapshot) -> Edit {
        const auto *const known = snapshot.findOrganisation(id);
        if (!known && (!options.rate || !options.burst)) {
            return {{}, ExitCode::NotFound, "organisation " + id.text() + " is new: --rate and --burst are needed"};
        }
        config::Organisation row = known ? *known : config::Organisation{id, {}, {}};
        row.rate = RequestRate(options.rate.value_or(row.rate.count()));
        row.burst = RequestCount(options.burst.value_or(row.burst.count()));
        const config::KeyGrant grantRow{KeyDigest(sha256Hex(secret)), name, id};
        return {{config::PutRow{row}, config::PutRow{grantRow}}, ExitCode::Success, {}};
    });
    // A key that may have been written is shown as well: it cannot be read back later.
    if (session->changeMayBeWritten()) {
        context.output << "key name: " << name.text() << "\nkey: " << secret << "\n";
    }
    return code;
}

static ExitCode withdraw(const Context &context)
{
    const KeyName name(context.arguments.front());
    return changeWith(context, [&](const config::Snapshot &snapshot) -> Edit {
        std::vector<config::Mutation> mutations;
        snapshot.keyTable().forEach([&](const KeyDigest &digest, const config::KeyGrant &row) {
            if (row.name == name) {
                mutations.emplace_back(config::DeleteRow{config::Table::Keys, digest.text()});
            }
        });
        if (mutations.empty()) {
            return {{}, ExitCode::NotFound, "no key has the name " + name.text()};
        }
        return {std::move(mutations), ExitCode::Success, {}};
    });
}

static ExitCode takeDomainOut(const Context &context)
{
    return changeWith(context, [&](const config::Snapshot &) -> Edit {
        const config::DomainWithdrawal row{FailureDomainId(context.arguments.front()), context.options.reason};
        return {{config::PutRow{row}}, ExitCode::Success, {}};
    });
}

static ExitCode returnDomain(const Context &context)
{
    return changeWith(context, [&](const config::Snapshot &snapshot) -> Edit {
        const FailureDomainId domain(context.arguments.front());
        if (!snapshot.isWithdrawn(domain)) {
            return {{}, ExitCode::NotFound, "failure domain " + domain.text() + " is not taken out"};
        }
        return {{config::DeleteRow{config::Table::DomainWithdrawals, domain.text()}}, ExitCode::Success, {}};
    });
}

static bool hasServer(const config::Snapshot &snapshot, const BackendServerId &server)
{
    return std::ranges::any_of(snapshot.pools(), [&server](const auto &entry) {
        return std::ranges::find(entry.second->servers, server, &config::BackendServer::id) != entry.second->servers.end();
    });
}

static ExitCode drainServer(const Context &context)
{
    return changeWith(context, [&](const config::Snapshot &snapshot) -> Edit {
        const BackendServerId server(context.arguments.front());
        if (!hasServer(snapshot, server)) {
            return {{}, ExitCode::NotFound, "no pool has a server " + server.text()};
        }
        return {{config::PutRow{config::ServerDrain{server, context.options.reason}}}, ExitCode::Success, {}};
    });
}

static ExitCode returnServer(const Context &context)
{
    return changeWith(context, [&](const config::Snapshot &snapshot) -> Edit {
        const BackendServerId server(context.arguments.front());
        if (!snapshot.isDraining(server)) {
            return {{}, ExitCode::NotFound, "server " + server.text() + " is not draining"};
        }
        return {{config::DeleteRow{config::Table::ServerDrains, server.text()}}, ExitCode::Success, {}};
    });
}

static ExitCode drainHost(const Context &context)
{
    auto *const session = context.openSession();
    return session ? session->drainHost(HostId(context.arguments.front())) : ExitCode::Invalid;
}

static json statusDocument(const config::Snapshot &snapshot, const std::vector<HostReport> &reports)
{
    json hosts = json::array();
    for (const auto &report : reports) {
        auto state = json::parse(report.state, nullptr, false);
        hosts.push_back({{"id", report.host.id.text()},
                         {"failureDomain", report.host.failureDomain.text()},
                         {"error", report.error},
                         {"state", state.is_discarded() ? json(nullptr) : std::move(state)}});
    }
    json organisations = json::array();
    snapshot.organisationTable().forEach([&organisations](const OrganisationId &id, const config::Organisation &row) {
        organisations.push_back({{"id", id.text()}, {"ratePerSecond", row.rate.count()}, {"burst", row.burst.count()}});
    });
    json withdrawn = json::array();
    for (const auto &[domain, row] : snapshot.withdrawals()) {
        withdrawn.push_back({{"failureDomain", domain.text()}, {"reason", row.reason}});
    }
    json draining = json::array();
    for (const auto &[server, row] : snapshot.drains()) {
        draining.push_back({{"server", server.text()}, {"reason", row.reason}});
    }
    json keys = json::array();
    snapshot.keyTable().forEach([&keys](const KeyDigest &, const config::KeyGrant &row) {
        keys.push_back({{"name", row.name.text()}, {"organisation", row.organisation.text()}});
    });
    return {{"version", snapshot.version().count()},
            {"tablesRevision", snapshot.tablesVersion().count()},
            {"hosts", std::move(hosts)},
            {"organisations", std::move(organisations)},
            {"keys", std::move(keys)},
            {"withdrawnDomains", std::move(withdrawn)},
            {"drainingServers", std::move(draining)}};
}

static void printStatus(const json &document, std::ostream &output)
{
    output << "version " << document["version"] << ", tables at revision " << document["tablesRevision"] << "\n";
    output << std::left << std::setw(16) << "host" << std::setw(12) << "domain" << std::setw(10) << "phase" << std::setw(9) << "applied"
           << std::setw(9) << "settled" << std::setw(10) << "fresh ms" << std::setw(7) << "store"
           << "shards\n";
    for (const auto &host : document["hosts"]) {
        output << std::setw(16) << host["id"].get<std::string>() << std::setw(12) << host["failureDomain"].get<std::string>();
        const auto &state = host["state"];
        if (!state.is_object()) {
            output << "no answer: " << host["error"].get<std::string>() << "\n";
            continue;
        }
        const auto ownsShard = [](const json &shard) {
            return shard.value("owned", false);
        };
        output << std::setw(10) << state.value("phase", "?") << std::setw(9) << state.value("appliedVersion", 0) << std::setw(9)
               << state.value("settledVersion", 0) << std::setw(10) << state.value("freshForMs", 0) << std::setw(7)
               << (state.value("storeReachable", false) ? "ok" : "down")
               << std::count_if(state["shards"].begin(), state["shards"].end(), ownsShard) << "\n";
        for (const auto &ejection : state["ejections"]) {
            output << "  ejected: " << ejection.value("server", "") << ": " << ejection.value("evidence", "") << "\n";
        }
    }
    for (const auto &domain : document["withdrawnDomains"]) {
        output << "failure domain out: " << domain["failureDomain"].get<std::string>() << " " << domain["reason"].get<std::string>()
               << "\n";
    }
    for (const auto &server : document["drainingServers"]) {
        output << "server draining: " << server["server"].get<std::string>() << " " << server["reason"].get<std::string>() << "\n";
    }
}

static ExitCode status(const Context &context)
{
    auto *const session = context.openSession();
    if (!session) {
        return ExitCode::Invalid;
    }
    const auto snapshot = session->load();
    if (!snapshot) {
        context.errors << "the store cannot be read: " << snapshot.error().message() << "\n";
        return ExitCode::StoreUnavailable;
    }
    const auto document = statusDocument(*snapshot.value(), session->askHosts(*snapshot.value()));
    if (context.options.asJson) {
        context.output << document.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
        return ExitCode::Success;
    }
    printStatus(document, context.output);
    return ExitCode::Success;
}

/// Returns the parts of a text between commas.
static std::vector<std::string> splitAtCommas(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

static ExitCode gatewayStatus(const Context &context)
{
    json hosts = json::array();
    bool hasAnswer = false;
    for (const auto &address : splitAtCommas(context.arguments.front())) {
        json host{{"address", address}};
        const auto page = context.readStatePage(Endpoint(address));
        auto state = page ? json::parse(page.value(), nullptr, false) : json();
        if (state.is_object()) {
            host["state"] = std::move(state);
            hasAnswer = true;
        } else {
            host["error"] = page ? std::string("not a state page") : page.error().message();
        }
        hosts.push_back(std::move(host));
    }
    if (context.options.asJson) {
        context.output << hosts.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
    } else {
        printGatewayStatus(hosts, context.output);
    }
    return hasAnswer ? ExitCode::Success : ExitCode::NotFound;
}

static constexpr Command Commands[] = {
    {"check",
     "FOLDER|FILE",
     "check routes.json and pools.json without the store, or the configuration of a gateway fleet (--against, --json)",
     check},
    {"diff", "FOLDER", "show how the folder differs from the tables in force", diff},
    {"apply", "FOLDER", "bring the folder's tables into force (--base REVISION refuses if others changed them)", apply},
    {"grant", "ORGANISATION", "grant a new key (--rate and --burst for a new organisation or a new rate, --name)", grant},
    {"withdraw", "KEY-NAME", "withdraw a key", withdraw},
    {"domain-out", "DOMAIN", "take a failure domain out (--reason)", takeDomainOut},
    {"domain-in", "DOMAIN", "return a failure domain", returnDomain},
    {"server-drain", "SERVER", "give a backend server no new work (--reason)", drainServer},
    {"server-return", "SERVER", "give a backend server work again", returnServer},
    {"host-drain", "HOST", "have a host begin its planned stop", drainHost},
    {"gateway-status",
     "ADDRESS,...",
     "show what hosts of a gateway fleet believe, by their control addresses (--json; needs no settings)",
     gatewayStatus},
    {"status", nullptr, "show the version in force on each host, ejections, rates (--json)", status},
};

std::string usageText()
{
    std::string text = "rhubarbtillerctl --settings=FILE [options] COMMAND [ARGUMENT]\n\n";
    for (const auto &command : Commands) {
        std::string line = std::string("  ") + command.name + " " + (command.argument ? command.argument : "");
        line.resize(std::max<std::size_t>(line.size(), 28), ' ');
        text += line + command.help + "\n";
    }
    text += "\nExit codes: 0 done, 1 usage, 2 faults in settings or tables, 3 store unavailable,\n"
            "4 conflict with another operator, 5 written but not yet accepted, 6 not found\n"
            "check FILE: 0 clean, 1 warnings only, 2 errors, 3 unreadable\n";
    return text;
}

ExitCode runCommand(const std::vector<std::string> &words,
                    const Options &options,
                    const SessionFactory &openSession,
                    const StatePageReader &readStatePage,
                    const DocumentCheck &checkDocument,
                    std::ostream &output,
                    std::ostream &errors)
{
    const auto *const command = words.empty() ? std::end(Commands) : std::ranges::find_if(Commands, [&words](const Command &candidate) {
        return candidate.name == words.front();
    });
    const std::size_t wanted = command == std::end(Commands) || !command->argument ? 1 : 2;
    if (command == std::end(Commands) || words.size() != wanted) {
        errors << usageText();
        return ExitCode::Usage;
    }
    const std::vector<std::string> arguments(words.begin() + 1, words.end());
    return command->run({arguments, options, openSession, readStatePage, checkDocument, output, errors});
}

} // namespace rhubarbtiller::operatorclient
