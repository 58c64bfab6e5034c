#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <set>
#include <sstream>
#include <stdexcept>

namespace rhubarbtiller::fleettests {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyClock = std::chrono::steady_clock;

static constexpr milliseconds PollInterval{20};
static constexpr const char *OperatorCredential = "fleet-test-operator-credential";
static constexpr const char *Domains[] = {"east", "west", "north"};
static constexpr int SeatsServers = 6;
static constexpr int ShardCount = 16;

bool waitUntil(milliseconds bound, const std::function<bool()> &condition)
{
    const auto deadline = SteadyClock::now() + bound;
    while (!condition()) {
        if (SteadyClock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

std::uint64_t runSeed(const std::string &caseName)
{
    const char *wanted = std::getenv("RHUBARBTILLER_SEED");
    const std::uint64_t seed = wanted ? std::stoull(wanted) : std::random_device()();
    std::cout << "case \"" << caseName << "\" seed " << seed << std::endl;
    return seed;
}

static std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

ConfigVersion OperatorResult::version() const
{
    static constexpr std::string_view Word = "version ";
    const auto at = this->output.rfind(Word);
    return ConfigVersion(at == std::string::npos ? 0 : std::strtoull(this->output.c_str() + at + Word.size(), nullptr, 10));
}

Fleet::Fleet(std::uint64_t runSeed, FleetOptions fleetOptions) : seed(runSeed), options(fleetOptions)
{
    std::string name = (std::filesystem::temp_directory_path() / "fleet-XXXXXX").string();
    if (!::mkdtemp(name.data())) {
        throw std::runtime_error("no folder for the logs");
    }
    this->folder = name;
    this->platform = std::make_unique<Process>(
        std::vector<std::string>{PLATFORM_PROGRAM}, this->folder / "platform.out", this->folder / "platform.err");
    this->platformAddress = this->waitForField(*this->platform, this->folder / "platform.out", "address");
    for (int number = 0; number < ServerCount; ++number) {
        const auto id = "b" + std::to_string(number);
        this->servers.push_back(
            std::make_unique<Process>(std::vector<std::string>{BACKEND_PROGRAM,
                                                               "--id=" + id,
                                                               "--slots=" + std::to_string(this->options.warmSlots),
                                                               "--cold_slots=1",
                                                               "--warm_up_ms=" + std::to_string(this->options.warmUpTime.count()),
                                                               "--service_time_ms=" + std::to_string(this->options.serviceTime.count())},
                                      this->folder / (id + ".out"),
                                      this->folder / (id + ".err")));
        this->recorder.describe(BackendServerId(id),
                                {PoolName(number < SeatsServers ? "seats" : "fees"), FailureDomainId(Domains[number % 3]), SlotCount(1)});
    }
    for (int number = 0; number < ServerCount; ++number) {
        this->serverAddresses.push_back(this->waitForField(
            *this->servers[static_cast<std::size_t>(number)], this->folder / ("b" + std::to_string(number) + ".out"), "address"));
    }
    std::ofstream(this->folder / "ctl.json") << R"({"operatorCredential": ")" << OperatorCredential << R"(", "author": "fleet-test", )"
                                             << R"("platform": )" << this->platformSettings() << "}";
    for (int number = 1; number <= HostCount; ++number) {
        this->startHost(number);
    }
}

Fleet::~Fleet()
{
    this->isEnding = true;
    for (auto &watcher : this->watchers) {
        watcher.join();
    }
    this->keepsLogs = this->keepsLogs || std::getenv("RHUBARBTILLER_KEEP_LOGS");
    this->hosts.clear();
    this->servers.clear();
    this->platform.reset();
    if (this->keepsLogs) {
        std::cout << "logs: " << this->folder.string() << std::endl;
    } else {
        std::filesystem::remove_all(this->folder);
    }
}

std::string Fleet::waitForField(Process &process, const std::filesystem::path &file, const std::string &field)
{
    std::string value;
    waitUntil(seconds(10), [&] {
        const auto text = readFile(file);
        const auto at = text.find(" " + field + "=");
        const auto end = text.find_first_of(" \n", at == std::string::npos ? at : at + 1);
        if (at != std::string::npos && end != std::string::npos) {
            value = text.substr(at + field.size() + 2, end - at - field.size() - 2);
        }
        return !value.empty() || process.exitCode();
    });
    if (value.empty()) {
        this->keepsLogs = true;
        throw std::runtime_error("no " + field + " in " + file.string());
    }
    return value;
}

std::string Fleet::platformSettings() const
{
    const json document
        = {{"tableAddress", this->platformAddress}, {"objectAddress", this->platformAddress}, {"hostListAddress", this->platformAddress}};
    return document.dump();
}

std::string Fleet::logOf(int number) const
{
    const std::lock_guard lock(this->mutex);
    return readFile(this->hosts.at(number).log);
}

HostId Fleet::hostId(int number)
{
    return HostId("h" + std::to_string(number));
}

FailureDomainId Fleet::hostDomain(int number)
{
    return FailureDomainId(Domains[number % 3]);
}

void Fleet::startHost(int number)
{
    const auto id = hostId(number).text();
    const json settings = {{"id", id},
                           {"failureDomain", hostDomain(number).text()},
                           {"callerAddress", "127.0.0.1:0"},
                           {"peerAddress", "127.0.0.1:0"},
                           {"operatorAddress", "127.0.0.1:0"},
                           {"peerCredential", "fleet-test-peer-credential"},
                           {"operatorCredential", OperatorCredential},
                           {"platform", json::parse(this->platformSettings())},
                           {"shardCount", ShardCount}};
    std::ofstream(this->folder / (id + ".json")) << settings.dump();
    // Each start has its own log, because the ports are read from it.
    static std::atomic<int> starts{0};
    const auto log = this->folder / (id + "-" + std::to_string(++starts) + ".log");
    RunningHost next;
    next.log = log;
    next.process
        = std::make_unique<Process>(std::vector<std::string>{HOST_PROGRAM, "--settings=" + (this->folder / (id + ".json")).string()},
                                    this->folder / (id + ".out"),
                                    log);
    next.operatorAddress = this->waitForField(*next.process, log, "operator");
    next.callerAddress = this->waitForField(*next.process, log, "caller");
    const std::lock_guard lock(this->mutex);
    this->hostsByAddress[next.callerAddress] = hostId(number);
    this->hosts[number] = std::move(next);
}

Process &Fleet::host(int number)
{
    const std::lock_guard lock(this->mutex);
    return *this->hosts.at(number).process;
}

std::string Fleet::callerAddress(int number) const
{
    const std::lock_guard lock(this->mutex);
    return this->hosts.at(number).callerAddress;
}

HostId Fleet::hostAt(const std::string &address) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->hostsByAddress.find(address);
    return found == this->hostsByAddress.end() ? HostId() : found->second;
}

json Fleet::hostState(int number)
{
    std::string address;
    {
        const std::lock_guard lock(this->mutex);
        address = this->hosts.at(number).operatorAddress;
    }
    HttpConnection connection(address);
    const auto reply
        = connection.call("GET", "/state", "Authorization: Bearer " + std::string(OperatorCredential) + "\r\n", "", milliseconds(1000));
    return reply.status == 200 ? json::parse(reply.body, nullptr, false) : json();
}

bool Fleet::isServing(int number)
{
    const auto state = this->hostState(number);
    return state.is_object() && state.value("listed", false) && state.value("phase", "") == "serving" && state.value("freshForMs", 0) > 0;
}

void Fleet::writeTables() const
{
    json seats = json::array();
    json fees = json::array();
    for (int number = 0; number < ServerCount; ++number) {
        (number < SeatsServers ? seats : fees)
            .push_back({{"id", "b" + std::to_string(number)},
                        {"address", this->serverAddresses[static_cast<std::size_t>(number)]},
                        {"failureDomain", Domains[number % 3]}});
    }
    const auto pool = [this](const char *name, const json &members) {
        return json{{"name", name},
                    {"slotsPerServer", this->options.warmSlots},
                    {"coldSlots", 1},
                    {"warmUpMs", this->options.warmUpTime.count()},
                    {"floorPercent", 60},
                    {"sensitivity", 0.5},
                    {"servers", members}};
    };
    const json pools = {{"pools", {pool("seats", seats), pool("fees", fees)}}};
    const json routes
        = {{"routes",
            {{{"name", "timetable"},
              {"pathPrefix", "/seats/timetable"},
              {"methods", {"GET"}},
              {"pool", "seats"},
              {"idempotent", true},
              {"timeLimitMs", 1500}},
             {{"name", "holds"}, {"pathPrefix", "/seats/holds"}, {"methods", {"POST"}}, {"pool", "seats"}, {"timeLimitMs", 1500}},
             {{"name", "payments"}, {"pathPrefix", "/fees/payments"}, {"methods", {"POST"}}, {"pool", "fees"}, {"timeLimitMs", 1500}}}}};
    std::filesystem::create_directories(this->folder / "tables");
    std::ofstream(this->folder / "tables" / "routes.json") << routes.dump();
    std::ofstream(this->folder / "tables" / "pools.json") << pools.dump();
}

OperatorResult Fleet::runOperator(const std::vector<std::string> &words)
{
    const auto file = this->folder / ("ctl-" + std::to_string(++this->operatorRuns) + ".out");
    std::vector<std::string> command = {OPERATOR_PROGRAM, "--settings=" + (this->folder / "ctl.json").string()};
    command.insert(command.end(), words.begin(), words.end());
    OperatorResult result;
    result.code = Process(command, file, file).wait();
    result.endedAt = std::chrono::system_clock::now();
    result.output = readFile(file);
    return result;
}

/// A change that gives work again may be in force as soon as it is written, before the operator hears of its acceptance.
static bool givesWork(testing::ConfigurationEvent event)
{
    return event == testing::ConfigurationEvent::KeyGranted || event == testing::ConfigurationEvent::DomainReturned
        || event == testing::ConfigurationEvent::ServerReturned;
}

OperatorResult Fleet::change(const std::vector<std::string> &words, testing::ConfigurationEvent event, const std::string &subject)
{
    const auto beganAt = std::chrono::system_clock::now();
    auto result = this->runOperator(words);
    if (result.code == 0) {
        this->recorder.record(testing::ConfigurationRecord{event, subject, givesWork(event) ? beganAt : result.endedAt});
        this->recorder.record(testing::AcceptedVersionRecord{result.version(), result.endedAt});
    } else {
        std::cout << "operator's change of " << subject << " ended with " << result.code << ": " << result.output << std::endl;
    }
    return result;
}

std::vector<GrantedKey> Fleet::configure(const std::vector<GrantedKey> &wanted, double rate, double burst)
{
    const auto begin = SteadyClock::now();
    for (int number = 1; number <= HostCount; ++number) {
        if (!waitUntil(seconds(20), [this, number] {
                return this->isServing(number);
            })) {
            this->keepsLogs = true;
            throw std::runtime_error("host " + hostId(number).text() + " does not serve");
        }
    }
    this->writeTables();
    auto keys = wanted;
    std::vector<std::thread> operators;
    std::atomic<int> faults{0};
    operators.emplace_back([&] {
        faults += this->runOperator({"apply", (this->folder / "tables").string()}).code;
    });
    for (auto &key : keys) {
        operators.emplace_back([&] {
            const auto result = this->runOperator({"grant",
                                                   key.organisation.text(),
                                                   "--rate=" + std::to_string(rate),
                                                   "--burst=" + std::to_string(burst),
                                                   "--name=" + key.name.text()});
            faults += result.code;
            const auto at = result.output.find("key: ");
            key.secret = at == std::string::npos ? "" : result.output.substr(at + 5, result.output.find('\n', at) - at - 5);
        });
    }
    for (auto &each : operators) {
        each.join();
    }
    if (faults != 0) {
        this->keepsLogs = true;
        throw std::runtime_error("the tables or keys were not accepted");
    }
    json secrets = json::array();
    for (const auto &key : keys) {
        secrets.push_back(key.secret);
    }
    for (int number = 0; number < ServerCount; ++number) {
        this->controlServer(number, "POST", "/control/settings", json{{"secrets", secrets}}.dump());
    }
    // A new owner gives a server its first work after the lease and the time limit of the owner before; then it is warmed up.
    const bool isWarm = waitUntil(seconds(20), [this] {
        std::set<std::string> warm;
        for (int number = 1; number <= HostCount; ++number) {
            const auto state = this->hostState(number);
            for (const auto &server : state.is_object() ? state.at("servers") : json::array()) {
                if (server.at("limit").get<std::uint32_t>() > 0) {
                    warm.insert(server.at("server").get<std::string>());
                }
            }
        }
        return warm.size() == ServerCount;
    });
    if (!isWarm) {
        this->keepsLogs = true;
        throw std::runtime_error("not every server has an owner that gives it work");
    }
    std::cout << "fleet configured after " << std::chrono::duration_cast<milliseconds>(SteadyClock::now() - begin).count() << " ms"
              << std::endl;
    return keys;
}

HttpReply Fleet::controlServer(int number, const std::string &method, const std::string &path, const std::string &body)
{
    return HttpConnection(this->serverAddresses.at(static_cast<std::size_t>(number))).call(method, path, "", body);
}

HttpReply Fleet::controlPlatform(const std::string &method, const std::string &path, const std::string &body)
{
    return HttpConnection(this->platformAddress).call(method, path, "", body);
}

std::vector<json> Fleet::executions(int number)
{
    const auto reply = this->controlServer(number, "GET", "/control/executions");
    const auto document = json::parse(reply.body, nullptr, false);
    if (!document.is_object()) {
        throw std::runtime_error("server b" + std::to_string(number) + " does not tell its executions");
    }
    return document.at("executions").get<std::vector<json>>();
}

void Fleet::watchHost(int number)
{
    while (!this->isEnding) {
        // The request reaches the host after this moment, so that a pause of the host makes no version look newer than it is.
        const auto at = std::chrono::system_clock::now();
        const auto state = this->hostState(number);
        if (state.is_object() && state.value("freshForMs", 0) > 0) {
            const ConfigVersion version(state.at("appliedVersion").get<std::uint64_t>());
            this->recorder.record(testing::VersionInForceRecord{hostId(number), version, at});
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

void Fleet::watchVersions()
{
    for (int number = 1; number <= HostCount; ++number) {
        this->watchers.emplace_back([this, number] {
            this->watchHost(number);
        });
    }
}

History Fleet::finish()
{
    this->isEnding = true;
    for (auto &watcher : this->watchers) {
        watcher.join();
    }
    this->watchers.clear();
    for (int number = 0; number < ServerCount; ++number) {
        const bool isIdle = waitUntil(seconds(5), [this, number] {
            const auto state = json::parse(this->controlServer(number, "GET", "/control/state").body, nullptr, false);
            return state.is_object() && state.at("running") == 0;
        });
        if (!isIdle) {
            throw std::runtime_error("server b" + std::to_string(number) + " still works");
        }
        for (const auto &entry : this->executions(number)) {
            testing::ExecutionRecord record;
            record.server = BackendServerId("b" + std::to_string(number));
            record.tag = testing::CallTag(entry.at("callerTag").get<std::string>());
            record.organisation = OrganisationId(entry.at("organisation").get<std::string>());
            record.concurrency = entry.at("concurrency").get<std::uint32_t>();
            record.wasCold = entry.at("wasCold").get<bool>();
            record.containsSecret = entry.at("containsSecret").get<bool>();
            record.startedAt = WallTime(std::chrono::microseconds(entry.at("startedAtUs").get<std::int64_t>()));
            this->recorder.record(record);
        }
    }
    for (auto &[number, running] : this->hosts) {
        if (const auto code = running.process->exitCode()) {
            std::cout << "host " << hostId(number).text() << " ended by itself with " << *code << std::endl;
            this->hasUnexpectedEnd = true;
        }
    }
    auto history = this->recorder.history();
    std::cout << summary(history) << std::endl;
    return history;
}

static std::int64_t millisecondsOf(WallTime at)
{
    return std::chrono::duration_cast<milliseconds>(at.time_since_epoch()).count();
}

static void printCall(const History &history, const std::string &tag)
{
    for (const auto &call : history.calls) {
        if (call.tag.text() == tag) {
            std::cout << "    " << millisecondsOf(call.sentAt) << " sent to " << call.host.text() << " with " << call.key.text() << "\n";
        }
    }
    for (const auto &execution : history.executions) {
        if (execution.tag.text() == tag) {
            std::cout << "    " << millisecondsOf(execution.startedAt) << " ran on " << execution.server.text() << "\n";
        }
    }
    for (const auto &answer : history.answers) {
        if (answer.tag.text() == tag) {
            std::cout << "    " << millisecondsOf(answer.receivedAt) << " answer\n";
        }
    }
    for (const auto &refusal : history.refusals) {
        if (refusal.tag.text() == tag) {
            std::cout << "    " << millisecondsOf(refusal.receivedAt) << " refusal " << refusal.status << " " << refusal.reason << "\n";
        }
    }
    for (const auto &broken : history.brokenCalls) {
        if (broken.tag.text() == tag) {
            std::cout << "    " << millisecondsOf(broken.at) << " broken\n";
        }
    }
}

bool Fleet::isClean(const History &history, const std::vector<Violation> &violations)
{
    static constexpr std::size_t Printed = 10;
    for (std::size_t position = 0; position < std::min(Printed, violations.size()); ++position) {
        const auto &violation = violations[position];
        std::cout << violation.invariant << ": " << violation.description << "\n";
        std::istringstream words(violation.description);
        for (std::string word; words >> word;) {
            printCall(history, word);
        }
    }
    if (!violations.empty()) {
        std::cout << violations.size() << " violations, seed " << this->seed << std::endl;
    }
    const bool isClean = violations.empty() && !this->hasUnexpectedEnd;
    this->keepsLogs = this->keepsLogs || !isClean;
    return isClean;
}

std::string summary(const History &history)
{
    std::map<std::string, std::size_t> counts;
    for (const auto &refusal : history.refusals) {
        ++counts["refused " + std::to_string(refusal.status) + " " + refusal.reason];
    }
    for (const auto &broken : history.brokenCalls) {
        ++counts[broken.wasConnected ? "broken" : "not connected"];
    }
    std::string text = "calls " + std::to_string(history.calls.size()) + ", answers " + std::to_string(history.answers.size())
        + ", executions " + std::to_string(history.executions.size());
    for (const auto &[outcome, count] : counts) {
        text += ", " + outcome + " " + std::to_string(count);
    }
    return text;
}

/// The state of one caller's thread.
struct Callers::Caller
{
    int number = 0;
    std::mt19937_64 random;
    std::map<std::string, std::unique_ptr<HttpConnection>> connections;
    std::vector<std::string> addresses;
    SteadyClock::time_point addressesExpireAt;
    std::uint64_t calls = 0;

    HttpConnection &connectionTo(const std::string &address)
    {
        auto &connection = this->connections[address];
        if (!connection) {
            connection = std::make_unique<HttpConnection>(address);
        }
        return *connection;
    }
};

static std::atomic<std::uint64_t> callerGroups{0};

Callers::Callers(Fleet &callersFleet, CallerOptions callerOptions)
    : fleet(callersFleet), options(std::move(callerOptions)), group(++callerGroups)
{
    for (int number = 0; number < this->options.threads; ++number) {
        this->threads.emplace_back([this, number] {
            this->run(number);
        });
    }
}

Callers::~Callers()
{
    this->stop();
}

void Callers::stop()
{
    this->isEnding = true;
    for (auto &thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

std::uint64_t Callers::refused(const std::string &reason) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->refusals.find(reason);
    return found == this->refusals.end() ? 0 : found->second;
}

void Callers::run(int number)
{
    Caller caller;
    caller.number = number;
    caller.random.seed(this->fleet.seed ^ (this->group << 32U) ^ static_cast<std::uint64_t>(number));
    auto nextCall = SteadyClock::now();
    while (!this->isEnding) {
        this->callOnce(caller);
        nextCall = std::max(nextCall + this->options.interval, SteadyClock::now());
        std::this_thread::sleep_until(nextCall);
    }
}

bool Callers::findAddresses(Caller &caller)
{
    // An address that the system named is asked again as long as it is valid; the first one comes from outside.
    std::vector<std::string> asked = caller.addresses;
    for (int number = 1; number <= Fleet::HostCount; ++number) {
        asked.push_back(this->fleet.callerAddress(number));
    }
    std::shuffle(asked.begin() + static_cast<std::ptrdiff_t>(caller.addresses.size()), asked.end(), caller.random);
    for (const auto &address : asked) {
        const auto reply = caller.connectionTo(address).call(
            "GET", "/.well-known/rhubarbtiller/addresses", "X-Api-Key: " + this->options.key.secret + "\r\n", "", milliseconds(500));
        const auto document = reply.status == 200 ? json::parse(reply.body, nullptr, false) : json();
        if (!document.is_object() || document.at("addresses").empty()) {
            continue;
        }
        caller.addresses.clear();
        for (const auto &entry : document.at("addresses")) {
            caller.addresses.push_back(entry.at("address").get<std::string>());
        }
        caller.addressesExpireAt = SteadyClock::now() + seconds(5);
        return true;
    }
    return false;
}

std::string Callers::chooseAddress(Caller &caller)
{
    if (this->options.onlyHost != 0) {
        return this->fleet.callerAddress(this->options.onlyHost);
    }
    if ((caller.addresses.empty() || SteadyClock::now() >= caller.addressesExpireAt) && !this->findAddresses(caller)) {
        caller.addresses.clear();
        return {};
    }
    // The list begins with the hosts that need no further hop; the rest is used as well, so that all paths have traffic.
    return caller.random() % 2 == 0 ? caller.addresses.front() : caller.addresses[caller.random() % caller.addresses.size()];
}

static testing::ExecutionClaim claimOf(const HttpReply &reply)
{
    const auto word = reply.header("rhubarbtiller-executed");
    return word == "not_run" ? testing::ExecutionClaim::NotRun
        : word == "ran"      ? testing::ExecutionClaim::Ran
                             : testing::ExecutionClaim::Unknown;
}

void Callers::callOnce(Caller &caller)
{
    const auto address = this->chooseAddress(caller);
    if (address.empty()) {
        return;
    }
    const std::string tag = "c" + std::to_string(this->group) + "." + std::to_string(caller.number) + "." + std::to_string(++caller.calls);
    const std::string body = this->options.method == "GET" ? "" : "body of " + tag;
    testing::CallRecord call;
    call.tag = testing::CallTag(tag);
    call.host = this->fleet.hostAt(address);
    call.organisation = this->options.key.organisation;
    call.key = this->options.key.name;
    call.isIdempotent = this->options.isIdempotent;
    call.sentAt = std::chrono::system_clock::now();
    this->fleet.recorder.record(call);

    const auto reply = caller.connectionTo(address).call(this->options.method,
                                                         this->options.path,
                                                         "X-Api-Key: " + this->options.key.secret + "\r\nX-Caller-Tag: " + tag + "\r\n",
                                                         body,
                                                         this->options.timeout);
    const auto now = std::chrono::system_clock::now();
    if (reply.fault != CallFault::None) {
        this->fleet.recorder.record(testing::BrokenCallRecord{call.tag, reply.fault != CallFault::NotConnected, now});
        // A caller whose address does not answer asks for others.
        caller.addresses.clear();
        return;
    }
    if (reply.status == 200) {
        const auto document = json::parse(reply.body, nullptr, false);
        testing::AnswerRecord answer;
        answer.tag = call.tag;
        answer.receivedAt = now;
        answer.isIntact = document.is_object() && document.value("target", "") == this->options.path && document.value("body", "") == body;
        if (document.is_object()) {
            answer.answeredTag = testing::CallTag(document.value("callerTag", ""));
            answer.answeredOrganisation = OrganisationId(document.value("organisation", ""));
        }
        this->fleet.recorder.record(answer);
        ++this->answerCount;
        return;
    }
    const auto word = reply.header("rhubarbtiller-reason");
    // Without a reason it is the server's own failure, passed on.
    const auto reason = word.empty() ? "server's own" : word;
    this->fleet.recorder.record(testing::RefusalRecord{call.tag, reply.status, reason, claimOf(reply), now});
    const std::lock_guard lock(this->mutex);
    ++this->refusals[reason];
}

} // namespace rhubarbtiller::fleettests
