#pragma once

#include <rhubarbtiller/base/random.h>
#include <rhubarbtiller/config/snapshot.h>
#include <rhubarbtiller/http/httpclient.h>
#include <rhubarbtiller/operatorclient/exitcode.h>
#include <rhubarbtiller/settings/settings.h>
#include <rhubarbtiller/tablestore/changelogstore.h>

#include <functional>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rhubarbtiller::operatorclient {

/// The state of one host, as it reported it.
struct HostReport
{
    config::Host host;
    /// The JSON document of the host's state page; empty if the host did not answer.
    std::string state;
    std::string error;
};

/// What a change is made of, decided on the newest snapshot; nothing if it must not be made.
struct Edit
{
    std::vector<config::Mutation> mutations;
    ExitCode refusal = ExitCode::Success;
    std::string message;
};

using EditFunction = std::function<Edit(const config::Snapshot &snapshot)>;

/// An operator's connection to the platform's store and to the hosts.
///
/// Thread safety: one thread; the calls block. \p client does its work on other threads.
class Session
{
public:
    /// Precondition: the references outlive the session.
    Session(settings::OperatorSettings operatorSettings,
            const Clock &systemClock,
            http::HttpClient &httpClient,
            tablestore::ChangeLogStore &changeLog,
            RandomSource &random,
            std::ostream &messages);

    /// Reads the newest configuration. Precondition: none.
    Result<std::shared_ptr<const config::Snapshot>> load();

    /// Makes a change and waits until it is accepted.
    ///
    /// \p edit is asked again whenever another change came in between. Precondition: none.
    ExitCode change(const EditFunction &edit);

    /// Returns whether the last change() may stand in the log. Precondition: change() was called.
    bool changeMayBeWritten() const
    {
        return this->mayBeWritten;
    }

    /// Asks all hosts of the roster for their state. Precondition: none.
    std::vector<HostReport> askHosts(const config::Snapshot &snapshot);

    /// Has a host begin its planned stop. Precondition: none.
    ExitCode drainHost(const HostId &host);

    /// Returns random hexadecimal digits for a new key. Precondition: none.
    std::string newSecret();

private:
    Result<http::HttpResponse> ask(const config::Host &host, const std::string &method, const std::string &target, Duration timeout);
    ExitCode resolve(const config::Change &change);
    bool isSettled(const config::Snapshot &snapshot, ConfigVersion version, std::size_t first);
    ExitCode waitForAcceptance(ConfigVersion version);

    settings::OperatorSettings settings;
    const Clock &clock;
    http::HttpClient &client;
    tablestore::ChangeLogStore &store;
    RandomSource &randomSource;
    std::ostream &output;
    bool mayBeWritten = false;
};

} // namespace rhubarbtiller::operatorclient
