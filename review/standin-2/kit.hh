// What the cases of the second review share: a store, backend servers, callers and processes of the system on loopback addresses.
//
// Blocking sockets and one thread per connection; all stand-ins speak HTTP/1.1 as PROTOCOL.md describes it.
#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace kit {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Exit codes of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

inline const Clock::time_point startedAt = Clock::now();

/// Seconds since the case started.
inline double now()
{
    return std::chrono::duration<double>(Clock::now() - startedAt).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

inline void sleepUntil(double time)
{
    sleepFor(time - now());
}

/// The record of a case, one line for each event.
class Record
{
public:
    void open(const std::string &path)
    {
        this->file.open(path, std::ios::trunc);
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(this->mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f  ", now());
        this->file << time << text << "\n" << std::flush;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

inline Record record;

[[noreturn]] inline void fail(const std::string &reason);

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

/// A request or a response.
struct Message
{
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(lower(name));
        return found == this->headers.end() ? std::string() : found->second;
    }

    std::string method() const
    {
        return this->firstLine.substr(0, this->firstLine.find(' '));
    }

    std::string target() const
    {
        const auto first = this->firstLine.find(' ');
        return this->firstLine.substr(first + 1, this->firstLine.rfind(' ') - first - 1);
    }

    int status() const
    {
        const auto first = this->firstLine.find(' ');
        return first == std::string::npos ? 0 : std::atoi(this->firstLine.c_str() + first);
    }
};

/// Reads messages from a socket.
class Reader
{
public:
    explicit Reader(int socket) : fd(socket)
    {
    }

    /// Limits how fast bytes are read, in bytes a second; 0 reads as fast as they come.
    double bytesPerSecond = 0;

    /// Bytes of the body that arrived.
    std::size_t bodyBytes = 0;

    /// Reads one message whose body has a length or comes in chunks; returns whether it arrived complete.
    bool read(Message &message)
    {
        message = {};
        this->bodyBytes = 0;
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more()) {
                return false;
            }
        }
        std::istringstream lines(this->buffer.substr(0, end + 2));
        this->buffer.erase(0, end + 4);
        std::getline(lines, message.firstLine);
        message.firstLine.pop_back();
        for (std::string line; std::getline(lines, line);) {
            line.pop_back();
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                auto value = line.substr(colon + 1);
                value.erase(0, value.find_first_not_of(' '));
                message.headers[lower(line.substr(0, colon))] = value;
            }
        }
        if (lower(message.header("Transfer-Encoding")) == "chunked") {
            return this->readChunks(message.body);
        }
        const auto length = static_cast<std::size_t>(std::atoll(message.header("Content-Length").c_str()));
        while (this->buffer.size() < length) {
            this->bodyBytes = this->buffer.size();
            if (!this->more()) {
                return false;
            }
        }
        this->bodyBytes = length;
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        return true;
    }

    /// Whether the peer closed or reset the connection when reading failed.
    bool isClosed = false;
    bool hasTimedOut = false;

private:
    bool readChunks(std::string &body)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->more()) {
                    return false;
                }
            }
            const auto size = std::strtoull(this->buffer.c_str(), nullptr, 16);
            this->buffer.erase(0, end + 2);
            while (this->buffer.size() < size + 2) {
                if (!this->more()) {
                    return false;
                }
            }
            body += this->buffer.substr(0, size);
            this->buffer.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    bool more()
    {
        char bytes[16384];
        std::size_t most = sizeof(bytes);
        if (this->bytesPerSecond > 0) {
            most = 16384;
            sleepFor(static_cast<double>(most) / this->bytesPerSecond);
        }
        const auto size = ::recv(this->fd, bytes, most, 0);
        if (size <= 0) {
            this->hasTimedOut = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            this->isClosed = !this->hasTimedOut;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    int fd;
    std::string buffer;
};

inline sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// Connects; returns -1 on failure. A small receive buffer and segments of Ethernet size stand for a caller behind a narrow link.
inline int connectTo(const std::string &ip, int port, double timeout, int receiveBuffer = 0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        const int segment = 1448;
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        ::setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    }
    timeval time{};
    time.tv_sec = static_cast<long>(timeout);
    time.tv_usec = static_cast<long>((timeout - static_cast<double>(time.tv_sec)) * 1e6);
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto address = addressOf(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/// Accepts connections on a free port, each in a thread of its own, until the process ends.
class Listener
{
public:
    using Serve = std::function<void(int fd)>;

    Listener(const std::string &ip, Serve handler, int wantedPort = 0) : serve(std::move(handler))
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(this->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        auto address = addressOf(ip, wantedPort);
        if (::bind(this->fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(this->fd, 512) != 0) {
            fail("a stand-in could not bind its address");
        }
        socklen_t size = sizeof(address);
        ::getsockname(this->fd, reinterpret_cast<sockaddr *>(&address), &size);
        this->port = ntohs(address.sin_port);
        std::thread([this] {
            while (true) {
                const int accepted = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    continue;
                }
                const int nodelay = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof(nodelay));
                std::thread([this, accepted] {
                    this->serve(accepted);
                    ::close(accepted);
                }).detach();
            }
        }).detach();
    }

    int port = 0;

private:
    int fd = -1;
    Serve serve;
};

inline std::string response(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string encodeBase64(const std::string &text)
{
    static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned value = static_cast<unsigned char>(text[i]) << 16U;
        value |= i + 1 < text.size() ? static_cast<unsigned char>(text[i + 1]) << 8U : 0U;
        value |= i + 2 < text.size() ? static_cast<unsigned char>(text[i + 2]) : 0U;
        result += letters[value >> 18U];
        result += letters[value >> 12U & 63U];
        result += i + 1 < text.size() ? letters[value >> 6U & 63U] : '=';
        result += i + 2 < text.size() ? letters[value & 63U] : '=';
    }
    return result;
}

/// The platform's store: rows with an empty part, their feed, and transactions on the condition of versions.
class Store
{
public:
    explicit Store(const std::string &ip) : ip(ip), listener(ip, [this](int fd) {
                                                this->serve(fd);
                                            })
    {
    }

    std::string address() const
    {
        return this->ip + ":" + std::to_string(this->listener.port);
    }

    /// Writes as the operator or a server does; returns when the write is acknowledged.
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        this->write(table, key, encodeBase64(value));
        this->changed.notify_all();
    }

    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        this->erase(table, key);
        this->changed.notify_all();
    }

private:
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    struct Change
    {
        std::uint64_t version = 0;
        std::string table;
        std::string key;
        std::string value;
        bool isRemoved = false;
    };

    void write(const std::string &table, const std::string &key, const std::string &value)
    {
        ++this->version;
        this->tables[table][key] = {value, this->version};
        this->history.push_back({this->version, table, key, value, false});
    }

    void erase(const std::string &table, const std::string &key)
    {
        ++this->version;
        if (this->tables[table].erase(key) > 0) {
            this->history.push_back({this->version, table, key, {}, true});
        }
    }

    json stamped() const
    {
        return {{"ver", this->version}, {"now_s", now() + 1000}};
    }

    static std::map<std::string, std::string> queryOf(const std::string &target)
    {
        std::map<std::string, std::string> query;
        std::istringstream parts(target.substr(std::min(target.size(), target.find('?') + 1)));
        for (std::string part; std::getline(parts, part, '&');) {
            const auto equals = part.find('=');
            std::string value;
            for (std::size_t i = equals + 1; i < part.size(); ++i) {
                if (part[i] == '%' && i + 2 < part.size()) {
                    value += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else {
                    value += part[i];
                }
            }
            query[part.substr(0, equals)] = value;
        }
        return query;
    }

    json rowOf(const std::string &table, const std::string &key, const Row &row) const
    {
        return {{"table", table}, {"part", ""}, {"key", key}, {"value", row.value}, {"ver", row.version}};
    }

    json readRows(const std::map<std::string, std::string> &query)
    {
        auto answer = this->stamped();
        answer["rows"] = json::array();
        answer["has_more"] = false;
        const auto from = query.count("from") != 0 ? query.at("from") : std::string();
        const auto limit = query.count("limit") != 0 ? std::stoul(query.at("limit")) : 500UL;
        for (const auto &[key, row] : this->tables[query.at("table")]) {
            if (key < from) {
                continue;
            }
            if (answer["rows"].size() >= limit) {
                answer["has_more"] = true;
                break;
            }
            answer["rows"].push_back(this->rowOf(query.at("table"), key, row));
        }
        return answer;
    }

    json follow(const std::map<std::string, std::string> &query, std::unique_lock<std::mutex> &lock)
    {
        const auto table = query.at("table");
        const auto after = std::stoull(query.at("after"));
        const auto until = Clock::now() + std::chrono::milliseconds(std::stoi(query.at("wait_ms")));
        while (true) {
            auto rows = json::array();
            for (const auto &change : this->history) {
                if (change.version <= after || change.table != table) {
                    continue;
                }
                auto row = this->rowOf(table, change.key, {change.value, change.version});
                if (change.isRemoved) {
                    row.erase("value");
                    row["removed"] = true;
                }
                rows.push_back(row);
            }
            if (!rows.empty() || Clock::now() >= until) {
                auto answer = this->stamped();
                answer["rows"] = rows;
                return answer;
            }
            this->changed.wait_until(lock, until);
        }
    }

    std::string transact(const std::string &body)
    {
        const auto document = json::parse(body);
        auto rows = json::array();
        bool holds = true;
        for (const auto &expected : document.value("expected_rev", json::array())) {
            const auto &table = this->tables[expected.at("table")];
            const auto found = table.find(expected.at("key"));
            const std::uint64_t version = found == table.end() ? 0 : found->second.version;
            holds = holds && version == expected.at("ver").get<std::uint64_t>();
            if (found != table.end()) {
                rows.push_back(this->rowOf(expected.at("table"), found->first, found->second));
            }
        }
        auto answer = this->stamped();
        answer["rows"] = rows;
        if (!holds) {
            return response(412, "Content-Type: application/json\r\n", answer.dump());
        }
        for (const auto &written : document.value("writes", json::array())) {
            this->write(written.at("table"), written.at("key"), written.at("value"));
        }
        for (const auto &removed : document.value("remove", json::array())) {
            this->erase(removed.at("table"), removed.at("key"));
        }
        this->changed.notify_all();
        return response(200, "Content-Type: application/json\r\n", this->stamped().dump());
    }

    void serve(int fd)
    {
        Reader reader(fd);
        for (Message message; reader.read(message);) {
            const auto target = message.target();
            const auto query = queryOf(target);
            sleepFor(0.004);
            std::string answer;
            {
                std::unique_lock lock(this->mutex);
                if (target.starts_with("/-/rows-get")) {
                    answer = response(200, "Content-Type: application/json\r\n", this->readRows(query).dump());
                } else if (target.starts_with("/-/rows-feed")) {
                    answer = response(200, "Content-Type: application/json\r\n", this->follow(query, lock).dump());
                } else if (target.starts_with("/-/rows-tx")) {
                    answer = this->transact(message.body);
                } else {
                    answer = response(404, "", "");
                }
            }
            if (!sendAll(fd, answer)) {
                return;
            }
        }
    }

    std::string ip;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Row>> tables;
    std::deque<Change> history;
    std::uint64_t version = 0;
    Listener listener;
};

/// The row of a backend server in the store.
inline std::string serverRow(const std::string &service, const std::string &address, const std::string &zone, int capacity)
{
    return json{{"service", service}, {"addr", address},       {"zone", zone}, {"version", "1.0"},
                {"capacity", capacity}, {"state", "ready"}, {"warmup_left_s", 0}, {"seq", 1},
                {"born", 1700000000000}}
        .dump();
}

inline json resource(const std::string &kind, const std::string &name, const json &spec)
{
    auto meta = json::object();
    if (!name.empty()) {
        meta["name"] = name;
    }
    return {{"resource_type", kind}, {"meta", meta}, {"spec", spec}};
}

/// Addresses of this run: 127.X.Y.N, of which X and Y come from the id of the process.
inline std::string loopback(int number)
{
    const auto own = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(20 + own % 200) + "." + std::to_string(1 + own / 200 % 250) + "." + std::to_string(number);
}

/// One process of the system on an address of its own, with the ports of a platform.
class Host
{
public:
    static constexpr int CallerPort = 8689;
    static constexpr int ReadinessPort = 8687;
    static constexpr int ControlPort = 8683;
    static constexpr int DirectoryPort = 8682;
    static constexpr int PeerPort = 7360;

    std::string ip;
    std::string name;
    std::string zone;
    pid_t pid = -1;

    /// The settings have the fields of deploy/host.json.template.
    void start(const std::filesystem::path &folder, const json &settings)
    {
        const auto path = folder / (this->name + ".json");
        std::ofstream(path) << settings.dump(4);
        const auto log = (folder / (this->name + ".log")).string();
        const std::string program = "target/apps/rhubarbtiller/rhubarbtiller";
        const std::string option = "--settings=" + path.string();
        this->pid = ::fork();
        if (this->pid == 0) {
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl(program.c_str(), program.c_str(), "--gateway", option.c_str(), nullptr);
            ::_exit(127);
        }
    }

    bool isRunning()
    {
        if (this->pid <= 0) {
            return false;
        }
        int status = 0;
        if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
            record.line(this->name + (WIFEXITED(status) ? " exited with " + std::to_string(WEXITSTATUS(status))
                                                        : " was ended by signal " + std::to_string(WTERMSIG(status))));
            this->pid = -1;
            return false;
        }
        return true;
    }

    void signal(int number) const
    {
        if (this->pid > 0) {
            ::kill(this->pid, number);
        }
    }

    void end()
    {
        if (this->pid > 0) {
            ::kill(this->pid, SIGKILL);
            ::waitpid(this->pid, nullptr, 0);
            this->pid = -1;
        }
    }

    /// Returns the resident memory in MB.
    double residentMegabytes() const
    {
        std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmRSS:")) {
                return std::atof(line.c_str() + 6) / 1024;
            }
        }
        return 0;
    }

    int probe() const
    {
        const int fd = connectTo(this->ip, ReadinessPort, 1);
        if (fd < 0) {
            return 0;
        }
        sendAll(fd, "GET /-/readyz HTTP/1.1\r\nHost: " + this->ip + "\r\nConnection: close\r\n\r\n");
        Reader reader(fd);
        Message answer;
        const bool isRead = reader.read(answer);
        ::close(fd);
        return isRead ? answer.status() : 0;
    }
};

/// The hosts of one deployment and their folder for settings and logs.
class Fleet
{
public:
    explicit Fleet(const std::string &storeAddress) : store(storeAddress)
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(name.data()) == nullptr) {
            fail("no temporary folder");
        }
        this->folder = name;
        current = this;
    }

    ~Fleet()
    {
        this->endAll();
    }

    void endAll()
    {
        for (auto &host : this->hosts) {
            host->end();
        }
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(this->folder, ignored);
        }
    }

    Host &add(const std::string &zone, int number)
    {
        auto host = std::make_unique<Host>();
        host->ip = loopback(number);
        host->name = "edge-" + zone + "-" + std::to_string(number);
        host->zone = zone;
        this->hosts.push_back(std::move(host));
        return *this->hosts.back();
    }

    json settingsOf(const Host &host, bool isFirstStart) const
    {
        const auto at = [&host](int port) {
            return host.ip + ":" + std::to_string(port);
        };
        auto zones = json::array();
        auto seeds = json::array();
        for (const auto &each : this->hosts) {
            if (std::find(zones.begin(), zones.end(), each->zone) == zones.end()) {
                zones.push_back(each->zone);
            }
            if (seeds.size() < 3) {
                seeds.push_back(each->ip + ":" + std::to_string(Host::ControlPort));
            }
        }
        json settings{{"id", host.name},
                      {"failureDomain", host.zone},
                      {"failureDomains", zones},
                      {"callerAddress", at(Host::CallerPort)},
                      {"readinessAddress", at(Host::ReadinessPort)},
                      {"directoryAddress", at(Host::DirectoryPort)},
                      {"controlAddress", at(Host::ControlPort)},
                      {"peerAddress", at(Host::PeerPort)},
                      {"storeAddress", this->store},
                      {"seeds", seeds},
                      {"processorCores", 0.2},
                      {"memoryMb", this->memoryMegabytes},
                      {"quotaWindowSeconds", 5},
                      {"stopGraceSeconds", 6},
                      {"retryBudget", {{"ratio", 0.2}, {"slack", 62}, {"windowSeconds", 10}}},
                      {"rollout", {{"storeAllowanceSeconds", 5}}},
                      {"logLevel", "info"}};
        if (isFirstStart) {
            settings["firstStart"] = true;
        }
        return settings;
    }

    void startAll()
    {
        for (auto &host : this->hosts) {
            host->start(this->folder, this->settingsOf(*host, true));
        }
    }

    /// Waits until all hosts are ready.
    void waitReady(double seconds)
    {
        const double until = now() + seconds;
        for (auto &host : this->hosts) {
            while (host->probe() != 200) {
                if (now() > until || !host->isRunning()) {
                    fail("a host did not become ready");
                }
                sleepFor(0.1);
            }
        }
    }

    int memoryMegabytes = 260;
    std::filesystem::path folder;
    std::vector<std::unique_ptr<Host>> hosts;
    inline static Fleet *current = nullptr;

private:
    std::string store;
};

[[noreturn]] inline void finish(int code, const std::string &verdict)
{
    record.line("result: " + verdict);
    std::cout << verdict << std::endl;
    if (Fleet::current != nullptr) {
        Fleet::current->endAll();
    }
    ::_exit(code);
}

[[noreturn]] inline void fail(const std::string &reason)
{
    finish(CouldNotRun, "could not run: " + reason);
}

inline void onSignal(int)
{
    if (Fleet::current != nullptr) {
        for (auto &host : Fleet::current->hosts) {
            host->signal(SIGKILL);
        }
    }
    ::_exit(CouldNotRun);
}

/// Opens the record and ends the processes of the case when it is interrupted.
inline void begin(const char *recordPath)
{
    record.open(recordPath);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, onSignal);
    std::signal(SIGINT, onSignal);
    // A case runs for 120 seconds at most.
    std::thread([] {
        sleepFor(110);
        fail("took too long");
    }).detach();
}

inline bool hasTrouble()
{
    const char *const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline std::string format(const char *pattern, ...) __attribute__((format(printf, 1, 2)));

inline std::string format(const char *pattern, ...)
{
    char text[512];
    va_list arguments;
    va_start(arguments, pattern);
    std::vsnprintf(text, sizeof(text), pattern, arguments);
    va_end(arguments);
    return text;
}

} // namespace kit
