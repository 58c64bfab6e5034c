#include <rhubarbtiller/operatorclient/session.h>

#include "blocking.h"

#include <rhubarbtiller/config/codec.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ostream>
#include <thread>

namespace rhubarbtiller::operatorclient {

static constexpr Duration StoreTimeout = std::chrono::seconds(5);
static constexpr Duration HostTimeout = std::chrono::seconds(1);

/// System changes such as joining hosts may come in between; more tries than this mean that something else is wrong.
static constexpr int MaxTries = 20;

/// A store that answers again within this time tells whether the change was written.
static constexpr Duration ResolveTime = std::chrono::seconds(30);

/// Acceptance takes about 4 s; hosts that are being replaced can delay it.
static constexpr Duration AcceptanceTime = std::chrono::seconds(15);
static constexpr std::chrono::milliseconds AcceptancePoll{200};

/// Hosts asked at once for the settled version; any one that knows it is enough.
static constexpr std::size_t HostsAsked = 5;

static constexpr std::size_t ChangeIdDigits = 24;
static constexpr std::size_t SecretDigits = 40;

Session::Session(settings::OperatorSettings operatorSettings,
                 const Clock &systemClock,
                 http::HttpClient &httpClient,
                 tablestore::ChangeLogStore &changeLog,
                 RandomSource &random,
                 std::ostream &messages)
    : settings(std::move(operatorSettings))
    , clock(systemClock)
    , client(httpClient)
    , store(changeLog)
    , randomSource(random)
    , output(messages)
{
}

std::string Session::newSecret()
{
    return "rt_" + randomHex(this->randomSource, SecretDigits);
}

Result<std::shared_ptr<const config::Snapshot>> Session::load()
{
    auto head = blockOn<Result<tablestore::LogHead>>([&](auto handler) {
        this->store.readHead(this->clock.now() + StoreTimeout, std::move(handler));
    });
    if (!head) {
        return head.error();
    }
    auto snapshot = std::make_shared<const config::Snapshot>();
    if (head->snapshotVersion.count() > 0) {
        auto stored = blockOn<Result<std::shared_ptr<const config::Snapshot>>>([&](auto handler) {
            this->store.readSnapshot(*head, this->clock.now() + StoreTimeout, std::move(handler));
        });
        if (stored) {
            snapshot = std::move(stored).value();
        }
    }
    while (snapshot->version() < head->version) {
        auto changes = blockOn<Result<std::vector<config::Change>>>([&](auto handler) {
            this->store.readChanges(snapshot->version(), head->version, this->clock.now() + StoreTimeout, std::move(handler));
        });
        if (!changes) {
            return changes.error();
        }
        for (const auto &change : changes.value()) {
            snapshot = snapshot->apply(change);
        }
    }
    return snapshot;
}

ExitCode Session::change(const EditFunction &edit)
{
    this->mayBeWritten = false;
    for (int number = 0; number < MaxTries; ++number) {
        const auto snapshot = this->load();
        if (!snapshot) {
            this->output << "the store cannot be read: " << snapshot.error().message() << "; nothing was changed\n";
            return ExitCode::StoreUnavailable;
        }
        auto wanted = edit(*snapshot.value());
        if (!wanted.message.empty()) {
            this->output << wanted.message << "\n";
        }
        if (wanted.refusal != ExitCode::Success || wanted.mutations.empty()) {
            return wanted.refusal;
        }
        config::Change change;
        change.id = ChangeId(randomHex(this->randomSource, ChangeIdDigits));
        change.author = this->settings.author;
        change.mutations = std::move(wanted.mutations);
        const auto base = snapshot.value()->version();
        change.version = ConfigVersion(base.count() + 1);
        // A change that hosts cannot decode would keep them from applying any later one.
        if (const auto decoded = config::decodeChange(config::encodeChange(change)); !decoded) {
            this->output << "the change holds a value that is not allowed: " << decoded.error().message() << "; nothing was changed\n";
            return ExitCode::Invalid;
        }
        this->mayBeWritten = true;
        const auto result = blockOn<tablestore::AppendResult>([&](auto handler) {
            this->store.append(change, base, this->clock.now() + StoreTimeout, std::move(handler));
        });
        switch (result.outcome) {
        case tablestore::AppendOutcome::Committed:
            return this->waitForAcceptance(change.version);
        case tablestore::AppendOutcome::Conflict:
            this->mayBeWritten = false;
            continue;
        case tablestore::AppendOutcome::Unresolved:
            return this->resolve(change);
        }
    }
    this->output << "other changes came in between " << MaxTries << " times; nothing was changed\n";
    return ExitCode::Conflict;
}

ExitCode Session::resolve(const config::Change &change)
{
    const auto deadline = this->clock.now() + ResolveTime;
    this->output << "the store did not answer; asking whether change " << change.id.text() << " was written\n";
    while (this->clock.now() < deadline) {
        const auto result = blockOn<tablestore::AppendResult>([&](auto handler) {
            this->store.resolve(change, this->clock.now() + StoreTimeout, std::move(handler));
        });
        if (result.outcome == tablestore::AppendOutcome::Committed) {
            return this->waitForAcceptance(change.version);
        }
        if (result.outcome == tablestore::AppendOutcome::Conflict) {
            this->output << "change " << change.id.text() << " was not written, since another change came first\n";
            return ExitCode::Conflict;
        }
        std::this_thread::sleep_for(AcceptancePoll);
    }
    this->output << "it is not known whether change " << change.id.text() << " was written as version " << change.version.count()
                 << ", because the store does not answer\n";
    return ExitCode::StoreUnavailable;
}

Result<http::HttpResponse> Session::ask(const config::Host &host, const std::string &method, const std::string &target, Duration timeout)
{
    auto outcome = blockOn<std::shared_ptr<http::HttpOutcome>>([&](auto handler) {
        http::HttpCall call;
        call.server = host.operatorAddress;
        call.request = {method, target, {{"Authorization", "Bearer " + this->settings.operatorCredential}}, {}};
        call.deadline = this->clock.now() + timeout;
        this->client.send(std::move(call), [handler](http::HttpOutcome result) {
            handler(std::make_shared<http::HttpOutcome>(std::move(result)));
        });
    });
    return std::move(outcome->response);
}

static std::uint64_t settledVersionOf(const std::string &state)
{
    const auto document = nlohmann::json::parse(state, nullptr, false);
    if (!document.is_object()) {
        return 0;
    }
    return document.value("settledVersion", std::uint64_t{0});
}

bool Session::isSettled(const config::Snapshot &snapshot, ConfigVersion version, std::size_t first)
{
    std::vector<config::Host> hosts;
    hosts.reserve(snapshot.hosts().size());
    for (const auto &[id, host] : snapshot.hosts()) {
        hosts.push_back(host);
    }
    for (std::size_t i = 0; i < std::min(HostsAsked, hosts.size()); ++i) {
        const auto response = this->ask(hosts[(first + i) % hosts.size()], "GET", "/state", HostTimeout);
        if (response && response->status == 200 && settledVersionOf(response->body) >= version.count()) {
            return true;
        }
    }
    return false;
}

ExitCode Session::waitForAcceptance(ConfigVersion version)
{
    const auto deadline = this->clock.now() + AcceptanceTime;
    std::size_t first = 0;
    while (this->clock.now() < deadline) {
        const auto snapshot = this->load();
        if (snapshot && snapshot.value()->hosts().empty()) {
            this->output << "version " << version.count() << " is accepted; no host is in the roster\n";
            return ExitCode::Success;
        }
        // Others are asked in each round: hosts that do not answer must not hide that the version is settled.
        if (snapshot && this->isSettled(*snapshot.value(), version, first)) {
            this->output << "version " << version.count() << " is accepted: in force on every host that serves\n";
            return ExitCode::Success;
        }
        first += HostsAsked;
        std::this_thread::sleep_for(AcceptancePoll);
    }
    this->output << "version " << version.count() << " is written and will come into force, but is not yet accepted\n";
    return ExitCode::NotYetAccepted;
}

std::vector<HostReport> Session::askHosts(const config::Snapshot &snapshot)
{
    std::vector<std::thread> threads;
    threads.reserve(snapshot.hosts().size());
    std::vector<HostReport> reports;
    reports.reserve(snapshot.hosts().size());
    for (const auto &[id, host] : snapshot.hosts()) {
        reports.push_back({host, {}, {}});
    }
    for (auto &report : reports) {
        threads.emplace_back([this, &report] {
            const auto response = this->ask(report.host, "GET", "/state", HostTimeout);
            if (!response) {
                report.error = response.error().message();
            } else if (response->status != 200) {
                report.error = "status " + std::to_string(response->status);
            } else {
                report.state = response->body;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return reports;
}

ExitCode Session::drainHost(const HostId &hostId)
{
    const auto snapshot = this->load();
    if (!snapshot) {
        this->output << "the store cannot be read: " << snapshot.error().message() << "\n";
        return ExitCode::StoreUnavailable;
    }
    const auto host = snapshot.value()->hosts().find(hostId);
    if (host == snapshot.value()->hosts().end()) {
        this->output << "no host " << hostId.text() << " is in the roster\n";
        return ExitCode::NotFound;
    }
    const auto response = this->ask(host->second, "POST", "/drain", HostTimeout);
    if (!response || response->status != 202) {
        this->output << "host " << hostId.text() << " did not take the order\n";
        return ExitCode::NotFound;
    }
    this->output << "host " << hostId.text() << " is draining\n";
    return ExitCode::Success;
}

} // namespace rhubarbtiller::operatorclient
