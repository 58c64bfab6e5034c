#include "limitedhost.h"

#include "../fleet/httpconnection.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <stdexcept>

#include <sys/resource.h>
#include <unistd.h>

namespace rhubarbtiller::callerlimits {

using nlohmann::json;

static constexpr int CallerPort = 8689;
static constexpr int ReadinessPort = 8687;
static constexpr int ControlPort = 8683;
static constexpr int DirectoryPort = 8682;
static constexpr int PeerPort = 7360;

static constexpr std::chrono::milliseconds PollInterval{20};
static constexpr std::chrono::seconds StartTimeout{20};

static std::string endpointOf(const std::string &ip, int port)
{
    return ip + ":" + std::to_string(port);
}

Deployment::Deployment(std::size_t serverCount) : work(asio::make_work_guard(this->context))
{
    this->start(serverCount);
    this->thread = std::thread([this] {
        this->context.run();
    });
}

Deployment::~Deployment()
{
    this->work.reset();
    this->context.stop();
    this->thread.join();
}

void Deployment::start(std::size_t serverCount)
{
    this->store = std::make_unique<testing::RowStoreStandin>(this->context);
    this->store->start(Endpoint("127.0.0.1:0"));
    this->storeText = this->store->boundAddress().text();
    const auto entry = [](const char *kind, const std::string &name, json spec) {
        return json{{"resource_type", kind}, {"meta", {{"name", name}}}, {"spec", std::move(spec)}};
    };
    const json resources{entry("routes",
                               "all",
                               {{"host", VirtualHost},
                                {"prefix", "/"},
                                {"service", "app"},
                                {"type", "unsafe"},
                                {"timeout_s", 120},
                                {"max_attempts", 1},
                                {"public", true}}),
                         entry("services", "app", {{"max_conns", 2000}})};
    this->store->put("op", "config", json{{"version", 1}, {"resources", resources}}.dump());
    for (std::size_t i = 1; i <= serverCount; ++i) {
        this->addServer(i);
    }
}

void Deployment::addServer(std::size_t number)
{
    auto server = std::make_unique<testing::RawHttpServer>(
        this->context, [this](const http::HttpRequest &request, const std::shared_ptr<testing::RawConnection> &connection) {
            if (request.target.starts_with("/wait/")) {
                this->held.push_back(connection);
                return;
            }
            const std::string id(http::findHeader(request.headers, "Attempt-Id"));
            connection->respond({200, {{"Attempt-Id", id}, {"Server-Seal", "proof"}}, std::string(LargeBodySize, 'x')});
        });
    server->start(Endpoint("127.0.0.1:0"));
    this->store->put("servers",
                     "app-" + std::to_string(number),
                     json{{"service", "app"},
                          {"addr", server->boundAddress().text()},
                          {"zone", "east"},
                          {"version", "1.0"},
                          {"capacity", 1000},
                          {"state", "ready"},
                          {"warmup_left_s", 0},
                          {"seq", 1},
                          {"born", 1'700'000'000'000}}
                         .dump());
    this->servers.push_back(std::move(server));
}

std::string Deployment::requestFields(const std::string &requestId)
{
    return std::string("Host: ") + VirtualHost + "\r\nAttempt-Id: " + requestId + "\r\n";
}

std::string Deployment::storeAddress() const
{
    return this->storeText;
}

LimitedHost::LimitedHost(const HostOptions &options)
{
    static int number = 0;
    // Runs at the same time have addresses of their own.
    const auto own = static_cast<unsigned>(::getpid());
    this->ip = "127." + std::to_string(16 + own % 200) + "." + std::to_string(own / 200 % 250) + "." + std::to_string(1 + ++number % 250);
    std::string name = (std::filesystem::temp_directory_path() / "callerlimits-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no folder for the settings");
    }
    this->folder = name;
    const auto settingsFile = this->folder / "settings.json";
    // A port that nothing listens on stands for a store that cannot be reached.
    const auto store = options.storeAddress.empty() ? endpointOf(this->ip, 1) : options.storeAddress;
    std::ofstream(settingsFile) << json{
        {"id", "limited"},
        {"failureDomain", "east"},
        {"callerAddress", this->callerAddress()},
        {"readinessAddress", this->readinessAddress()},
        {"directoryAddress", this->directoryAddress()},
        {"controlAddress", this->controlAddress()},
        {"peerAddress", endpointOf(this->ip, PeerPort)},
        {"storeAddress", store},
        {"memoryMb",
         options.memoryMegabytes}}.dump(2);
    rlimit before{};
    ::getrlimit(RLIMIT_NOFILE, &before);
    if (options.maxDescriptors > 0) {
        // Inherited by the program; descriptors of this process that are open already stay so.
        const rlimit low{options.maxDescriptors, before.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &low);
    }
    this->process
        = std::make_unique<fleettests::Process>(std::vector<std::string>{HOST_PROGRAM, "--gateway", "--settings=" + settingsFile.string()},
                                                this->folder / "out",
                                                this->folder / "err");
    ::setrlimit(RLIMIT_NOFILE, &before);
    const auto deadline = std::chrono::steady_clock::now() + StartTimeout;
    while (std::chrono::steady_clock::now() < deadline && !this->process->exitCode()) {
        fleettests::HttpConnection probe(this->readinessAddress());
        const int status = probe.call("GET", "/-/readyz").status;
        if (status == 200 || (status != 0 && options.storeAddress.empty())) {
            return;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    throw std::runtime_error("the host is not ready, see " + this->folder.string());
}

LimitedHost::~LimitedHost()
{
    this->process.reset();
    std::filesystem::remove_all(this->folder);
}

std::string LimitedHost::callerAddress() const
{
    return endpointOf(this->ip, CallerPort);
}

std::string LimitedHost::directoryAddress() const
{
    return endpointOf(this->ip, DirectoryPort);
}

std::string LimitedHost::controlAddress() const
{
    return endpointOf(this->ip, ControlPort);
}

std::string LimitedHost::readinessAddress() const
{
    return endpointOf(this->ip, ReadinessPort);
}

bool LimitedHost::isRunning()
{
    return !this->process->exitCode();
}

unsigned LimitedHost::peakMegabytes() const
{
    static constexpr unsigned KilobytesPerMegabyte = 1024;
    std::ifstream status("/proc/" + std::to_string(this->process->processId()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            return static_cast<unsigned>(std::stoul(line.substr(line.find_first_of("0123456789")))) / KilobytesPerMegabyte;
        }
    }
    throw std::runtime_error("the process has ended");
}

std::size_t LimitedHost::openDescriptors() const
{
    std::size_t count = 0;
    for ([[maybe_unused]] const auto &entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(this->process->processId()) + "/fd")) {
        ++count;
    }
    return count;
}

} // namespace rhubarbtiller::callerlimits
